//! Periods in which endpoints want no requests from a daemon.

use model::ids;
use model::serving;
use sardinepaddle_pool::quiet;

fn live(name: &str, started_ms: u64) -> serving::LiveEndpoint {
    serving::LiveEndpoint {
        id: ids::EndpointId::new(name),
        service: ids::ServiceId::new("s"),
        address: "127.0.0.1:80".parse().unwrap(),
        centre: ids::CentreId::new("a"),
        slots: 4,
        leaving: false,
        started_ms,
        sequence: 0,
    }
}

#[test]
fn endpoint_gets_nothing_until_the_end_and_few_requests_at_first() {
    let endpoint = live("e1", 5);
    let mut periods = quiet::QuietPeriods::default();
    periods.record(0.0, &endpoint.id, 5, 3_000.0);
    let mut sent_at = Vec::new();
    for tick in 0..500 {
        let now = f64::from(tick) * 10.0;
        periods.sweep(now);
        if periods.accepts(now, &endpoint) {
            periods.record_send(now, &endpoint.id);
            sent_at.push(now);
        }
    }
    assert_eq!(sent_at[0], 3_000.0);
    let in_first_second = sent_at.iter().filter(|at| **at < 4_000.0).count();
    assert!((2..=5).contains(&in_first_second), "{in_first_second}");
}

#[test]
fn shorter_period_does_not_end_a_longer_one() {
    let endpoint = live("e1", 5);
    let mut periods = quiet::QuietPeriods::default();
    periods.record(0.0, &endpoint.id, 5, 3_000.0);
    periods.record(100.0, &endpoint.id, 5, 500.0);
    assert!(!periods.accepts(2_999.0, &endpoint));
}

#[test]
fn period_is_bounded_and_ends_with_its_incarnation() {
    let endpoint = live("e1", 5);
    let mut periods = quiet::QuietPeriods::default();
    periods.record(0.0, &endpoint.id, 5, 1e12);
    assert!(!periods.accepts(quiet::MAX_PERIOD_MS - 1.0, &endpoint));
    assert!(periods.accepts(quiet::MAX_PERIOD_MS, &endpoint));
    assert!(periods.accepts(0.0, &live("e1", 6)));
}

#[test]
fn first_due_is_told_only_if_all_endpoints_are_quiet() {
    let endpoints = [live("e1", 5), live("e2", 5)];
    let mut periods = quiet::QuietPeriods::default();
    periods.record(0.0, &endpoints[0].id, 5, 3_000.0);
    assert_eq!(periods.first_due(1.0, endpoints.iter()), None);
    periods.record(0.0, &endpoints[1].id, 5, 1_000.0);
    assert_eq!(periods.first_due(1.0, endpoints.iter()), Some(1_000.0));
    assert_eq!(periods.first_due(1.0, [].iter()), None);
}
