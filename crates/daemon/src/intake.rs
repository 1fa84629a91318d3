//! Reads and validates client requests; invalid ones are refused before they reach the state
//! machine.

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

use crate::frontend;
use crate::request_channel;
use crate::responses;
use crate::shared;

/// Header with the name of the service.
const SERVICE_HEADER: &str = "x-service";
/// Header with the name of the customer.
const CUSTOMER_HEADER: &str = "x-customer";
/// Header with the timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Header with the deadline, in milliseconds since the Unix epoch (1970).
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the client's idempotency key, for a call that must not run twice.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Number of tokens at the start of a prompt that are hashed as its prefix.
const PREFIX_TOKENS: usize = 256;
/// Retry delay sent when the memory for request bodies is exhausted or no configuration is in
/// force.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [http::HeaderName; 6] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::TE,
    http::header::UPGRADE,
    http::header::CONTENT_LENGTH,
    http::header::TRAILER,
];

/// Result of this module: the value read, or the refusal to send to the client.
pub(crate) type Result<T> = std::result::Result<T, responses::RequestRefusal>;

/// A request read in full, with the channel and format of its response.
pub(crate) struct ParsedRequest {
    pub incoming: request_channel::IncomingRequest,
    pub response_messages: mpsc::Receiver<request_channel::ResponseMessage>,
    pub format: ResponseFormat,
}

/// Format of the response that the client requested.
pub(crate) enum ResponseFormat {
    Stream { model: String },
    Complete { model: String },
    Plain,
}

/// Reads and validates a request in full.
pub(crate) async fn read(
    state: &frontend::FrontendState,
    request: axum::extract::Request,
) -> Result<ParsedRequest> {
    let (head, body) = request.into_parts();
    check_headers(&head, &state.limits)?;
    let config = state.shared.config().ok_or_else(not_ready)?;
    let customer = required_header(&head, CUSTOMER_HEADER)?;
    let customer = ids::CustomerId::new(customer);
    if head.uri.path() == wire::COMPLETIONS_PATH {
        if head.method != http::Method::POST {
            return Err(responses::RequestRefusal::new(
                http::StatusCode::METHOD_NOT_ALLOWED,
                "method_not_allowed",
                "completions are asked for with POST",
            ));
        }
        let body = read_body(state, &head, body).await?;
        read_completion(state, &config, &head, customer, body)
    } else {
        let service = find_plain_service(&config, &head)?;
        let body = read_body(state, &head, body).await?;
        read_plain_request(state, &config, &head, customer, service, body)
    }
}

