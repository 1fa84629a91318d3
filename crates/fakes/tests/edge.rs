//! The edge of a running daemon: metrics, logs, limits towards callers, networks of its ports.

use std::net;
use std::time::Duration;

use http_body_util::BodyExt;
use sardinepaddle_fakes::caller;
use sardinepaddle_fakes::fleet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time;

/// Longest wait for something that must happen.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Source address that no network of these tests contains.
const STRANGER: net::Ipv4Addr = net::Ipv4Addr::new(127, 0, 0, 9);

fn prompt(seed: u64, max_tokens: u64) -> caller::PromptCall {
    caller::PromptCall {
        model: fleet::MODEL.to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        seed,
        prompt_tokens: 1_000,
        max_tokens,
        timeout: WAIT_LIMIT,
    }
}

async fn text(address: net::SocketAddr, path: &str) -> String {
    let request = http::Request::get(path)
        .header(http::header::HOST, "test")
        .body(http_body_util::Full::new(bytes::Bytes::new()))
        .unwrap();
    let response = caller::exchange(address, request).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}

/// Connects from a source address of choice.
async fn connect(source: net::Ipv4Addr, to: net::SocketAddr) -> tokio::net::TcpStream {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket
        .bind(net::SocketAddr::from((source, 0)))
        .expect("a loopback source");
    socket.connect(to).await.unwrap()
}

/// Reads until the other end closes, or resets.
async fn read_all(stream: &mut tokio::net::TcpStream) -> String {
    let mut reply = Vec::new();
    let reading = async {
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            reply.extend_from_slice(&buffer[..count]);
        }
    };
    time::timeout(WAIT_LIMIT, reading).await.unwrap();
    String::from_utf8_lossy(&reply).into_owned()
}

async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let looking = async {
        while !holds().await {
            time::sleep(LOOK_PERIOD).await;
        }
    };
    let found = time::timeout(WAIT_LIMIT, looking).await;
    assert!(found.is_ok(), "{what} did not come");
}

