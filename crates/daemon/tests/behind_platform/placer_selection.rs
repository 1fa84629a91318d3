//! Selection of the placer: the daemon that chooses the endpoints for the requests of all daemons.

use std::time::Duration;

use crate::support;
use crate::support::RunningDaemon;
use serde_json::Value;

/// Time within which another daemon would have taken over: the selection runs at least once a
/// second.
const TAKEOVER_WINDOW: Duration = Duration::from_secs(4);

/// Number of store calls that shows that a daemon watches the store itself, rather than receiving
/// its changes from another daemon.
const WATCHER_CALLS: u64 = 5;

/// Returns the placer that a daemon selected last, according to its log from line `since` on.
fn placer(daemon: &RunningDaemon, since: usize) -> Option<String> {
    let log = daemon.log();
    let lines = log.lines().skip(since);
    let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let selected = lines.filter(|line| line["event"] == "placer selected");
    let selected = selected.filter_map(|line| line["placer"].as_str().map(str::to_owned));
    selected.last()
}

// Guards against a restarted daemon displacing the current placer. When daemons were restarted in
// turn, each one selected itself at once and the others followed up to three seconds later.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemon_keeps_the_current_placer() {
    let (store, _endpoints, first) = support::deployment(&[]).await;
    let names = ["h1", "h2", "h3"];
    let [h2, h3] = [names[1], names[2]].map(|host| RunningDaemon::start(&store, host));
    let mut daemons = [first, h2, h3];
    for daemon in &daemons {
        daemon.wait_ready();
    }
    let common_placer = |daemons: &[RunningDaemon; 3]| {
        let placers: Vec<_> = daemons.iter().map(|daemon| placer(daemon, 0)).collect();
        (0..3).find(|index| {
            let others = (0..3).filter(|other| other != index);
            let mut others = others.map(|other| placers[other].as_deref());
            others.all(|placer| placer == Some(names[*index]))
        })
    };
    RunningDaemon::wait_for("a common placer", || common_placer(&daemons).is_some());
    let killed = common_placer(&daemons).unwrap();
    daemons[killed].process.kill();
    let next = |daemons: &[RunningDaemon; 3]| {
        (0..3).filter(|index| *index != killed).find(|index| {
            let other = 3 - killed - index;
            placer(&daemons[other], 0).as_deref() == Some(names[*index])
        })
    };
    RunningDaemon::wait_for("the next placer", || next(&daemons).is_some());
    let next = next(&daemons).unwrap();
    let since = daemons[killed].log().lines().count();
    daemons[killed].restart();
    RunningDaemon::wait_for("a selection by the restarted daemon", || {
        placer(&daemons[killed], since).is_some()
    });
    std::thread::sleep(TAKEOVER_WINDOW);
    let other = 3 - killed - next;
    assert_eq!(
        placer(&daemons[killed], since).as_deref(),
        Some(names[next])
    );
    assert_eq!(placer(&daemons[other], 0).as_deref(), Some(names[next]));

    // The placer watches the store for all daemons although it is not the first in rank order; it
    // once did not, and a drain was missed.
    let before = store_calls(&daemons[next]);
    RunningDaemon::wait_for("calls to the store", || {
        store_calls(&daemons[next]) >= before + WATCHER_CALLS
    });
}

/// Returns the number of calls for endpoints that a daemon has made to the store.
fn store_calls(daemon: &RunningDaemon) -> u64 {
    let response = support::send_request(daemon.metrics, "GET /metrics HTTP/1.1", &[]);
    let lines = response.body.lines().filter(|line| {
        line.contains("store_calls")
            && line.contains(r#"kind="endpoints""#)
            && !line.starts_with('#')
    });
    let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    counts.sum::<f64>() as u64
}
