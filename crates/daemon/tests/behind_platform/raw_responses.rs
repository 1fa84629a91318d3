//! Responses of endpoints that end with their connection, or don't end.

use std::io::Read;
use std::io::Write;
use std::net;
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
/// Length of a response that the buffers of a connection don't hold, bytes.
const LARGE_LENGTH: usize = 15 * 1024 * 1024;

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

// Guards against a daemon that runs out of memory by the sum of long responses, each of which is
// allowed.
#[tokio::test(flavor = "multi_thread")]
async fn long_responses_to_clients_that_read_nothing_fill_no_memory() {
    let response = RawResponse::Large {
        length: LARGE_LENGTH,
    };
    let (store, _, daemon) = support::deployment(&[]).await;
    for number in 0..4 {
        let id = format!("d{number}");
        let endpoint = RawEndpoint::start(&id, response).await;
        store.put("servers", &id, endpoint.entry("s"));
        let listed = format!("\"endpoint\":\"{id}\"");
        RunningDaemon::wait_for("the endpoint", || daemon.log().contains(&listed));
    }
    let mut clients = Vec::new();
    for number in 0..40 {
        let mut client = connect_with_small_buffer(daemon.clients);
        let request = format!(
            "GET /safe/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {KEY}\r\n\
             X-Attempt-Id: r{number}\r\nX-Deadline-Ms: 8000\r\nConnection: close\r\n\r\n"
        );
        client.write_all(request.as_bytes()).unwrap();
        clients.push(client);
    }
    // By then all have been answered or refused.
    std::thread::sleep(Duration::from_millis(9_000));
    let memory_kb = daemon.process.peak_memory_kb();
    println!("peak memory: {memory_kb} KB");
    assert!(memory_kb < MEMORY_LIMIT_KB, "{memory_kb} KB");
    let mut answered = 0;
    for mut client in clients {
        let mut bytes = Vec::new();
        let read = client.read_to_end(&mut bytes);
        let is_success = bytes.starts_with(b"HTTP/1.1 200 ");
        let is_whole = bytes.ends_with(&[b'x'; LARGE_LENGTH]);
        assert_eq!(is_success, is_whole, "{read:?}, {} bytes", bytes.len());
        answered += usize::from(is_whole);
    }
    assert!(answered > 0);
    RunningDaemon::wait_for("the release of the bytes", || {
        let metrics = support::send_request(daemon.metrics, "GET /metrics HTTP/1.1", &[]);
        let mut lines = metrics.body.lines();
        lines.any(|line| line.contains("held_bytes") && line.ends_with(" 0"))
    });
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "last").status, 200);
}

/// Connects a client whose system receives little before the client reads.
fn connect_with_small_buffer(address: net::SocketAddr) -> net::TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}

// Guards against a request that was given up and is delivered to its endpoint all the same.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_was_given_up_is_not_delivered_later() {
    let after = Duration::from_millis(2_000);
    // Longer than what the endpoint's system receives before the endpoint reads.
    let body = "x".repeat(60_000);
    for line in ["POST /once/ HTTP/1.1", "POST /stream/ HTTP/1.1"] {
        let (_store, endpoint, daemon) = start(RawResponse::ReadLate { after }).await;
        let key = format!("Authorization: Bearer {KEY}");
        let headers = ["X-Attempt-Id: r1", &key, "X-Deadline-Ms: 800"];
        let received = support::send_request_with(daemon.clients, line, &headers, &body);
        // Which of the two depends on whether the attempt or the request ends first.
        assert!(
            [502, 504].contains(&received.status),
            "{line}: {received:?}"
        );
        std::thread::sleep(after);
        assert_eq!(endpoint.attempt_ids(), [] as [&str; 0], "{line}");
    }
}

