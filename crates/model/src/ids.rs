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
            /// Creates an identifier from a name.
            pub fn new(name: &str) -> Self {
                Self(name.into())
            }

            /// Returns the name.
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
    /// Name of a host that runs a daemon.
    HostId
);
name_id!(
    /// Name of a data centre.
    CentreId
);
name_id!(
    /// Name of a customer.
    CustomerId
);
name_id!(
    /// Name of a service, either a model or a plain HTTP service.
    ServiceId
);
name_id!(
    /// Name of an endpoint of a service.
    EndpointId
);

/// Incarnation of a daemon process: changes at each start and after each long pause of the process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct NodeIncarnation(pub u64);

/// Identifier of a request: the incarnation of the daemon that accepted it and a sequence number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Incarnation of the daemon that accepted the request.
    pub node: NodeIncarnation,
    /// Sequence number of the request within that incarnation.
    pub count: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.node.0, self.count)
    }
}

/// Identifier of an attempt to serve a request on one endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct AttemptId {
    /// Request that the attempt serves.
    pub request: RequestId,
    /// Number of the attempt within its request, starting at 1.
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

/// Error for a text that is not an attempt id.
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

/// Computes a digest of several fields, each with its length.
fn digest_fields(fields: &[&[u8]]) -> [u8; 32] {
    let mut digest = sha2::Sha256::new();
    for field in fields {
        digest.update((field.len() as u64).to_le_bytes());
        digest.update(field);
    }
    digest.finalize().into()
}

/// Returns the first eight bytes of a digest as a number.
fn digest_prefix(digest: &[u8; 32]) -> u64 {
    let bytes = digest.iter().take(8);
    bytes.fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Digest of an idempotency key together with its service and customer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimKey(sync::Arc<str>);

impl ClaimKey {
    /// Number of hexadecimal digits kept from the digest.
    const DIGITS: usize = 32;

    /// Computes the digest of a key. Equal keys of different customers or services yield different
    /// digests.
    ///
    /// ```
    /// use sardinepaddle_model::ids::{ClaimKey, CustomerId, ServiceId};
    /// let service = ServiceId::new("order-app");
    /// let one = ClaimKey::digest(&service, &CustomerId::new("a"), "k1");
    /// let two = ClaimKey::digest(&service, &CustomerId::new("b"), "k1");
    /// assert_ne!(one, two);
    /// ```
    pub fn digest(service: &ServiceId, customer: &CustomerId, key: &str) -> Self {
        let fields = [service.as_str(), customer.as_str(), key];
        let hex = digest_fields(&fields.map(str::as_bytes))
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>();
        Self(hex[..Self::DIGITS].into())
    }

    /// Returns the claim shard of this key out of `shards`.
    pub fn shard(&self, shards: u32) -> ClaimShard {
        let prefix = u32::from_str_radix(&self.0[..8], 16).unwrap_or(0);
        ClaimShard(prefix % shards.max(1))
    }

    /// Returns the digest in hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Identifier of a part of a prompt; prompts that begin with the same text share parts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct PartId(u64);

impl PartId {
    /// Returns the identifier for a name: the name itself if it is a hexadecimal number of up to 16
    /// digits, its digest otherwise.
    ///
    /// ```
    /// use sardinepaddle_model::ids::PartId;
    /// assert_eq!(PartId::from_name("5C1E07A2").to_string(), "5c1e07a2");
    /// assert_ne!(PartId::from_name("a much longer name"), PartId::from_name("another"));
    /// ```
    pub fn from_name(name: &str) -> Self {
        if let Ok(number) = u64::from_str_radix(name, 16) {
            return Self(number);
        }
        Self(digest_prefix(&sha2::Sha256::digest(name.as_bytes()).into()))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Digest by which a request is recognized when its client sends it again, through any daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// Computes the digest of the fields that a request has again when it is repeated, such as
    /// customer, path and body. Headers that differ between attempts are no such fields.
    ///
    /// ```
    /// use sardinepaddle_model::ids::RequestDigest;
    /// let digest = RequestDigest::of(&[b"customer-1", b"/orders/", b"{}"]);
    /// assert_eq!(digest, RequestDigest::of(&[b"customer-1", b"/orders/", b"{}"]));
    /// assert_ne!(digest, RequestDigest::of(&[b"customer-1/", b"orders/", b"{}"]));
    /// ```
    pub fn of(fields: &[&[u8]]) -> Self {
        Self(digest_prefix(&digest_fields(fields)))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Index of one of the objects across which claims are sharded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimShard(pub u32);
