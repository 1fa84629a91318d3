//! Operators' calls to the daemons' admin ports.

use std::net;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;
use model::config;
use model::ids;
use serde::{Deserialize, Serialize};

use crate::client;

/// Longest wait for a daemon.
const REPLY_LIMIT: Duration = Duration::from_secs(2);

/// What a daemon says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DaemonStatus {
    /// Its host.
    pub host: ids::HostId,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Version of the configuration in force.
    pub version: config::ConfigVersion,
    /// Requests in flight.
    pub in_flight: usize,
    /// Endpoints that it keeps.
    pub kept: Vec<KeptStatus>,
}

/// What a daemon says of an endpoint that it keeps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeptStatus {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Requests that it may carry now.
    pub carry: u32,
    /// Requests that it is taken to carry.
    pub used_slots: u32,
    /// Tokens that it is taken to hold.
    pub used_tokens: u64,
}

/// A configuration that the object API accepted.
#[derive(Clone, Debug, Serialize)]
pub struct AcceptedConfig<'a> {
    /// Its version.
    pub version: config::ConfigVersion,
    /// The configuration.
    pub config: &'a config::FleetConfig,
}

/// A client of the daemons' admin ports.
#[derive(Clone, Debug)]
pub struct DaemonClient {
    http: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>,
}

impl Default for DaemonClient {
    fn default() -> Self {
        let http = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        Self { http }
    }
}

impl DaemonClient {
    /// Hands a daemon a configuration that was accepted.
    pub async fn push(
        &self,
        address: net::SocketAddr,
        accepted: &AcceptedConfig<'_>,
    ) -> client::Result<()> {
        let body = serde_json::to_vec(accepted)?;
        let request = http::Request::post(format!("http://{address}/config"))
            .header(http::header::CONTENT_TYPE, "application/json");
        self.exchange(request, body.into()).await?;
        Ok(())
    }

    /// Asks a daemon for its status.
    pub async fn status(&self, address: net::SocketAddr) -> client::Result<DaemonStatus> {
        let request = http::Request::get(format!("http://{address}/status"));
        let body = self.exchange(request, bytes::Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn exchange(
        &self,
        request: http::request::Builder,
        body: bytes::Bytes,
    ) -> client::Result<bytes::Bytes> {
        let request = request
            .body(http_body_util::Full::new(body))
            .map_err(|_| client::PlatformError::Lost)?;
        let exchange = async {
            let reply = self.http.request(request).await;
            let reply = reply.map_err(|_| client::PlatformError::Lost)?;
            if !reply.status().is_success() {
                return Err(client::PlatformError::Status(reply.status().as_u16()));
            }
            let body = reply.into_body().collect().await;
            Ok(body.map_err(|_| client::PlatformError::Lost)?.to_bytes())
        };
        tokio::time::timeout(REPLY_LIMIT, exchange)
            .await
            .map_err(|_| client::PlatformError::Lost)?
    }
}
