//! Accounts for the bodies that the daemon holds in memory, so that their sum stays below what the
//! process may use.

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::time;

/// Memory that the process needs beside bodies, MB.
const OTHER_MEMORY_MB: f64 = 48.0;
/// Bodies as a share of the rest: buffers of connections hold as much again while they are read and
/// written.
const BODY_SHARE: f64 = 0.4;
/// Share of the account that responses may fill, so that requests still find room.
const RESPONSE_SHARE: f64 = 0.75;
/// Share of the account above which responses are read one after the other. The longest one still fits,
/// so that each can be completed, whereas many parts might fill the account and none go on.
const PARALLEL_SHARE: f64 = 0.4;
/// Length up to which a response doesn't wait behind longer ones.
const SHORT_BYTES: usize = 64 << 10;
/// Time in which such a response must be complete once it is its turn.
const TURN_TIME: Duration = Duration::from_millis(1_000);
const MIN_LIMIT_BYTES: usize = 4 << 20;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// What bytes belong to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyKind {
    /// Requests of clients.
    Request,
    /// Responses of endpoints and other daemons.
    Response,
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum CollectError {
    /// The body is longer than it may be.
    #[error("body too long")]
    TooLong,
    /// The account is full.
    #[error("no memory left for bodies")]
    AccountFull,
    /// The body broke off.
    #[error("body broke off: {0}")]
    Broken(Box<dyn std::error::Error + Send + Sync>),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, CollectError>;

#[derive(Debug)]
struct AccountState {
    limit: atomic::AtomicUsize,
    held: atomic::AtomicUsize,
    /// The right to read a response while much is held.
    turn: sync::Arc<tokio::sync::Semaphore>,
}

/// The sum of the bytes held.
#[derive(Clone, Debug)]
pub struct ByteAccount(sync::Arc<AccountState>);

impl ByteAccount {
    /// Creates an account for a process that may use so much memory.
    ///
    /// ```
    /// use sardinepaddle_gateway::byte_account::{BodyKind, ByteAccount};
    /// let account = ByteAccount::new(260.0);
    /// let mut share = account.share(BodyKind::Request);
    /// assert!(share.resize(80 << 20).is_ok());
    /// assert!(share.resize(100 << 20).is_err());
    /// assert_eq!(account.held(), 80 << 20);
    /// drop(share);
    /// assert_eq!(account.held(), 0);
    /// ```
    pub fn new(memory_mb: f64) -> Self {
        let account = Self(sync::Arc::new(AccountState {
            limit: atomic::AtomicUsize::default(),
            held: atomic::AtomicUsize::default(),
            turn: sync::Arc::new(tokio::sync::Semaphore::new(1)),
        }));
        account.set_memory(memory_mb);
        account
    }

    /// Changes how much memory the process may use, MB.
    pub fn set_memory(&self, memory_mb: f64) {
        let limit = (memory_mb - OTHER_MEMORY_MB) * BODY_SHARE * BYTES_PER_MB;
        let limit = (limit as usize).max(MIN_LIMIT_BYTES);
        self.0.limit.store(limit, atomic::Ordering::Relaxed);
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.0.held.load(atomic::Ordering::Relaxed)
    }

    /// Whether so many more bytes fit.
    pub fn has_room(&self, kind: BodyKind, bytes: u64) -> bool {
        let room = self.limit(kind).saturating_sub(self.held());
        bytes <= room as u64
    }

    fn limit(&self, kind: BodyKind) -> usize {
        let limit = self.0.limit.load(atomic::Ordering::Relaxed);
        match kind {
            BodyKind::Request => limit,
            BodyKind::Response => (limit as f64 * RESPONSE_SHARE) as usize,
        }
    }

    /// Returns an empty share of the account.
    pub fn share(&self, kind: BodyKind) -> ByteShare {
        ByteShare {
            account: self.clone(),
            kind,
            held: 0,
        }
    }

    /// Whether responses are read one after the other.
    fn is_crowded(&self) -> bool {
        let limit = self.0.limit.load(atomic::Ordering::Relaxed);
        self.held() as f64 > limit as f64 * PARALLEL_SHARE
    }

    /// Waits for the right to read a response while much is held.
    async fn wait_for_turn(&self) -> Result<ReadTurn> {
        let turn = self.0.turn.clone().acquire_owned().await;
        Ok(ReadTurn {
            _permit: turn.map_err(|_| CollectError::AccountFull)?,
            ends_at: time::Instant::now() + TURN_TIME,
        })
    }

    /// Reads a body of at most `max_bytes`, which are held until the result is dropped.
    pub async fn collect<B>(&self, kind: BodyKind, body: B, max_bytes: usize) -> Result<Bytes>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut buffer = HeldBuffer {
            bytes: Vec::new(),
            share: self.share(kind),
        };
        let mut body = std::pin::pin!(body);
        let mut turn = None;
        while let Some(frame) = next_frame(&mut body, turn.as_ref()).await? {
            let data = frame.into_data().unwrap_or_default();
            let length = buffer.bytes.len() + data.len();
            if length > max_bytes {
                return Err(CollectError::TooLong);
            }
            let needs_turn = kind == BodyKind::Response && length > SHORT_BYTES;
            if turn.is_none() && needs_turn && self.is_crowded() {
                turn = Some(self.wait_for_turn().await?);
            }
            buffer.share.resize(length)?;
            buffer.bytes.extend_from_slice(&data);
        }
        Ok(Bytes::from_owner(buffer))
    }
}

/// The right to read a response while much is held.
struct ReadTurn {
    _permit: tokio::sync::OwnedSemaphorePermit,
    ends_at: time::Instant,
}

/// Reads the next frame of a body, before the end of its turn if it has one.
async fn next_frame<B>(body: &mut B, turn: Option<&ReadTurn>) -> Result<Option<Frame<Bytes>>>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let frame = match turn {
        Some(turn) => time::timeout_at(turn.ends_at, body.frame())
            .await
            .map_err(|_| CollectError::AccountFull)?,
        None => body.frame().await,
    };
    let frame = frame.transpose();
    frame.map_err(|error| CollectError::Broken(error.into()))
}

/// Bytes of an account, given back on drop.
#[derive(Debug)]
pub struct ByteShare {
    account: ByteAccount,
    kind: BodyKind,
    held: usize,
}

impl ByteShare {
    /// Holds so many bytes instead of those held before. If the account is full, nothing changes.
    pub fn resize(&mut self, bytes: usize) -> Result<()> {
        let held = &self.account.0.held;
        if bytes > self.held {
            let more = bytes - self.held;
            if !self.account.has_room(self.kind, more as u64) {
                return Err(CollectError::AccountFull);
            }
            held.fetch_add(more, atomic::Ordering::Relaxed);
        } else {
            held.fetch_sub(self.held - bytes, atomic::Ordering::Relaxed);
        }
        self.held = bytes;
        Ok(())
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        let held = &self.account.0.held;
        held.fetch_sub(self.held, atomic::Ordering::Relaxed);
    }
}

/// Bytes with their share of the account.
struct HeldBuffer {
    bytes: Vec<u8>,
    share: ByteShare,
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
