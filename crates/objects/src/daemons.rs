//! Client of the daemons' admin ports.

use std::net;
use std::time::Duration;

use hyper_util::client::legacy;
use hyper_util::rt;
use model::config;
use model::ids;
use serde::{Deserialize, Serialize};

use crate::client;

/// Timeout of a call to a daemon.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Status that a daemon reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DaemonStatus {
    /// Host of the daemon.
    pub host: ids::HostId,
    /// Whether the daemon accepts new requests.
    pub ready: bool,
    /// Version of the configuration in force.
    pub version: config::ConfigVersion,
    /// Requests in flight.
    pub in_flight: usize,
    /// Endpoints that the daemon coordinates.
    #[serde(rename = "kept")]
    pub coordinated: Vec<CoordinatedStatus>,
}

/// Status of an endpoint, reported by its coordinator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CoordinatedStatus {
    /// Id of the endpoint.
    pub endpoint: ids::EndpointId,
    /// Concurrent requests currently allowed.
    #[serde(rename = "carry")]
    pub concurrency_limit: u32,
    /// Estimated number of requests on the endpoint.
    pub used_slots: u32,
    /// Estimated engine memory in use, in tokens.
    pub used_tokens: u64,
}

/// A configuration that was written to the object API, as pushed to daemons.
#[derive(Clone, Debug, Serialize)]
pub struct AcceptedConfig<'a> {
    /// Version of the object that holds it.
    pub version: config::ConfigVersion,
    /// The configuration.
    pub config: &'a config::FleetConfig,
}

/// Client of the daemons' admin ports.
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
    /// Sends an accepted configuration to a daemon.
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

    /// Requests the status of a daemon.
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
            .map_err(|_| client::PlatformError::NoResponse)?;
        let exchange = async {
            let response = self.http.request(request).await;
            let response = response.map_err(|_| client::PlatformError::NoResponse)?;
            if !response.status().is_success() {
                return Err(client::PlatformError::Status(response.status().as_u16()));
            }
            client::read_body(response).await
        };
        tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
            .await
            .map_err(|_| client::PlatformError::NoResponse)?
    }
}
