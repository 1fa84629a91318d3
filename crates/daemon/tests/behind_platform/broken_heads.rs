//! Responses that end before their first body byte, or shortly after.

use fakes::fleet;
use platform_fakes::raw;
use platform_fakes::raw::RawEndpoint;
use platform_fakes::raw::RawResponse;
use platform_fakes::store::FakeObjectStore;
use serde_json::Value;
use serde_json::json;

use crate::cut_off;
use crate::support;
use crate::support::KEY;
use crate::support::RunningDaemon;

/// Attempt ids have this length, so that all responses have the same.
const ID_LENGTH: usize = 6;
const KINDS: [(&str, bool); 3] = [("safe", false), ("unsafe", false), ("stream", true)];
/// Distance of the places at which the response of another daemon is cut, each with a daemon of its own.
const PEER_STEP: usize = 11;

fn response_length() -> usize {
    raw::whole_response(&"x".repeat(ID_LENGTH)).len()
}

/// Returns a configuration with a service for each place at which a response can be cut, and a route to
/// each, of all kinds in turn.
fn config_of_cuts(version: u64) -> Value {
    let names: Vec<String> = (0..response_length())
        .map(|after| format!("s{after}"))
        .collect();
    let routes: Vec<Value> = names
        .iter()
        .zip(KINDS.iter().cycle())
        .map(|(name, (kind, resumable))| {
            let mut route = support::route(name, kind, *resumable);
            route["service"] = name.as_str().into();
            route
        })
        .collect();
    let mut config = support::config(version, &routes);
    let service = config["services"][0].clone();
    let services = names.iter().map(|name| {
        let mut service = service.clone();
        service["name"] = name.as_str().into();
        service
    });
    config["services"] = services.collect();
    config
}

/// Starts an endpoint for each of these services. It cuts a response after `whole` whole ones on the same
/// connection.
async fn start_cut(store: &FakeObjectStore, whole: usize) -> Vec<RawEndpoint> {
    let mut endpoints = Vec::new();
    for after in 0..response_length() {
        let response = RawResponse::Cut { after, whole };
        let endpoint = RawEndpoint::start(&format!("cut-{after}"), response).await;
        store.put(
            "servers",
            &endpoint.id,
            endpoint.entry(&format!("s{after}")),
        );
        endpoints.push(endpoint);
    }
    endpoints
}

/// Sends `count` requests to each service and returns those whose response is neither that of their
/// attempt nor a failure. A stream may end early if that is visible.
fn wrong_responses(daemon: &RunningDaemon, count: usize) -> Vec<String> {
    let mut wrong = Vec::new();
    for number in 0..count * response_length() {
        let (after, id) = (number / count, format!("{number:0ID_LENGTH$}"));
        let response = daemon.call(&format!("POST /s{after}/ HTTP/1.1"), &id);
        let (kind, _) = KINDS[after % KINDS.len()];
        let is_whole = response.is_complete && response.body == format!("id: 1\ndata: {id}\n\n");
        let is_right = match response.status {
            200 => is_whole || (kind == "stream" && !response.is_complete),
            status => status >= 500,
        };
        if !is_right {
            wrong.push(format!("{kind} {id}, cut after {after}: {response:?}"));
        }
    }
    wrong
}

fn assert_reached(endpoints: &[RawEndpoint]) {
    for endpoint in endpoints {
        assert!(endpoint.request_count() > 0, "{}", endpoint.id);
    }
}

async fn start_daemon(store: &FakeObjectStore) -> RunningDaemon {
    store.put("config", "main", config_of_cuts(1));
    let bounds = "bounds: { grace_s: 6, retry_extra: 1000 }\n";
    let daemon = RunningDaemon::start_with_settings(store, "h1", bounds);
    daemon.wait_ready();
    daemon
}

// Guards against a response that broke off in its head and is passed on as a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn response_that_breaks_off_in_its_head_is_a_failure() {
    for whole in [0, 1] {
        let store = FakeObjectStore::start().await;
        let endpoints = start_cut(&store, whole).await;
        let daemon = start_daemon(&store).await;
        let wrong = wrong_responses(&daemon, whole + 1);
        assert!(wrong.is_empty(), "after {whole}: {wrong:?}");
        assert_reached(&endpoints);
    }
}

