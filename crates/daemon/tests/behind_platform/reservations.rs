//! Memory that is reserved for prompts.

use std::time::Duration;
use std::time::Instant;

use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;
use serde_json::json;

use crate::support;
use crate::support::RunningDaemon;

/// Time to the deadline of the prompt.
const DEADLINE_MS: u64 = 14_000;
/// Time for which memory may be reserved without use; set by the users' rules.
const MAX_UNUSED: Duration = Duration::from_millis(9_000);

/// Returns the times and bodies of the orders that an endpoint got with an operation.
fn orders(endpoint: &FakeEndpoint, operation: &str) -> Vec<(Instant, serde_json::Value)> {
    let requests = endpoint.requests().into_iter();
    let orders = requests.filter(|request| request.request_line.starts_with("POST /-/order"));
    let bodies = orders.map(|order| (order.at, serde_json::from_slice(&order.body).unwrap()));
    bodies
        .filter(|(_, body): &(Instant, serde_json::Value)| body["op"] == operation)
        .collect()
}

// Guards against memory that stays reserved beside an endpoint that never begins to work on the
// prompt, until the prompt's deadline.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_once_the_endpoint_that_was_to_use_it_is_given_up() {
    let store = FakeObjectStore::start().await;
    let mut route = support::route("stream", "stream", true);
    route["timeout_ms"] = json!(DEADLINE_MS);
    let mut config = support::config(1, &[route]);
    config["services"][0]["engine"] = json!({"slots": 4, "kv_capacity_tokens": 20_000,
        "stride": 51, "step_ms": 1.0, "per_seq_ms": 0.0, "context_per_k": 0.0,
        "read_per_s": 1_000_000.0, "pairs_per_m": 0.01, "chunk": 2_048});
    store.put("config", "main", config);
    let stalled = [EndpointScript::Stall; 2];
    let endpoints = support::start_endpoints(&store, &stalled).await;
    let daemon = RunningDaemon::start(&store, "h1");
    daemon.wait_ready();
    let key = format!("Authorization: Bearer {}", support::KEY);
    let deadline = format!("X-Deadline-Ms: {DEADLINE_MS}");
    let usage = "X-Token-Usage: 22000,10";
    let headers = ["X-Attempt-Id: r1", &key, &deadline, usage];
    let sent_at = Instant::now();
    support::send_request(daemon.clients, "GET /stream/ HTTP/1.1", &headers);
    let all_orders = |operation| -> Vec<(Instant, serde_json::Value)> {
        let endpoints = endpoints.iter();
        endpoints
            .flat_map(|endpoint| orders(endpoint, operation))
            .collect()
    };
    assert!(!all_orders("reserve").is_empty());
    RunningDaemon::wait_for("the release", || !all_orders("release").is_empty());
    let held = all_orders("release")[0].0 - sent_at;
    assert!(held < MAX_UNUSED, "{held:?}");
    // If the daemon is killed, the memory stays reserved until the last order expires.
    for (at, body) in all_orders("reserve") {
        let expires = at - sent_at + Duration::from_millis(body["hold_ms"].as_u64().unwrap());
        assert!(expires < MAX_UNUSED, "{expires:?}");
    }
}
