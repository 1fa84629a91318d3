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
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Makes the receive window of a socket small, as the windows of the platform's links are, and its
/// segments as long as those of an Ethernet: the loopback interface has segments of 64 KB, for
/// which the system buffers megabytes. A listener passes both on to the connections that it accepts.
pub fn small_window(socket: &impl std::os::fd::AsRawFd, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let segment = 1_448;
    // Safety: the values live during the calls, and their length is that of an `i32`.
    unsafe {
        setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4);
        setsockopt(socket.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
    }
}

/// Connects to an IPv4 address with a small window.
pub fn connect_with_small_window(to: SocketAddr, bytes: i32) -> std::io::Result<std::net::TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: u16 = 2;
    const SOCK_STREAM: i32 = 1;
    let IpAddr::V4(ip) = to.ip() else {
        return Err(std::io::ErrorKind::Unsupported.into());
    };
    // The layout of `sockaddr_in`.
    let mut address = [0; 16];
    address[..2].copy_from_slice(&AF_INET.to_ne_bytes());
    address[2..4].copy_from_slice(&to.port().to_be_bytes());
    address[4..8].copy_from_slice(&ip.octets());
    // Safety: the descriptor is new and owned by the stream; the address lives during the call.
    unsafe {
        let fd = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = std::net::TcpStream::from_raw_fd(fd);
        small_window(&stream, bytes);
        if connect(fd, address.as_ptr(), 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Makes the close of a socket a reset.
pub fn reset_on_close(socket: &impl std::os::fd::AsRawFd) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // Safety: the value lives during the call, and its length is that of two `i32`.
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}
