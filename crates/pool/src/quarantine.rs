//! Causes of crashes that are quarantined: requests that they concern are declined.

use std::fmt;

use model::ids;
use serde::{Deserialize, Serialize};

/// Time for which a quarantine holds, ms.
pub const QUARANTINE_MS: f64 = 600_000.0;
/// The same if the cause may be sound all the same, ms: a few times what it takes to find another
/// possible cause.
pub const DOUBTFUL_QUARANTINE_MS: f64 = 20_000.0;

/// What a request has in common with others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestFeatures {
    /// Parts of its prompt that other prompts may share.
    pub parts: Vec<ids::PartId>,
    /// Its digest, shared by its repeats; `None` if its daemon does not know digests.
    pub digest: Option<ids::RequestDigest>,
}

/// One of the features of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestFeature {
    /// A part of the prompt.
    Part(ids::PartId),
    /// The digest of the request.
    Digest(ids::RequestDigest),
}

impl RequestFeatures {
    /// Whether nothing is known that another request could have too.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.digest.is_none()
    }

    /// Returns the features one by one.
    pub fn iter(&self) -> impl Iterator<Item = RequestFeature> {
        let parts = self.parts.iter().copied().map(RequestFeature::Part);
        parts.chain(self.digest.map(RequestFeature::Digest))
    }
}

/// The reason why endpoints crash on some requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashCause {
    /// Parts of prompts, sorted; it concerns prompts that have all of them.
    Parts(Vec<ids::PartId>),
    /// A request, in each of its repeats.
    Request(ids::RequestDigest),
}

impl CrashCause {
    /// Whether the cause concerns a request.
    pub fn concerns(&self, request: &RequestFeatures) -> bool {
        match self {
            Self::Parts(parts) => {
                !parts.is_empty() && parts.iter().all(|part| request.parts.contains(part))
            }
            Self::Request(digest) => request.digest == Some(*digest),
        }
    }

    /// Whether each request that this cause concerns also is one that `other` concerns.
    pub(crate) fn is_narrower_than(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Parts(parts), Self::Parts(others)) => {
                others.iter().all(|part| parts.contains(part))
            }
            _ => self == other,
        }
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Parts(parts) => {
                let names: Vec<String> = parts.iter().map(ids::PartId::to_string).collect();
                f.write_str(&names.join("+"))
            }
            Self::Request(digest) => write!(f, "request-{digest}"),
        }
    }
}

/// Quarantined parts of prompts, as daemons exchange them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartQuarantine {
    /// The parts.
    pub parts: Vec<ids::PartId>,
    /// End of the quarantine, Unix ms.
    pub until_ms: u64,
}

/// A quarantined request, as daemons exchange it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestQuarantine {
    /// Digest of the request.
    pub digest: ids::RequestDigest,
    /// End of the quarantine, Unix ms.
    pub until_ms: u64,
}

/// The quarantines in force and when they end on the clock of the process.
#[derive(Clone, Debug, Default)]
pub struct QuarantineList {
    /// Causes, and the time until which they are quarantined, ms.
    entries: Vec<(CrashCause, f64)>,
    /// Requests whose quarantine has ended.
    ended: Vec<CrashCause>,
}

impl QuarantineList {
    /// Creates the list from quarantined causes, each with the time for which it still is, ms; zero
    /// if its quarantine has ended.
    ///
    /// ```
    /// use model::ids::PartId;
    /// use sardinepaddle_pool::quarantine::{CrashCause, QuarantineList, RequestFeatures};
    /// let [first, second] = ["a", "b"].map(PartId::from_name);
    /// let cause = CrashCause::Parts(vec![first, second]);
    /// let list = QuarantineList::new(1_000.0, &[(cause, 500.0)]);
    /// let prompt = |parts| RequestFeatures { parts, digest: None };
    /// assert_eq!(list.remaining_ms(1_200.0, &prompt(vec![second, first])), Some(300.0));
    /// assert_eq!(list.remaining_ms(1_200.0, &prompt(vec![first])), None);
    /// assert_eq!(list.remaining_ms(1_500.0, &prompt(vec![second, first])), None);
    /// ```
    pub fn new(now: f64, listed: &[(CrashCause, f64)]) -> Self {
        let entries = listed.iter();
        let entries = entries.map(|(cause, left_ms)| (cause.clone(), now + left_ms));
        let mut list = Self {
            entries: entries.collect(),
            ended: Vec::new(),
        };
        list.expire(now);
        list
    }

    /// Returns the time for which a request is still declined, ms, if it is.
    pub fn remaining_ms(&self, now: f64, request: &RequestFeatures) -> Option<f64> {
        let mut entries = self.entries.iter();
        let matches = |(cause, until): &&(CrashCause, f64)| *until > now && cause.concerns(request);
        entries.find(matches).map(|(_, until)| until - now)
    }

    /// Removes the quarantines that have ended. Returns whether there were any.
    pub fn expire(&mut self, now: f64) -> bool {
        let count = self.entries.len();
        let ended = self.entries.extract_if(.., |(_, until)| *until <= now);
        let ended = ended.map(|(cause, _)| cause);
        let requests = ended.filter(|cause| matches!(cause, CrashCause::Request(_)));
        self.ended.extend(requests);
        self.entries.len() < count
    }

    /// Whether a request was quarantined until lately.
    pub fn has_ended(&self, now: f64, digest: ids::RequestDigest) -> bool {
        let past = self.entries.iter().filter(|(_, until)| *until <= now);
        let mut past = past.map(|(cause, _)| cause).chain(&self.ended);
        past.any(|cause| *cause == CrashCause::Request(digest))
    }

    /// Returns the causes that are quarantined.
    pub fn causes(&self) -> Vec<CrashCause> {
        let entries = self.entries.iter();
        entries.map(|(cause, _)| cause.clone()).collect()
    }

    /// Returns the requests whose quarantine has ended.
    pub fn ended(&self) -> &[CrashCause] {
        &self.ended
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
