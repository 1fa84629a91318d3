//! The encoding of messages between daemons, also of those with an older build.

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
