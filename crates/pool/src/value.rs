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

/// Mean sizes of one kind of request.
#[derive(Clone, Copy, Debug)]
struct ClassMeans {
    size: f64,
    prompt: f64,
}

/// What a request is worth, and how its kind compares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestValue {
    /// Worth of the request, in units of a mean short prompt.
    pub value: f64,
    /// Worth of the mean request of its kind.
    pub class_value: f64,
    /// Mean tokens of a prompt of its kind.
    pub class_prompt_tokens: u64,
}

/// Mean sizes of the kinds of requests, learned as they come.
#[derive(Clone, Debug, Default)]
pub struct ClassValues {
    means: map::HashMap<String, ClassMeans>,
}

impl ClassValues {
    /// Values a request of a kind; learns from its size.
    ///
    /// ```
    /// let mut values = sardinepaddle_pool::value::ClassValues::default();
    /// let short = values.assess("chat", 5_000, 1_670);
    /// let long = values.assess("digest", 154_000, 840);
    /// assert!(long.value > 10.0 * short.value);
    /// ```
    pub fn assess(&mut self, kind: &str, prompt_tokens: u64, answer_tokens: u64) -> RequestValue {
        let prompt = prompt_tokens as f64;
        let size = (prompt + ANSWER_WEIGHT * answer_tokens as f64).max(1.0);
        let means = match self.means.get_mut(kind) {
            Some(means) => {
                means.size += MEAN_WEIGHT * (size - means.size);
                means.prompt += MEAN_WEIGHT * (prompt - means.prompt);
                *means
            }
            None => {
                let means = ClassMeans { size, prompt };
                self.means.insert(kind.to_owned(), means);
                means
            }
        };
        let class_value = (means.size / UNIT_TOKENS).powf(KIND_EXPONENT);
        let relative = FIXED_SHARE + (1.0 - FIXED_SHARE) * size / means.size;
        RequestValue {
            value: class_value * relative.min(MOST_TIMES),
            class_value,
            class_prompt_tokens: means.prompt as u64,
        }
    }
}
