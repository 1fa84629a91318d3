//! What a daemon knows of a caller's request before it is placed.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::time;

/// Size class of a request, by its prompt tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SizeClass {
    /// At most [`SizeClass::SHORT_TOKENS`], and every plain call.
    Short,
    /// At most [`SizeClass::MEDIUM_TOKENS`].
    Medium,
    /// Anything longer.
    Long,
}

impl SizeClass {
    /// Most prompt tokens of a short request.
    pub const SHORT_TOKENS: u64 = 8_000;
    /// Most prompt tokens of a medium request.
    pub const MEDIUM_TOKENS: u64 = 100_000;

    /// The class of a prompt.
    ///
    /// ```
    /// use sardinepaddle_model::request::SizeClass;
    /// assert_eq!(SizeClass::of(1_000), SizeClass::Short);
    /// assert_eq!(SizeClass::of(1_000_000), SizeClass::Long);
    /// ```
    pub const fn of(prompt_tokens: u64) -> Self {
        if prompt_tokens <= Self::SHORT_TOKENS {
            Self::Short
        } else if prompt_tokens <= Self::MEDIUM_TOKENS {
            Self::Medium
        } else {
            Self::Long
        }
    }
}

impl fmt::Display for SizeClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
        })
    }
}

/// What a request asks of its service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestKind {
    /// A completion by an engine.
    Prompt {
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Most tokens to generate.
        max_tokens: u64,
        /// Digest of the prompt's first tokens, for prefix affinity.
        prefix: u64,
    },
    /// A call to a plain service.
    Plain {
        /// Whether the call may be repeated without harm.
        idempotent: bool,
        /// Claim that a caller's repeat must meet.
        claim: Option<ids::ClaimKey>,
        /// Digest of method, path and body, the same for a repeat.
        digest: u64,
    },
}

/// A part of a prompt that one engine of a set reads and holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// First token.
    pub from: u64,
    /// Token after the last one.
    pub to: u64,
    /// Whether the engine also generates the answer.
    pub leads: bool,
}

/// What an engine exports of the part of a prompt that it holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvExport {
    /// Attempt under which the part is held.
    pub attempt: ids::AttemptId,
    /// The part.
    pub part: PromptPart,
    /// Digest of the part's tokens.
    pub digest: u64,
}

/// A request as the deciding part sees it: sizes and names, no payload.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestMetadata {
    /// Its id.
    pub id: ids::RequestId,
    /// Service asked for.
    pub service: ids::ServiceId,
    /// Customer on whose behalf it is made.
    pub customer: ids::CustomerId,
    /// What it asks.
    pub kind: RequestKind,
    /// When it must be over.
    pub deadline: time::MonoTime,
}

impl RequestMetadata {
    /// Tokens of engine memory that the request may come to hold.
    pub fn memory_tokens(&self) -> u64 {
        match &self.kind {
            RequestKind::Prompt {
                prompt_tokens,
                max_tokens,
                ..
            } => prompt_tokens + max_tokens,
            RequestKind::Plain { .. } => 0,
        }
    }

    /// The request's size class.
    pub fn class(&self) -> SizeClass {
        match &self.kind {
            RequestKind::Prompt { prompt_tokens, .. } => SizeClass::of(*prompt_tokens),
            RequestKind::Plain { .. } => SizeClass::Short,
        }
    }

    /// Whether the request may be sent to a second endpoint after bytes of it have left.
    pub fn is_retryable(&self) -> bool {
        match &self.kind {
            RequestKind::Prompt { .. } => true,
            RequestKind::Plain { idempotent, .. } => *idempotent,
        }
    }

    /// Digest of what a plain call asks; zero for a prompt.
    pub fn digest(&self) -> u64 {
        match &self.kind {
            RequestKind::Prompt { .. } => 0,
            RequestKind::Plain { digest, .. } => *digest,
        }
    }

    /// The claim that guards the request, if any.
    pub fn claim(&self) -> Option<&ids::ClaimKey> {
        match &self.kind {
            RequestKind::Prompt { .. } => None,
            RequestKind::Plain { claim, .. } => claim.as_ref(),
        }
    }
}
