//! Responses that are none: statuses that can't end a request, and bodies cut under an upload.

use platform_fakes::endpoint::EndpointScript;
use platform_fakes::raw::RawEndpoint;
use platform_fakes::raw::RawResponse;
use platform_fakes::store::FakeObjectStore;
use serde_json::json;

use crate::cut_off;
use crate::support;
use crate::support::KEY;
use crate::support::ReceivedResponse;
use crate::support::RunningDaemon;

const LINES: [&str; 3] = [
    "GET /safe/ HTTP/1.1",
    "POST /once/ HTTP/1.1",
    "POST /stream/ HTTP/1.1",
];
/// Number of uploads that are reset for each kind of request.
const RESETS: usize = 20;

/// Whole, signed responses with statuses that can't end a request.
fn odd_statuses() -> Vec<RawResponse> {
    [
        "HTTP/1.1 000 Odd\r\nx-attempt-id: {id}\r\nx-runner-signature: sig\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 101 Odd\r\nx-attempt-id: {id}\r\nx-runner-signature: sig\r\n\r\nodd",
        "HTTP/1.1 101 Odd\r\nx-attempt-id: {id}\r\nx-runner-signature: sig\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nodd",
        "HTTP/1.1 199 Odd\r\nx-attempt-id: {id}\r\nx-runner-signature: sig\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 600 Odd\r\nx-attempt-id: {id}\r\nx-runner-signature: sig\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 600 Odd\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 999 Odd\r\nx-attempt-id: {id}\r\nx-runner-signature: sig\r\ncontent-length: 3\r\n\r\nodd",
    ]
    .map(|text| RawResponse::Text { text })
    .to_vec()
}

async fn start(response: RawResponse) -> (FakeObjectStore, RawEndpoint, RunningDaemon) {
    let (store, _, daemon) = support::deployment(&[]).await;
    let endpoint = RawEndpoint::start("d0", response).await;
    store.put("servers", &endpoint.id, endpoint.entry("s"));
    RunningDaemon::wait_for("the endpoint", || daemon.log().contains("endpoint listed"));
    (store, endpoint, daemon)
}

/// Sends a request with a body that the endpoint's system doesn't receive whole.
fn upload(daemon: &RunningDaemon, line: &str, id: &str) -> ReceivedResponse {
    let key = format!("Authorization: Bearer {KEY}");
    let id = format!("X-Attempt-Id: {id}");
    let headers = [id.as_str(), &key, "X-Deadline-Ms: 2000"];
    support::send_request_with(daemon.clients, line, &headers, &"x".repeat(60_000))
}

// Guards against a response without a valid final status that reaches a client.
#[tokio::test(flavor = "multi_thread")]
async fn response_without_a_valid_final_status_gives_a_failure_of_the_daemon() {
    for response in odd_statuses() {
        let (_store, endpoint, daemon) = start(response).await;
        for line in LINES {
            let received = daemon.call(line, &format!("r{}", endpoint.request_count()));
            assert_eq!(received.status, 502, "{response:?} {line}: {received:?}");
            assert!(!received.body.contains("odd"), "{response:?} {line}");
        }
        assert_eq!(endpoint.request_count(), LINES.len(), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_run_again_is_answered_by_another_endpoint() {
    let text = "HTTP/1.1 600 Odd\r\nx-attempt-id: {id}\r\nx-runner-signature: sig\r\ncontent-length: 3\r\n\r\nodd";
    let (store, endpoint, daemon) = start(RawResponse::Text { text }).await;
    support::start_endpoints(&store, &[EndpointScript::Respond]).await;
    RunningDaemon::wait_for("the endpoint", || {
        daemon.log().contains("\"endpoint\":\"e0\"")
    });
    for number in 0..10 {
        let received = daemon.call(LINES[0], &format!("r{number}"));
        assert_eq!(received.status, 200, "{received:?}");
    }
    assert!(endpoint.request_count() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_without_a_valid_final_status_reserve_nothing() {
    for response in odd_statuses() {
        let store = FakeObjectStore::start().await;
        let mut config = support::config(1, &support::default_routes());
        config["services"][0]["engine"] = json!({"slots": 4, "kv_capacity_tokens": 20_000,
            "stride": 51, "step_ms": 1.0, "per_seq_ms": 0.0, "context_per_k": 0.0,
            "read_per_s": 1_000_000.0, "pairs_per_m": 0.01, "chunk": 2_048});
        store.put("config", "main", config);
        let mut endpoints = Vec::new();
        for id in ["d0", "d1"] {
            let endpoint = RawEndpoint::start(id, response).await;
            store.put("servers", id, endpoint.entry("s"));
            endpoints.push(endpoint);
        }
        let daemon = RunningDaemon::start(&store, "h1");
        daemon.wait_ready();
        let key = format!("Authorization: Bearer {KEY}");
        let headers = [
            "X-Attempt-Id: r1",
            &key,
            "X-Deadline-Ms: 2000",
            "X-Token-Usage: 22000,10",
        ];
        let received = support::send_request(daemon.clients, LINES[2], &headers);
        assert!(received.status >= 500, "{response:?}: {received:?}");
        let ids: Vec<String> = endpoints
            .iter()
            .flat_map(RawEndpoint::attempt_ids)
            .collect();
        // Orders have no attempt id.
        assert!(ids.contains(&String::new()), "{response:?}");
        assert!(!ids.contains(&"r1".to_owned()), "{response:?}");
    }
}

// Guards against a part of a response that is passed on as a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn response_reset_under_the_upload_is_not_complete() {
    let body = "id: 1\ndata: part\n\n";
    let (_store, endpoint, daemon) = start(RawResponse::ResetUnderUpload { body }).await;
    for line in LINES {
        for number in 0..RESETS {
            let received = upload(&daemon, line, &format!("r{number}"));
            let is_whole = received.status == 200 && received.is_complete;
            assert!(!is_whole, "{line}: {received:?}");
        }
    }
    assert!(endpoint.request_count() >= RESETS);
}

#[tokio::test(flavor = "multi_thread")]
async fn unsound_responses_over_another_daemon_are_not_passed_on() {
    let deployment = cut_off::CutDeployment::start(cut_off::closed_addresses).await;
    let [store, _] = &deployment.stores;
    for endpoint in &deployment.endpoints {
        store.remove("servers", &endpoint.id);
    }
    let body = "id: 1\ndata: part\n\n";
    let mut responses = odd_statuses();
    responses.push(RawResponse::ResetUnderUpload { body });
    for (number, response) in responses.into_iter().enumerate() {
        let endpoint = RawEndpoint::start(&format!("d{number}"), response).await;
        store.put("servers", &endpoint.id, endpoint.entry("s"));
        for daemon in &deployment.others {
            let listed = format!("\"endpoint\":\"d{number}\"");
            RunningDaemon::wait_for("the endpoint", || daemon.log().contains(&listed));
        }
        for attempt in 0.. {
            let line = LINES[attempt % LINES.len()];
            let received = upload(&deployment.daemon, line, &format!("r{number}-{attempt}"));
            let is_whole = received.status == 200 && received.is_complete;
            assert!(!is_whole, "{response:?} {line}: {received:?}");
            assert!(
                received.status == 200 || (500..600).contains(&received.status),
                "{response:?} {line}: {received:?}"
            );
            if endpoint.request_count() >= LINES.len() {
                break;
            }
        }
        store.remove("servers", &endpoint.id);
    }
}
