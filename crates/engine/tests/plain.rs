//! Tests responses of plain services.

use std::io::Read;
use std::io::Write;
use std::net;
use std::thread;
use std::time::Duration;

use model::outcome;
use sardinepaddle_engine::plain;
use tokio::time;

/// Starts a service that sends these bytes to each caller, and returns its address.
fn serve(response: String) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("the client connects");
            let mut request = [0; 1_024];
            let read = stream.read(&mut request);
            read.and_then(|_| stream.write_all(response.as_bytes()))
                .expect("the client reads");
        }
    });
    address
}

async fn call(status: &str) -> plain::PlainResult {
    let address = serve(format!(
        "HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok"
    ));
    let call = plain::PlainCall {
        method: http::Method::GET,
        path: "/".to_owned(),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
    };
    let send_deadline = time::Instant::now() + Duration::from_secs(5);
    plain::call(address, send_deadline, &call).await
}

// Guards against a response without a valid final status that reaches a client.
#[tokio::test]
async fn response_without_a_valid_final_status_is_broken() {
    for status in ["101", "600", "999"] {
        let result = call(status).await;
        assert!(result.response.is_none(), "{status}");
        assert_eq!(result.outcome, outcome::AttemptOutcome::Broken, "{status}");
    }
    for status in ["200", "404", "599"] {
        assert!(call(status).await.response.is_some(), "{status}");
    }
}
