//! Connections to the store that go silent, and paths to it that come back.

use std::time::Duration;
use std::time::Instant;

use fakes::fleet;
use fakes::proxy;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;
use serde_json::json;

use crate::support;
use crate::support::RunningDaemon;

/// Time within which a removed endpoint gets no more requests; set by the users' rules.
const REMOVAL_TIME: Duration = Duration::from_millis(2_000);
/// Time after which a daemon whose connections work again is in touch; set by the users' rules.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Starts a daemon that reaches the store over a link with faults.
async fn start_behind_link() -> (
    FakeObjectStore,
    Vec<FakeEndpoint>,
    proxy::FaultProxy,
    RunningDaemon,
) {
    let store = FakeObjectStore::start().await;
    let config = support::config(1, &support::default_routes());
    store.put("config", "main", config);
    let endpoints = support::start_endpoints(&store, &[EndpointScript::Respond; 6]).await;
    let link = proxy::FaultProxy::start(fleet::free_address(), store.address()).await;
    let link = link.unwrap();
    let daemon = RunningDaemon::start_with_store(link.address(), "h1");
    daemon.wait_ready();
    (store, endpoints, link, daemon)
}

fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Changes another entry all the time, so that the daemon pauses between its watches.
fn change_until(store: &FakeObjectStore, time: Instant) {
    let mut sequence = 0;
    while Instant::now() < time {
        sequence += 1;
        store.put("servers", "changing", json!({"sequence": sequence}));
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn is_removed(daemon: &RunningDaemon, name: &str) -> bool {
    let removed = format!("\"endpoint\":\"{name}\",\"event\":\"endpoint removed\"");
    daemon.log().contains(&removed)
}

// Guards against a silent connection that counts as an outage, so that removals after it are deferred.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_removed_after_connections_to_the_store_went_silent_gets_no_requests() {
    let (store, _endpoints, link, daemon) = start_behind_link().await;
    // The silence begins at different moments of the waiting watches.
    for (number, pause_ms) in [150, 350, 550, 750].into_iter().enumerate() {
        std::thread::sleep(Duration::from_millis(pause_ms));
        link.control().set(proxy::LinkFault::Freeze);
        let silent_at = Instant::now();
        sleep_until(silent_at + Duration::from_millis(1_000));
        let name = format!("e{number}");
        store.remove("servers", &name);
        sleep_until((Instant::now() + REMOVAL_TIME).max(silent_at + CONTACT_TIME));
        assert!(is_removed(&daemon, &name), "{name}");
    }
}

// Guards against a deferral of removals that outlasts the time until a daemon is in touch again.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_removed_around_the_return_of_the_path_to_the_store_get_no_requests() {
    let (store, _endpoints, link, daemon) = start_behind_link().await;
    let faults = [
        (proxy::LinkFault::Blackhole, 4_500),
        (proxy::LinkFault::Cut, 3_200),
        (proxy::LinkFault::Cut, 3_300),
    ];
    for (number, (fault, cut_ms)) in faults.into_iter().enumerate() {
        link.control().set(fault);
        std::thread::sleep(Duration::from_millis(cut_ms));
        let [during, after] = [0, 1].map(|offset| format!("e{}", 2 * number + offset));
        store.remove("servers", &during);
        link.control().set(proxy::LinkFault::None);
        let back_at = Instant::now();
        change_until(&store, back_at + (CONTACT_TIME - REMOVAL_TIME));
        store.remove("servers", &after);
        change_until(&store, back_at + CONTACT_TIME);
        assert!(is_removed(&daemon, &during), "{during}");
        assert!(is_removed(&daemon, &after), "{after}");
    }
}
