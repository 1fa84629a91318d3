//! Damaged files are reported and never crash the check.

use proptest::prelude::Strategy;
use proptest::test_runner;
use sardinepaddle_settings::check;

/// A file with every kind of value.
const TEXT: &str = "
data_centres: { kgn-a: { region: jm-south } }
customers: { 'dépôt': { weight: 2 } }
services:
  lm: { kind: { type: model, model: lm }, timeout_ms: 5 }
  app: { kind: { type: plain, path_prefix: /stock }, non_idempotent: [{ method: POST, path: /stock }] }
endpoints:
  lm-1: { service: lm, data_centre: kgn-a, address: '10.0.0.1:1', checks_orders: true }
";

/// Damaged files tried.
const CASES: u32 = 2_000;

/// Replaces some characters from a place on.
fn damage(at: usize, removed: usize, put: &str) -> String {
    let head = TEXT.chars().take(at);
    let tail = TEXT.chars().skip(at + removed);
    head.chain(put.chars()).chain(tail).collect()
}

#[test]
fn damaged_files_are_reported_within_their_text() {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let places = 0..TEXT.chars().count();
    let input = (places, 0..12usize, "[ -~é\n]{0,6}")
        .prop_map(|(at, removed, put)| damage(at, removed, &put));
    let result = runner.run(&input, |text| {
        let _ = check::FileKind::guess(&text);
        let reports = [
            check::config("file", &text).err(),
            check::daemon("file", &text).err(),
            check::answers("file", &text).err(),
        ];
        for fault in reports.iter().flatten().flat_map(|report| &report.faults) {
            let from = fault.place.offset();
            let shown = text.get(from..from + fault.place.len());
            proptest::prop_assert!(shown.is_some(), "{fault:?}");
        }
        proptest::prop_assert!(reports[1].is_some() && reports[2].is_some());
        Ok(())
    });
    result.unwrap();
}
