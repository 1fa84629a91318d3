//! Messages and answers between two ends over one connection.

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

const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A port on an address that no other test uses.
fn port(last: u8) -> net::SocketAddr {
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

struct PeerEnd {
    inbox: mpsc::Receiver<server::PeerDelivery>,
    sender: mpsc::Sender<server::PeerDelivery>,
    traffic: sync::Arc<traffic::PeerTraffic>,
}

impl PeerEnd {
    fn new() -> Self {
        let (sender, inbox) = mpsc::channel(8);
        Self {
            inbox,
            sender,
            traffic: sync::Arc::default(),
        }
    }

    fn port(&self, address: net::SocketAddr, allows: bool) -> server::ServerOptions {
        server::ServerOptions {
            address,
            inbox: self.sender.clone(),
            traffic: self.traffic.clone(),
            allows: Box::new(move |_| allows),
        }
    }

    async fn next(&mut self) -> server::PeerDelivery {
        let received = time::timeout(WAIT_LIMIT, self.inbox.recv()).await;
        received.unwrap().unwrap()
    }
}

fn read(counter: &atomic::AtomicU64) -> u64 {
    counter.load(atomic::Ordering::Relaxed)
}

#[tokio::test]
async fn answer_comes_back_on_the_connection_of_the_ask() {
    let mut asker = PeerEnd::new();
    let mut keeper = PeerEnd::new();
    let at = port(1);
    let _server = server::serve(keeper.port(at, true)).await.unwrap();
    let mut links = links::PeerLinks::new(asker.sender.clone(), asker.traffic.clone());
    for version in 1..=3 {
        links.send(at, envelope("asker", version));
        let delivery = keeper.next().await;
        assert_eq!(delivery.envelopes, [envelope("asker", version)]);
        let answers = delivery.replies.unwrap();
        answers
            .send(vec![envelope("keeper", version + 10)])
            .unwrap();
        let answer = asker.next().await;
        assert_eq!(answer.envelopes, [envelope("keeper", version + 10)]);
        assert!(answer.replies.is_none());
    }
    assert_eq!(read(&asker.traffic.dials), 1);
    assert_eq!(read(&keeper.traffic.dials), 0);
    assert_eq!(read(&asker.traffic.dropped), 0);
    let sent = read(&asker.traffic.sent_bytes);
    assert!(sent > 0);
    assert_eq!(read(&keeper.traffic.received_bytes), sent);
}

#[tokio::test]
async fn message_without_an_answer_is_not_dropped() {
    let mut asker = PeerEnd::new();
    let mut keeper = PeerEnd::new();
    let at = port(2);
    let _server = server::serve(keeper.port(at, true)).await.unwrap();
    let mut links = links::PeerLinks::new(asker.sender.clone(), asker.traffic.clone());
    for version in 1..=2 {
        links.send(at, envelope("asker", version));
        // The answers are dropped unsent, as at the end of a process.
        assert_eq!(keeper.next().await.envelopes, [envelope("asker", version)]);
    }
    assert!(asker.inbox.try_recv().is_err());
    assert_eq!(read(&asker.traffic.dropped), 0);
}

#[tokio::test]
async fn source_outside_the_networks_is_refused() {
    let asker = PeerEnd::new();
    let mut keeper = PeerEnd::new();
    let at = port(3);
    let _server = server::serve(keeper.port(at, false)).await.unwrap();
    let mut links = links::PeerLinks::new(asker.sender.clone(), asker.traffic.clone());
    links.send(at, envelope("asker", 1));
    let waiting = async {
        while read(&asker.traffic.dropped) == 0 {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(WAIT_LIMIT, waiting).await.unwrap();
    assert_eq!(read(&keeper.traffic.refused_sources), 1);
    assert!(keeper.inbox.try_recv().is_err());
}
