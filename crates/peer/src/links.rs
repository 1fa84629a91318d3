//! Sends messages to other daemons.

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

/// Messages that wait for one peer; more are dropped.
const QUEUE_MESSAGES: usize = 1_024;
/// Messages in one call.
const BATCH_MESSAGES: usize = 64;
/// Longest wait for a connection or a reply.
const REPLY_LIMIT: Duration = Duration::from_millis(750);
/// Time after which an unused link is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Links to all peers spoken to of late.
#[derive(Debug)]
pub struct PeerLinks {
    links: map::HashMap<net::SocketAddr, mpsc::Sender<peer::PeerEnvelope>>,
    inbox: mpsc::Sender<server::PeerDelivery>,
    traffic: sync::Arc<traffic::PeerTraffic>,
}

impl PeerLinks {
    /// Makes links that pass peers' answers to `inbox` and count into `traffic`. Connects when
    /// first used.
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

    /// Queues a message. It is dropped if too many wait already.
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
                // A fresh link has room.
                let _ = self.link(to).try_send(envelope);
            }
        }
    }

    fn link(&mut self, to: net::SocketAddr) -> &mpsc::Sender<peer::PeerEnvelope> {
        let (inbox, traffic) = (&self.inbox, &self.traffic);
        self.links.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
            tokio::spawn(run(to, receiver, inbox.clone(), traffic.clone()));
            sender
        })
    }
}

async fn run(
    to: net::SocketAddr,
    mut queue: mpsc::Receiver<peer::PeerEnvelope>,
    inbox: mpsc::Sender<server::PeerDelivery>,
    traffic: sync::Arc<traffic::PeerTraffic>,
) {
    let mut client = None;
    let mut batch = Vec::new();
    loop {
        let received = time::timeout(IDLE_LIMIT, queue.recv_many(&mut batch, BATCH_MESSAGES)).await;
        if !matches!(received, Ok(count) if count > 0) {
            return;
        }
        let count = batch.len();
        match deliver(to, &mut client, &batch, &traffic).await {
            Some(envelopes) if envelopes.is_empty() => {}
            Some(envelopes) => {
                let delivery = server::PeerDelivery {
                    envelopes,
                    replies: None,
                };
                // The inbox is closed only at the end of the process.
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

/// Delivers messages and returns what the peer answers; `None` if it did not take them.
async fn deliver(
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
    time::timeout(REPLY_LIMIT, call).await.ok()?.ok()
}

async fn dial(
    to: net::SocketAddr,
    traffic: &sync::Arc<traffic::PeerTraffic>,
) -> Option<ws_client::WsClient> {
    traffic::PeerTraffic::add(&traffic.dials, 1);
    let builder = ws_client::WsClientBuilder::default()
        .connection_timeout(REPLY_LIMIT)
        .request_timeout(REPLY_LIMIT);
    let building = async {
        let stream = tokio::net::TcpStream::connect(to).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let stream = stream::CountedStream::new(stream, traffic.clone());
        let client = builder.build_with_stream(format!("ws://{to}"), stream);
        client.await.ok()
    };
    time::timeout(REPLY_LIMIT, building).await.ok().flatten()
}
