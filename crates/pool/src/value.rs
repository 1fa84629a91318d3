//! What serving a request is worth against others.
//!
//! The configuration names no worth. The users' sheets value a kind of request by its size, more
//! than in proportion, and a request within its kind in proportion to its size.

use model::map;

/// Size at which a kind of request is worth one unit, tokens; the users' short kind.
const UNIT_TOKENS: f64 = 21_700.0;
/// Growth of a kind's worth with its mean size, from the kinds on the users' sheets.
const KIND_EXPONENT: f64 = 1.38;
/// Part of a request's worth that doesn't depend on its size; from the users' rules.
const FIXED_SHARE: f64 = 0.3;
/// Most times that a request may be worth the mean of its kind; from the users' rules.
const MOST_TIMES: f64 = 4.0;
/// Tokens of a prompt that one token of an answer counts for; from the users' rules.
const ANSWER_WEIGHT: f64 = 10.0;
/// Worth of a plain call, units of a short prompt; from the users' sheets.
pub const CALL_VALUE: f64 = 0.77;
/// Worth of an answer that comes late, as a share; from the users' sheets.
pub const LATE_SHARE: f64 = 0.25;
/// Weight of the newest request in the mean size of its kind.
const MEAN_WEIGHT: f64 = 0.05;

/// Mean sizes of the kinds of requests, learned as they come.
#[derive(Clone, Debug, Default)]
pub struct KindValues {
    means: map::HashMap<String, f64>,
}

impl KindValues {
    /// Worth of a request of a kind, in units of a mean short prompt; learns from its size.
    ///
    /// ```
    /// let mut values = sardinepaddle_pool::value::KindValues::default();
    /// let short = values.value("chat", 5_000, 1_670);
    /// let long = values.value("digest", 154_000, 840);
    /// assert!(long > 10.0 * short);
    /// ```
    pub fn value(&mut self, kind: &str, prompt_tokens: u64, answer_tokens: u64) -> f64 {
        let size = prompt_tokens as f64 + ANSWER_WEIGHT * answer_tokens as f64;
        let size = size.max(1.0);
        let mean = match self.means.get_mut(kind) {
            Some(mean) => {
                *mean += MEAN_WEIGHT * (size - *mean);
                *mean
            }
            None => {
                self.means.insert(kind.to_owned(), size);
                size
            }
        };
        let kind_value = (mean / UNIT_TOKENS).powf(KIND_EXPONENT);
        let relative = FIXED_SHARE + (1.0 - FIXED_SHARE) * size / mean;
        kind_value * relative.min(MOST_TIMES)
    }
}
