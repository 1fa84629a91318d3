//! Stand-ins of the platform's store, of runners and of consumers, and the start of real daemons.
//! Only the standard library is used.

pub mod consumer;
pub mod daemon;
pub mod http;
pub mod record;
pub mod runner;
pub mod store;

use std::net::{IpAddr, SocketAddr, TcpListener};

/// Returns a free address on an IP address of the loopback interface.
pub fn free_address(ip: &str) -> SocketAddr {
    let ip: IpAddr = ip.parse().expect("an IP address");
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// Whether the disruption is to be caused: `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a configuration with one public route, `/call/`, to the service `order-app`.
pub fn call_config(kind: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"call\",\"host\":\"x.example\",\
         \"path_prefix\":\"/call/\",\"type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"slo_ms\":150,\
         \"priority\":2,\"service\":\"order-app\",\"max_attempts\":2,\"public\":true}}],\
         \"services\":[{{\"name\":\"order-app\",\"health_path\":\"/healthz\",\"max_conns\":110,\
         \"cold_start_s\":0,\"cold_per_s\":0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the receive window of a socket small, as the windows of the platform's links are. A
/// listener passes it on to the connections that it accepts.
pub fn small_window(socket: &impl std::os::fd::AsRawFd, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // Safety: the value lives during the call, and its length is that of an `i32`.
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}
