//! What an engine holds is freed, and never taken from a daemon that still reads it.

use std::time::Duration;

use model::outcome;

mod support;

/// The connection of an attempt of a living daemon closes and its cancel overtakes the request.
#[test]
fn unread_stream_of_a_living_daemon_is_freed() {
    let mut driver = support::FleetDriver::new(3, 4);
    for unit in 0..3 {
        driver.leave_behind(unit, 900 + unit as u64);
    }
    assert_eq!(driver.streams().len(), 3);
    driver.advance(1_000);
    assert!(driver.streams().is_empty(), "{:?}", driver.streams());
}

/// Peers take a daemon for dead that only they cannot reach; its stream runs on.
#[test]
fn read_stream_of_an_unreachable_daemon_is_kept() {
    let mut driver = support::FleetDriver::new(3, 5);
    driver.rates.stalled = true;
    let mut prompts = Vec::new();
    for unit in 0..3 {
        prompts.push(driver.ask(unit, Duration::from_secs(60)).unwrap());
    }
    driver.advance(50);
    let streams = driver.streams();
    assert_eq!(streams.len(), 3);
    driver.rates.lost_peers = true;
    driver.advance(600);
    assert_eq!(driver.streams(), streams, "a stream was taken away");
    driver.rates = support::FaultRates::default();
    driver.advance(100);
    for prompt in prompts {
        let outcome = driver.outcome(prompt);
        assert_eq!(outcome, Some(&outcome::RequestOutcome::Answered));
    }
}
