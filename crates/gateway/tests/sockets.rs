//! Connections to endpoints that disappear without closing them.

use std::time::Duration;

use sardinepaddle_gateway::sockets;

/// Time within which memory must be released after its request has ended; set by the users.
const RELEASE_TIME: Duration = Duration::from_secs(4);

/// Time for which a sound endpoint may be silent: "a second or so" by the users' rules.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Returns the time of keepalive, the interval of its probes and the user timeout of a connection.
async fn tuned_times() -> (Duration, Duration, Duration) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = tokio::net::TcpStream::connect(listener.local_addr().unwrap());
    let stream = stream.await.unwrap();
    sockets::tune(&stream).unwrap();
    let socket = socket2::SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    let idle = socket.tcp_keepalive_time().unwrap();
    let interval = socket.tcp_keepalive_interval().unwrap();
    (idle, interval, socket.tcp_user_timeout().unwrap().unwrap())
}

// The user timeout decides when probes give up: the connection fails at the first probe after it.
#[tokio::test]
async fn connection_to_an_endpoint_that_is_silent_for_a_second_survives() {
    let (idle, interval, dead) = tuned_times().await;
    let probes = (dead.as_secs_f64() / interval.as_secs_f64()).ceil() as u32;
    // The silence may begin right before the first probe.
    let shortest_fatal = interval * probes - idle;
    assert!(shortest_fatal > SILENCE, "{shortest_fatal:?}");
}

// Guards against leaked reservations: when an engine disappears, the request that waits for its
// first event must fail early enough to release the memory reserved for it on other engines. That
// memory was once renewed for 5.6 s more (zaatar-amman-grown, mix, seed 39688492062: LEAK).
#[tokio::test]
async fn connection_to_a_vanished_endpoint_fails_in_time_to_release_memory() {
    let (idle, _, dead) = tuned_times().await;
    assert!(idle + dead < RELEASE_TIME, "{idle:?} {dead:?}");
}
