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

/// A second owner's word comes after the call has run; a repeat must still meet the claim.
#[test]
fn late_verdict_releases_no_claim_that_was_sent() {
    let mut driver = support::FleetDriver::new(3, 2);
    let call = driver.call(0, 1, Duration::from_secs(5)).unwrap();
    let verdict = driver.hold_verdict(call, 30);
    while driver.may_run.is_empty() {
        driver.advance(1);
    }
    driver.rates.lost_peers = true;
    while driver.outcome(call).is_none() {
        driver.advance(1);
    }
    assert_eq!(
        driver.outcome(call),
        Some(&outcome::RequestOutcome::Answered)
    );
    driver.advance(5);
    driver.rates.lost_peers = false;
    driver.deliver(0, verdict);
    driver.advance(100);
    let again = driver.call(1, 1, Duration::from_secs(5)).unwrap();
    driver.advance(200);
    assert!(driver.outcome(again).is_some());
}

/// The word on how a call ended is lost on its way; the repeat is answered all the same.
#[test]
fn lost_settlement_does_not_block_the_repeat() {
    let mut driver = support::FleetDriver::new(3, 3);
    let call = driver.call(0, 1, Duration::from_secs(5)).unwrap();
    while driver.outcome(call).is_none() {
        driver.advance(1);
    }
    driver.rates.lost = 100;
    driver.advance(10);
    driver.rates.lost = 0;
    driver.advance(200);
    for unit in 0..3 {
        let again = driver.call(unit, 1, Duration::from_secs(2)).unwrap();
        driver.advance(120);
        let again = driver.outcome(again);
        let replayed = matches!(again, Some(outcome::RequestOutcome::Replayed { .. }));
        assert!(replayed, "{again:?}");
    }
}

/// A repeat that waits for the first call never says that the call was not run, whatever the
/// moment at which it gives up.
#[test]
fn repeat_of_a_running_call_never_says_not_run() {
    for millis in (300..600).step_by(20) {
        let mut driver = support::FleetDriver::new(3, 4);
        driver.rates.stalled = true;
        driver.call(0, 1, Duration::from_secs(20)).unwrap();
        while driver.may_run.is_empty() {
            driver.advance(1);
        }
        let again = driver.call(1, 1, Duration::from_millis(millis)).unwrap();
        driver.advance(60);
        let outcome = driver.outcome(again);
        assert!(
            matches!(outcome, Some(outcome::RequestOutcome::Unknown { .. })),
            "{millis}: {outcome:?}"
        );
    }
}
