//! Parts of prompts that are quarantined, as endpoints crash on prompts with them.

use model::ids;
use serde::{Deserialize, Serialize};

/// Time for which a quarantine holds, ms.
pub const QUARANTINE_MS: f64 = 600_000.0;
/// The same if the parts may be sound all the same, ms: a few times what it takes to find the other
/// part that may be the cause.
pub const DOUBTFUL_QUARANTINE_MS: f64 = 20_000.0;

/// Parts of prompts; a prompt that has all of them is declined.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartQuarantine {
    /// The parts.
    pub parts: Vec<ids::PartId>,
    /// End of the quarantine, Unix ms.
    pub until_ms: u64,
}

/// Whether a prompt has all of some parts, which are one at least.
pub(crate) fn contains_all(prompt: &[ids::PartId], parts: &[ids::PartId]) -> bool {
    !parts.is_empty() && parts.iter().all(|part| prompt.contains(part))
}

/// The quarantines in force and when they end on the clock of the process.
#[derive(Clone, Debug, Default)]
pub struct QuarantineList {
    /// Parts, and the time until which they are quarantined, ms.
    entries: Vec<(Vec<ids::PartId>, f64)>,
}

impl QuarantineList {
    /// Creates the list from quarantines, each with the time for which it is still in force, ms.
    ///
    /// ```
    /// use model::ids::PartId;
    /// use sardinepaddle_pool::quarantine::{PartQuarantine, QuarantineList};
    /// let [first, second] = ["a", "b"].map(PartId::from_name);
    /// let quarantine = PartQuarantine { parts: vec![first, second], until_ms: 0 };
    /// let list = QuarantineList::new(1_000.0, &[(quarantine, 500.0)]);
    /// assert_eq!(list.remaining_ms(1_200.0, &[second, first]), Some(300.0));
    /// assert_eq!(list.remaining_ms(1_200.0, &[first]), None);
    /// assert_eq!(list.remaining_ms(1_500.0, &[second, first]), None);
    /// ```
    pub fn new(now: f64, listed: &[(PartQuarantine, f64)]) -> Self {
        let entries = listed.iter();
        let entries =
            entries.map(|(quarantine, left_ms)| (quarantine.parts.clone(), now + left_ms));
        Self {
            entries: entries.collect(),
        }
    }

    /// Returns the time for which a prompt with these parts is still declined, ms, if it is.
    pub fn remaining_ms(&self, now: f64, prompt: &[ids::PartId]) -> Option<f64> {
        let mut entries = self.entries.iter();
        let matches =
            |(parts, until): &&(Vec<ids::PartId>, f64)| *until > now && contains_all(prompt, parts);
        entries.find(matches).map(|(_, until)| until - now)
    }

    /// Removes the quarantines that have ended. Returns whether there were any.
    pub fn expire(&mut self, now: f64) -> bool {
        let count = self.entries.len();
        self.entries.retain(|(_, until)| *until > now);
        self.entries.len() < count
    }

    /// Returns the parts of each quarantine.
    pub fn parts(&self) -> Vec<Vec<ids::PartId>> {
        let entries = self.entries.iter();
        entries.map(|(parts, _)| parts.clone()).collect()
    }

    /// Returns the number of quarantines.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no quarantine.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
