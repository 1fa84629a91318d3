//! What the model of an engine's passes foretells.

#[path = "support/figures.rs"]
mod figures;

use sardinepaddle_pool::job;
use sardinepaddle_pool::passes;

/// A part of a prompt of `tokens` that `members` engines read.
fn part(number: u64, tokens: u64, members: usize, arrives_at: f64) -> passes::PrefillPart {
    let job = job::JobId {
        incarnation: 1,
        number,
    };
    passes::PrefillPart::new(&figures::profile(16, 51), job, tokens, members, arrives_at)
}

fn prefilled_at(forecast: &[passes::JobForecast], number: u64) -> f64 {
    let mut forecast = forecast.iter();
    let job = forecast.find(|forecast| forecast.job.number == number);
    job.and_then(|job| job.prefilled_at).unwrap()
}

// Seen on the users' bench with hardly any load: the first of two prompts that shared an engine came
// 1.1 s late, by the part of the second, which came 0.8 s after it.
#[test]
fn a_newer_shared_part_is_read_first() {
    let profile = figures::profile(16, 51);
    let mut engine = passes::PassModel::default();
    engine.add_part(part(1, 126_061, 2, 4_175.0));
    engine.advance(&profile, 4_989.0);
    engine.add_part(part(2, 325_658, 10, 4_989.0));
    let forecast = engine.forecast(&profile, None);
    let seen = [(1, 6_461.0), (2, 6_263.0)];
    for (number, seen) in seen {
        let foretold = prefilled_at(&forecast, number);
        assert!(
            (foretold - seen).abs() < 110.0,
            "{number}: {foretold} for {seen}"
        );
    }
}

#[test]
fn a_whole_prompt_waits_for_those_before_it() {
    let profile = figures::profile(16, 51);
    let mut engine = passes::PassModel::default();
    engine.add_part(part(1, 74_121, 1, 0.0));
    engine.add_part(part(2, 5_000, 1, 0.0));
    let forecast = engine.forecast(&profile, None);
    assert!((prefilled_at(&forecast, 1) - 958.0).abs() < 10.0);
    assert!(prefilled_at(&forecast, 2) > prefilled_at(&forecast, 1));
}

#[test]
fn reading_lengthens_the_pass_of_those_that_generate() {
    let profile = figures::profile(16, 51);
    let mut engine = passes::PassModel::default();
    engine.start_generating(
        0.0,
        job::JobId {
            incarnation: 1,
            number: 1,
        },
        Some(5_000.0),
    );
    engine.advance(&profile, 10.0);
    let plain = engine.forecast(&profile, None);
    let read = engine.forecast(&profile, Some(part(2, 45_000, 1, 11.0)));
    assert!(plain[0].longest_pass_ms < 60.0, "{plain:?}");
    assert!(read[0].longest_pass_ms > 440.0, "{read:?}");
    // What comes within a pass waits for its end, and gets its first event with the next one.
    assert!(prefilled_at(&read, 2) > 440.0 + 2.0 * 43.0, "{read:?}");
}

#[test]
fn a_prompt_that_is_over_takes_no_time_any_more() {
    let profile = figures::profile(16, 51);
    let mut engine = passes::PassModel::default();
    engine.add_part(part(1, 200_000, 1, 0.0));
    engine.advance(&profile, 100.0);
    assert!(engine.backlog_ms(100.0) > 4_000.0);
    engine.remove(job::JobId {
        incarnation: 1,
        number: 1,
    });
    engine.advance(&profile, 101.0);
    assert!(engine.backlog_ms(101.0) < 1.0);
}
