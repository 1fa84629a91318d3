//! Limits of requests per second, shared by the daemons that place requests.

use model::ids;
use model::serving;
use sardinepaddle_pool::limits;

/// Span in which requests are counted, ms, and what may arrive in it beyond half more than the
/// limit; both set by the users' rules.
const COUNTED_MS: f64 = 4_000.0;
const EXTRA_REQUESTS: f64 = 5.0;

fn endpoint(started_ms: u64) -> serving::LiveEndpoint {
    serving::LiveEndpoint {
        id: ids::EndpointId::new("e1"),
        service: ids::ServiceId::new("s"),
        address: "127.0.0.1:80".parse().unwrap(),
        centre: ids::CentreId::new("a"),
        slots: 16,
        leaving: false,
        started_ms,
        sequence: 0,
    }
}

fn limit(started_ms: u64, per_s: f64) -> [(ids::EndpointId, limits::EndpointLimit); 1] {
    let limit = limits::EndpointLimit { started_ms, per_s };
    [(endpoint(0).id, limit)]
}

/// Returns the times at which placers that always have a request place one within 20 s, given the
/// sizes of their groups.
fn placements(groups: &[usize], per_s: f64) -> Vec<f64> {
    let daemons = groups.iter().sum();
    let mut rates = vec![limits::RateLimits::default(); groups.len()];
    for (number, rates) in rates.iter_mut().enumerate() {
        rates.set_share(limits::group_share(groups[number], daemons));
        rates.set_limits(37.0 * number as f64, &limit(0, per_s));
    }
    let mut times = Vec::new();
    let mut now = 0.0;
    while now < 20_000.0 {
        now += 1.0;
        for rates in &mut rates {
            while rates.accepts(now, &endpoint(0)) {
                rates.record_placement(now, &endpoint(0).id);
                times.push(now);
            }
        }
    }
    times
}

fn most_in_span(times: &[f64]) -> usize {
    let count = |start: &f64| {
        let in_span = |at: &&f64| **at >= *start && **at < start + COUNTED_MS;
        times.iter().filter(in_span).count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

// Guards against a share for each placer, of which three at the same time are too many.
#[test]
fn placers_together_stay_within_what_the_endpoint_tolerates() {
    let groups: [&[usize]; 8] = [
        &[24],
        &[12, 12],
        &[20, 4],
        &[8, 8, 8],
        &[6, 6, 6, 6],
        &[20, 1, 1, 1, 1],
        &[1; 6],
        &[1; 3],
    ];
    for per_s in [0.0, 0.5, 1.0, 3.0, 20.0, 100.0] {
        let allowed = 1.5 * per_s * COUNTED_MS / 1_000.0 + EXTRA_REQUESTS;
        for groups in groups {
            let most = most_in_span(&placements(groups, per_s)) as f64;
            assert!(
                most <= allowed,
                "{groups:?}, {per_s} a second: {most} of {allowed}"
            );
        }
        // A single placer uses what it may, and so do two while each counts all daemons.
        let alone = placements(&[24], per_s);
        let count = alone.len() as f64;
        assert!(count >= 0.7 * per_s * 20.0 - 1.0, "{per_s}: {count}");
        let most = 2 * most_in_span(&alone);
        assert!(most as f64 <= allowed, "two placers, {per_s}: {most}");
    }
}

#[test]
fn limit_ends_with_its_incarnation_or_when_it_is_lifted() {
    let mut rates = limits::RateLimits::default();
    rates.set_limits(0.0, &limit(5, 0.1));
    assert!(!rates.accepts(100.0, &endpoint(5)));
    assert!(rates.accepts(100.0, &endpoint(6)));
    rates.set_limits(100.0, &[]);
    assert!(rates.accepts(100.0, &endpoint(5)));
}

#[test]
fn limit_that_is_raised_takes_effect_at_once() {
    let mut rates = limits::RateLimits::default();
    rates.set_limits(0.0, &limit(5, 0.1));
    rates.set_limits(1_000.0, &limit(5, 10.0));
    assert!(!rates.accepts(1_000.0, &endpoint(5)));
    assert!(rates.accepts(1_100.0, &endpoint(5)));
}
