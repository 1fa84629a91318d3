//! The encoding of messages between daemons, also of those with an older build.

use model::ids;
use pool::health;
use pool::job;
use pool::replica;
use sardinepaddle_gateway::message;
use sardinepaddle_gateway::message::PlacementMessage;

fn objects() -> PlacementMessage {
    PlacementMessage::Objects(vec![replica::ReplicaObject {
        kind: 1,
        name: "e1".to_owned(),
        revision: 40,
        spec: Some("{}".into()),
        era: 0,
        version: 0,
    }])
}

fn placement_request(parts: &[&str]) -> PlacementMessage {
    PlacementMessage::PlacementRequest {
        job: job::JobId {
            incarnation: 1,
            number: 2,
        },
        request: job::PlacementRequest {
            route: "r".to_owned(),
            service: ids::ServiceId::new("s"),
            kind: job::JobKind::Call,
            centre: ids::CentreId::new("a"),
            objective_remaining_ms: 1.0,
            full_objective_ms: 1.0,
            gap_objective_ms: 0.0,
            abandon_after_ms: 2_000.0,
            remaining_ms: 1.0,
            priority: 1,
            excluded: Vec::new(),
            shared_parts: parts
                .iter()
                .map(|part| ids::PartId::from_name(part))
                .collect(),
            digest: None,
            customer: None,
            is_hedge: false,
            is_retry: false,
            is_budgeted: false,
        },
    }
}

#[test]
fn shared_parts_of_prompts_follow_the_era() {
    let message = placement_request(&["1", "2"]);
    for era in [0, 3] {
        let bytes = message::encode(&message, era).unwrap();
        assert_eq!(message::decode(&bytes).unwrap(), (message.clone(), era));
        // How older builds decode: bytes after what they know are ignored.
        let (decoded, rest) = postcard::take_from_bytes::<PlacementMessage>(&bytes).unwrap();
        assert_eq!(decoded, placement_request(&[]));
        assert_eq!(postcard::from_bytes::<u64>(rest).unwrap(), era);
    }
    let without = placement_request(&[]);
    let bytes = message::encode(&without, 0).unwrap();
    assert_eq!(bytes, postcard::to_stdvec(&without).unwrap());
}

#[test]
fn digests_of_requests_follow_the_shared_parts() {
    let mut message = placement_request(&["1", "2"]);
    if let PlacementMessage::PlacementRequest { request, .. } = &mut message {
        request.digest = Some(ids::RequestDigest::of(&[b"a"]));
    }
    let bytes = message::encode(&message, 0).unwrap();
    assert_eq!(message::decode(&bytes).unwrap(), (message, 0));
    // How builds without digests decode: bytes after the parts are ignored.
    let (_, rest) = postcard::take_from_bytes::<PlacementMessage>(&bytes).unwrap();
    let (_, rest) = postcard::take_from_bytes::<u64>(rest).unwrap();
    let parts: Vec<Vec<ids::PartId>> = postcard::from_bytes(rest).unwrap();
    assert_eq!(parts[0].len(), 2);
}

#[test]
fn customers_of_requests_follow_what_older_builds_read() {
    let mut message = placement_request(&["1", "2"]);
    if let PlacementMessage::PlacementRequest { request, .. } = &mut message {
        request.digest = Some(ids::RequestDigest::of(&[b"a"]));
        request.customer = Some(ids::CustomerId::new("c1"));
        request.is_hedge = true;
    }
    let bytes = message::encode(&message, 0).unwrap();
    assert_eq!(message::decode(&bytes).unwrap(), (message, 0));
    // How builds without customers decode: bytes after the digests are ignored.
    let (_, rest) = postcard::take_from_bytes::<PlacementMessage>(&bytes).unwrap();
    let (_, rest) = postcard::take_from_bytes::<u64>(rest).unwrap();
    let (_, rest) = postcard::take_from_bytes::<Vec<Vec<ids::PartId>>>(rest).unwrap();
    let known: (Vec<Option<ids::RequestDigest>>, bool) = postcard::from_bytes(rest).unwrap();
    assert_eq!(known, (vec![Some(ids::RequestDigest::of(&[b"a"]))], false));
}

#[test]
fn response_of_a_failed_attempt_follows_what_older_builds_read() {
    let message = |responded| PlacementMessage::JobFinished {
        job: job::JobId {
            incarnation: 1,
            number: 2,
        },
        outcome: job::JobOutcome {
            signal: health::HealthSignal::Failed,
            at_fault: None,
            responded,
        },
    };
    let bytes = message::encode(&message(true), 0).unwrap();
    assert_eq!(message::decode(&bytes).unwrap(), (message(true), 0));
    let (decoded, rest) = postcard::take_from_bytes::<PlacementMessage>(&bytes).unwrap();
    assert_eq!(decoded, message(false));
    let (_, rest) = postcard::take_from_bytes::<u64>(rest).unwrap();
    assert!(
        postcard::from_bytes::<Vec<Vec<ids::PartId>>>(rest)
            .unwrap()
            .is_empty()
    );
    let bytes = message::encode(&message(false), 0).unwrap();
    assert_eq!(bytes, postcard::to_stdvec(&message(false)).unwrap());
}

#[test]
fn builds_without_eras_read_messages_that_have_one() {
    let bytes = message::encode(&objects(), 3).unwrap();
    // How those builds decode: bytes after the message are ignored.
    let decoded: PlacementMessage = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(decoded, objects());
}

#[test]
fn messages_of_builds_without_eras_belong_to_none() {
    let bytes = postcard::to_stdvec(&objects()).unwrap();
    assert_eq!(message::decode(&bytes).unwrap(), (objects(), 0));
    // A message that belongs to none is encoded as before, too.
    assert_eq!(message::encode(&objects(), 0).unwrap(), bytes);
}

#[test]
fn damaged_era_is_an_error() {
    let mut bytes = message::encode(&objects(), 0).unwrap().to_vec();
    bytes.extend([0xff; 11]);
    assert!(message::decode(&bytes).is_err());
}
