//! Simulates engines of different and changing speed and demand that moves, and checks what is
//! served of each class.

mod support;

use support::conditions;
use support::simulation;

/// Least goodput relative to that on as much capacity in engines of equal and known speed.
const MIN_RELATIVE_GOODPUT: f64 = 0.9;
/// Least served share of the largest prompts of a class, relative to the whole class.
const MIN_RELATIVE_SERVED_SHARE: f64 = 0.5;
/// Most arrivals that engines reject, of those on days with slow and flapping engines.
const MAX_REJECTED_SHARE: f64 = 1.0 / 50.0;
/// Slowdown of a slow engine.
const SLOW: f64 = 4.0;

/// Returns a load of short and long prompts that `engines` of equal speed serve.
fn load(engines: usize) -> simulation::EngineLoad {
    let mut load = support::lunch_grown();
    for class in &mut load.classes {
        class.rate_per_s *= 0.6;
    }
    load.engines = engines;
    load.rate_factors = Vec::new();
    load
}

/// Returns the outcomes of each class over three seeds.
fn simulate(
    load: &simulation::EngineLoad,
    conditions: conditions::LoadConditions,
) -> Vec<simulation::ClassOutcome> {
    let mut totals = vec![simulation::ClassOutcome::default(); load.classes.len()];
    for seed in 1..4 {
        let simulation = simulation::LoadSimulation::new(load.clone(), seed);
        let outcomes = simulation.with_conditions(conditions).run();
        for (total, outcome) in totals.iter_mut().zip(outcomes) {
            total.submitted += outcome.submitted;
            total.on_time += outcome.on_time;
            total.late += outcome.late;
            total.earned_value += outcome.earned_value;
            total.offered_value += outcome.offered_value;
            total.largest_tenth += outcome.largest_tenth / 3.0;
            total.arrivals += outcome.arrivals;
            total.rejected += outcome.rejected;
        }
    }
    for (total, class) in totals.iter().zip(&load.classes) {
        println!("{:8} {:.3} {total:?}", class.name, total.earned_share());
    }
    totals
}

/// Checks that the load on uneven engines is served as on `equal_engines` without conditions.
fn assert_as_on_equal_engines(
    conditions: conditions::LoadConditions,
    engines: usize,
    equal: usize,
) {
    let calm = simulate(&load(equal), conditions::LoadConditions::default());
    let uneven = simulate(&load(engines), conditions);
    for (outcome, calm) in uneven.iter().zip(&calm) {
        let relative_goodput = outcome.earned_share() / calm.earned_share();
        assert!(
            relative_goodput >= MIN_RELATIVE_GOODPUT,
            "{relative_goodput:.3}"
        );
        let min_share = MIN_RELATIVE_SERVED_SHARE * outcome.served_share();
        assert!(outcome.largest_tenth >= min_share, "{outcome:?}");
    }
}

// Engines at a quarter of their speed from 4 s on: 36 and 24 / 4 are as many as 42.
#[test]
fn two_fifths_of_the_engines_at_a_quarter_of_their_speed() {
    let slow = |engine, at| match engine % 5 < 2 && at > 4_000.0 {
        true => SLOW,
        false => 1.0,
    };
    let conditions = conditions::LoadConditions {
        slowdown: slow,
        ..Default::default()
    };
    assert_as_on_equal_engines(conditions, 60, 42);
}

// The slow engines are fast again from 14 s on.
#[test]
fn recovered_engines_serve_as_before() {
    let slow = |engine, at| match engine % 5 < 2 && (4_000.0..14_000.0).contains(&at) {
        true => SLOW,
        false => 1.0,
    };
    let conditions = conditions::LoadConditions {
        slowdown: slow,
        ..Default::default()
    };
    // As many as 42 for 10 s of 33 s, and 60 for the rest.
    assert_as_on_equal_engines(conditions, 60, 54);
}

// All clients come to data centre `a` at 8 s, whose engines become slow: 40 and 20 / 4 are as many
// as 45.
#[test]
fn clients_moved_to_a_data_centre_of_slow_engines() {
    let conditions = conditions::LoadConditions {
        slowdown: |engine, at| match engine % 3 == 0 && at > 8_000.0 {
            true => SLOW,
            false => 1.0,
        },
        centre: |request, at| match at > 8_000.0 {
            true => "a",
            false => ["a", "b", "c"][request % 3],
        },
        ..Default::default()
    };
    assert_as_on_equal_engines(conditions, 60, 45);
}

// A fifth of the engines takes three requests at most from 6 s on, and another fifth rejects all in
// every other half second; two fifths are slow.
#[test]
fn engines_that_reject_are_tried_with_few_requests() {
    let conditions = conditions::LoadConditions {
        slowdown: |engine, at| match engine % 5 < 2 && at > 4_000.0 {
            true => SLOW,
            false => 1.0,
        },
        places: |engine, at| match engine % 5 {
            2 if at > 6_000.0 => 3,
            3 if at > 6_000.0 && ((at / 500.0) as u64).is_multiple_of(2) => 0,
            _ => usize::MAX,
        },
        ..Default::default()
    };
    let outcomes = simulate(&load(60), conditions);
    let arrivals: u32 = outcomes.iter().map(|outcome| outcome.arrivals).sum();
    let rejected: u32 = outcomes.iter().map(|outcome| outcome.rejected).sum();
    let rejected_share = f64::from(rejected) / f64::from(arrivals);
    assert!(
        rejected_share <= MAX_REJECTED_SHARE,
        "{rejected} of {arrivals}"
    );
}
