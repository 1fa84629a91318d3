//! Typed identifiers.

use std::fmt;
use std::sync;

use serde::{Deserialize, Serialize};
use sha2::Digest;

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Wraps a name.
            pub fn new(name: &str) -> Self {
                Self(name.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_id!(
    /// Names one host that runs a daemon.
    HostId
);
name_id!(
    /// Names one data centre.
    CentreId
);
name_id!(
    /// Names one customer.
    CustomerId
);
name_id!(
    /// Names one service: a model or a plain service.
    ServiceId
);
name_id!(
    /// Names one endpoint of a service.
    EndpointId
);

/// One life of a daemon process: a new value after each start and after each long pause.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct NodeIncarnation(pub u64);

/// Names one request: the life of the daemon that took it in, and a count within that life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// The daemon's life.
    pub node: NodeIncarnation,
    /// Count within that life.
    pub count: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.node.0, self.count)
    }
}

/// Names one attempt to serve a request on one endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct AttemptId {
    /// The request served.
    pub request: RequestId,
    /// Number of the attempt within its request, from one.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.request, self.number)
    }
}

impl From<AttemptId> for String {
    fn from(attempt: AttemptId) -> Self {
        attempt.to_string()
    }
}

/// The text was not an attempt id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptIdError;

impl fmt::Display for AttemptIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not an attempt id")
    }
}

impl std::error::Error for AttemptIdError {}

impl TryFrom<String> for AttemptId {
    type Error = AttemptIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        parse_attempt(&text).ok_or(AttemptIdError)
    }
}

fn parse_attempt(text: &str) -> Option<AttemptId> {
    let mut parts = text.split('-');
    let node = u64::from_str_radix(parts.next()?, 16).ok()?;
    let count = u64::from_str_radix(parts.next()?, 16).ok()?;
    let number = u32::from_str_radix(parts.next()?, 16).ok()?;
    if parts.next().is_some() {
        return None;
    }
    let request = RequestId {
        node: NodeIncarnation(node),
        count,
    };
    Some(AttemptId { request, number })
}

/// Digest of a customer's idempotency key within its service.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimKey(sync::Arc<str>);

impl ClaimKey {
    /// Number of hexadecimal digits kept of the digest.
    const DIGITS: usize = 32;

    /// Digests a key. Keys of different customers or services never meet.
    ///
    /// ```
    /// use sardinepaddle_model::ids::{ClaimKey, CustomerId, ServiceId};
    /// let service = ServiceId::new("order-app");
    /// let one = ClaimKey::digest(&service, &CustomerId::new("a"), "k1");
    /// let two = ClaimKey::digest(&service, &CustomerId::new("b"), "k1");
    /// assert_ne!(one, two);
    /// ```
    pub fn digest(service: &ServiceId, customer: &CustomerId, key: &str) -> Self {
        let mut digest = sha2::Sha256::new();
        for part in [service.as_str(), customer.as_str(), key] {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part.as_bytes());
        }
        let hex = digest
            .finalize()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>();
        Self(hex[..Self::DIGITS].into())
    }

    /// The claim shard of this key among `shards`.
    pub fn shard(&self, shards: u32) -> ClaimShard {
        let head = u32::from_str_radix(&self.0[..8], 16).unwrap_or(0);
        ClaimShard(head % shards.max(1))
    }

    /// The digest in hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// One of the objects among which claims are divided.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimShard(pub u32);
