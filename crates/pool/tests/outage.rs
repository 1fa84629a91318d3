//! Tests which failures of calls to the store defer the removal of endpoints.

use sardinepaddle_pool::outage;

const CONTACT_MS: f64 = 3_000.0;

fn tracker() -> outage::OutageTracker {
    let mut tracker = outage::OutageTracker::new(outage::OutageBounds {
        heartbeat_ms: 1_200.0,
        contact_ms: CONTACT_MS,
    });
    tracker.record_response(0.0);
    tracker
}

// Guards against a silent connection that counts as an outage of the store.
#[test]
fn failure_between_two_responses_close_together_defers_nothing() {
    let mut tracker = tracker();
    tracker.record_failure(900.0);
    assert_eq!(tracker.record_response(2_399.0), None);
    assert!(tracker.deferred_until() < 2_399.0);
}

#[test]
fn outage_as_long_as_two_heartbeats_defers_removals_until_endpoints_have_registered() {
    let mut tracker = tracker();
    tracker.record_failure(2_300.0);
    let outage = tracker.record_response(2_400.0).unwrap();
    assert_eq!(outage.length_ms, 2_400.0);
    assert_eq!(outage.deferred_until, 4_600.0);
}

// Guards against a deferral that counts from a late notice of the return.
#[test]
fn removals_are_applied_before_the_daemon_is_in_touch_again_however_late_it_noticed() {
    for noticed_after_ms in [100.0, 700.0, 1_500.0, 2_500.0, 4_000.0] {
        let mut tracker = tracker();
        let returned_at = 5_000.0;
        tracker.record_failure(returned_at);
        tracker.record_response(returned_at + noticed_after_ms);
        assert!(tracker.deferred_until() < returned_at + CONTACT_MS);
    }
}

#[test]
fn pause_without_a_failed_call_defers_nothing() {
    let mut tracker = tracker();
    assert_eq!(tracker.record_response(60_000.0), None);
}

#[test]
fn response_to_another_daemon_counts() {
    let mut tracker = tracker();
    tracker.record_failure(1_000.0);
    tracker.record_response(2_000.0);
    tracker.record_failure(3_500.0);
    assert_eq!(tracker.record_response(4_000.0), None);
    // A report of an earlier response changes nothing.
    assert_eq!(tracker.record_response(3_000.0), None);
    assert_eq!(tracker.record_response(4_100.0), None);
}

#[test]
fn failures_before_the_first_response_are_an_outage() {
    let mut tracker = outage::OutageTracker::new(outage::OutageBounds {
        heartbeat_ms: 1_200.0,
        contact_ms: CONTACT_MS,
    });
    tracker.record_failure(10.0);
    assert!(tracker.record_response(20.0).is_some());
}
