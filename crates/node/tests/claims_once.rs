//! A key whose call has run is never released, whatever verdict comes late.

use std::time::Duration;

use model::outcome;

mod support;

#[test]
fn calls_are_answered_without_faults() {
    let mut driver = support::FleetDriver::new(3, 1);
    let call = driver.call(0, 1, Duration::from_secs(5)).unwrap();
    let prompt = driver.ask(1, Duration::from_secs(5)).unwrap();
    driver.advance(200);
    let again = driver.call(2, 1, Duration::from_secs(5)).unwrap();
    driver.advance(100);
    assert_eq!(
        driver.outcome(call),
        Some(&outcome::RequestOutcome::Answered)
    );
    assert_eq!(
        driver.outcome(prompt),
        Some(&outcome::RequestOutcome::Answered)
    );
    let again = driver.outcome(again);
    assert!(
        matches!(again, Some(outcome::RequestOutcome::Replayed { .. })),
        "{again:?}"
    );
    assert!(driver.streams().is_empty());
}
