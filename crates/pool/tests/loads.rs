//! What callers get under the users' heaviest loads.

mod support;

use support::play;

fn played(load: &play::EngineLoad, seeds: std::ops::Range<u64>) -> Vec<play::KindOutcome> {
    let mut sums = vec![play::KindOutcome::default(); load.kinds.len()];
    for seed in seeds {
        let play = play::LoadPlay::new(load.clone(), play::profile(16, 51), seed);
        for (sum, one) in sums.iter_mut().zip(play.run()) {
            sum.asked += one.asked;
            sum.on_time += one.on_time;
            sum.late += one.late;
            sum.refused += one.refused;
            sum.given_up += one.given_up;
            sum.earned += one.earned;
            sum.owed += one.owed;
        }
    }
    for (sum, kind) in sums.iter().zip(&load.kinds) {
        println!("{:8} {:.3} {sum:?}", kind.name, sum.share());
    }
    let earned: f64 = sums.iter().map(|sum| sum.earned).sum();
    let owed: f64 = sums.iter().map(|sum| sum.owed).sum();
    println!("all      {:.3}", earned / owed);
    sums
}

#[test]
fn surges_of_school_lunches() {
    played(&support::lunch_surges(), 1..9);
}

#[test]
fn surges_of_the_stock_desk() {
    played(&support::stock_surges(), 1..9);
}
