//! Random input for the decoders of streams and of messages between daemons.

#[path = "golden/samples.rs"]
mod samples;

use platform::catalog;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sardinepaddle_gateway::compression;
use sardinepaddle_gateway::message;
use sardinepaddle_gateway::sse;

/// Runs are the same each time, unless the seed is set by hand.
fn config() -> ProptestConfig {
    let config = ProptestConfig::default();
    match std::env::var_os("PROPTEST_RNG_SEED") {
        Some(_) => config,
        None => ProptestConfig {
            rng_seed: RngSeed::Fixed(51),
            ..config
        },
    }
}

/// Bytes of a message, some of which may be replaced, added or missing.
fn damaged_messages() -> impl Strategy<Value = Vec<u8>> {
    let samples = samples::messages().into_iter();
    let encoded = samples.map(|(_, message, era)| message::encode(&message, era).unwrap().to_vec());
    let encoded: Vec<Vec<u8>> = encoded.collect();
    let changes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    let damaged = (
        prop::sample::select(encoded),
        changes,
        0_usize..4,
        any::<bool>(),
    );
    let damaged = damaged.prop_map(|(mut bytes, changes, count, adds)| {
        for (index, byte) in changes {
            let position = index.index(bytes.len());
            bytes[position] = byte;
        }
        match adds {
            true => bytes.extend(std::iter::repeat_n(0xff, count)),
            false => bytes.truncate(bytes.len() - count.min(bytes.len())),
        }
        bytes
    });
    prop_oneof![damaged, prop::collection::vec(any::<u8>(), 0..200)]
}

fn stream_text() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        Just("\n".to_owned()),
        Just("\r\n".to_owned()),
        Just("\r".to_owned()),
        "id: [0-9]{1,22}(\n|\r\n|\r)",
        "data: .{0,10}(\n|\r\n)",
        ".{0,6}",
    ];
    prop::collection::vec(line, 0..20).prop_map(|lines| lines.concat())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_message_is_decoded_or_refused(bytes in damaged_messages()) {
        if let Ok((decoded, era)) = message::decode(&bytes) {
            let again = message::decode(&message::encode(&decoded, era).unwrap()).unwrap();
            // Numbers that aren't numbers don't equal themselves.
            prop_assert_eq!(format!("{:?}", again), format!("{:?}", (decoded, era)));
        }
    }

    #[test]
    fn any_compressed_bytes_are_decompressed_or_refused(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        base in prop::option::of(prop::collection::vec(any::<u8>(), 0..50)),
    ) {
        let _ = compression::decompress(&bytes, base.as_deref());
        let compressed = compression::compress(&bytes, base.as_deref()).unwrap();
        let again = compression::decompress(&compressed, base.as_deref()).unwrap();
        prop_assert_eq!(again, bytes);
    }

    #[test]
    fn events_are_the_same_however_their_bytes_arrive(
        text in stream_text(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let bytes = text.as_bytes();
        let mut positions: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        positions.extend([0, bytes.len()]);
        positions.sort_unstable();
        let split = |positions: &[usize]| {
            let mut splitter = sse::EventSplitter::default();
            let mut events = Vec::new();
            for range in positions.windows(2) {
                splitter.push(&bytes[range[0]..range[1]]);
                while let Some(event) = splitter.next_event() {
                    events.push(event);
                }
            }
            (events, splitter.len())
        };
        let (events, left) = split(&positions);
        let (whole, _) = split(&[0, bytes.len()]);
        let joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(joined.len() + left, bytes.len());
        prop_assert!(bytes.starts_with(&joined));
        prop_assert_eq!(events, whole);
    }
}

#[test]
fn daemon_entries_are_read_back_as_they_were_written() {
    for entry in samples::daemon_entries() {
        let written = serde_json::to_vec(&entry).unwrap();
        assert_eq!(catalog::decode_daemon(&written).unwrap(), entry);
    }
}
