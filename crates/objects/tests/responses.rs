//! Tests responses of the object API that can't be used.

use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

use model::store;
use sardinepaddle_objects::client;

/// Bytes after which a reader must have closed the connection.
const MAX_WRITTEN_BYTES: usize = 64 << 20;

// Guards against a response without end that is read until the memory is used up.
#[tokio::test(flavor = "multi_thread")]
async fn response_without_end_is_cut_off() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let written = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counter = written.clone();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        let mut result = stream.read(&mut request).map(drop);
        result = result.and_then(|()| stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n"));
        let block = vec![b'x'; 65_536];
        while result.is_ok() && counter.load(atomic::Ordering::Relaxed) < 2 * MAX_WRITTEN_BYTES {
            result = stream.write_all(&block);
            counter.fetch_add(block.len(), atomic::Ordering::Relaxed);
        }
    });
    let platform = client::PlatformClient::new(address, address);
    let name = "a".to_owned();
    let reply = platform.call(store::StoreCall::Read { name }).await;
    assert_eq!(reply, store::StoreReply::Lost);
    server.join().unwrap();
    let written = written.load(atomic::Ordering::Relaxed);
    assert!(written < MAX_WRITTEN_BYTES, "{written} bytes");
}
