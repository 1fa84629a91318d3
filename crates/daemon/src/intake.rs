//! Reads callers' requests, and refuses bad input before the state machine sees it.

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use engine::plain;
use engine::wire;
use http_body_util::BodyExt;
use model::config;
use model::ids;
use model::millis;
use model::request;
use settings::daemon;
use tokio::sync::mpsc;

use crate::caller;
use crate::front;
use crate::reply;
use crate::shared;

/// Header that names the service.
const SERVICE_HEADER: &str = "x-service";
/// Header that names the customer.
const CUSTOMER_HEADER: &str = "x-customer";
/// Header with the time allowed, in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Header with the deadline, in milliseconds since 1970.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's key for a call that must not run twice.
const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 255;
/// Tokens at the start of a prompt that make its prefix.
const PREFIX_TOKENS: usize = 256;
/// When to come back after a refusal for lack of room for bodies.
const BODY_RETRY: Duration = Duration::from_secs(1);
/// Headers that concern one hop and are not passed on.
const HOP_HEADERS: [http::HeaderName; 6] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::TE,
    http::header::UPGRADE,
    http::header::CONTENT_LENGTH,
    http::header::TRAILER,
];

/// Result of this module: what was read, or the refusal for the caller.
pub(crate) type Result<T> = std::result::Result<T, reply::FrontRefusal>;

/// A request read in full, with how to answer it.
pub(crate) struct ReadRequest {
    pub arrived: caller::ArrivedRequest,
    pub parts: mpsc::Receiver<caller::CallerPart>,
    pub form: AnswerForm,
}

/// The form of the answer that the caller wants.
pub(crate) enum AnswerForm {
    Stream { model: String },
    Whole { model: String },
    Plain,
}

/// Reads a request in full.
pub(crate) async fn read(
    state: &front::FrontState,
    request: axum::extract::Request,
) -> Result<ReadRequest> {
    let (head, body) = request.into_parts();
    check_headers(&head, &state.limits)?;
    let config = state.shared.config().ok_or_else(not_ready)?;
    let customer = required_header(&head, CUSTOMER_HEADER)?;
    let customer = ids::CustomerId::new(customer);
    if head.uri.path() == wire::COMPLETIONS_PATH {
        if head.method != http::Method::POST {
            return Err(reply::FrontRefusal::new(
                http::StatusCode::METHOD_NOT_ALLOWED,
                "method_not_allowed",
                "completions are asked for with POST",
            ));
        }
        let body = read_body(state, &head, body).await?;
        read_completion(state, &config, &head, customer, body)
    } else {
        let service = find_plain(&config, &head)?;
        let body = read_body(state, &head, body).await?;
        read_plain(state, &config, &head, customer, service, body)
    }
}

/// The refusal of a daemon without a configuration.
pub(crate) fn not_ready() -> reply::FrontRefusal {
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    reply::FrontRefusal::new(status, "not_ready", "no configuration is in force yet")
        .retry_after(BODY_RETRY)
}

fn check_headers(head: &http::request::Parts, limits: &daemon::LimitSettings) -> Result<()> {
    let sizes = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let bytes = sizes.sum::<usize>() + head.uri.to_string().len();
    if bytes <= limits.header_bytes {
        return Ok(());
    }
    Err(reply::FrontRefusal::new(
        http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        "headers_too_large",
        format!(
            "the headers have {bytes} bytes; the limit is {}",
            limits.header_bytes
        ),
    ))
}

fn header<'a>(head: &'a http::request::Parts, name: &'static str) -> Result<Option<&'a str>> {
    let Some(value) = head.headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| reply::FrontRefusal::bad_request("bad_header", format!("{name} is not text")))
}

fn required_header<'a>(head: &'a http::request::Parts, name: &'static str) -> Result<&'a str> {
    header(head, name)?
        .filter(|value| !value.is_empty())
        .ok_or_else(|| {
            reply::FrontRefusal::bad_request("missing_header", format!("{name} is missing"))
        })
}

