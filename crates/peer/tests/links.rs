//! Messages and replies between two peers over one connection.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use model::config;
use model::ids;
use model::peer;
use sardinepaddle_peer::links;
use sardinepaddle_peer::server;
use sardinepaddle_peer::traffic;
use tokio::sync::mpsc;
use tokio::time;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a loopback address that is unique to this process and `last`.
fn peer_address(last: u8) -> net::SocketAddr {
    let id = std::process::id();
    let high = u8::try_from(1 + (id / 250) % 250).unwrap_or(1);
    let low = u8::try_from(1 + id % 250).unwrap_or(1);
    net::SocketAddr::from(([127, high, low, last], 19_500))
}

fn envelope(from: &str, version: u64) -> peer::PeerEnvelope {
    peer::PeerEnvelope {
        from: ids::HostId::new(from),
        incarnation: ids::NodeIncarnation(1),
        reply_to: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        message: peer::PeerMessage::ConfigRequest {
            version: config::ConfigVersion(version),
        },
    }
}

struct TestPeer {
    inbox: mpsc::Receiver<server::PeerDelivery>,
    inbox_sender: mpsc::Sender<server::PeerDelivery>,
    traffic: sync::Arc<traffic::PeerTraffic>,
}

impl TestPeer {
    fn new() -> Self {
        let (inbox_sender, inbox) = mpsc::channel(8);
        Self {
            inbox,
            inbox_sender,
            traffic: sync::Arc::default(),
        }
    }

    fn options(&self, address: net::SocketAddr, allows: bool) -> server::ServerOptions {
        server::ServerOptions {
            address,
            inbox: self.inbox_sender.clone(),
            traffic: self.traffic.clone(),
            allows: Box::new(move |_| allows),
        }
    }

    async fn next_delivery(&mut self) -> server::PeerDelivery {
        let received = time::timeout(WAIT_TIMEOUT, self.inbox.recv()).await;
        received.unwrap().unwrap()
    }
}

fn value(counter: &atomic::AtomicU64) -> u64 {
    counter.load(atomic::Ordering::Relaxed)
}

#[tokio::test]
async fn reply_returns_on_the_connection_of_the_request() {
    let mut requester = TestPeer::new();
    let mut responder = TestPeer::new();
    let address = peer_address(1);
    let _server = server::serve(responder.options(address, true))
        .await
        .unwrap();
    let mut links =
        links::PeerLinks::new(requester.inbox_sender.clone(), requester.traffic.clone());
    for version in 1..=3 {
        links.send(address, envelope("requester", version));
        let delivery = responder.next_delivery().await;
        assert_eq!(delivery.envelopes, [envelope("requester", version)]);
        let replies = delivery.replies.unwrap();
        replies
            .send(vec![envelope("responder", version + 10)])
            .unwrap();
        let reply = requester.next_delivery().await;
        assert_eq!(reply.envelopes, [envelope("responder", version + 10)]);
        assert!(reply.replies.is_none());
    }
    assert_eq!(value(&requester.traffic.dials), 1);
    assert_eq!(value(&responder.traffic.dials), 0);
    assert_eq!(value(&requester.traffic.dropped), 0);
    let sent = value(&requester.traffic.sent_bytes);
    assert!(sent > 0);
    assert_eq!(value(&responder.traffic.received_bytes), sent);
}

#[tokio::test]
async fn message_without_a_reply_is_not_dropped() {
    let mut requester = TestPeer::new();
    let mut responder = TestPeer::new();
    let address = peer_address(2);
    let _server = server::serve(responder.options(address, true))
        .await
        .unwrap();
    let mut links =
        links::PeerLinks::new(requester.inbox_sender.clone(), requester.traffic.clone());
    for version in 1..=2 {
        links.send(address, envelope("requester", version));
        // The reply channel is dropped without a reply, as when the process exits.
        assert_eq!(
            responder.next_delivery().await.envelopes,
            [envelope("requester", version)]
        );
    }
    assert!(requester.inbox.try_recv().is_err());
    assert_eq!(value(&requester.traffic.dropped), 0);
}

#[tokio::test]
async fn source_outside_the_allowed_networks_is_refused() {
    let requester = TestPeer::new();
    let mut responder = TestPeer::new();
    let address = peer_address(3);
    let _server = server::serve(responder.options(address, false))
        .await
        .unwrap();
    let mut links =
        links::PeerLinks::new(requester.inbox_sender.clone(), requester.traffic.clone());
    links.send(address, envelope("requester", 1));
    let waiting = async {
        while value(&requester.traffic.dropped) == 0 {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, waiting).await.unwrap();
    assert_eq!(value(&responder.traffic.refused_sources), 1);
    assert!(responder.inbox.try_recv().is_err());
}
