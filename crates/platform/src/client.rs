//! HTTP client of the object API and the host list.

use std::net;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;
use model::store;

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
}

/// A reply read to its end.
struct RawReply {
    status: http::StatusCode,
    version: Option<store::ObjectVersion>,
    body: bytes::Bytes,
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
        }
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
        let reply = self
            .send(http::Request::get(uri), bytes::Bytes::new(), REPLY_LIMIT)
            .await?;
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
        let reply = self
            .send(request, bytes::Bytes::from(value), REPLY_LIMIT)
            .await?;
        match (reply.status, reply.version) {
            (http::StatusCode::OK, Some(version)) => Ok(store::StoreReply::Written { version }),
            (http::StatusCode::PRECONDITION_FAILED, _) => Ok(store::StoreReply::Conflict),
            (status, _) => Err(PlatformError::Status(status.as_u16())),
        }
    }

    async fn remove(&self, name: &str) -> Result<store::StoreReply> {
        let request = http::Request::delete(self.object_uri(name));
        let reply = self.send(request, bytes::Bytes::new(), REPLY_LIMIT).await?;
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
        let reply = self
            .send(http::Request::get(uri), bytes::Bytes::new(), REPLY_LIMIT)
            .await?;
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
        let limit = wait + REPLY_LIMIT;
        let reply = self
            .send(http::Request::get(uri), bytes::Bytes::new(), limit)
            .await?;
        match reply.status {
            http::StatusCode::NO_CONTENT => Ok(None),
            http::StatusCode::OK => found(reply).map(Some),
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }

    /// Reads the host list.
    pub async fn hosts(&self) -> Result<wire::HostListing> {
        let uri = format!("http://{}{}", self.host_list, wire::HOSTS_PATH);
        let reply = self
            .send(http::Request::get(uri), bytes::Bytes::new(), REPLY_LIMIT)
            .await?;
        if reply.status != http::StatusCode::OK {
            return Err(PlatformError::Status(reply.status.as_u16()));
        }
        Ok(serde_json::from_slice(&reply.body)?)
    }

    fn object_uri(&self, name: &str) -> String {
        format!("http://{}{}{name}", self.object_api, wire::OBJECTS_PATH)
    }

    async fn send(
        &self,
        request: http::request::Builder,
        body: bytes::Bytes,
        limit: Duration,
    ) -> Result<RawReply> {
        let request = request
            .body(http_body_util::Full::new(body))
            .map_err(|_| PlatformError::Status(0))?;
        let exchange = async {
            let reply = self
                .http
                .request(request)
                .await
                .map_err(|_| PlatformError::Lost)?;
            let status = reply.status();
            let version = version_of(reply.headers());
            let body = reply
                .into_body()
                .collect()
                .await
                .map_err(|_| PlatformError::Lost)?;
            Ok(RawReply {
                status,
                version,
                body: body.to_bytes(),
            })
        };
        tokio::time::timeout(limit, exchange)
            .await
            .map_err(|_| PlatformError::Lost)?
    }
}

fn found(reply: RawReply) -> Result<StoredObject> {
    let version = reply
        .version
        .ok_or(PlatformError::Status(reply.status.as_u16()))?;
    let value = String::from_utf8(reply.body.to_vec()).map_err(|_| PlatformError::Lost)?;
    Ok(StoredObject { version, value })
}

fn version_of(headers: &http::HeaderMap) -> Option<store::ObjectVersion> {
    let text = headers.get(http::header::ETAG)?.to_str().ok()?;
    let number = text.trim_matches('"').parse().ok()?;
    Some(store::ObjectVersion(number))
}
