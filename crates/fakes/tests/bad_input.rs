//! Bad input gets a clear refusal, says that nothing was run, and takes no memory.

use std::net;
use std::time::Duration;

use http_body_util::BodyExt;
use sardinepaddle_fakes::caller;
use sardinepaddle_fakes::fleet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Memory that refusals may add to a daemon, in KiB.
const MEMORY_GROWTH_KIB: u64 = 32 << 10;

fn completion(body: &str) -> http::request::Builder {
    http::Request::post("/v1/completions")
        .header(http::header::HOST, "test")
        .header("x-customer", fleet::CUSTOMER)
        .header(http::header::CONTENT_LENGTH, body.len())
}

async fn refused(
    address: net::SocketAddr,
    request: http::request::Builder,
    body: &str,
    status: u16,
    reason: &str,
) {
    let body = bytes::Bytes::from(body.to_owned());
    let request = request.body(http_body_util::Full::new(body)).unwrap();
    let response = caller::exchange(address, request).await.unwrap();
    assert_eq!(response.status().as_u16(), status, "{reason}");
    assert!(response.headers().contains_key("x-request-id"), "{reason}");
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let body = serde_json::from_slice::<serde_json::Value>(&body).unwrap();
    assert_eq!(body["error"]["outcome"], "not_run", "{body}");
    assert_eq!(body["error"]["reason"], reason, "{body}");
}

fn memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_fault_is_named_and_nothing_is_run() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let at = fleet.callers(0);
    let good = r#"{"model":"lunch-1","prompt":"hello","max_tokens":3}"#;

    refused(at, completion("{"), "{", 400, "bad_json").await;
    let missing = r#"{"prompt":"hello"}"#;
    refused(at, completion(missing), missing, 400, "bad_field").await;
    let unknown = r#"{"model":"nothing","prompt":"hello"}"#;
    refused(at, completion(unknown), unknown, 404, "unknown_model").await;
    let none = r#"{"model":"lunch-1","prompt":"hello","max_tokens":0}"#;
    refused(at, completion(none), none, 400, "bad_max_tokens").await;
    let stranger = http::Request::post("/v1/completions").header("x-customer", "nobody");
    refused(
        at,
        stranger.header(http::header::HOST, "test"),
        good,
        403,
        "unknown_customer",
    )
    .await;
    let nobody = http::Request::post("/v1/completions").header(http::header::HOST, "test");
    refused(at, nobody, good, 400, "missing_header").await;
    refused(
        at,
        completion(good).header("x-timeout-ms", "-5"),
        good,
        400,
        "bad_deadline",
    )
    .await;
    refused(
        at,
        completion(good).header("x-timeout-ms", "0"),
        good,
        400,
        "bad_deadline",
    )
    .await;
    refused(
        at,
        completion(good).header("x-deadline-ms", "1000"),
        good,
        400,
        "bad_deadline",
    )
    .await;
    let path = http::Request::get("/nowhere").header(http::header::HOST, "test");
    refused(
        at,
        path.header("x-customer", fleet::CUSTOMER),
        "",
        404,
        "unknown_service",
    )
    .await;
    let long = "x".repeat(20 << 10);
    refused(
        at,
        completion(good).header("x-extra", &long),
        good,
        431,
        "headers_too_large",
    )
    .await;
    let tokens = vec!["1"; 900_000].join(",");
    let huge = format!(r#"{{"model":"lunch-1","prompt":[{tokens}],"max_tokens":3}}"#);
    refused(at, completion(&huge), &huge, 413, "prompt_too_long").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hundred_megabytes_take_no_memory() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let process = fleet.daemons[0].process.as_ref().unwrap().id();
    let before = memory_kib(process);
    for _ in 0..4 {
        send_huge(fleet.callers(0), "content-length: 104857600").await;
        send_huge(fleet.callers(0), "transfer-encoding: chunked").await;
    }
    let grown = memory_kib(process).saturating_sub(before);
    assert!(grown < MEMORY_GROWTH_KIB, "grew by {grown} KiB");
}

/// Sends as much of a huge body as the daemon takes, and reads the refusal.
async fn send_huge(address: net::SocketAddr, length: &str) {
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: test\r\nx-customer: {}\r\n{length}\r\n\r\n",
        fleet::CUSTOMER
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut read, mut write) = stream.into_split();
    let chunked = length.contains("chunked");
    let sending = tokio::spawn(async move {
        let data = vec![b'x'; 0x10000];
        for _ in 0..1_600 {
            let framed = if chunked {
                [b"10000\r\n".as_slice(), &data, b"\r\n"].concat()
            } else {
                data.clone()
            };
            if write.write_all(&framed).await.is_err() {
                return;
            }
        }
    });
    let mut reply = Vec::new();
    let mut buffer = [0; 4_096];
    let reading = async {
        while !reply.windows(9).any(|window| window == b"\"not_run\"") {
            let count = read.read(&mut buffer).await.unwrap_or(0);
            if count == 0 {
                return;
            }
            reply.extend_from_slice(&buffer[..count]);
        }
    };
    tokio::time::timeout(Duration::from_secs(30), reading)
        .await
        .unwrap();
    sending.abort();
    let text = String::from_utf8_lossy(&reply).into_owned();
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert!(text.contains("body_too_large"), "{text}");
}
