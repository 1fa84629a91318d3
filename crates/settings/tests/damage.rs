//! Checks of damaged files report errors within the text and never panic.

use proptest::prelude::Strategy;
use proptest::test_runner;
use sardinepaddle_settings::check;

/// A configuration with a value of every kind.
const TEXT: &str = "
data_centres: { kgn-a: { region: jm-south } }
customers: { 'dépôt': { weight: 2 } }
services:
  lm: { kind: { type: model, model: lm }, timeout_ms: 5 }
  app: { kind: { type: plain, path_prefix: /stock }, non_idempotent: [{ method: POST, path: /stock }] }
endpoints:
  lm-1: { service: lm, data_centre: kgn-a, address: '10.0.0.1:1', checks_orders: true }
";

/// Number of damaged files.
const CASES: u32 = 2_000;

/// Replaces `removed` characters at the character index `start` by `inserted`.
fn damage(start: usize, removed: usize, inserted: &str) -> String {
    let head = TEXT.chars().take(start);
    let tail = TEXT.chars().skip(start + removed);
    head.chain(inserted.chars()).chain(tail).collect()
}

#[test]
fn errors_of_damaged_files_lie_within_the_text() {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let starts = 0..TEXT.chars().count();
    let input = (starts, 0..12usize, "[ -~é\n]{0,6}")
        .prop_map(|(start, removed, inserted)| damage(start, removed, &inserted));
    let result = runner.run(&input, |text| {
        let _ = check::FileKind::guess(&text);
        let reports = [
            check::config("file", &text).err(),
            check::daemon("file", &text).err(),
            check::answers("file", &text).err(),
        ];
        for diagnostic in reports
            .iter()
            .flatten()
            .flat_map(|report| &report.diagnostics)
        {
            let start = diagnostic.span.offset();
            let excerpt = text.get(start..start + diagnostic.span.len());
            proptest::prop_assert!(excerpt.is_some(), "{diagnostic:?}");
        }
        proptest::prop_assert!(reports[1].is_some() && reports[2].is_some());
        Ok(())
    });
    result.unwrap();
}
