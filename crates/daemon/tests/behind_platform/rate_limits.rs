//! Endpoints that name a limit of requests per second for all daemons together.

use std::sync::atomic;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;

use crate::support;
use crate::support::RunningDaemon;

/// Time in which all daemons must know of a limit, and span in which requests are counted against
/// it; both set by the users' rules.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const COUNTED_SPAN: Duration = Duration::from_secs(4);
/// Interval between two requests of each client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the most requests that may arrive in the counted span, as the users' rules set it.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * COUNTED_SPAN.as_secs_f64() + 5.0) as usize
}

/// Returns the most requests that arrived in a counted span that starts after `from`.
fn most_in_span(endpoint: &FakeEndpoint, from: Instant) -> usize {
    let arrivals: Vec<Instant> = endpoint
        .requests()
        .iter()
        .map(|request| request.at)
        .collect();
    let starts = arrivals.iter().filter(|at| **at >= from);
    let count = |start: &Instant| {
        let in_span = |at: &&Instant| **at >= *start && **at < *start + COUNTED_SPAN;
        arrivals.iter().filter(in_span).count()
    };
    starts.map(count).max().unwrap_or(0)
}

/// Sends requests to all daemons for a time. Returns the share that was answered.
fn send_for(daemons: &[RunningDaemon], line: &str, span: Duration) -> f64 {
    let (sent, answered) = (atomic::AtomicUsize::new(0), atomic::AtomicUsize::new(0));
    let until = Instant::now() + span;
    thread::scope(|scope| {
        for daemon in daemons {
            scope.spawn(|| {
                while Instant::now() < until {
                    let response = daemon.call(line, "r");
                    sent.fetch_add(1, atomic::Ordering::Relaxed);
                    let is_answered = usize::from(response.status == 200);
                    answered.fetch_add(is_answered, atomic::Ordering::Relaxed);
                    thread::sleep(REQUEST_INTERVAL);
                }
            });
        }
    });
    answered.into_inner() as f64 / sent.into_inner() as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_gets_no_more_requests_than_its_limit_from_all_daemons_together() {
    let (store, endpoints, first) = support::deployment(&[EndpointScript::Respond; 2]).await;
    let [second, third] = ["h2", "h3"].map(|host| RunningDaemon::start(&store, host));
    let daemons = [first, second, third];
    for daemon in &daemons {
        daemon.wait_ready();
    }
    RunningDaemon::wait_for_followers(&daemons.each_ref(), 2);
    endpoints[0].set_rate_limit(Some("1.5"));
    let limited_at = Instant::now();
    let answered = send_for(
        &daemons,
        "GET /safe/ HTTP/1.1",
        CONTACT_TIME + COUNTED_SPAN * 2,
    );
    let most = most_in_span(&endpoints[0], limited_at + CONTACT_TIME);
    assert!(most <= allowed(1.5), "{most} requests in a span");
    // The other endpoint serves the rest, and the limited one serves what it takes.
    assert!(
        most >= 2 && answered > 0.99,
        "{most} in a span, {answered} answered"
    );
    // Without a limit it serves its part again.
    endpoints[0].set_rate_limit(None);
    let before = endpoints[0].requests().len();
    send_for(&daemons, "GET /safe/ HTTP/1.1", CONTACT_TIME);
    let after = endpoints[0].requests().len();
    assert!(
        after - before > 20,
        "{before} requests before, {after} after"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_no_limit_leaves_time_for_is_declined_at_once() {
    let (_store, endpoints, daemon) = support::deployment(&[EndpointScript::Respond]).await;
    endpoints[0].set_rate_limit(Some("0.1"));
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r1").status, 200);
    // By then the daemon has told its placer, itself, of the limit.
    thread::sleep(Duration::from_millis(100));
    let started_at = Instant::now();
    let response = daemon.call("GET /safe/ HTTP/1.1", "r2");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(started_at.elapsed() < Duration::from_millis(200));
    assert_eq!(endpoints[0].requests().len(), 1);
}
