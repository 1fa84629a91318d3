//! Requests that end each endpoint that begins to run them, and that their client sends again.

use std::sync::atomic;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform_fakes::endpoint::CrashCause;
use platform_fakes::endpoint::CrashTrigger;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;

use crate::support;
use crate::support::RunningDaemon;

/// Time in which all daemons must know of a change, and maximum number of times that a request may
/// reach endpoints later than this after it has crashed the third; both set by the users' rules.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_ARRIVALS: usize = 3;
/// Interval between two requests that crash endpoints.
const CRASH_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(30);

/// Starts daemons that follow one of them, and endpoints that the request with a URI ends.
async fn start_crashing(
    uri: &str,
    endpoint_count: usize,
) -> (FakeObjectStore, Vec<FakeEndpoint>, Vec<RunningDaemon>) {
    let scripts = vec![EndpointScript::Respond; endpoint_count];
    let (store, endpoints, first) = support::deployment(&scripts).await;
    let mut daemons = vec![first];
    for host in ["h2", "h3"] {
        let daemon = RunningDaemon::start(&store, host);
        daemon.wait_ready();
        daemons.push(daemon);
    }
    RunningDaemon::wait_for_followers(&daemons.iter().collect::<Vec<_>>(), 2);
    for endpoint in &endpoints {
        endpoint.set_crash_trigger(CrashTrigger {
            cause: CrashCause::Uri(uri.to_owned()),
            crash_after: Duration::from_millis(60),
            down_for: Duration::from_millis(1_200),
        });
    }
    (store, endpoints, daemons)
}

/// Returns how often the crashing request reached endpoints later than the contact time after it
/// had ended the third.
fn late_arrivals(endpoints: &[FakeEndpoint]) -> usize {
    let records: Vec<_> = endpoints.iter().map(FakeEndpoint::crash_record).collect();
    let mut crashes: Vec<_> = records.iter().flat_map(|r| r.crashes.clone()).collect();
    crashes.sort();
    assert!(crashes.len() >= 3, "only {} crashes", crashes.len());
    let from = crashes[2] + CONTACT_TIME;
    let arrivals = records.iter().flat_map(|record| &record.arrivals);
    arrivals.filter(|at| **at > from).count()
}

/// Sends the crashing request again and again, to the daemons in turn, beside sound ones. Returns
/// the share of the sound ones in the last third of the time that were answered.
fn send_beside_sound_requests(
    store: &FakeObjectStore,
    endpoints: &[FakeEndpoint],
    daemons: &[RunningDaemon],
    crashing_line: &str,
) -> f64 {
    let stopped = atomic::AtomicBool::new(false);
    let run_time = CONTACT_TIME * 4;
    let started_at = Instant::now();
    let (mut sent, mut answered) = (0.0, 0.0);
    thread::scope(|scope| {
        let _guard = support::StopGuard(&stopped);
        scope.spawn(|| support::keep_registered(store, endpoints, &stopped));
        scope.spawn(|| {
            for (number, daemon) in daemons.iter().cycle().enumerate() {
                if started_at.elapsed() > run_time {
                    break;
                }
                daemon.call(crashing_line, &format!("c{number:x}"));
                thread::sleep(CRASH_INTERVAL);
            }
        });
        for (number, daemon) in daemons.iter().cycle().enumerate() {
            if started_at.elapsed() > run_time {
                break;
            }
            let line = format!("GET /safe/{} HTTP/1.1", number % 40);
            let is_answered = daemon.call(&line, &format!("d{number:x}")).status == 200;
            if started_at.elapsed() > run_time * 2 / 3 {
                sent += 1.0;
                answered += f64::from(u8::from(is_answered));
            }
            thread::sleep(SOUND_INTERVAL);
        }
    });
    answered / sent
}

