//! A link whose open connections can go silent, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    /// Number of connections that were opened.
    opened: Arc<AtomicU64>,
    /// Number of the last connection that is silent.
    silent: Arc<AtomicU64>,
}

impl Link {
    /// Starts a link to an address.
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("link");
        let link = Self {
            address: listener.local_addr().expect("link"),
            opened: Arc::default(),
            silent: Arc::default(),
        };
        let accepting = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let number = accepting.opened.fetch_add(1, Ordering::SeqCst) + 1;
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                let (there, back) = (accepting.clone(), accepting.clone());
                thread::spawn(move || there.pass(near, far_copy, number));
                thread::spawn(move || back.pass(far, near_copy, number));
            }
        });
        link
    }

    /// Makes the open connections silent for good. Returns their number, with those that have ended.
    pub fn silence(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent.store(opened, Ordering::SeqCst);
        opened
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, number: u64) {
        let mut bytes = vec![0; 64 * 1024];
        loop {
            let read = from.read(&mut bytes).unwrap_or(0);
            while self.silent.load(Ordering::SeqCst) >= number {
                // Neither bytes nor an end get through.
                thread::sleep(Duration::from_secs(1));
            }
            if read == 0 || to.write_all(&bytes[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
