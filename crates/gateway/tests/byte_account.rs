//! Tests the sum of the bodies that a daemon holds.

use bytes::Bytes;
use http_body_util::Full;
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

#[tokio::test]
async fn body_longer_than_its_limit_is_not_held() {
    let account = ByteAccount::new(260.0);
    let collected = account.collect(BodyKind::Request, body(MB + 1), MB).await;
    assert!(matches!(collected, Err(CollectError::TooLong)));
    assert_eq!(account.held(), 0);
}
