//! HTTP client of the object API and the host list.

use std::net;
use std::sync;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;
use model::store;

use crate::traffic;
use crate::wire;

/// Longest wait for a reply.
const REPLY_LIMIT: Duration = Duration::from_millis(500);
/// Longest time that an unused connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Unused connections kept to one address.
const IDLE_CONNECTIONS: usize = 2;

/// Why the platform gave no usable reply.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No reply came; the call may or may not have taken effect.
    #[error("no reply from the platform")]
    Lost,
    /// The reply made no sense.
    #[error("the platform replied with status {0}")]
    Status(u16),
    /// The body could not be read.
    #[error("the platform sent an unreadable body")]
    Body(#[from] serde_json::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// An object with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// Version.
    pub version: store::ObjectVersion,
    /// Content.
    pub value: String,
}

/// A client of the object API and the host list.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    object_api: net::SocketAddr,
    host_list: net::SocketAddr,
    http: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>,
    traffic: sync::Arc<traffic::PlatformTraffic>,
    listing: sync::Arc<sync::Mutex<Option<TaggedListing>>>,
}

/// The last host list read, with the tag that the platform gave it.
#[derive(Clone, Debug)]
struct TaggedListing {
    tag: http::HeaderValue,
    listing: wire::HostListing,
}

/// A reply read to its end.
struct RawReply {
    status: http::StatusCode,
    tag: Option<http::HeaderValue>,
    body: bytes::Bytes,
}

/// One call on its way.
struct RawCall {
    kind: traffic::CallKind,
    request: http::request::Builder,
    body: bytes::Bytes,
    limit: Duration,
}

impl RawCall {
    fn new(kind: traffic::CallKind, request: http::request::Builder) -> Self {
        Self {
            kind,
            request,
            body: bytes::Bytes::new(),
            limit: REPLY_LIMIT,
        }
    }
}

impl PlatformClient {
    /// Makes a client. Connects when first used.
    pub fn new(object_api: net::SocketAddr, host_list: net::SocketAddr) -> Self {
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .pool_timer(rt::TokioTimer::new())
            .retry_canceled_requests(false)
            .build_http();
        Self {
            object_api,
            host_list,
            http,
            traffic: sync::Arc::default(),
            listing: sync::Arc::default(),
        }
    }

    /// Calls and bytes of this client and its clones.
    pub fn traffic(&self) -> &sync::Arc<traffic::PlatformTraffic> {
        &self.traffic
    }

    /// Makes a call. A reply that does not come in time, or makes no sense, counts as lost.
    pub async fn call(&self, body: store::StoreCall) -> store::StoreReply {
        match self.try_call(body).await {
            Ok(reply) => reply,
            Err(_) => store::StoreReply::Lost,
        }
    }

    async fn try_call(&self, body: store::StoreCall) -> Result<store::StoreReply> {
        match body {
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
        let reply = self.send(call).await?;
        match reply.status {
            http::StatusCode::NOT_FOUND => Ok(store::StoreReply::Absent),
            http::StatusCode::OK => {
                let object = found(reply)?;
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
        let reply = self.send(call).await?;
        match (reply.status, version_of(&reply)) {
            (http::StatusCode::OK, Some(version)) => Ok(store::StoreReply::Written { version }),
            (http::StatusCode::PRECONDITION_FAILED, _) => Ok(store::StoreReply::Conflict),
            (status, _) => Err(PlatformError::Status(status.as_u16())),
        }
    }

    async fn remove(&self, name: &str) -> Result<store::StoreReply> {
        let request = http::Request::delete(self.object_uri(name));
        let call = RawCall::new(traffic::CallKind::Remove, request);
        let reply = self.send(call).await?;
        match reply.status {
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
        let reply = self.send(call).await?;
        if reply.status != http::StatusCode::OK {
            return Err(PlatformError::Status(reply.status.as_u16()));
        }
        Ok(serde_json::from_slice(&reply.body)?)
    }

    /// Waits until an object is newer than `after`; `None` if that took longer than `wait`.
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
        call.limit = wait + REPLY_LIMIT;
        let reply = self.send(call).await?;
        match reply.status {
            http::StatusCode::NO_CONTENT => Ok(None),
            http::StatusCode::OK => found(reply).map(Some),
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }

    /// Reads the host list. A platform that tags its listings is asked for news only.
    pub async fn hosts(&self) -> Result<wire::HostListing> {
        let uri = format!("http://{}{}", self.host_list, wire::HOSTS_PATH);
        let known = self.known_listing();
        let mut request = http::Request::get(uri);
        if let Some(known) = &known {
            request = request.header(http::header::IF_NONE_MATCH, known.tag.clone());
        }
        let call = RawCall::new(traffic::CallKind::Hosts, request);
        let reply = self.send(call).await?;
        match (reply.status, known) {
            (http::StatusCode::OK, _) => self.keep_listing(&reply),
            (http::StatusCode::NOT_MODIFIED, Some(known)) => Ok(known.listing),
            (status, _) => Err(PlatformError::Status(status.as_u16())),
        }
    }

    fn known_listing(&self) -> Option<TaggedListing> {
        let known = self.listing.lock();
        known.unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    fn keep_listing(&self, reply: &RawReply) -> Result<wire::HostListing> {
        let listing = serde_json::from_slice::<wire::HostListing>(&reply.body)?;
        let tagged = reply.tag.clone().map(|tag| TaggedListing {
            tag,
            listing: listing.clone(),
        });
        let mut known = self
            .listing
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *known = tagged;
        Ok(listing)
    }

    fn object_uri(&self, name: &str) -> String {
        format!("http://{}{}{name}", self.object_api, wire::OBJECTS_PATH)
    }

    async fn send(&self, call: RawCall) -> Result<RawReply> {
        let body_bytes = call.body.len();
        let request = call
            .request
            .body(http_body_util::Full::new(call.body))
            .map_err(|_| PlatformError::Status(0))?;
        let head_bytes = request.uri().to_string().len() + traffic::header_bytes(request.headers());
        self.traffic.add_sent(call.kind, head_bytes + body_bytes);
        let exchange = async {
            let reply = self
                .http
                .request(request)
                .await
                .map_err(|_| PlatformError::Lost)?;
            let status = reply.status();
            let head_bytes = traffic::header_bytes(reply.headers());
            let tag = reply.headers().get(http::header::ETAG).cloned();
            let body = reply
                .into_body()
                .collect()
                .await
                .map_err(|_| PlatformError::Lost)?
                .to_bytes();
            self.traffic
                .add_received(call.kind, head_bytes + body.len());
            Ok(RawReply { status, tag, body })
        };
        tokio::time::timeout(call.limit, exchange)
            .await
            .map_err(|_| PlatformError::Lost)?
    }
}

fn found(reply: RawReply) -> Result<StoredObject> {
    let version = version_of(&reply).ok_or(PlatformError::Status(reply.status.as_u16()))?;
    let value = String::from_utf8(reply.body.to_vec()).map_err(|_| PlatformError::Lost)?;
    Ok(StoredObject { version, value })
}

fn version_of(reply: &RawReply) -> Option<store::ObjectVersion> {
    let text = reply.tag.as_ref()?.to_str().ok()?;
    let number = text.trim_matches('"').parse().ok()?;
    Some(store::ObjectVersion(number))
}