fn sample(metrics: &str, name: &str, label: &str) -> Option<f64> {
    let line = metrics
        .lines()
        .find(|line| line.starts_with(name) && line.contains(label))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_of_a_running_daemon_are_scraped() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let admin = fleet.daemons[0].settings.listen.admin;
    for seed in 0..4 {
        let record = caller::ask(fleet.callers(0), &prompt(seed, 5)).await;
        assert_eq!(record.outcome, caller::CallOutcome::Answered, "{record:?}");
    }
    let unknown = caller::PromptCall {
        customer: "nobody".to_owned(),
        ..prompt(9, 5)
    };
    let refused = caller::ask(fleet.callers(0), &unknown).await;
    assert_eq!(refused.outcome, caller::CallOutcome::NotRun);

    // A request is counted after its response has been sent.
    wait_for("the counts of answers and refusals", async || {
        let metrics = text(admin, "/metrics").await;
        let count = |label| sample(&metrics, "requests_total{", label);
        count("outcome=\"answered\"") == Some(4.0)
            && count("reason=\"unknown_customer\"") == Some(1.0)
    })
    .await;
    let metrics = text(admin, "/metrics").await;
    let first = sample(&metrics, "time_to_first_token_seconds_count", "short");
    assert_eq!(first, Some(4.0), "{metrics}");
    let refusals = sample(&metrics, "requests_total{", "reason=\"unknown_customer\"");
    assert_eq!(refusals, Some(1.0), "{metrics}");
    let above_zero = [
        ("decisions_total", "kind=\"attempts\""),
        ("control_bytes_total", "path=\"peers\""),
        ("control_bytes_total", "path=\"platform\""),
        ("control_bytes_total", "path=\"loads\""),
        ("store_calls_total", "kind=\"hosts\""),
        ("peer_calls_total", "kind=\"sent\""),
        ("config_version", ""),
        ("config_age_seconds", ""),
        ("endpoint_carry", "endpoint=\"engine-0\""),
    ];
    for (name, label) in above_zero {
        let value = sample(&metrics, name, label);
        assert!(value.is_some_and(|value| value > 0.0), "{name}\n{metrics}");
    }
    let present = [
        ("decisions_total", "kind=\"retries\""),
        ("decisions_total", "kind=\"grants_given\""),
        ("decisions_total", "kind=\"claims_recorded\""),
        ("endpoint_requests_in_flight", "endpoint=\"engine-0\""),
        ("requests_in_flight", ""),
        ("connections_refused_total", "reason=\"headers_too_slow\""),
    ];
    for (name, label) in present {
        assert!(sample(&metrics, name, label).is_some(), "{name}\n{metrics}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_joins_a_request_by_its_id_and_holds_no_prompt() {
    const MARKER: &str = "sesame-allergy-of-child-4711";
    let plan = fleet::FleetPlan {
        log_level: "trace".to_owned(),
        ..fleet::FleetPlan::three_centres(1)
    };
    let fleet = fleet::ProcessFleet::start(&plan).await.unwrap();
    let body = format!(r#"{{"model":"lunch-1","prompt":"{MARKER}","max_tokens":5}}"#);
    let request = http::Request::post("/v1/completions")
        .header(http::header::HOST, "test")
        .header("x-customer", fleet::CUSTOMER)
        .body(http_body_util::Full::new(bytes::Bytes::from(body)))
        .unwrap();
    let response = caller::exchange(fleet.callers(0), request).await.unwrap();
    assert_eq!(response.status(), http::StatusCode::OK);
    let id = response.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let answer = serde_json::from_slice::<serde_json::Value>(&body).unwrap();
    let answer = answer["choices"][0]["text"].as_str().unwrap().to_owned();
    assert!(!answer.is_empty());

    let broken = format!(r#"{{"model":"lunch-1","prompt":["{MARKER}"],"max_tokens":5}}"#);
    let request = http::Request::post("/v1/completions")
        .header(http::header::HOST, "test")
        .header("x-customer", fleet::CUSTOMER)
        .body(http_body_util::Full::new(bytes::Bytes::from(broken)))
        .unwrap();
    let response = caller::exchange(fleet.callers(0), request).await.unwrap();
    assert_eq!(response.status(), http::StatusCode::BAD_REQUEST);

    let end = format!("request: {id} answered");
    wait_for("the line of the end", async || {
        fleet.log_text("daemon-0").contains(&end)
    })
    .await;
    let lines = fleet.log_text("daemon-0");
    let own = lines.lines().filter(|line| line.contains(&id));
    let own = own.collect::<Vec<_>>();
    for parts in [
        ["arrived", "short"],
        ["attempt", "on engine-"],
        ["answered", ""],
    ] {
        let joined = own
            .iter()
            .any(|line| parts.iter().all(|part| line.contains(part)));
        assert!(joined, "{parts:?}\n{lines}");
    }
    assert!(
        own.iter().all(|line| line.contains(" request: ")),
        "{lines}"
    );
    assert!(lines.contains("not_run: bad_field"), "{lines}");
    for index in 0..3 {
        let lines = fleet.log_text(&format!("daemon-{index}"));
        assert!(!lines.contains(MARKER), "{lines}");
        assert!(!lines.contains(&answer), "{lines}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_are_told() {
    let mut plan = fleet::FleetPlan::three_centres(1);
    plan.limits.header_read_ms = 300;
    plan.limits.body_read_ms = 300;
    let fleet = fleet::ProcessFleet::start(&plan).await.unwrap();

    let mut slow = connect(net::Ipv4Addr::LOCALHOST, fleet.callers(0)).await;
    slow.write_all(b"POST /v1/completions HTTP/1.1\r\nhost: te")
        .await
        .unwrap();
    let reply = read_all(&mut slow).await;
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
    assert!(reply.contains("headers_too_slow"), "{reply}");
    assert!(reply.contains("\"not_run\""), "{reply}");
    assert!(reply.contains("x-request-id"), "{reply}");

    let mut slow = connect(net::Ipv4Addr::LOCALHOST, fleet.callers(0)).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: test\r\nconnection: close\r\nx-customer: {}\r\n\
         content-length: 100\r\n\r\n{{",
        fleet::CUSTOMER
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    let reply = read_all(&mut slow).await;
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
    assert!(reply.contains("body_too_slow"), "{reply}");

    // A connection that has had its answer and is idle is closed without an error.
    let mut idle = connect(net::Ipv4Addr::LOCALHOST, fleet.callers(0)).await;
    idle.write_all(b"GET /nowhere HTTP/1.1\r\nhost: test\r\n\r\n")
        .await
        .unwrap();
    let reply = read_all(&mut idle).await;
    assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    assert!(!reply.contains("headers_too_slow"), "{reply}");
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_over_a_limit_are_told() {
    let mut plan = fleet::FleetPlan::three_centres(1);
    plan.limits.connections = 3;
    plan.limits.connections_per_host = 2;
    let fleet = fleet::ProcessFleet::start(&plan).await.unwrap();
    let at = fleet.callers(0);
    let own = net::Ipv4Addr::LOCALHOST;
    let call = format!(
        "GET /nowhere HTTP/1.1\r\nhost: test\r\nx-customer: {}\r\n\r\n",
        fleet::CUSTOMER
    );
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut stream = connect(own, at).await;
        stream.write_all(call.as_bytes()).await.unwrap();
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.unwrap();
        assert_eq!(&head, b"HTTP/1.1 404");
        open.push(stream);
    }

    let mut third = connect(own, at).await;
    third.write_all(call.as_bytes()).await.unwrap();
    let reply = read_all(&mut third).await;
    assert!(reply.starts_with("HTTP/1.1 429"), "{reply}");
    assert!(reply.contains("too_many_connections_from_host"), "{reply}");
    assert!(reply.contains("retry-after: 1"), "{reply}");
    assert!(reply.contains("\"not_run\""), "{reply}");

    let mut other = connect(net::Ipv4Addr::new(127, 0, 0, 2), at).await;
    other.write_all(call.as_bytes()).await.unwrap();
    let mut head = [0; 12];
    other.read_exact(&mut head).await.unwrap();
    let mut another = connect(net::Ipv4Addr::new(127, 0, 0, 3), at).await;
    another.write_all(call.as_bytes()).await.unwrap();
    let reply = read_all(&mut another).await;
    assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
    assert!(reply.contains("\"too_many_connections\""), "{reply}");

    drop(open);
    wait_for("room for a connection", async || {
        let mut stream = connect(own, at).await;
        stream.write_all(call.as_bytes()).await.is_ok()
            && stream.read_exact(&mut head).await.is_ok()
            && &head == b"HTTP/1.1 404"
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn customer_over_its_limit_is_told_when_to_come_back() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let version = fleet
        .change_config(|config| {
            for entry in config.customers.values_mut() {
                entry.max_in_flight = 1;
            }
        })
        .await
        .unwrap();
    wait_for("the configuration", async || {
        let status = fleet.status(0).await.unwrap();
        status["version"].as_u64() == Some(version.0)
    })
    .await;
    let at = fleet.callers(0);
    let long = tokio::spawn(async move { caller::ask(at, &prompt(1, 1_000)).await });
    wait_for("the first request", async || {
        let status = fleet.status(0).await.unwrap();
        status["in_flight"].as_u64() == Some(1)
    })
    .await;
    let second = caller::ask(at, &prompt(2, 5)).await;
    assert_eq!(second.outcome, caller::CallOutcome::NotRun, "{second:?}");
    assert_eq!(second.status, 429);
    assert_eq!(second.detail, "customer_limit");
    assert!(second.retry_after.is_some());
    long.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn ports_for_peers_and_operators_take_configured_networks_only() {
    let list = "{ peers: ['127.0.0.1/32'], admin: ['127.0.0.1/32'] }";
    let plan = fleet::FleetPlan {
        networks: serde_yaml_ng::from_str(list).unwrap(),
        ..fleet::FleetPlan::three_centres(1)
    };
    let fleet = fleet::ProcessFleet::start(&plan).await.unwrap();
    let listen = &fleet.daemons[0].settings.listen;

    let call = b"GET /status HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    let mut stranger = connect(STRANGER, listen.admin).await;
    stranger.write_all(call).await.unwrap();
    let reply = read_all(&mut stranger).await;
    assert!(reply.starts_with("HTTP/1.1 403"), "{reply}");
    assert!(reply.contains("network_not_allowed"), "{reply}");
    assert!(!reply.contains("incarnation"), "{reply}");
    let mut own = connect(net::Ipv4Addr::LOCALHOST, listen.admin).await;
    own.write_all(call).await.unwrap();
    assert!(read_all(&mut own).await.starts_with("HTTP/1.1 200"));

    let mut stranger = connect(STRANGER, listen.peers).await;
    // The connection may be closed before this is written.
    let _ = stranger.write_all(call).await;
    assert_eq!(read_all(&mut stranger).await, "");
    let mut own = connect(net::Ipv4Addr::LOCALHOST, listen.peers).await;
    own.write_all(call).await.unwrap();
    assert!(read_all(&mut own).await.starts_with("HTTP/1.1 "));

    let metrics = text(listen.admin, "/metrics").await;
    let reasons = ["admin_network_not_allowed", "peer_network_not_allowed"];
    for reason in reasons {
        let count = sample(&metrics, "connections_refused_total", reason);
        assert_eq!(count, Some(1.0), "{metrics}");
    }
    let record = caller::ask(fleet.callers(0), &prompt(3, 5)).await;
    assert_eq!(record.outcome, caller::CallOutcome::Answered, "{record:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unchanged_host_list_is_not_sent_again_and_news_is() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    wait_for("readings without news", async || {
        reads_no_news(&fleet).await
    })
    .await;
    let full = fleet.hosts_witness().await.full;
    assert!(fleet.list_strangers(1).await);
    wait_for("the new host at every daemon", async || {
        let mut known = true;
        for index in 0..3 {
            let status = fleet.status(index).await.unwrap();
            known &= status["members"].to_string().contains("stranger-000");
        }
        known
    })
    .await;
    let seen = fleet.hosts_witness().await;
    assert!(seen.full >= full + 3, "{seen:?}");
    wait_for("readings without news", async || {
        reads_no_news(&fleet).await
    })
    .await;

    let full = fleet.hosts_witness().await.full;
    assert!(fleet.set_hosts_tagged(false).await);
    wait_for("whole listings", async || {
        fleet.hosts_witness().await.full >= full + 3
    })
    .await;
}

/// Whether the next three readings of the host list are all told that nothing has changed.
async fn reads_no_news(fleet: &fleet::ProcessFleet) -> bool {
    let before = fleet.hosts_witness().await;
    loop {
        let now = fleet.hosts_witness().await;
        if now.full > before.full {
            return false;
        }
        if now.unchanged >= before.unchanged + 3 {
            return true;
        }
        time::sleep(LOOK_PERIOD).await;
    }
}
