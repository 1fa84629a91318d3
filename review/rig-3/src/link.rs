//! The link of a machine, on which packets wait: a proxy that passes bytes on in order, each after the
//! time that packets wait at the moment.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// The time that packets wait on a link now, each way.
#[derive(Clone, Default)]
pub struct LinkWait(Arc<AtomicU64>);

impl LinkWait {
    pub fn set(&self, wait: Duration) {
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        self.0.store(millis, Ordering::SeqCst);
    }

    fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::SeqCst))
    }
}

/// Passes connections on to `target` over a link. Returns the address to connect to.
pub fn open(target: SocketAddr, wait: &LinkWait) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let wait = wait.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let wait = wait.clone();
            thread::spawn(move || {
                // The handshake waits like all else.
                thread::sleep(wait.get());
                let Ok(far) = TcpStream::connect(target) else {
                    return;
                };
                let copies = (near.try_clone(), far.try_clone());
                if let (Ok(near_copy), Ok(far_copy)) = copies {
                    pass_on(near, far, &wait);
                    pass_on(far_copy, near_copy, &wait);
                }
            });
        }
    });
    address
}

/// Passes bytes on one way until the connection ends.
fn pass_on(mut from: TcpStream, mut to: TcpStream, wait: &LinkWait) {
    let _ = to.set_nodelay(true);
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    let wait = wait.clone();
    thread::spawn(move || {
        let mut block = [0; 16_384];
        while let Ok(count @ 1..) = from.read(&mut block) {
            if sender
                .send((Instant::now(), block[..count].to_vec()))
                .is_err()
            {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (read_at, bytes) in receiver {
            // A wait that gets shorter lets what waits pass at once.
            while read_at.elapsed() < wait.get() {
                thread::sleep(Duration::from_millis(5));
            }
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
