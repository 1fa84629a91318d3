//! HTTP client for the object API and the host list.

use std::net;
use std::sync;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;
use model::store;

use crate::traffic;
use crate::wire;

/// Maximum length of a response, bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Timeout of a call, without the wait of a watch.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Errors of a call to the platform or to a daemon.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No response arrived; the call may or may not have taken effect.
    #[error("no response from the platform")]
    NoResponse,
    /// The response is longer than any that the platform or a daemon may send.
    #[error("response longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// The status, or a header that must come with it, is not valid for the call.
    #[error("unexpected response from the platform with status {0}")]
    Status(u16),
    /// The body could not be parsed.
    #[error("the platform sent an invalid body")]
    InvalidBody(#[from] serde_json::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// An object with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// Version of the object.
    pub version: store::ObjectVersion,
    /// Content of the object.
    pub value: String,
}

/// Client of the object API and the host list. Clones share connections, counters and the cached
/// host list.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    object_api: net::SocketAddr,
    host_list: net::SocketAddr,
    http: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>,
    traffic: sync::Arc<traffic::PlatformTraffic>,
    cached_listing: sync::Arc<sync::Mutex<Option<CachedListing>>>,
}

/// Last host list that was read, with its entity tag.
#[derive(Clone, Debug)]
struct CachedListing {
    etag: http::HeaderValue,
    listing: wire::HostListing,
}

/// Response with its complete body.
struct RawResponse {
    status: http::StatusCode,
    etag: Option<http::HeaderValue>,
    body: bytes::Bytes,
}

/// A call to send.
struct RawCall {
    kind: traffic::CallKind,
    request: http::request::Builder,
    body: bytes::Bytes,
    timeout: Duration,
}

impl RawCall {
    fn new(kind: traffic::CallKind, request: http::request::Builder) -> Self {
        Self {
            kind,
            request,
            body: bytes::Bytes::new(),
            timeout: RESPONSE_TIMEOUT,
        }
    }
}

impl PlatformClient {
    /// Creates a client, which connects when it is first used.
    pub fn new(object_api: net::SocketAddr, host_list: net::SocketAddr) -> Self {
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .pool_timer(rt::TokioTimer::new())
            .retry_canceled_requests(false)
            .build_http();
        Self {
            object_api,
            host_list,
            http,
            traffic: sync::Arc::default(),
            cached_listing: sync::Arc::default(),
        }
    }

    /// Returns the counters of this client and its clones.
    pub fn traffic(&self) -> &sync::Arc<traffic::PlatformTraffic> {
        &self.traffic
    }

    /// Sends a call. Returns [`store::StoreReply::Lost`] if no response arrives in time or if the
    /// response is not valid.
    pub async fn call(&self, call: store::StoreCall) -> store::StoreReply {
        match self.try_call(call).await {
            Ok(reply) => reply,
            Err(_) => store::StoreReply::Lost,
        }
    }

    async fn try_call(&self, call: store::StoreCall) -> Result<store::StoreReply> {
        match call {
            store::StoreCall::Read { name } => self.read(&name).await,
            store::StoreCall::Write {
                name,
                expected,
                value,
            } => self.write(&name, expected, value).await,
            store::StoreCall::Remove { name } => self.remove(&name).await,
        }
    }

