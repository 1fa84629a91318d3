//! The store comes back from an older copy of itself: what was written since is lost, and its
//! revisions are assigned again.

use std::time::Duration;

use crate::support;
use crate::support::RunningDaemon;
use crate::support::config;
use crate::support::default_routes;
use crate::support::route;
use fakes::fleet;
use fakes::proxy;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::store::FakeObjectStore;
use platform_fakes::store::StoreMode;
use serde_json::Value;
use serde_json::json;

/// Time in which a daemon hears of a change in the store.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
const DAEMON_KIND: &str = "sardinepaddle-daemons";

fn routes_with(names: &[&str]) -> Vec<Value> {
    let mut routes = default_routes();
    routes.extend(names.iter().map(|name| route(name, "safe", false)));
    routes
}

fn is_served(daemon: &RunningDaemon, route: &str) -> bool {
    daemon.call(&format!("GET /{route}/ HTTP/1.1"), "r").status == 200
}

/// Writes objects that nobody reads, so that the store assigns revisions.
fn advance(store: &FakeObjectStore, count: usize) {
    for number in 0..count {
        store.put(
            "unrelated",
            &format!("o{number}"),
            json!({"number": number}),
        );
    }
}

fn metric(daemon: &RunningDaemon, name: &str) -> f64 {
    let response = support::send_request(daemon.metrics, "GET /metrics HTTP/1.1", &[]);
    let mut lines = response.body.lines();
    let line = lines.find(|line| line.starts_with(name) || line.contains(&format!("_{name}")));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_after_the_return_are_followed_though_their_revisions_are_lower() {
    let (store, _endpoints, daemon) = support::deployment(&[EndpointScript::Respond]).await;
    let copy = store.snapshot();
    advance(&store, 50);
    store.put("config", "main", config(4, &routes_with(&["lost"])));
    RunningDaemon::wait_for("the new route", || is_served(&daemon, "lost"));
    store.restore(&copy);
    std::thread::sleep(SETTLE_TIME);
    assert!(
        is_served(&daemon, "lost"),
        "an older configuration came into force"
    );
    store.put("config", "main", config(5, &routes_with(&["lost", "next"])));
    RunningDaemon::wait_for("the next route", || is_served(&daemon, "next"));
    store.remove("servers", "e0");
    RunningDaemon::wait_for("the refusal", || !is_served(&daemon, "next"));
    let changes = daemon.log().matches("store era changed").count();
    assert_eq!(changes, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_stays_closed_until_its_entry_is_written_again() {
    let (store, endpoints, daemon) = support::deployment(&[EndpointScript::Respond]).await;
    let copy = store.snapshot();
    store.put("servers", "e0", endpoints[0].entry("s", "draining"));
    RunningDaemon::wait_for("the refusal", || !is_served(&daemon, "safe"));
    // Twice in a row, without an entry in between that shows anything.
    for _ in 0..2 {
        store.restore(&copy);
        advance(&store, 20);
        std::thread::sleep(SETTLE_TIME);
        assert!(!is_served(&daemon, "safe"));
    }
    let mut entry = endpoints[0].entry("s", "ready");
    entry["sequence"] = 2.into();
    store.put("servers", "e0", entry);
    RunningDaemon::wait_for("a response", || is_served(&daemon, "safe"));
}

// Guards against a cut watch that counts as an outage, so that removals after it are deferred.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_removed_after_the_watches_were_cut_off_gets_no_requests() {
    let (store, _endpoints, daemon) = support::deployment(&[EndpointScript::Respond; 2]).await;
    for name in ["e0", "e1"] {
        store.cut_watches();
        std::thread::sleep(Duration::from_millis(300));
        store.remove("servers", name);
        std::thread::sleep(SETTLE_TIME);
        let removed = format!("\"endpoint\":\"{name}\",\"event\":\"endpoint removed\"");
        assert!(daemon.log().contains(&removed), "{name}");
    }
    assert!(!is_served(&daemon, "safe"));
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_is_gone_stays_so_until_it_starts_again() {
    let (store, endpoints, daemon) = support::deployment(&[EndpointScript::Respond]).await;
    let copy = store.snapshot();
    store.remove("servers", "e0");
    RunningDaemon::wait_for("the refusal", || !is_served(&daemon, "safe"));
    store.set_mode(StoreMode::Busy);
    store.restore(&copy);
    std::thread::sleep(Duration::from_millis(300));
    store.set_mode(StoreMode::Up);
    std::thread::sleep(SETTLE_TIME);
    assert!(!is_served(&daemon, "safe"));
    let mut entry = endpoints[0].entry("s", "ready");
    entry["born"] = 1_700_000_000_000_u64.into();
    store.put("servers", "e0", entry);
    RunningDaemon::wait_for("a response", || is_served(&daemon, "safe"));
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_the_copy_lacks_is_kept_until_it_has_registered_again() {
    let store = FakeObjectStore::start().await;
    store.put("config", "main", config(1, &default_routes()));
    let copy = store.snapshot();
    let endpoints = support::start_endpoints(&store, &[EndpointScript::Respond]).await;
    let daemon = RunningDaemon::start(&store, "h1");
    daemon.wait_ready();
    RunningDaemon::wait_for("a response", || is_served(&daemon, "safe"));
    store.restore(&copy);
    for _ in 0..10 {
        std::thread::sleep(Duration::from_millis(100));
        assert!(is_served(&daemon, "safe"));
    }
    store.put("servers", "e0", endpoints[0].entry("s", "ready"));
    std::thread::sleep(Duration::from_secs(3));
    assert!(is_served(&daemon, "safe"));
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_out_of_service_stays_so_until_its_entry_is_written_again() {
    let (store, _endpoints, daemon) = support::deployment(&[EndpointScript::Respond]).await;
    let copy = store.snapshot();
    store.put("evacuations", "a", json!({}));
    RunningDaemon::wait_for("the refusal", || !is_served(&daemon, "safe"));
    store.restore(&copy);
    std::thread::sleep(SETTLE_TIME);
    assert!(!is_served(&daemon, "safe"));
    store.put("evacuations", "a", json!({}));
    std::thread::sleep(SETTLE_TIME);
    assert!(!is_served(&daemon, "safe"));
    store.remove("evacuations", "a");
    RunningDaemon::wait_for("a response", || is_served(&daemon, "safe"));
}

#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_stays_revoked() {
    let (store, _endpoints, daemon) = support::deployment(&[EndpointScript::Respond]).await;
    let copy = store.snapshot();
    let mut without_key = config(2, &default_routes());
    without_key["tenants"][0]["api_keys"] = json!(["another"]);
    store.put("config", "main", without_key);
    let status = || daemon.call("GET /safe/ HTTP/1.1", "r").status;
    RunningDaemon::wait_for("the refusal", || status() == 401);
    store.restore(&copy);
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(status(), 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn response_of_an_earlier_era_changes_nothing() {
    let (store, _endpoints, daemon) = support::deployment(&[EndpointScript::Respond]).await;
    store.restore(&store.snapshot());
    RunningDaemon::wait_for("the era", || metric(&daemon, "store_era") >= 1.0);
    store.state_era(Some(0));
    store.put("servers", "e0", json!({"service": 7}));
    store.put("config", "main", config(9, &routes_with(&["late"])));
    std::thread::sleep(SETTLE_TIME);
    assert!(!is_served(&daemon, "late"));
    assert!(is_served(&daemon, "safe"));
    store.state_era(None);
    RunningDaemon::wait_for("the removal", || !is_served(&daemon, "safe"));
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_whose_entry_is_lost_registers_again_and_the_others_make_no_call() {
    let store = FakeObjectStore::start().await;
    store.put("config", "main", config(1, &default_routes()));
    support::start_endpoints(&store, &[EndpointScript::Respond]).await;
    let first = RunningDaemon::start(&store, "h1");
    RunningDaemon::wait_for("the first entry", || {
        store.spec(DAEMON_KIND, "h1").is_some()
    });
    let copy = store.snapshot();
    let second = RunningDaemon::start(&store, "h2");
    RunningDaemon::wait_for("the second entry", || {
        store.spec(DAEMON_KIND, "h2").is_some()
    });
    for daemon in [&first, &second] {
        daemon.wait_ready();
    }
    // The daemons know each other by now.
    std::thread::sleep(SETTLE_TIME);
    store.restore(&copy);
    RunningDaemon::wait_for("the second entry", || {
        store.spec(DAEMON_KIND, "h2").is_some()
    });
    std::thread::sleep(Duration::from_secs(4));
    let registrations = |daemon: &RunningDaemon| daemon.log().matches("registered in").count();
    assert_eq!((registrations(&first), registrations(&second)), (1, 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_without_the_store_learn_of_the_return_from_others() {
    let (store, endpoints, first) = support::deployment(&[EndpointScript::Respond]).await;
    let link = proxy::FaultProxy::start(fleet::free_address(), store.address()).await;
    let link = link.unwrap();
    let second = RunningDaemon::start_with_store(link.address(), "h2");
    second.wait_ready();
    RunningDaemon::wait_for_followers(&[&first, &second], 1);
    let copy = store.snapshot();
    store.put("servers", "e0", endpoints[0].entry("s", "draining"));
    RunningDaemon::wait_for("the refusal", || !is_served(&second, "safe"));
    link.control().set(proxy::LinkFault::Cut);
    store.restore(&copy);
    store.put("config", "main", config(5, &routes_with(&["next"])));
    let status = |daemon: &RunningDaemon| daemon.call("GET /next/ HTTP/1.1", "r").status;
    for daemon in [&first, &second] {
        RunningDaemon::wait_for("the next route", || status(daemon) != 404);
        assert_eq!(status(daemon), 503, "the leaving endpoint was opened");
    }
    assert_eq!(metric(&second, "store_era"), 1.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn return_while_the_placer_changes_leaves_the_others_in_agreement() {
    let (store, endpoints, first) = support::deployment(&[EndpointScript::Respond]).await;
    let names = ["h2", "h3"];
    let [second, third] = names.map(|host| RunningDaemon::start(&store, host));
    let mut daemons = [first, second, third];
    for daemon in &daemons {
        daemon.wait_ready();
    }
    RunningDaemon::wait_for_followers(&daemons.each_ref(), 2);
    let copy = store.snapshot();
    store.put("servers", "e0", endpoints[0].entry("s", "draining"));
    for daemon in &daemons {
        RunningDaemon::wait_for("the refusal", || !is_served(daemon, "safe"));
    }
    let is_placer = |daemon: &RunningDaemon| daemon.log().contains("daemon connected");
    let placer = daemons.iter().position(is_placer).unwrap();
    store.restore(&copy);
    daemons[placer].process.kill();
    std::thread::sleep(SETTLE_TIME);
    let others = (0..3).filter(|index| *index != placer);
    for index in others {
        assert!(!is_served(&daemons[index], "safe"));
    }
    let mut entry = endpoints[0].entry("s", "ready");
    entry["sequence"] = 2.into();
    store.put("servers", "e0", entry);
    for index in (0..3).filter(|index| *index != placer) {
        RunningDaemon::wait_for("a response", || is_served(&daemons[index], "safe"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemon_whose_entry_is_listed_does_not_write_it_again() {
    let (store, _endpoints, mut daemon) = support::deployment(&[EndpointScript::Respond]).await;
    daemon.restart();
    RunningDaemon::wait_for("the entry", || {
        daemon.log().contains("entry found in the store")
    });
    daemon.wait_ready();
    assert_eq!(daemon.log().matches("registered in").count(), 1);
    assert!(store.spec(DAEMON_KIND, "h1").is_some());
}

/// Returns a configuration that daemons send to each other as a difference.
fn large_config(version: u64, last_route: &str) -> Value {
    let names: Vec<String> = (0..40).map(|number| format!("route-{number}")).collect();
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    names.push(last_route);
    config(version, &routes_with(&names))
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_a_daemon_that_has_seen_older_ones_since_its_own() {
    let store = FakeObjectStore::start().await;
    store.put("config", "main", large_config(10, "old"));
    support::start_endpoints(&store, &[EndpointScript::Respond]).await;
    let mut links = Vec::new();
    for _ in 0..2 {
        let link = proxy::FaultProxy::start(fleet::free_address(), store.address()).await;
        links.push(link.unwrap());
    }
    let daemons = [0, 1].map(|index| {
        let host = format!("h{index}");
        RunningDaemon::start_with_store(links[index].address(), &host)
    });
    for daemon in &daemons {
        daemon.wait_ready();
    }
    RunningDaemon::wait_for_followers(&daemons.each_ref(), 1);
    // One daemon alone sees older versions, more than it keeps as bases of differences.
    links[0].control().set(proxy::LinkFault::Cut);
    for version in 1..=6 {
        store.put("config", "main", large_config(version, "older"));
        std::thread::sleep(SETTLE_TIME);
    }
    RunningDaemon::wait_for("the older versions", || {
        daemons[1].log().matches("object ignored").count() >= 5
    });
    links[1].control().set(proxy::LinkFault::Cut);
    store.put("config", "main", large_config(11, "new"));
    // The other daemon lists the newest version only.
    store.compact();
    links[0].control().set(proxy::LinkFault::None);
    for daemon in &daemons {
        RunningDaemon::wait_for("the new configuration", || is_served(daemon, "new"));
    }
    assert!(!daemons[1].log().contains("base revision is not available"));
}
