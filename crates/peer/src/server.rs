//! Receives messages from other daemons.

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

/// Name of the method that takes messages.
pub(crate) const DELIVER_METHOD: &str = "deliver";
/// Most connections from peers.
const MOST_CONNECTIONS: u32 = 1_024;
/// Largest call, in bytes.
const CALL_BYTES: u32 = 4 << 20;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Messages that came from one peer.
#[derive(Debug)]
pub struct PeerDelivery {
    /// The messages, in order.
    pub envelopes: Vec<peer::PeerEnvelope>,
    /// Takes what is to go back to the sender on the same connection; `None` if the messages
    /// are themselves answers.
    pub replies: Option<oneshot::Sender<Vec<peer::PeerEnvelope>>>,
}

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

/// Where and from whom messages are taken.
pub struct ServerOptions {
    /// Address to listen on.
    pub address: net::SocketAddr,
    /// Takes the messages.
    pub inbox: mpsc::Sender<PeerDelivery>,
    /// Counts of bytes and calls.
    pub traffic: sync::Arc<traffic::PeerTraffic>,
    /// Whether connections from an address are taken; others are closed at once.
    pub allows: Box<dyn Fn(net::IpAddr) -> bool + Send>,
}

/// Listens for messages until the handle is stopped or dropped.
pub async fn serve(port: ServerOptions) -> Result<server::ServerHandle> {
    let address = port.address;
    let listener = tokio::net::TcpListener::bind(address).await;
    let listener = listener.map_err(|source| ServerError::Bind { address, source })?;
    let mut module = server::RpcModule::new(port.inbox.clone());
    let traffic = port.traffic.clone();
    module.register_async_method(DELIVER_METHOD, move |params, inbox, _| {
        let traffic = traffic.clone();
        async move { deliver(&params, &inbox, &traffic).await }
    })?;
    let (stop, handle) = server::stop_channel();
    tokio::spawn(accept(listener, port, module.into(), stop));
    Ok(handle)
}

async fn accept(
    listener: tokio::net::TcpListener,
    port: ServerOptions,
    methods: server::Methods,
    stop: server::StopHandle,
) {
    let config = server::ServerConfig::builder()
        .max_connections(MOST_CONNECTIONS)
        .max_request_body_size(CALL_BYTES)
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
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if !(port.allows)(source.ip()) {
            traffic::PeerTraffic::add(&port.traffic.refused_sources, 1);
            continue;
        }
        // Only latency suffers if the option cannot be set.
        let _ = stream.set_nodelay(true);
        let stream = stream::CountedStream::new(stream, port.traffic.clone());
        let service = builder.clone().build(methods.clone(), stop.clone());
        let stopped = stop.clone().shutdown();
        tokio::spawn(async move {
            // A broken connection is dialled anew by its peer.
            let _ = server::serve_with_graceful_shutdown(stream, service, stopped).await;
        });
    }
}

async fn deliver(
    params: &types::Params<'_>,
    inbox: &mpsc::Sender<PeerDelivery>,
    traffic: &traffic::PeerTraffic,
) -> std::result::Result<Vec<peer::PeerEnvelope>, types::ErrorObjectOwned> {
    traffic::PeerTraffic::add(&traffic.received_calls, 1);
    let envelopes = params.one::<Vec<peer::PeerEnvelope>>()?;
    let (answers, answered) = oneshot::channel();
    let delivery = PeerDelivery {
        envelopes,
        replies: Some(answers),
    };
    if inbox.send(delivery).await.is_err() {
        return Ok(Vec::new());
    }
    Ok(answered.await.unwrap_or_default())
}
