//! Tests the sum of the bodies that a daemon holds.

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Frame;
use sardinepaddle_gateway::byte_account::BodyKind;
use sardinepaddle_gateway::byte_account::ByteAccount;
use sardinepaddle_gateway::byte_account::CollectError;

const MB: usize = 1 << 20;

fn body(length: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; length]))
}

#[tokio::test]
async fn bytes_are_held_until_the_last_copy_is_dropped() {
    let account = ByteAccount::new(260.0);
    let collected = account.collect(BodyKind::Request, body(3 * MB), 16 * MB);
    let bytes = collected.await.unwrap();
    let copy = bytes.clone();
    drop(bytes);
    assert_eq!((copy.len(), account.held()), (3 * MB, 3 * MB));
    drop(copy);
    assert_eq!(account.held(), 0);
}

#[tokio::test]
async fn full_account_refuses_a_body_and_gives_its_bytes_back() {
    let account = ByteAccount::new(60.0);
    let collected = account.collect(BodyKind::Request, body(4 * MB), 16 * MB);
    let first = collected.await.unwrap();
    let second = account.collect(BodyKind::Request, body(MB), 16 * MB).await;
    assert!(matches!(second, Err(CollectError::AccountFull)));
    assert_eq!(account.held(), first.len());
}

#[tokio::test]
async fn responses_leave_room_for_requests() {
    let account = ByteAccount::new(260.0);
    let mut held = Vec::new();
    while let Ok(bytes) = account
        .collect(BodyKind::Response, body(3 * MB), 16 * MB)
        .await
    {
        held.push(bytes);
    }
    assert!(account.has_room(BodyKind::Request, 16 * MB as u64));
    assert!(!account.has_room(BodyKind::Response, 3 * MB as u64));
}

/// A body that comes in pieces, as those of connections do.
fn slow_body(pieces: usize) -> impl Body<Data = Bytes, Error = std::convert::Infallible> {
    let frames = futures_util::stream::iter(0..pieces).then(|_| async {
        tokio::task::yield_now().await;
        Ok(Frame::data(Bytes::from(vec![b'x'; MB / 4])))
    });
    StreamBody::new(Box::pin(frames))
}

// Guards against parts of responses that fill the account, so that none is completed.
#[tokio::test]
async fn more_responses_than_fit_at_once_are_all_read() {
    let account = ByteAccount::new(260.0);
    let reads = (0..200).map(|_| async {
        let read = account.collect(BodyKind::Response, slow_body(12), 16 * MB);
        read.await.map(|bytes| bytes.len())
    });
    let lengths = futures_util::future::join_all(reads).await;
    assert!(lengths.into_iter().all(|length| length.unwrap() == 3 * MB));
    assert_eq!(account.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn response_that_stalls_in_its_turn_ends_alone() {
    let account = ByteAccount::new(260.0);
    let mut held = account.share(BodyKind::Request);
    held.resize(40 * MB).unwrap();
    let stalled = futures_util::stream::iter([Ok::<_, std::convert::Infallible>(())])
        .map(|_| Ok::<_, std::convert::Infallible>(Frame::data(Bytes::from(vec![b'x'; MB / 4]))))
        .chain(futures_util::stream::pending());
    let stalled = account.collect(BodyKind::Response, StreamBody::new(stalled), MB);
    let sound = account.collect(BodyKind::Response, slow_body(4), 16 * MB);
    let (stalled, sound) = tokio::join!(stalled, sound);
    assert!(matches!(stalled, Err(CollectError::AccountFull)));
    assert_eq!(sound.unwrap().len(), MB);
}

#[tokio::test]
async fn body_longer_than_its_limit_is_not_held() {
    let account = ByteAccount::new(260.0);
    let collected = account.collect(BodyKind::Request, body(MB + 1), MB).await;
    assert!(matches!(collected, Err(CollectError::TooLong)));
    assert_eq!(account.held(), 0);
}
