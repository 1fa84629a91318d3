//! What daemons send to each other and keep in the store, as the build of eaa158e wrote it. Daemons
//! of that build and of this one run side by side while hosts are replaced.

#[path = "golden/samples.rs"]
mod samples;

use model::ids;
use platform::catalog;
use pool::crashes;
use pool::limits;
use pool::quarantine;
use pool::replica;
use sardinepaddle_gateway::message;
use sardinepaddle_gateway::message::PlacementMessage;

/// Lines with a name and, in hexadecimal, what that build wrote.
const MESSAGES: &str = include_str!("golden/messages.txt");
const OBJECTS: &str = include_str!("golden/objects.txt");

fn from_hex(text: &str) -> Vec<u8> {
    let digits = (0..text.len()).step_by(2);
    digits
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).unwrap())
        .collect()
}

/// Returns what the build of eaa158e wrote under a name.
fn golden(lines: &str, name: &str) -> Vec<u8> {
    let mut entries = lines.lines().filter_map(|line| line.split_once(' '));
    let entry = entries.find(|(known, _)| *known == name);
    from_hex(entry.unwrap_or_else(|| panic!("no entry {name}")).1)
}

#[test]
fn messages_of_the_earlier_build_are_decoded_to_the_same_values() {
    let samples = samples::messages();
    assert_eq!(samples.len(), MESSAGES.lines().count());
    for (name, message, era) in samples {
        let decoded = message::decode(&golden(MESSAGES, &name)).unwrap();
        assert_eq!(decoded, (message, era), "{name}");
    }
}

#[test]
fn messages_without_newer_fields_are_encoded_as_by_the_earlier_build() {
    for (name, message, era) in samples::messages() {
        let bytes = message::encode(&message, era).unwrap();
        assert_eq!(bytes, golden(MESSAGES, &name), "{name}");
    }
}

/// What the build of eaa158e reads after a message: the era, the parts, and the digests with whether
/// the endpoint responded. It ignores the bytes that follow.
#[derive(Debug, Default, PartialEq)]
struct EarlierTail {
    era: u64,
    parts: Vec<Vec<ids::PartId>>,
    digests: Vec<Option<ids::RequestDigest>>,
    responded: bool,
}

impl EarlierTail {
    fn decode(rest: &[u8]) -> Self {
        let mut tail = Self::default();
        if rest.is_empty() {
            return tail;
        }
        let (era, rest) = postcard::take_from_bytes(rest).unwrap();
        tail.era = era;
        if rest.is_empty() {
            return tail;
        }
        let (parts, rest) = postcard::take_from_bytes(rest).unwrap();
        tail.parts = parts;
        if !rest.is_empty() {
            (tail.digests, tail.responded) = postcard::from_bytes(rest).unwrap();
        }
        tail
    }

    /// What the tail says of each request in the message.
    fn of_requests(&self, count: usize) -> Vec<(Vec<ids::PartId>, Option<ids::RequestDigest>)> {
        let request = |index: usize| {
            let parts = self.parts.get(index).cloned().unwrap_or_default();
            (parts, self.digests.get(index).copied().flatten())
        };
        (0..count).map(request).collect()
    }
}

/// Sets the fields of requests that the earlier build doesn't know. Returns the number of requests.
fn set_newer_fields(message: &mut PlacementMessage) -> usize {
    let requests: Vec<_> = match message {
        PlacementMessage::PlacementRequest { request, .. } => vec![request],
        PlacementMessage::RunningJobs(jobs) => jobs
            .iter_mut()
            .map(|running| &mut running.request)
            .collect(),
        _ => Vec::new(),
    };
    let count = requests.len();
    for request in requests {
        request.customer = Some(ids::CustomerId::new("customer-1"));
        request.is_hedge = true;
    }
    count
}

#[test]
fn earlier_build_reads_what_it_knows_of_messages_with_newer_fields() {
    let mut checked = 0;
    for (name, mut message, era) in samples::messages() {
        let count = set_newer_fields(&mut message);
        let bytes = message::encode(&message, era).unwrap();
        assert_eq!(message::decode(&bytes).unwrap(), (message, era), "{name}");
        // The message itself is written as before, and what follows begins as before.
        let plain = golden(MESSAGES, &name);
        let (head, _) = name.rsplit_once('/').unwrap();
        let bare = head.replace("-parts", "").replace("-digest", "");
        let bare = bare.replace("-true", "-false");
        let head = match golden(MESSAGES, &format!("{bare}/era0")) {
            head if plain.starts_with(&head) => head,
            // The two running requests differ in more than what follows.
            _ => postcard::to_stdvec(&message::decode(&plain).unwrap().0).unwrap(),
        };
        assert!(bytes.starts_with(&head), "{name}");
        let tail = EarlierTail::decode(&bytes[head.len()..]);
        let expected = EarlierTail::decode(&plain[head.len()..]);
        assert_eq!(tail.era, era, "{name}");
        assert_eq!(tail.responded, expected.responded, "{name}");
        assert_eq!(
            tail.of_requests(count),
            expected.of_requests(count),
            "{name}"
        );
        checked += count;
    }
    assert_eq!(checked, 18);
}

#[test]
fn own_objects_of_the_earlier_build_are_decoded_to_the_same_values() {
    let objects = samples::own_objects();
    let content = |kind: u8| {
        let mut found = objects.iter().filter(|object| object.kind == kind);
        found.find_map(|object| object.spec.clone()).unwrap()
    };
    let parts: quarantine::PartQuarantine =
        postcard::from_bytes(&golden(OBJECTS, "part-quarantine")).unwrap();
    assert_eq!(parts, samples::part_quarantine());
    assert_eq!(content(254), golden(OBJECTS, "part-quarantine"));
    let request: quarantine::RequestQuarantine =
        postcard::from_bytes(&golden(OBJECTS, "request-quarantine")).unwrap();
    assert_eq!(request, samples::request_quarantine());
    assert_eq!(content(252), golden(OBJECTS, "request-quarantine"));
    let limit: limits::EndpointLimit =
        postcard::from_bytes(&golden(OBJECTS, "endpoint-limit")).unwrap();
    assert_eq!(limit, samples::endpoint_limit());
    assert_eq!(content(253), golden(OBJECTS, "endpoint-limit"));
    let (_, report): (u64, crashes::CrashReport) =
        postcard::from_bytes(&golden(OBJECTS, "crash-report")).unwrap();
    assert_eq!(report, samples::crash_report());
    assert_eq!(content(251), golden(OBJECTS, "crash-report"));
}

#[test]
fn entries_in_the_store_are_read_and_written_as_by_the_earlier_build() {
    for (index, entry) in samples::daemon_entries().into_iter().enumerate() {
        let written = golden(OBJECTS, &format!("daemon-{index}"));
        assert_eq!(catalog::decode_daemon(&written).unwrap(), entry);
        assert_eq!(serde_json::to_vec(&entry).unwrap(), written);
    }
    for (index, object) in samples::own_objects().into_iter().enumerate() {
        let written = golden(OBJECTS, &format!("object-{index}"));
        let decoded: replica::ReplicaObject = serde_json::from_slice(&written).unwrap();
        assert_eq!(decoded, object);
        assert_eq!(serde_json::to_vec(&object).unwrap(), written);
    }
}