async fn assert_reaches_no_more_endpoints(method: &str, uri: &str) {
    let (store, endpoints, daemons) = start_crashing(uri, 3).await;
    let line = format!("{method} {uri} HTTP/1.1");
    let answered = send_beside_sound_requests(&store, &endpoints, &daemons, &line);
    let late = late_arrivals(&endpoints);
    let seen = format!("{uri}: {late} late, {answered} of the sound answered");
    assert!(late <= MAX_LATE_ARRIVALS, "{seen}");
    assert!(answered > 0.9, "{seen}");
}

#[tokio::test(flavor = "multi_thread")]
async fn safe_request_that_crashes_endpoints_reaches_no_more_of_them() {
    assert_reaches_no_more_endpoints("GET", "/safe/crash").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unsafe_request_that_crashes_endpoints_reaches_no_more_of_them() {
    assert_reaches_no_more_endpoints("POST", "/once/crash").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_request_that_crashes_endpoints_reaches_no_more_of_them() {
    assert_reaches_no_more_endpoints("POST", "/stream/crash").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashes_that_a_lost_placer_saw_still_count() {
    let (store, endpoints, mut daemons) = start_crashing("/safe/crash", 6).await;
    let crashes = || -> usize {
        let records = endpoints.iter().map(FakeEndpoint::crash_record);
        records.map(|record| record.crashes.len()).sum()
    };
    let is_placer = |daemon: &RunningDaemon| daemon.log().contains("daemon connected");
    let stopped = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        let _guard = support::StopGuard(&stopped);
        scope.spawn(|| support::keep_registered(&store, &endpoints, &stopped));
        // Two crashes, as the route allows two attempts.
        let placer = daemons.iter().position(is_placer).unwrap();
        let response = daemons[(placer + 1) % 3].call("GET /safe/crash HTTP/1.1", "a1");
        assert_eq!((response.status, crashes()), (502, 2), "{response:?}");
        thread::sleep(Duration::from_millis(500));
        daemons.remove(placer).process.kill();
        RunningDaemon::wait_for("another placer", || daemons.iter().any(is_placer));
        let follower = daemons
            .iter()
            .position(|daemon| !is_placer(daemon))
            .unwrap();
        let response = daemons[follower].call("GET /safe/crash HTTP/1.1", "a2");
        assert_eq!((response.status, crashes()), (502, 3), "{response:?}");
        for (number, daemon) in daemons.iter().cycle().take(8).enumerate() {
            let response = daemon.call("GET /safe/crash HTTP/1.1", &format!("b{number}"));
            assert_eq!(response.status, 503, "{response:?}");
        }
    });
    assert_eq!(crashes(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn quarantine_outlasts_the_loss_of_all_daemons() {
    let (store, endpoints, mut daemons) = start_crashing("/safe/crash", 6).await;
    let crashes = || -> usize {
        let records = endpoints.iter().map(FakeEndpoint::crash_record);
        records.map(|record| record.crashes.len()).sum()
    };
    let stopped = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        let _guard = support::StopGuard(&stopped);
        scope.spawn(|| support::keep_registered(&store, &endpoints, &stopped));
        RunningDaemon::wait_for("the quarantine", || {
            daemons[0].call("GET /safe/crash HTTP/1.1", "a1").status == 503
        });
        let before = crashes();
        RunningDaemon::wait_for("the copy in the store", || {
            !store.names("sardinepaddle-quarantines").is_empty()
        });
        for daemon in &mut daemons {
            daemon.process.kill();
        }
        for daemon in &mut daemons {
            daemon.restart();
        }
        for daemon in &daemons {
            daemon.wait_ready();
            let response = daemon.call("GET /safe/crash HTTP/1.1", "a2");
            assert_eq!(response.status, 503, "{response:?}");
        }
        assert_eq!(crashes(), before);
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_which_endpoints_respond_with_failures_is_not_quarantined() {
    let scripts = [EndpointScript::Fail, EndpointScript::Fail];
    let (_store, _endpoints, daemon) = support::deployment(&scripts).await;
    for number in 0..10 {
        let response = daemon.call("GET /safe/a HTTP/1.1", &format!("f{number}"));
        assert_eq!((response.status, response.body.as_str()), (500, "failed"));
    }
}
