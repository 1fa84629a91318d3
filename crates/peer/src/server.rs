//! Server for messages from other daemons.

use std::net;
use std::sync;
use std::time::Duration;

use jsonrpsee::server;
use jsonrpsee::types;
use model::peer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;

use crate::stream;
use crate::traffic;

/// Name of the RPC method that delivers messages.
pub(crate) const DELIVER_METHOD: &str = "deliver";
/// Maximum number of connections from peers.
const MAX_CONNECTIONS: u32 = 1_024;
/// Maximum size of a call, in bytes.
const MAX_CALL_BYTES: u32 = 4 << 20;
/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A batch of messages received from one peer.
#[derive(Debug)]
pub struct PeerDelivery {
    /// The messages, in order.
    pub envelopes: Vec<peer::PeerEnvelope>,
    /// Channel for messages to return to the peer on the same connection; `None` if the received
    /// messages are themselves replies.
    pub replies: Option<oneshot::Sender<Vec<peer::PeerEnvelope>>>,
}

/// Error that prevented the server from starting.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The address could not be bound.
    #[error("cannot listen for peers on {address}")]
    Bind {
        /// Address to listen on.
        address: net::SocketAddr,
        /// The underlying error.
        #[source]
        source: std::io::Error,
    },
    /// The method could not be registered.
    #[error("cannot register the peer method")]
    Register(#[from] jsonrpsee::core::RegisterMethodError),
}

/// Result type of this module.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Options of the peer server.
pub struct ServerOptions {
    /// Address to listen on.
    pub address: net::SocketAddr,
    /// Channel that receives the delivered messages.
    pub inbox: mpsc::Sender<PeerDelivery>,
    /// Counters of bytes, calls and connections.
    pub traffic: sync::Arc<traffic::PeerTraffic>,
    /// Whether connections from an address are allowed; others are closed immediately.
    pub allows: Box<dyn Fn(net::IpAddr) -> bool + Send>,
}

/// Starts a server that runs until the returned handle is stopped or dropped.
pub async fn serve(options: ServerOptions) -> Result<server::ServerHandle> {
    let address = options.address;
    let listener = tokio::net::TcpListener::bind(address).await;
    let listener = listener.map_err(|source| ServerError::Bind { address, source })?;
    let mut module = server::RpcModule::new(options.inbox.clone());
    let traffic = options.traffic.clone();
    module.register_async_method(DELIVER_METHOD, move |params, inbox, _| {
        let traffic = traffic.clone();
        async move { handle_deliver(&params, &inbox, &traffic).await }
    })?;
    let (stop, handle) = server::stop_channel();
    tokio::spawn(accept_connections(listener, options, module.into(), stop));
    Ok(handle)
}

async fn accept_connections(
    listener: tokio::net::TcpListener,
    options: ServerOptions,
    methods: server::Methods,
    stop: server::StopHandle,
) {
    let config = server::ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_CALL_BYTES)
        .build();
    let builder = server::Server::builder()
        .set_config(config)
        .to_service_builder();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.clone().shutdown() => return,
        };
        let Ok((stream, source)) = accepted else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if !(options.allows)(source.ip()) {
            traffic::PeerTraffic::add(&options.traffic.refused_sources, 1);
            continue;
        }
        // If the option cannot be set, only latency is affected.
        let _ = stream.set_nodelay(true);
        let stream = stream::CountedStream::new(stream, options.traffic.clone());
        let service = builder.clone().build(methods.clone(), stop.clone());
        let stopped = stop.clone().shutdown();
        tokio::spawn(async move {
            // The peer reconnects after an error.
            let _ = server::serve_with_graceful_shutdown(stream, service, stopped).await;
        });
    }
}

async fn handle_deliver(
    params: &types::Params<'_>,
    inbox: &mpsc::Sender<PeerDelivery>,
    traffic: &traffic::PeerTraffic,
) -> std::result::Result<Vec<peer::PeerEnvelope>, types::ErrorObjectOwned> {
    traffic::PeerTraffic::add(&traffic.received_calls, 1);
    let envelopes = params.one::<Vec<peer::PeerEnvelope>>()?;
    let (reply_sender, reply_receiver) = oneshot::channel();
    let delivery = PeerDelivery {
        envelopes,
        replies: Some(reply_sender),
    };
    if inbox.send(delivery).await.is_err() {
        return Ok(Vec::new());
    }
    Ok(reply_receiver.await.unwrap_or_default())
}
