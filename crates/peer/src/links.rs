//! Outgoing connections to other daemons.

use std::net;
use std::sync;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params;
use jsonrpsee::ws_client;
use model::map;
use model::peer;
use tokio::sync::mpsc;
use tokio::time;

use crate::server;
use crate::stream;
use crate::traffic;

/// Maximum number of messages queued for one peer; further messages are dropped.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of messages in one call.
const MAX_BATCH_MESSAGES: usize = 64;
/// Timeout for opening a connection and for the reply to a call.
const REPLY_TIMEOUT: Duration = Duration::from_millis(750);
/// Time after which an unused link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Links to the peers to which messages were sent recently.
#[derive(Debug)]
pub struct PeerLinks {
    links: map::HashMap<net::SocketAddr, mpsc::Sender<peer::PeerEnvelope>>,
    inbox: mpsc::Sender<server::PeerDelivery>,
    traffic: sync::Arc<traffic::PeerTraffic>,
}

impl PeerLinks {
    /// Creates a set of links without connecting. Replies from peers are sent to `inbox`, and
    /// traffic is counted in `traffic`.
    pub fn new(
        inbox: mpsc::Sender<server::PeerDelivery>,
        traffic: sync::Arc<traffic::PeerTraffic>,
    ) -> Self {
        Self {
            links: map::HashMap::default(),
            inbox,
            traffic,
        }
    }

    /// Queues a message for the peer at `to`, or drops it if the queue is full.
    pub fn send(&mut self, to: net::SocketAddr, envelope: peer::PeerEnvelope) {
        let Err(error) = self.link(to).try_send(envelope) else {
            return;
        };
        match error {
            mpsc::error::TrySendError::Full(_) => {
                traffic::PeerTraffic::add(&self.traffic.dropped, 1);
            }
            mpsc::error::TrySendError::Closed(envelope) => {
                self.links.remove(&to);
                // The queue of a new link is empty.
                let _ = self.link(to).try_send(envelope);
            }
        }
    }

    fn link(&mut self, to: net::SocketAddr) -> &mpsc::Sender<peer::PeerEnvelope> {
        let (inbox, traffic) = (&self.inbox, &self.traffic);
        self.links.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(run_link(to, receiver, inbox.clone(), traffic.clone()));
            sender
        })
    }
}

async fn run_link(
    to: net::SocketAddr,
    mut queue: mpsc::Receiver<peer::PeerEnvelope>,
    inbox: mpsc::Sender<server::PeerDelivery>,
    traffic: sync::Arc<traffic::PeerTraffic>,
) {
    let mut client = None;
    let mut batch = Vec::new();
    loop {
        let received = time::timeout(
            IDLE_TIMEOUT,
            queue.recv_many(&mut batch, MAX_BATCH_MESSAGES),
        )
        .await;
        if !matches!(received, Ok(count) if count > 0) {
            return;
        }
        let count = batch.len();
        match deliver_batch(to, &mut client, &batch, &traffic).await {
            Some(envelopes) if envelopes.is_empty() => {}
            Some(envelopes) => {
                let delivery = server::PeerDelivery {
                    envelopes,
                    replies: None,
                };
                // The inbox is closed only when the process exits.
                let _ = inbox.send(delivery).await;
            }
            None => {
                client = None;
                traffic::PeerTraffic::add(&traffic.dropped, count);
            }
        }
        batch.clear();
    }
}

/// Delivers a batch of messages and returns the reply, or `None` if the delivery failed.
async fn deliver_batch(
    to: net::SocketAddr,
    client: &mut Option<ws_client::WsClient>,
    batch: &[peer::PeerEnvelope],
    traffic: &sync::Arc<traffic::PeerTraffic>,
) -> Option<Vec<peer::PeerEnvelope>> {
    if client.as_ref().is_none_or(|client| !client.is_connected()) {
        *client = dial(to, traffic).await;
    }
    let client = client.as_ref()?;
    traffic::PeerTraffic::add(&traffic.sent_calls, 1);
    let mut params = params::ArrayParams::new();
    params.insert(batch).ok()?;
    let call = client.request::<Vec<peer::PeerEnvelope>, _>(server::DELIVER_METHOD, params);
    time::timeout(REPLY_TIMEOUT, call).await.ok()?.ok()
}

async fn dial(
    to: net::SocketAddr,
    traffic: &sync::Arc<traffic::PeerTraffic>,
) -> Option<ws_client::WsClient> {
    traffic::PeerTraffic::add(&traffic.dials, 1);
    let builder = ws_client::WsClientBuilder::default()
        .connection_timeout(REPLY_TIMEOUT)
        .request_timeout(REPLY_TIMEOUT);
    let connecting = async {
        let stream = tokio::net::TcpStream::connect(to).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let stream = stream::CountedStream::new(stream, traffic.clone());
        let client = builder.build_with_stream(format!("ws://{to}"), stream);
        client.await.ok()
    };
    time::timeout(REPLY_TIMEOUT, connecting)
        .await
        .ok()
        .flatten()
}
