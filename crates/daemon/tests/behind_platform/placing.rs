//! Which of several daemons places requests for all.

use std::time::Duration;

use crate::support;
use crate::support::RunningDaemon;
use serde_json::Value;

/// Time in which a daemon that wants to place would have taken over: looks come each second at least.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Calls that tell one that follows the store from one that is told of it.
const LEADING_CALLS: u64 = 5;

/// The daemon that places for another one, by its log since the start of a line.
fn placer(daemon: &RunningDaemon, since: usize) -> Option<String> {
    let log = daemon.log();
    let lines = log.lines().skip(since);
    let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let chosen = lines.filter(|line| line["event"] == "placer selected");
    let chosen = chosen.filter_map(|line| line["placer"].as_str().map(str::to_owned));
    chosen.last()
}

// While daemons were stopped in turn, each one that came back took the place of the one that placed,
// for itself first and for the others up to three seconds later (zaatar-amman trouble-2).
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_comes_back_leaves_placing_to_the_one_that_does_it() {
    let (store, _endpoints, first) = support::deployment(&[]).await;
    let names = ["h1", "h2", "h3"];
    let [h2, h3] = [names[1], names[2]].map(|host| RunningDaemon::start(&store, host));
    let mut daemons = [first, h2, h3];
    for daemon in &daemons {
        daemon.wait_ready();
    }
    let followers = |daemons: &[RunningDaemon; 3]| {
        let placers: Vec<_> = daemons.iter().map(|daemon| placer(daemon, 0)).collect();
        (0..3).find(|index| {
            let others = (0..3).filter(|other| other != index);
            let mut others = others.map(|other| placers[other].as_deref());
            others.all(|placer| placer == Some(names[*index]))
        })
    };
    RunningDaemon::wait_for("one that places", || followers(&daemons).is_some());
    let lost = followers(&daemons).unwrap();
    daemons[lost].process.kill();
    let next = |daemons: &[RunningDaemon; 3]| {
        (0..3).filter(|index| *index != lost).find(|index| {
            let other = 3 - lost - index;
            placer(&daemons[other], 0).as_deref() == Some(names[*index])
        })
    };
    RunningDaemon::wait_for("the next one", || next(&daemons).is_some());
    let next = next(&daemons).unwrap();
    let since = daemons[lost].log().lines().count();
    daemons[lost].restart();
    RunningDaemon::wait_for("its choice", || placer(&daemons[lost], since).is_some());
    std::thread::sleep(SETTLE_TIME);
    let other = 3 - lost - next;
    assert_eq!(placer(&daemons[lost], since).as_deref(), Some(names[next]));
    assert_eq!(placer(&daemons[other], 0).as_deref(), Some(names[next]));

    // It follows the store for all, though it is not the first of the order (hunt on
    // bluemahoe-stockdesk, endpoints_at_fault, seed 806390637886: DRAIN).
    let before = store_calls(&daemons[next]);
    RunningDaemon::wait_for("calls to the store", || {
        store_calls(&daemons[next]) >= before + LEADING_CALLS
    });
}

/// Calls to the store that a daemon made about endpoints.
fn store_calls(daemon: &RunningDaemon) -> u64 {
    let answer = support::exchange(daemon.metrics, "GET /metrics HTTP/1.1", &[]);
    let lines = answer.body.lines().filter(|line| {
        line.contains("store_calls")
            && line.contains(r#"kind="endpoints""#)
            && !line.starts_with('#')
    });
    let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    counts.sum::<f64>() as u64
}
