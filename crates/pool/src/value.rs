//! Estimates the value of a request relative to others.
//!
//! The configuration contains no values. By the users' data sheets, the value of a request class
//! grows faster than its mean size, and the value of a request within its class grows in proportion
//! to its size. The requests of one route form a class.

use model::map;

/// Mean size of a class with a value of one unit, tokens; that of the users' short prompts.
const UNIT_SIZE_TOKENS: f64 = 21_700.0;
/// Exponent of a class's mean size in its value, from the classes on the users' data sheets.
const CLASS_EXPONENT: f64 = 1.38;
/// Share of a request's value that doesn't depend on its size; from the users' rules.
const FIXED_SHARE: f64 = 0.3;
/// Upper limit of a request's value relative to its class; from the users' rules.
const MAX_RELATIVE_VALUE: f64 = 4.0;
/// Prompt tokens that count as much as one response token; from the users' rules.
const ANSWER_TOKEN_WEIGHT: f64 = 10.0;
/// Value of a plain call, units of a short prompt; from the users' data sheets.
pub const CALL_VALUE: f64 = 0.77;
/// Share of its value that a late response earns; from the users' data sheets.
pub const LATE_VALUE_SHARE: f64 = 0.25;
/// Weight of the newest request in the mean sizes of its class.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean sizes of the requests of one class, tokens.
#[derive(Clone, Copy, Debug)]
struct ClassMeans {
    /// Prompt tokens and weighted response tokens.
    size_tokens: f64,
    /// Prompt tokens alone.
    prompt: f64,
}

/// The value of a request and of the mean request of its class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestValue {
    /// Value of the request, in units of a mean short prompt.
    pub value: f64,
    /// Value of the mean request of its class.
    pub class_value: f64,
    /// Mean prompt tokens of its class.
    pub class_prompt_tokens: u64,
}

/// Mean sizes of the request classes, updated by each request.
#[derive(Clone, Debug, Default)]
pub struct ClassValues {
    means: map::HashMap<String, ClassMeans>,
}

impl ClassValues {
    /// Returns the value of a request and adds its size to the means of its class.
    ///
    /// ```
    /// let mut values = sardinepaddle_pool::value::ClassValues::default();
    /// let short = values.assess("chat", 5_000, 1_670);
    /// let long = values.assess("digest", 154_000, 840);
    /// assert!(long.value > 10.0 * short.value);
    /// ```
    pub fn assess(&mut self, class: &str, prompt_tokens: u64, answer_tokens: u64) -> RequestValue {
        let prompt = prompt_tokens as f64;
        let size_tokens = (prompt + ANSWER_TOKEN_WEIGHT * answer_tokens as f64).max(1.0);
        let means = match self.means.get_mut(class) {
            Some(means) => {
                means.size_tokens += SAMPLE_WEIGHT * (size_tokens - means.size_tokens);
                means.prompt += SAMPLE_WEIGHT * (prompt - means.prompt);
                *means
            }
            None => {
                let means = ClassMeans {
                    size_tokens,
                    prompt,
                };
                self.means.insert(class.to_owned(), means);
                means
            }
        };
        let class_value = (means.size_tokens / UNIT_SIZE_TOKENS).powf(CLASS_EXPONENT);
        let relative_value = FIXED_SHARE + (1.0 - FIXED_SHARE) * size_tokens / means.size_tokens;
        RequestValue {
            value: class_value * relative_value.min(MAX_RELATIVE_VALUE),
            class_value,
            class_prompt_tokens: means.prompt as u64,
        }
    }
}
