//! Responses of endpoints that end with their connection, or don't end.

use std::time::Duration;
use std::time::Instant;

use platform_fakes::endpoint::EndpointScript;
use platform_fakes::raw::RawEndpoint;
use platform_fakes::raw::RawResponse;
use platform_fakes::store::FakeObjectStore;

use crate::support;
use crate::support::KEY;
use crate::support::RunningDaemon;

/// Upper limit of a daemon's memory while it reads a response without end, KB: what the hosts have.
const MEMORY_LIMIT_KB: u64 = 260 * 1024;

async fn start(response: RawResponse) -> (FakeObjectStore, RawEndpoint, RunningDaemon) {
    let (store, _, daemon) = support::deployment(&[]).await;
    let endpoint = RawEndpoint::start("d0", response).await;
    store.put("servers", &endpoint.id, endpoint.entry("s"));
    RunningDaemon::wait_for("the endpoint", || daemon.log().contains("endpoint listed"));
    (store, endpoint, daemon)
}

/// Adds an endpoint that answers with a complete stream, for requests that are tried again.
async fn add_sound(store: &FakeObjectStore, daemon: &RunningDaemon) {
    support::start_endpoints(store, &[EndpointScript::Stream { last: 4 }]).await;
    RunningDaemon::wait_for("the endpoint", || {
        daemon.log().contains("\"endpoint\":\"e0\"")
    });
}

fn call_until_raw(daemon: &RunningDaemon, endpoint: &RawEndpoint) -> support::ReceivedResponse {
    for number in 0.. {
        let response = daemon.call("POST /stream/ HTTP/1.1", &format!("r{number}"));
        if endpoint.request_count() > 0 {
            return response;
        }
    }
    unreachable!()
}

fn events(count: u64) -> String {
    (1..=count)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn body_that_ends_with_its_connection_is_complete() {
    let (_store, _endpoint, daemon) = start(RawResponse::Undelimited { body: "answer" }).await;
    let response = daemon.call("GET /safe/ HTTP/1.1", "r1");
    assert_eq!((response.status, response.body.as_str()), (200, "answer"));
    assert!(response.is_complete);
    // The connection isn't used again.
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r2").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ends_with_its_connection_is_complete() {
    let body = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
    let (_store, _endpoint, daemon) = start(RawResponse::Undelimited { body }).await;
    let response = daemon.call("POST /stream/ HTTP/1.1", "r1");
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, events(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ends_inside_an_event_is_resumed_elsewhere() {
    let bodies = [
        RawResponse::Undelimited {
            body: "id: 1\ndata: piece 1\n\nid: 2\nda",
        },
        RawResponse::UndelimitedReset {
            body: "id: 1\ndata: piece 1\n\n",
        },
        // Not a single event: the endpoint ended before it began to write.
        RawResponse::Undelimited { body: "" },
    ];
    for response in bodies {
        let (store, endpoint, daemon) = start(response).await;
        add_sound(&store, &daemon).await;
        let received = call_until_raw(&daemon, &endpoint);
        assert!(received.is_complete, "{response:?}: {received:?}");
        assert_eq!(received.body, events(4), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn response_without_end_is_ended_by_the_deadline_and_fills_no_memory() {
    for response in [
        RawResponse::EndlessHeader,
        RawResponse::EndlessBody,
        RawResponse::EndlessEvents,
    ] {
        for line in ["GET /safe/ HTTP/1.1", "POST /stream/ HTTP/1.1"] {
            let (_store, endpoint, daemon) = start(response).await;
            let started_at = Instant::now();
            let key = format!("Authorization: Bearer {KEY}");
            let headers = ["X-Attempt-Id: r1", &key, "X-Deadline-Ms: 1500"];
            let received = support::send_request(daemon.clients, line, &headers);
            let text = format!("{response:?} {line}: status {}", received.status);
            assert!(!received.is_complete || received.status >= 500, "{text}");
            assert!(
                started_at.elapsed() < Duration::from_millis(2_500),
                "{text}"
            );
            RunningDaemon::wait_for("the end of the response", || endpoint.open_count() == 0);
            let memory_kb = daemon.process.peak_memory_kb();
            assert!(memory_kb < MEMORY_LIMIT_KB, "{text}: {memory_kb} KB");
        }
    }
}

/// Copies of the response to another request, as they may come before the response to this one.
const LATE_COPIES: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-runner-signature: s\r\ncontent-length: 4\r\n\r\ncopy",
    "HTTP/1.1 200 OK\r\nx-runner-signature: s\r\ncontent-length: 4\r\n\r\ncopy",
    "HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-runner-signature: s\r\ncontent-length: 40\r\n\r\ncopy",
    "HTTP/1.1 500 Failed\r\nx-attempt-id: r1\r\nx-runner-signature: s\r\ncontent-length: 4\r\n\r\ncopy",
    "HTTP/1.1 500 Failed\r\nx-runner-signature: s\r\ncontent-length: 4\r\n\r\ncopy",
    "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 4\r\n\r\ncopy",
];

// Guards against answers of other requests: a failure and a refusal without an attempt id were taken
// for those of the request that was sent next on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_on_a_reused_connection_is_not_taken_for_the_response() {
    for copy in LATE_COPIES {
        let (_store, endpoint, daemon) = start(RawResponse::Preceded { copy }).await;
        let first = daemon.call("GET /safe/ HTTP/1.1", "r1");
        assert_eq!((first.status, first.body.as_str()), (200, "r1"));
        let second = daemon.call("GET /safe/ HTTP/1.1", "r2");
        assert!(endpoint.request_count() >= 2, "{copy}");
        assert!(!second.body.contains("copy"), "{copy}: {second:?}");
        match second.status {
            200 => assert_eq!(second.body, "r2", "{copy}"),
            // The endpoint may have run the request.
            status => assert_eq!(status, 502, "{copy}: {second:?}"),
        }
    }
}
