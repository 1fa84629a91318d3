//! The claim of a call that was sent is never released, even if verdicts arrive late or
//! settlements are lost.

use std::time::Duration;

use model::outcome;

mod support;

#[test]
fn calls_are_answered_without_faults() {
    let mut driver = support::FleetDriver::new(3, 1);
    let call = driver
        .send_keyed_call(0, 1, Duration::from_secs(5))
        .unwrap();
    let prompt = driver.send_prompt(1, Duration::from_secs(5)).unwrap();
    driver.advance(200);
    let repeat = driver
        .send_keyed_call(2, 1, Duration::from_secs(5))
        .unwrap();
    driver.advance(100);
    assert_eq!(
        driver.outcome(call),
        Some(&outcome::RequestOutcome::Answered)
    );
    assert_eq!(
        driver.outcome(prompt),
        Some(&outcome::RequestOutcome::Answered)
    );
    let repeat = driver.outcome(repeat);
    assert!(
        matches!(repeat, Some(outcome::RequestOutcome::Replayed { .. })),
        "{repeat:?}"
    );
    assert!(driver.streams().is_empty());
}

/// The verdict of a second owner of the shard arrives after the call has run. A repeat of the call
/// must still find the claim.
#[test]
fn late_verdict_does_not_release_the_claim_of_a_sent_call() {
    let mut driver = support::FleetDriver::new(3, 2);
    let call = driver
        .send_keyed_call(0, 1, Duration::from_secs(5))
        .unwrap();
    let verdict = driver.await_claim_reply(call, 30);
    while driver.sent_attempts_by_key.is_empty() {
        driver.advance(1);
    }
    driver.rates.drop_peer_messages = true;
    while driver.outcome(call).is_none() {
        driver.advance(1);
    }
    assert_eq!(
        driver.outcome(call),
        Some(&outcome::RequestOutcome::Answered)
    );
    driver.advance(5);
    driver.rates.drop_peer_messages = false;
    driver.redeliver(0, verdict);
    driver.advance(100);
    let repeat = driver
        .send_keyed_call(1, 1, Duration::from_secs(5))
        .unwrap();
    driver.advance(200);
    assert!(driver.outcome(repeat).is_some());
}

/// The settlement of a call is lost and sent again, so a repeat gets the recorded answer.
#[test]
fn lost_settlement_does_not_block_a_repeat() {
    let mut driver = support::FleetDriver::new(3, 3);
    let call = driver
        .send_keyed_call(0, 1, Duration::from_secs(5))
        .unwrap();
    while driver.outcome(call).is_none() {
        driver.advance(1);
    }
    driver.rates.lost = 100;
    driver.advance(10);
    driver.rates.lost = 0;
    driver.advance(200);
    for host in 0..3 {
        let repeat = driver
            .send_keyed_call(host, 1, Duration::from_secs(2))
            .unwrap();
        driver.advance(120);
        let repeat = driver.outcome(repeat);
        let replayed = matches!(repeat, Some(outcome::RequestOutcome::Replayed { .. }));
        assert!(replayed, "{repeat:?}");
    }
}

/// A repeat that waits for the first call is never reported as not run, whenever its deadline
/// passes.
#[test]
fn repeat_of_a_running_call_is_never_reported_as_not_run() {
    for millis in (300..600).step_by(20) {
        let mut driver = support::FleetDriver::new(3, 4);
        driver.rates.stalled = true;
        driver
            .send_keyed_call(0, 1, Duration::from_secs(20))
            .unwrap();
        while driver.sent_attempts_by_key.is_empty() {
            driver.advance(1);
        }
        let repeat = driver
            .send_keyed_call(1, 1, Duration::from_millis(millis))
            .unwrap();
        driver.advance(60);
        let outcome = driver.outcome(repeat);
        assert!(
            matches!(outcome, Some(outcome::RequestOutcome::Unknown { .. })),
            "{millis}: {outcome:?}"
        );
    }
}
