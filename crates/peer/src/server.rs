//! Receives messages from other daemons.

use std::net;
use std::sync;

use jsonrpsee::server;
use jsonrpsee::types;
use model::peer;
use tokio::sync::mpsc;

use crate::traffic;

/// Name of the method that takes messages.
pub(crate) const DELIVER_METHOD: &str = "peer_deliver";
/// Most connections from peers.
const MOST_CONNECTIONS: u32 = 1_024;
/// Largest call, in bytes.
const CALL_BYTES: u32 = 4 << 20;

/// Why the server could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The address could not be bound.
    #[error("cannot listen for peers on {address}")]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// The method could not be registered.
    #[error("cannot register the peer method")]
    Register(#[from] jsonrpsee::core::RegisterMethodError),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Listens for messages and passes them to `inbox`. Ends when the handle is dropped.
pub async fn serve(
    address: net::SocketAddr,
    inbox: mpsc::Sender<peer::PeerEnvelope>,
    traffic: sync::Arc<traffic::PeerTraffic>,
) -> Result<server::ServerHandle> {
    let config = server::ServerConfig::builder()
        .max_connections(MOST_CONNECTIONS)
        .max_request_body_size(CALL_BYTES)
        .build();
    let server = server::Server::builder()
        .set_config(config)
        .build(address)
        .await;
    let server = server.map_err(|source| ServerError::Bind { address, source })?;
    let mut module = server::RpcModule::new(inbox);
    module.register_async_method(DELIVER_METHOD, move |params, inbox, _| {
        let traffic = traffic.clone();
        async move { deliver(&params, &inbox, &traffic).await }
    })?;
    Ok(server.start(module))
}

async fn deliver(
    params: &types::Params<'_>,
    inbox: &mpsc::Sender<peer::PeerEnvelope>,
    traffic: &traffic::PeerTraffic,
) -> std::result::Result<bool, types::ErrorObjectOwned> {
    let bytes = params.as_str().map_or(0, str::len);
    traffic::PeerTraffic::add(&traffic.received_bytes, bytes);
    traffic::PeerTraffic::add(&traffic.received_calls, 1);
    let envelopes = params.one::<Vec<peer::PeerEnvelope>>()?;
    for envelope in envelopes {
        if inbox.send(envelope).await.is_err() {
            return Ok(false);
        }
    }
    Ok(true)
}
