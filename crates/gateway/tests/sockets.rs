//! Connections to endpoints notice an end without a word.

use std::time::Duration;

use sardinepaddle_gateway::sockets;

/// Time in which reserved memory must be free after its request; from the users' bounds.
const RELEASE_TIME: Duration = Duration::from_secs(4);

// A request waited for its first event on an engine that was gone; the memory reserved for it
// elsewhere was renewed for 5.6 s more (hunt on zaatar-amman-grown, mix, seed 39688492062: LEAK).
#[tokio::test]
async fn a_connection_to_a_silent_machine_ends_in_time_to_release_memory() {
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
