//! The proxy behaves like a network: what TCP never does to a connection, it doesn't do either.

use std::io;
use std::time::Duration;

use sardinepaddle_fakes::proxy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net;
use tokio::time;

/// Longest wait for something that must happen.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

/// Starts a server that answers each byte with the number of bytes received so far.
async fn start_counter() -> std::net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut count = 0_u8;
                while stream.read_u8().await.is_ok() {
                    count += 1;
                    if stream.write_u8(count).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn connection_that_lost_answers_is_reset_and_neither_continued_nor_closed() {
    let target = start_counter().await;
    let any_address = "127.0.0.1:0".parse().unwrap();
    let link = proxy::FaultProxy::start(any_address, target).await.unwrap();
    let mut stream = net::TcpStream::connect(link.address()).await.unwrap();
    stream.write_u8(0).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), 1);
    link.control().set(proxy::LinkFault::DropAnswers);
    stream.write_u8(0).await.unwrap();
    let lost = async {
        while link.control().witness().answer_bytes < 2 {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(WAIT_LIMIT, lost).await.unwrap();
    link.control().set(proxy::LinkFault::None);
    stream.write_u8(0).await.unwrap();
    let read = time::timeout(WAIT_LIMIT, stream.read_u8()).await.unwrap();
    assert_eq!(read.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}
