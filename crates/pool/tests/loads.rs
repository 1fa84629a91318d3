//! Simulates the users' heaviest loads and checks how much of each request class is served.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use support::simulation;

fn simulate(
    load: &simulation::EngineLoad,
    seeds: std::ops::Range<u64>,
) -> Vec<simulation::ClassOutcome> {
    let mut totals = vec![simulation::ClassOutcome::default(); load.classes.len()];
    let seed_count = seeds.clone().count() as f64;
    for seed in seeds {
        let simulation = simulation::LoadSimulation::new(load.clone(), seed);
        for (total, outcome) in totals.iter_mut().zip(simulation.run()) {
            total.submitted += outcome.submitted;
            total.on_time += outcome.on_time;
            total.late += outcome.late;
            total.declined += outcome.declined;
            total.abandoned += outcome.abandoned;
            total.earned_value += outcome.earned_value;
            total.offered_value += outcome.offered_value;
            total.largest_tenth += outcome.largest_tenth / seed_count;
            total.next_fifth += outcome.next_fifth / seed_count;
        }
    }
    for (total, class) in totals.iter().zip(&load.classes) {
        println!("{:8} {:.3} {total:?}", class.name, total.earned_share());
    }
    let earned_value: f64 = totals.iter().map(|total| total.earned_value).sum();
    let offered_value: f64 = totals.iter().map(|total| total.offered_value).sum();
    println!("all      {:.3}", earned_value / offered_value);
    totals
}

/// Least share of its value that each class must earn: the users' target for the stock desk.
const MIN_EARNED_SHARE: f64 = 0.76;

/// Least served share of the largest prompts of a class, relative to the whole class; from the
/// users' rules.
const MIN_RELATIVE_SERVED_SHARE: f64 = 0.5;

fn assert_served(load: &simulation::EngineLoad, seeds: std::ops::Range<u64>) {
    for (outcome, class) in simulate(load, seeds).iter().zip(&load.classes) {
        let earned_share = outcome.earned_share();
        assert!(
            earned_share >= MIN_EARNED_SHARE,
            "{}: {earned_share:.3}",
            class.name
        );
        let min_share = MIN_RELATIVE_SERVED_SHARE * outcome.served_share();
        assert!(
            outcome.largest_tenth >= min_share,
            "{}: {outcome:?}",
            class.name
        );
        assert!(
            outcome.next_fifth >= min_share,
            "{}: {outcome:?}",
            class.name
        );
    }
}

// Regression: long prompts earned only 0.73 of their value. The placer ignored that prefills placed
// behind them lengthen the gaps of their responses, and prompts larger than one engine's memory
// waited until the chosen members happened to have enough of it.
#[test]
fn each_class_is_served_while_short_and_long_prompts_surge_in_turn() {
    assert_served(&support::lunch_surges(), 1..9);
}

#[test]
fn each_class_is_served_on_the_fewer_engines_of_the_stock_desk() {
    assert_served(&support::stock_surges(), 1..9);
}

#[test]
fn each_class_is_served_after_the_lunches_have_grown() {
    assert_served(&support::lunch_grown(), 1..4);
}

#[test]
fn each_class_is_served_after_the_stock_desk_has_grown() {
    assert_served(&support::stock_grown(), 1..4);
}

// A surge of long prompts that the engines can't all serve (deploy/days/engines_gone.toml). Listed
// in KNOWN-RED.txt.
#[test]
fn largest_prompts_are_not_declined_in_favour_of_smaller_ones_of_their_class() {
    let mut load = support::lunch_grown();
    load.engines = 60;
    load.rate_factors = vec![vec![1.0, 1.0, 2.8]];
    for (outcome, class) in simulate(&load, 1..4).iter().zip(&load.classes) {
        let min_share = MIN_RELATIVE_SERVED_SHARE * outcome.served_share();
        assert!(
            outcome.largest_tenth >= min_share,
            "{}: {outcome:?}",
            class.name
        );
        assert!(
            outcome.next_fifth >= min_share,
            "{}: {outcome:?}",
            class.name
        );
    }
}