/// Returns the refusal sent if no configuration is in force or the driver has ended.
pub(crate) fn not_ready() -> responses::RequestRefusal {
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    responses::RequestRefusal::new(status, "not_ready", "no configuration is in force yet")
        .retry_after(RETRY_AFTER)
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
    Err(responses::RequestRefusal::new(
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
    text.map(Some).map_err(|_| {
        responses::RequestRefusal::bad_request("bad_header", format!("{name} is not text"))
    })
}

fn required_header<'a>(head: &'a http::request::Parts, name: &'static str) -> Result<&'a str> {
    header(head, name)?
        .filter(|value| !value.is_empty())
        .ok_or_else(|| {
            responses::RequestRefusal::bad_request("missing_header", format!("{name} is missing"))
        })
}

/// Reservation of memory for a request body, released on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    shared: sync::Arc<shared::SharedState>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.shared
            .body_bytes
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

/// A request body with its memory reservation.
struct BufferedBody {
    bytes: bytes::Bytes,
    reservation: BodyReservation,
}

async fn read_body(
    state: &frontend::FrontendState,
    head: &http::request::Parts,
    body: axum::body::Body,
) -> Result<BufferedBody> {
    let limits = &state.limits;
    let too_large = || {
        let text = format!("the body is larger than {} bytes", limits.body_bytes);
        responses::RequestRefusal::new(http::StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", text)
    };
    let declared = header(head, "content-length")?.and_then(|text| text.parse::<usize>().ok());
    if declared.is_some_and(|bytes| bytes > limits.body_bytes) {
        return Err(too_large());
    }
    let reservation = reserve_body_memory(state, declared.unwrap_or(limits.body_bytes))?;
    let body = http_body_util::Limited::new(body, limits.body_bytes);
    match tokio::time::timeout(limits.body_read(), body.collect()).await {
        Err(_) => Err(responses::RequestRefusal::new(
            http::StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            "the body did not arrive in time",
        )),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(responses::RequestRefusal::bad_request(
            "body_broken",
            "the body broke off",
        )),
        Ok(Ok(body)) => Ok(BufferedBody {
            bytes: body.to_bytes(),
            reservation,
        }),
    }
}

fn reserve_body_memory(state: &frontend::FrontendState, bytes: usize) -> Result<BodyReservation> {
    let reserved_bytes = state
        .shared
        .body_bytes
        .fetch_add(bytes, atomic::Ordering::Relaxed);
    let reservation = BodyReservation {
        shared: state.shared.clone(),
        bytes,
    };
    if reserved_bytes + bytes <= state.limits.body_pool_bytes {
        return Ok(reservation);
    }
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    let refusal =
        responses::RequestRefusal::new(status, "bodies_full", "too many request bodies are held");
    Err(refusal.retry_after(RETRY_AFTER))
}

fn read_completion(
    state: &frontend::FrontendState,
    config: &config::FleetConfig,
    head: &http::request::Parts,
    customer: ids::CustomerId,
    body: BufferedBody,
) -> Result<ParsedRequest> {
    let request = parse_completion(&body.bytes)?;
    if request.max_tokens == 0 || request.max_tokens > state.limits.max_tokens {
        let text = format!("max_tokens must be from 1 to {}", state.limits.max_tokens);
        return Err(responses::RequestRefusal::bad_request(
            "bad_max_tokens",
            text,
        ));
    }
    let model_service = find_model_service(config, head, &request.model)?;
    let timeout = parse_timeout(state, head, model_service.timeout_ms)?;
    let kind = request::RequestKind::Prompt {
        prompt_tokens: request
            .prompt
            .token_count(model_service.bytes_per_token)
            .max(1),
        max_tokens: request.max_tokens,
        prefix: prefix_digest(&request.prompt, model_service.bytes_per_token),
    };
    let model = request.model.clone();
    let format = if request.stream {
        ResponseFormat::Stream { model }
    } else {
        ResponseFormat::Complete { model }
    };
    let (sender, response_messages) = mpsc::channel(request_channel::RESPONSE_QUEUE_LEN);
    let incoming = request_channel::IncomingRequest {
        service: model_service.service,
        customer,
        kind,
        timeout,
        content: request_channel::RequestContent::Completion(request),
        reservation: body.reservation,
        response_messages: sender,
    };
    Ok(ParsedRequest {
        incoming,
        response_messages,
        format,
    })
}

fn parse_completion(body: &[u8]) -> Result<wire::CompletionRequest> {
    serde_json::from_slice(body).map_err(|error| {
        let reason = match error.classify() {
            serde_json::error::Category::Data => "bad_field",
            _ => "bad_json",
        };
        responses::RequestRefusal::bad_request(
            reason,
            format!("the body is not a completion request: {error}"),
        )
    })
}

/// The service that serves a model, with the settings needed to validate a request.
struct ModelService {
    service: ids::ServiceId,
    timeout_ms: u64,
    bytes_per_token: u32,
}

fn find_model_service(
    config: &config::FleetConfig,
    head: &http::request::Parts,
    model_name: &str,
) -> Result<ModelService> {
    let requested_service = header(head, SERVICE_HEADER)?;
    for (name, entry) in &config.services {
        let config::ServiceKind::Model {
            model,
            bytes_per_token,
        } = &entry.kind
        else {
            continue;
        };
        if model == model_name
            && requested_service.is_none_or(|requested_service| requested_service == name.as_str())
        {
            return Ok(ModelService {
                service: name.clone(),
                timeout_ms: entry.timeout_ms,
                bytes_per_token: *bytes_per_token,
            });
        }
    }
    let text = format!("no service serves the model {model_name:?}");
    Err(responses::RequestRefusal::new(
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

fn parse_timeout(
    state: &frontend::FrontendState,
    head: &http::request::Parts,
    default_ms: u64,
) -> Result<Duration> {
    let max_ms = state.limits.timeout_ms;
    let millis = if let Some(text) = header(head, TIMEOUT_HEADER)? {
        parse_millis(TIMEOUT_HEADER, text)?
    } else if let Some(text) = header(head, DEADLINE_HEADER)? {
        let deadline = parse_millis(DEADLINE_HEADER, text)?;
        let remaining = deadline
            .checked_sub(millis::since_epoch())
            .filter(|remaining| *remaining > 0);
        remaining.ok_or_else(|| {
            responses::RequestRefusal::bad_request("bad_deadline", "the deadline is past")
        })?
    } else {
        default_ms.min(max_ms)
    };
    if millis == 0 || millis > max_ms {
        let text = format!("the time allowed must be from 1 to {max_ms} ms");
        return Err(responses::RequestRefusal::bad_request("bad_deadline", text));
    }
    Ok(Duration::from_millis(millis))
}

fn parse_millis(name: &str, text: &str) -> Result<u64> {
    let refusal = || {
        let text = format!("{name} must be a whole number of milliseconds above zero");
        responses::RequestRefusal::bad_request("bad_deadline", text)
    };
    text.trim().parse().map_err(|_| refusal())
}

fn find_plain_service(
    config: &config::FleetConfig,
    head: &http::request::Parts,
) -> Result<ids::ServiceId> {
    let requested_service = header(head, SERVICE_HEADER)?;
    let path = head.uri.path();
    let plain_services = config
        .services
        .iter()
        .filter_map(|(name, entry)| match &entry.kind {
            config::ServiceKind::Plain { path_prefix } => Some((name, path_prefix)),
            config::ServiceKind::Model { .. } => None,
        });
    let matching = plain_services.filter(|(name, prefix)| match requested_service {
        Some(requested_service) => requested_service == name.as_str(),
        None => path.starts_with(prefix.as_str()),
    });
    let longest = matching.max_by_key(|(_, prefix)| prefix.len());
    longest.map(|(name, _)| name.clone()).ok_or_else(|| {
        let text = format!("no service takes calls to {path}");
        responses::RequestRefusal::new(http::StatusCode::NOT_FOUND, "unknown_service", text)
    })
}

fn read_plain_request(
    state: &frontend::FrontendState,
    config: &config::FleetConfig,
    head: &http::request::Parts,
    customer: ids::CustomerId,
    service: ids::ServiceId,
    body: BufferedBody,
) -> Result<ParsedRequest> {
    let Some(entry) = config.services.get(&service) else {
        return Err(not_ready());
    };
    let key = header(head, IDEMPOTENCY_KEY_HEADER)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        let text = format!("{IDEMPOTENCY_KEY_HEADER} must have from 1 to {MAX_KEY_BYTES} bytes");
        return Err(responses::RequestRefusal::bad_request(
            "bad_idempotency_key",
            text,
        ));
    }
    let claim = key.map(|key| ids::ClaimKey::digest(&service, &customer, key));
    let idempotent = claim.is_none() && is_idempotent(entry, head);
    let timeout = parse_timeout(state, head, entry.timeout_ms)?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let digest = call_digest(head, &body.bytes);
    let call = plain::PlainCall {
        method: head.method.clone(),
        path: path.to_owned(),
        headers: forwarded_headers(&head.headers),
        body: body.bytes,
    };
    let (sender, response_messages) = mpsc::channel(request_channel::RESPONSE_QUEUE_LEN);
    let incoming = request_channel::IncomingRequest {
        service,
        customer,
        kind: request::RequestKind::Plain {
            idempotent,
            claim,
            digest,
        },
        timeout,
        content: request_channel::RequestContent::Plain(call),
        reservation: body.reservation,
        response_messages: sender,
    };
    Ok(ParsedRequest {
        incoming,
        response_messages,
        format: ResponseFormat::Plain,
    })
}

/// Returns a digest of the method, path and body, which distinguishes a retry from a different
/// call under the same idempotency key.
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
    let has_exception = entry
        .non_idempotent
        .iter()
        .any(|rule| rule.method == method && path.starts_with(&rule.path));
    head.method.is_idempotent() && !has_exception
}

/// Returns the headers to forward: all except the hop-by-hop ones.
pub(crate) fn forwarded_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut forwarded = headers.clone();
    for name in &HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