// Guards against the same for a request that another daemon passes on.
#[tokio::test(flavor = "multi_thread")]
async fn response_that_breaks_off_in_its_head_at_another_daemon_is_a_failure() {
    let deployment = cut_off::CutDeployment::start(cut_off::closed_addresses).await;
    let [store, own_store] = &deployment.stores;
    let endpoints = start_cut(store, 0).await;
    for endpoint in &endpoints {
        let service = endpoint.id.replace("cut-", "s");
        let mut entry = endpoint.entry(&service);
        entry["address"] = fleet::free_address().to_string().into();
        own_store.put("servers", &endpoint.id, entry);
    }
    for store in [store, own_store] {
        store.put("config", "main", config_of_cuts(2));
    }
    let has_config = |daemon: &RunningDaemon| daemon.log().matches("config applied").count() == 2;
    let daemons = deployment.others.iter().chain([&deployment.daemon]);
    RunningDaemon::wait_for("the configuration", || daemons.clone().all(has_config));
    RunningDaemon::wait_for("the cut", || {
        deployment.daemon.call("POST /s0/ HTTP/1.1", "first");
        deployment.daemon.log().contains("no endpoint reachable")
    });
    let wrong = wrong_responses(&deployment.daemon, 1);
    assert!(wrong.is_empty(), "{wrong:?}");
    assert_reached(&endpoints);
}

// Guards against the same for the response of another daemon that breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn response_of_another_daemon_that_breaks_off_in_its_head_is_a_failure() {
    for after in (0..response_length()).step_by(PEER_STEP) {
        let store = FakeObjectStore::start().await;
        store.put(
            "config",
            "main",
            support::config(1, &support::default_routes()),
        );
        let response = RawResponse::Cut { after, whole: 0 };
        let other = RawEndpoint::start("h2", response).await;
        let entry = json!({"host": "h2", "centre": "a", "cpu_millis": 10,
            "address": fleet::free_address().to_string(),
            "callers": other.entry("s")["address"]});
        store.put("sardinepaddle-daemons", "h2", entry);
        for (number, address) in cut_off::closed_addresses(&[]).await.iter().enumerate() {
            let mut entry = other.entry("s");
            entry["address"] = address.to_string().into();
            store.put("servers", &format!("closed-{number}"), entry);
        }
        let daemon = RunningDaemon::start(&store, "h1");
        daemon.wait_ready();
        for (number, line) in ["GET /safe/", "POST /once/", "POST /stream/"]
            .iter()
            .enumerate()
        {
            let id = format!("{number:0ID_LENGTH$}");
            let response = daemon.call(&format!("{line} HTTP/1.1"), &id);
            let is_failure = response.status >= 500;
            let is_broken_stream = number == 2 && !response.is_complete;
            assert!(
                is_failure || is_broken_stream,
                "{line}, cut after {after}: {response:?}"
            );
        }
        assert!(other.request_count() > 0);
    }
}

// Guards against memory that counts as reserved though the response to its order broke off.
#[tokio::test(flavor = "multi_thread")]
async fn prompt_is_not_sent_when_the_response_about_its_memory_breaks_off_in_its_head() {
    let store = FakeObjectStore::start().await;
    let length = raw::whole_response("").find("\r\n\r\n").unwrap() + 4;
    let mut endpoints = Vec::new();
    for after in 0..length {
        let response = RawResponse::Cut { after, whole: 0 };
        let endpoint = RawEndpoint::start(&format!("cut-{after}"), response).await;
        store.put("servers", &endpoint.id, endpoint.entry("s"));
        endpoints.push(endpoint);
    }
    let route = support::route("stream", "stream", true);
    let mut config = support::config(1, &[route]);
    config["services"][0]["engine"] = json!({"slots": 4, "kv_capacity_tokens": 20_000,
        "stride": 51, "step_ms": 1.0, "per_seq_ms": 0.0, "context_per_k": 0.0,
        "read_per_s": 1_000_000.0, "pairs_per_m": 0.01, "chunk": 2_048});
    store.put("config", "main", config);
    let daemon = RunningDaemon::start(&store, "h1");
    daemon.wait_ready();
    let key = format!("Authorization: Bearer {KEY}");
    for number in 0..endpoints.len() {
        let id = format!("X-Attempt-Id: r{number}");
        let headers = [&id, &key, "X-Deadline-Ms: 4000", "X-Token-Usage: 22000,10"];
        let response = support::send_request(daemon.clients, "GET /stream/ HTTP/1.1", &headers);
        assert_eq!(response.status, 503, "{response:?}");
    }
    let attempt_ids = endpoints.iter().flat_map(RawEndpoint::attempt_ids);
    let (orders, prompts): (Vec<_>, Vec<_>) = attempt_ids.partition(String::is_empty);
    assert!(orders.len() >= endpoints.len(), "{} orders", orders.len());
    assert!(prompts.is_empty(), "{prompts:?}");
}
