//! Connections to endpoints that disappear without closing them.

use std::time::Duration;

use sardinepaddle_gateway::sockets;

/// Time within which memory must be released after its request has ended; set by the users.
const RELEASE_TIME: Duration = Duration::from_secs(4);

// Guards against leaked reservations: when an engine disappears, the request that waits for its
// first event must fail early enough to release the memory reserved for it on other engines. That
// memory was once renewed for 5.6 s more (zaatar-amman-grown, mix, seed 39688492062: LEAK).
#[tokio::test]
async fn connection_to_a_vanished_endpoint_fails_in_time_to_release_memory() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = tokio::net::TcpStream::connect(listener.local_addr().unwrap());
    let stream = stream.await.unwrap();
    sockets::tune(&stream).unwrap();
    let socket = socket2::SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    let idle = socket.tcp_keepalive_time().unwrap();
    let dead = socket.tcp_user_timeout().unwrap().unwrap();
    assert!(idle + dead < RELEASE_TIME, "{idle:?} {dead:?}");
}
