//! Orphaned streams on an engine are cancelled, but never one that a daemon still reads.

use std::time::Duration;

use model::outcome;

mod support;

/// A live daemon drops a connection and its cancellation reaches the engine before the request,
/// so the stream remains.
#[test]
fn unread_stream_of_a_live_daemon_is_cancelled() {
    let mut driver = support::FleetDriver::new(3, 4);
    for host in 0..3 {
        driver.add_orphaned_stream(host, 900 + host as u64);
    }
    assert_eq!(driver.streams().len(), 3);
    driver.advance(1_000);
    assert!(driver.streams().is_empty(), "{:?}", driver.streams());
}

/// Peers that can't reach a daemon consider it dead, but it still reads its stream.
#[test]
fn read_stream_of_an_unreachable_daemon_is_kept() {
    let mut driver = support::FleetDriver::new(3, 5);
    driver.rates.stalled = true;
    let mut prompts = Vec::new();
    for host in 0..3 {
        prompts.push(driver.send_prompt(host, Duration::from_secs(60)).unwrap());
    }
    driver.advance(50);
    let streams = driver.streams();
    assert_eq!(streams.len(), 3);
    driver.rates.drop_peer_messages = true;
    driver.advance(600);
    assert_eq!(
        driver.streams(),
        streams,
        "a stream that is still read was cancelled"
    );
    driver.rates = support::FaultRates::default();
    driver.advance(100);
    for prompt in prompts {
        let outcome = driver.outcome(prompt);
        assert_eq!(outcome, Some(&outcome::RequestOutcome::Answered));
    }
}