/// A share of the memory for request bodies, given back when dropped.
#[derive(Debug)]
pub(crate) struct BodyLease {
    shared: sync::Arc<shared::SharedState>,
    bytes: usize,
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.shared
            .body_bytes
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

/// A body with its share of memory.
struct ReadBody {
    bytes: bytes::Bytes,
    lease: BodyLease,
}

async fn read_body(
    state: &front::FrontState,
    head: &http::request::Parts,
    body: axum::body::Body,
) -> Result<ReadBody> {
    let limits = &state.limits;
    let too_large = || {
        let text = format!("the body is larger than {} bytes", limits.body_bytes);
        reply::FrontRefusal::new(http::StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", text)
    };
    let declared = header(head, "content-length")?.and_then(|text| text.parse::<usize>().ok());
    if declared.is_some_and(|bytes| bytes > limits.body_bytes) {
        return Err(too_large());
    }
    let lease = lease_body(state, declared.unwrap_or(limits.body_bytes))?;
    let body = http_body_util::Limited::new(body, limits.body_bytes);
    match tokio::time::timeout(limits.body_read(), body.collect()).await {
        Err(_) => Err(reply::FrontRefusal::new(
            http::StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            "the body did not arrive in time",
        )),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(reply::FrontRefusal::bad_request(
            "body_broken",
            "the body broke off",
        )),
        Ok(Ok(body)) => Ok(ReadBody {
            bytes: body.to_bytes(),
            lease,
        }),
    }
}

fn lease_body(state: &front::FrontState, bytes: usize) -> Result<BodyLease> {
    let before = state
        .shared
        .body_bytes
        .fetch_add(bytes, atomic::Ordering::Relaxed);
    let lease = BodyLease {
        shared: state.shared.clone(),
        bytes,
    };
    if before + bytes <= state.limits.body_pool_bytes {
        return Ok(lease);
    }
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    let refusal =
        reply::FrontRefusal::new(status, "bodies_full", "too many request bodies are held");
    Err(refusal.retry_after(BODY_RETRY))
}

fn read_completion(
    state: &front::FrontState,
    config: &config::FleetConfig,
    head: &http::request::Parts,
    customer: ids::CustomerId,
    body: ReadBody,
) -> Result<ReadRequest> {
    let request = parse_completion(&body.bytes)?;
    if request.max_tokens == 0 || request.max_tokens > state.limits.max_tokens {
        let text = format!("max_tokens must be from 1 to {}", state.limits.max_tokens);
        return Err(reply::FrontRefusal::bad_request("bad_max_tokens", text));
    }
    let found = find_model(config, head, &request.model)?;
    let timeout = read_timeout(state, head, found.timeout_ms)?;
    let kind = request::RequestKind::Prompt {
        prompt_tokens: request.prompt.tokens(found.bytes_per_token).max(1),
        max_tokens: request.max_tokens,
        prefix: prefix_digest(&request.prompt, found.bytes_per_token),
    };
    let model = request.model.clone();
    let form = if request.stream {
        AnswerForm::Stream { model }
    } else {
        AnswerForm::Whole { model }
    };
    let (sender, parts) = mpsc::channel(caller::CALLER_QUEUE);
    let arrived = caller::ArrivedRequest {
        service: found.service,
        customer,
        kind,
        timeout,
        body: caller::RequestBody::Completion(request),
        lease: body.lease,
        parts: sender,
    };
    Ok(ReadRequest {
        arrived,
        parts,
        form,
    })
}

fn parse_completion(body: &[u8]) -> Result<wire::CompletionRequest> {
    serde_json::from_slice(body).map_err(|error| {
        let reason = match error.classify() {
            serde_json::error::Category::Data => "bad_field",
            _ => "bad_json",
        };
        reply::FrontRefusal::bad_request(
            reason,
            format!("the body is not a completion request: {error}"),
        )
    })
}

/// A service that serves a model.
struct FoundModel {
    service: ids::ServiceId,
    timeout_ms: u64,
    bytes_per_token: u32,
}

fn find_model(
    config: &config::FleetConfig,
    head: &http::request::Parts,
    wanted: &str,
) -> Result<FoundModel> {
    let named = header(head, SERVICE_HEADER)?;
    for (name, entry) in &config.services {
        let config::ServiceKind::Model {
            model,
            bytes_per_token,
        } = &entry.kind
        else {
            continue;
        };
        if model == wanted && named.is_none_or(|named| named == name.as_str()) {
            return Ok(FoundModel {
                service: name.clone(),
                timeout_ms: entry.timeout_ms,
                bytes_per_token: *bytes_per_token,
            });
        }
    }
    let text = format!("no service serves the model {wanted:?}");
    Err(reply::FrontRefusal::new(
        http::StatusCode::NOT_FOUND,
        "unknown_model",
        text,
    ))
}

fn prefix_digest(prompt: &wire::PromptBody, bytes_per_token: u32) -> u64 {
    match prompt {
        wire::PromptBody::Text(text) => {
            let bytes = text.as_bytes();
            let length = bytes.len().min(PREFIX_TOKENS * bytes_per_token as usize);
            xxhash_rust::xxh3::xxh3_64(&bytes[..length])
        }
        wire::PromptBody::Tokens(tokens) => {
            let mut hasher = xxhash_rust::xxh3::Xxh3::new();
            for token in tokens.iter().take(PREFIX_TOKENS) {
                hasher.update(&token.to_le_bytes());
            }
            hasher.digest()
        }
    }
}

fn read_timeout(
    state: &front::FrontState,
    head: &http::request::Parts,
    usual_ms: u64,
) -> Result<Duration> {
    let most = state.limits.timeout_ms;
    let millis = if let Some(text) = header(head, TIMEOUT_HEADER)? {
        parse_millis(TIMEOUT_HEADER, text)?
    } else if let Some(text) = header(head, DEADLINE_HEADER)? {
        let deadline = parse_millis(DEADLINE_HEADER, text)?;
        let left = deadline
            .checked_sub(millis::since_epoch())
            .filter(|left| *left > 0);
        left.ok_or_else(|| {
            reply::FrontRefusal::bad_request("bad_deadline", "the deadline is past")
        })?
    } else {
        usual_ms.min(most)
    };
    if millis == 0 || millis > most {
        let text = format!("the time allowed must be from 1 to {most} ms");
        return Err(reply::FrontRefusal::bad_request("bad_deadline", text));
    }
    Ok(Duration::from_millis(millis))
}

fn parse_millis(name: &str, text: &str) -> Result<u64> {
    let error = || {
        let text = format!("{name} must be a whole number of milliseconds above zero");
        reply::FrontRefusal::bad_request("bad_deadline", text)
    };
    text.trim().parse().map_err(|_| error())
}

fn find_plain(config: &config::FleetConfig, head: &http::request::Parts) -> Result<ids::ServiceId> {
    let named = header(head, SERVICE_HEADER)?;
    let path = head.uri.path();
    let plain = config
        .services
        .iter()
        .filter_map(|(name, entry)| match &entry.kind {
            config::ServiceKind::Plain { path_prefix } => Some((name, path_prefix)),
            config::ServiceKind::Model { .. } => None,
        });
    let fitting = plain.filter(|(name, prefix)| match named {
        Some(named) => named == name.as_str(),
        None => path.starts_with(prefix.as_str()),
    });
    let longest = fitting.max_by_key(|(_, prefix)| prefix.len());
    longest.map(|(name, _)| name.clone()).ok_or_else(|| {
        let text = format!("no service takes calls to {path}");
        reply::FrontRefusal::new(http::StatusCode::NOT_FOUND, "unknown_service", text)
    })
}

fn read_plain(
    state: &front::FrontState,
    config: &config::FleetConfig,
    head: &http::request::Parts,
    customer: ids::CustomerId,
    service: ids::ServiceId,
    body: ReadBody,
) -> Result<ReadRequest> {
    let Some(entry) = config.services.get(&service) else {
        return Err(not_ready());
    };
    let key = header(head, KEY_HEADER)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > KEY_BYTES) {
        let text = format!("{KEY_HEADER} must have from 1 to {KEY_BYTES} bytes");
        return Err(reply::FrontRefusal::bad_request(
            "bad_idempotency_key",
            text,
        ));
    }
    let claim = key.map(|key| ids::ClaimKey::digest(&service, &customer, key));
    let idempotent = claim.is_none() && is_idempotent(entry, head);
    let timeout = read_timeout(state, head, entry.timeout_ms)?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let digest = call_digest(head, &body.bytes);
    let call = plain::PlainCall {
        method: head.method.clone(),
        path: path.to_owned(),
        headers: passed_headers(&head.headers),
        body: body.bytes,
    };
    let (sender, parts) = mpsc::channel(caller::CALLER_QUEUE);
    let arrived = caller::ArrivedRequest {
        service,
        customer,
        kind: request::RequestKind::Plain {
            idempotent,
            claim,
            digest,
        },
        timeout,
        body: caller::RequestBody::Plain(call),
        lease: body.lease,
        parts: sender,
    };
    Ok(ReadRequest {
        arrived,
        parts,
        form: AnswerForm::Plain,
    })
}

/// Digest of what a call asks, by which a repeat is told from another call under its key.
fn call_digest(head: &http::request::Parts, body: &[u8]) -> u64 {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [head.method.as_str().as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

fn is_idempotent(entry: &config::ServiceEntry, head: &http::request::Parts) -> bool {
    let path = head.uri.path();
    let method = head.method.as_str();
    let ruled = entry
        .non_idempotent
        .iter()
        .any(|rule| rule.method == method && path.starts_with(&rule.path));
    head.method.is_idempotent() && !ruled
}

/// Headers that are passed on, without those of one hop.
pub(crate) fn passed_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut passed = headers.clone();
    for name in &HOP_HEADERS {
        passed.remove(name);
    }
    passed
}