    async fn read(&self, name: &str) -> Result<store::StoreReply> {
        let uri = self.object_uri(name);
        let call = RawCall::new(traffic::CallKind::Read, http::Request::get(uri));
        let response = self.send(call).await?;
        match response.status {
            http::StatusCode::NOT_FOUND => Ok(store::StoreReply::Absent),
            http::StatusCode::OK => {
                let object = parse_object(response)?;
                Ok(store::StoreReply::Found {
                    version: object.version,
                    value: object.value,
                })
            }
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }

    async fn write(
        &self,
        name: &str,
        expected: store::ObjectVersion,
        value: String,
    ) -> Result<store::StoreReply> {
        let request = http::Request::put(self.object_uri(name));
        let request = if expected == store::ObjectVersion::ABSENT {
            request.header(http::header::IF_NONE_MATCH, "*")
        } else {
            request.header(http::header::IF_MATCH, format!("\"{}\"", expected.0))
        };
        let mut call = RawCall::new(traffic::CallKind::Write, request);
        call.body = bytes::Bytes::from(value);
        let response = self.send(call).await?;
        match (response.status, parse_version(&response)) {
            (http::StatusCode::OK, Some(version)) => Ok(store::StoreReply::Written { version }),
            (http::StatusCode::PRECONDITION_FAILED, _) => Ok(store::StoreReply::Conflict),
            (status, _) => Err(PlatformError::Status(status.as_u16())),
        }
    }

    async fn remove(&self, name: &str) -> Result<store::StoreReply> {
        let request = http::Request::delete(self.object_uri(name));
        let call = RawCall::new(traffic::CallKind::Remove, request);
        let response = self.send(call).await?;
        match response.status {
            http::StatusCode::OK | http::StatusCode::NOT_FOUND => Ok(store::StoreReply::Absent),
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }

    /// Lists the objects whose names start with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<wire::ListedObject>> {
        let uri = format!(
            "http://{}{}?prefix={prefix}",
            self.object_api,
            wire::OBJECTS_PATH
        );
        let call = RawCall::new(traffic::CallKind::List, http::Request::get(uri));
        let response = self.send(call).await?;
        if response.status != http::StatusCode::OK {
            return Err(PlatformError::Status(response.status.as_u16()));
        }
        Ok(serde_json::from_slice(&response.body)?)
    }

    /// Waits until the version of an object is newer than `after`. Returns `None` if that takes
    /// longer than `wait`.
    pub async fn watch(
        &self,
        name: &str,
        after: store::ObjectVersion,
        wait: Duration,
    ) -> Result<Option<StoredObject>> {
        let uri = format!(
            "http://{}{}{name}?after={}&wait_ms={}",
            self.object_api,
            wire::WATCH_PATH,
            after.0,
            wait.as_millis()
        );
        let mut call = RawCall::new(traffic::CallKind::Watch, http::Request::get(uri));
        call.timeout = wait + RESPONSE_TIMEOUT;
        let response = self.send(call).await?;
        match response.status {
            http::StatusCode::NO_CONTENT => Ok(None),
            http::StatusCode::OK => parse_object(response).map(Some),
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }

    /// Reads the host list. If the platform sent an entity tag with the last one, the request is
    /// conditional, and an unchanged list comes from the cache.
    pub async fn hosts(&self) -> Result<wire::HostListing> {
        let uri = format!("http://{}{}", self.host_list, wire::HOSTS_PATH);
        let cached = self.cached_listing();
        let mut request = http::Request::get(uri);
        if let Some(cached) = &cached {
            request = request.header(http::header::IF_NONE_MATCH, cached.etag.clone());
        }
        let call = RawCall::new(traffic::CallKind::Hosts, request);
        let response = self.send(call).await?;
        match (response.status, cached) {
            (http::StatusCode::OK, _) => self.cache_listing(&response),
            (http::StatusCode::NOT_MODIFIED, Some(cached)) => Ok(cached.listing),
            (status, _) => Err(PlatformError::Status(status.as_u16())),
        }
    }

    fn cached_listing(&self) -> Option<CachedListing> {
        let cached = self.cached_listing.lock();
        cached.unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    fn cache_listing(&self, response: &RawResponse) -> Result<wire::HostListing> {
        let listing = serde_json::from_slice::<wire::HostListing>(&response.body)?;
        let tagged = response.etag.clone().map(|etag| CachedListing {
            etag,
            listing: listing.clone(),
        });
        let mut cached = self
            .cached_listing
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *cached = tagged;
        Ok(listing)
    }

    fn object_uri(&self, name: &str) -> String {
        format!("http://{}{}{name}", self.object_api, wire::OBJECTS_PATH)
    }

    async fn send(&self, call: RawCall) -> Result<RawResponse> {
        let body_bytes = call.body.len();
        let request = call
            .request
            .body(http_body_util::Full::new(call.body))
            .map_err(|_| PlatformError::Status(0))?;
        let head_bytes = request.uri().to_string().len() + traffic::header_bytes(request.headers());
        self.traffic.add_sent(call.kind, head_bytes + body_bytes);
        let exchange = async {
            let response = self
                .http
                .request(request)
                .await
                .map_err(|_| PlatformError::NoResponse)?;
            let status = response.status();
            let head_bytes = traffic::header_bytes(response.headers());
            let etag = response.headers().get(http::header::ETAG).cloned();
            let body = read_body(response).await?;
            self.traffic
                .add_received(call.kind, head_bytes + body.len());
            Ok(RawResponse { status, etag, body })
        };
        tokio::time::timeout(call.timeout, exchange)
            .await
            .map_err(|_| PlatformError::NoResponse)?
    }
}

/// Reads the body of a response of limited length.
pub(crate) async fn read_body(
    response: http::Response<hyper::body::Incoming>,
) -> Result<bytes::Bytes> {
    let body = http_body_util::Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|error| {
        match error.is::<http_body_util::LengthLimitError>() {
            true => PlatformError::TooLong,
            false => PlatformError::NoResponse,
        }
    })?;
    Ok(body.to_bytes())
}

fn parse_object(response: RawResponse) -> Result<StoredObject> {
    let version =
        parse_version(&response).ok_or(PlatformError::Status(response.status.as_u16()))?;
    let value = String::from_utf8(response.body.to_vec()).map_err(|_| PlatformError::NoResponse)?;
    Ok(StoredObject { version, value })
}

fn parse_version(response: &RawResponse) -> Option<store::ObjectVersion> {
    let text = response.etag.as_ref()?.to_str().ok()?;
    let number = text.trim_matches('"').parse().ok()?;
    Some(store::ObjectVersion(number))
}
