//! Lists of the store that are seconds old when a daemon starts.

use std::time::Duration;
use std::time::Instant;

use platform_fakes::endpoint::EndpointScript;
use platform_fakes::store::FakeObjectStore;
use serde_json::json;

use crate::support;
use crate::support::PROGRAM;
use crate::support::RunningDaemon;

/// Time within which a daemon hears of a removal; set by the users' rules.
const REMOVAL_TIME: Duration = Duration::from_millis(2_000);

/// Starts a daemon that reads the current objects, and one that reads `changed` from before a change
/// and follows the first.
async fn start_after(
    store: &FakeObjectStore,
    change: impl FnOnce(&FakeObjectStore),
) -> (RunningDaemon, RunningDaemon) {
    let before = store.snapshot();
    change(store);
    let current = RunningDaemon::start(store, "h1");
    current.wait_ready();
    RunningDaemon::wait_for("the registration", || {
        store.spec("sardinepaddle-daemons", "h1").is_some()
    });
    // The list of daemons is current, so that the second one finds the first.
    let entry = store.spec("sardinepaddle-daemons", "h1").unwrap();
    let mut outdated = before;
    outdated.put("sardinepaddle-daemons", "h1", entry);
    store.serve_outdated(Some(outdated));
    let late = RunningDaemon::spawn_with(store.address(), "h2", 0.1, PROGRAM);
    RunningDaemon::wait_for_followers(&[&current, &late], 1);
    (current, late)
}

// Guards against a removed endpoint that comes back to all daemons from the list of one.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_removed_before_the_start_stays_so_though_a_list_still_has_it() {
    let store = FakeObjectStore::start().await;
    let config = support::config(1, &support::default_routes());
    store.put("config", "main", config);
    let _endpoints = support::start_endpoints(&store, &[EndpointScript::Respond; 2]).await;
    let (current, late) = start_after(&store, |store| store.remove("servers", "e1")).await;
    std::thread::sleep(REMOVAL_TIME);
    let listed = "\"endpoint\":\"e1\",\"event\":\"endpoint listed\"";
    let removed = "\"endpoint\":\"e1\",\"event\":\"endpoint removed\"";
    assert!(late.log().contains(listed), "the list isn't outdated");
    assert!(!current.log().contains(listed), "back at the placer");
    assert!(late.log().contains(removed), "still listed by its follower");
}

// Guards against a data centre that is taken out of service again by the list of one daemon.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_removed_before_the_start_stays_so_though_a_list_still_has_it() {
    let store = FakeObjectStore::start().await;
    let config = support::config(1, &support::default_routes());
    store.put("config", "main", config);
    store.put("evacuations", "a", json!({}));
    let _endpoints = support::start_endpoints(&store, &[EndpointScript::Respond; 2]).await;
    let (current, late) = start_after(&store, |store| store.remove("evacuations", "a")).await;
    let followed_at = Instant::now();
    while followed_at.elapsed() < REMOVAL_TIME {
        assert_eq!(current.call("GET /safe/ HTTP/1.1", "r1").status, 200);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(late.call("GET /safe/ HTTP/1.1", "r2").status, 200);
}

// Guards against taking a list that is older than an object for its removal.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_added_before_the_start_is_served_though_a_list_lacks_it() {
    let store = FakeObjectStore::start().await;
    let config = support::config(1, &support::default_routes());
    store.put("config", "main", config);
    let mut endpoints = Vec::new();
    let before = store.snapshot();
    endpoints.extend(support::start_endpoints(&store, &[EndpointScript::Respond]).await);
    store.serve_outdated(Some(before));
    let daemon = RunningDaemon::start(&store, "h1");
    RunningDaemon::wait_for("a response", || {
        daemon.call("GET /safe/ HTTP/1.1", "r1").status == 200
    });
    let late = RunningDaemon::spawn_with(store.address(), "h2", 0.1, PROGRAM);
    RunningDaemon::wait_for("a response", || {
        late.call("GET /safe/ HTTP/1.1", "r2").status == 200
    });
    std::thread::sleep(REMOVAL_TIME);
    for daemon in [&daemon, &late] {
        assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r3").status, 200);
    }
}