// Guards against an attempt that goes on past its deadline while its client reads nothing.
#[tokio::test(flavor = "multi_thread")]
async fn stream_to_a_client_that_reads_nothing_is_ended_by_the_deadline() {
    let (_store, endpoint, daemon) = start(RawResponse::EndlessEvents).await;
    let mut client = net::TcpStream::connect(daemon.clients).unwrap();
    let head = format!(
        "POST /stream/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {KEY}\r\n\
         X-Attempt-Id: r1\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
    );
    let sent_at = Instant::now();
    client.write_all(head.as_bytes()).unwrap();
    RunningDaemon::wait_for("the response", || endpoint.open_count() == 1);
    RunningDaemon::wait_for("its end", || endpoint.open_count() == 0);
    assert!(sent_at.elapsed() < Duration::from_millis(2_500));
    let mut received = Vec::new();
    // The connection may be reset, as it ends with bytes that are not sent.
    let _ = client.read_to_end(&mut received);
    assert!(!received.ends_with(b"0\r\n\r\n"));
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

/// Refusals of an earlier request, as a faulty endpoint may write them once more.
const OLD_REFUSALS: [&str; 5] = [
    "HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\ncontent-length: 4\r\n\r\ncopy",
    "HTTP/1.1 503 Busy\r\nx-attempt-id: r0\r\nx-not-executed: 1\r\ncontent-length: 4\r\n\r\ncopy",
    "HTTP/1.1 421 Misdirected\r\nx-attempt-id: r0\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 429 Busy\r\nx-not-executed: 1\r\nretry-after: 1\r\ncontent-length: 4\r\n\r\ncopy",
];

// Guards against "not run" for a request that ran, and against a second run of one that may run once,
// when an endpoint writes an earlier refusal again on a kept connection.
#[tokio::test(flavor = "multi_thread")]
async fn old_refusal_on_a_kept_connection_is_not_taken_for_that_of_a_request_that_ran() {
    let copies = OLD_REFUSALS.into_iter().flat_map(|copy| {
        [
            RawResponse::Preceded { copy },
            RawResponse::Followed { copy },
        ]
    });
    for response in copies {
        let (store, first, daemon) = start(response).await;
        let second = RawEndpoint::start("d1", response).await;
        store.put("servers", &second.id, second.entry("s"));
        RunningDaemon::wait_for("the endpoint", || {
            daemon.log().matches("endpoint listed").count() == 2
        });
        for number in 0..24 {
            let (kind, id) = match number % 3 {
                0 => ("POST /once/", format!("o{number}")),
                1 => ("POST /stream/", format!("t{number}")),
                _ => ("GET /safe/", format!("s{number}")),
            };
            let received = daemon.call(&format!("{kind} HTTP/1.1"), &id);
            let text = format!("{response:?}, {kind} {id}: {received:?}");
            let ids = [&first, &second].map(RawEndpoint::attempt_ids).concat();
            let arrivals = ids.iter().filter(|other| **other == id).count();
            let is_refused = [408, 421, 429, 503].contains(&received.status);
            assert!(!is_refused || arrivals == 0, "{text}");
            assert!(kind != "POST /once/" || arrivals <= 1, "{text}");
            assert!(!received.body.contains("copy"), "{text}");
        }
    }
}

/// Responses of the endpoint that is asked to go on with a stream, with the placeholder of its id.
const ERRORS_AFTER_BREAK: [&str; 6] = [
    "HTTP/1.1 500 Failed\r\nx-attempt-id: {id}\r\nx-runner-signature: s\r\ncontent-length: 5\r\n\r\nerror",
    "HTTP/1.1 500 Failed\r\nx-attempt-id: {id}\r\nx-runner-signature: s\r\n\r\nerror",
    "HTTP/1.1 503 Busy\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 5\r\n\r\nerror",
    "HTTP/1.1 404 Gone\r\nx-attempt-id: {id}\r\nx-runner-signature: s\r\ncontent-length: 5\r\n\r\nerror",
    "HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nx-runner-signature: s\r\ncontent-length: 14\r\n\r\ndata: error\n\n\n",
    "error without a head",
];

// Guards against the error of the next endpoint in the middle of a stream, and against a stream that
// ends as complete there.
#[tokio::test(flavor = "multi_thread")]
async fn error_of_the_endpoint_that_goes_on_with_a_stream_is_not_put_into_it() {
    let broken = RawResponse::BrokenStream {
        events: "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n",
    };
    for text in ERRORS_AFTER_BREAK {
        let (store, first, daemon) = start(broken).await;
        let second = RawEndpoint::start("d1", RawResponse::Text { text }).await;
        store.put("servers", &second.id, second.entry("s"));
        RunningDaemon::wait_for("the endpoint", || {
            daemon.log().matches("endpoint listed").count() == 2
        });
        let mut resumed = 0;
        for number in 0..8 {
            let id = format!("r{number}");
            let received = daemon.call("POST /stream/ HTTP/1.1", &id);
            let is_begun = first.attempt_ids().contains(&id);
            resumed += usize::from(is_begun && second.attempt_ids().contains(&id));
            let shown = format!("{text:?}: {received:?}");
            if received.status == 200 {
                assert_eq!(received.body, events(2), "{shown}");
                assert!(!received.is_complete, "{shown}");
            }
        }
        assert!(
            resumed > 0,
            "{text:?}: no stream went on at the second endpoint"
        );
    }
}

/// Size of a body that fits into no buffer on its way, bytes.
const LONG_BODY_BYTES: usize = 4_000_000;

// Guards against holding a complete response until its endpoint has read the request's body.
#[tokio::test(flavor = "multi_thread")]
async fn response_that_comes_before_the_body_was_read_is_passed_on_at_once() {
    for read_after in [Duration::from_millis(200), Duration::from_secs(60)] {
        let (store, endpoint, daemon) = start(RawResponse::BeforeBody { read_after }).await;
        let mut config = support::config(2, &support::default_routes());
        config["limits"]["max_body_bytes"] = (LONG_BODY_BYTES + 1).into();
        store.put("config", "main", config);
        RunningDaemon::wait_for("the configuration", || {
            daemon.log().matches("config applied").count() == 2
        });
        let body = "b".repeat(LONG_BODY_BYTES);
        let key = format!("Authorization: Bearer {KEY}");
        let headers = [
            "X-Attempt-Id: r1",
            &key,
            "X-Deadline-Ms: 4000",
            &format!("Content-Length: {LONG_BODY_BYTES}\r\n\r\n{body}"),
        ];
        let started_at = Instant::now();
        let received = support::send_request(daemon.clients, "POST /once/ HTTP/1.1", &headers);
        let took = started_at.elapsed();
        let text = format!("{read_after:?}: {took:?}, {received:?}");
        assert_eq!(
            (received.status, received.body.as_str()),
            (200, "r1"),
            "{text}"
        );
        assert!(took < Duration::from_secs(4), "{text}");
        assert_eq!(endpoint.request_count(), 1, "{text}");
    }
}

// Guards against an exit while a response is still being written to a client that reads slowly.
#[tokio::test(flavor = "multi_thread")]
async fn response_to_a_client_that_reads_slowly_is_complete_after_sigterm() {
    let response = RawResponse::Large {
        length: LARGE_LENGTH,
    };
    let (_store, _endpoint, daemon) = start(response).await;
    let mut client = net::TcpStream::connect(daemon.clients).unwrap();
    let head = format!(
        "GET /safe/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {KEY}\r\n\
         X-Attempt-Id: r1\r\nX-Deadline-Ms: 8000\r\n\r\n"
    );
    client.write_all(head.as_bytes()).unwrap();
    let mut first = [0; 15];
    client.read_exact(&mut first).unwrap();
    assert_eq!(&first, b"HTTP/1.1 200 OK");
    daemon.process.terminate();
    std::thread::sleep(Duration::from_millis(3_700));
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).unwrap();
    let is_end = |bytes: &[u8]| bytes == b"\r\n\r\n";
    let head_length = rest.windows(4).position(is_end).unwrap() + 4;
    assert_eq!(rest.len() - head_length, LARGE_LENGTH);
}

// Guards against a response that is lost as the time to keep its connection is added to the clock.
#[tokio::test(flavor = "multi_thread")]
async fn connection_that_is_to_be_kept_for_ever_is_kept() {
    let seconds = "18446744073709551615";
    let (_store, endpoint, daemon) = start(RawResponse::KeptFor { seconds }).await;
    for id in ["r1", "r2"] {
        let response = daemon.call("POST /once/ HTTP/1.1", id);
        assert_eq!((response.status, response.body.as_str()), (200, id));
    }
    assert_eq!(endpoint.attempt_ids(), ["r1", "r2"]);
    assert_eq!(daemon.log().matches("panicked").count(), 0);
}
