//! Loads and simulation shared by the tests.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod conditions;
pub mod engine;
pub mod profiles;
pub mod simulation;

use simulation::EngineLoad;
use simulation::RequestClass;

/// Returns the three classes of prompts of the users' school lunches.
pub fn lunch_classes() -> Vec<RequestClass> {
    let short = RequestClass {
        name: "short",
        rate_per_s: 42.9,
        mean_prompt: 4_960.0,
        prompt_cv: 0.9,
        max_prompt: 23_800.0,
        answer_events: 32.9,
        value: 1.3,
        late_value: 0.33,
        objective_ms: 300.0,
        gap_objective_ms: 250.0,
        deadline_ms: 10_000.0,
    };
    let middle = RequestClass {
        name: "middle",
        rate_per_s: 2.18,
        mean_prompt: 45_000.0,
        prompt_cv: 0.5,
        max_prompt: 110_000.0,
        answer_events: 19.7,
        value: 4.2,
        late_value: 1.0,
        objective_ms: 1_500.0,
        gap_objective_ms: 600.0,
        deadline_ms: 10_000.0,
    };
    let long = RequestClass {
        name: "long",
        rate_per_s: 1.32,
        mean_prompt: 154_000.0,
        prompt_cv: 0.55,
        max_prompt: 700_000.0,
        answer_events: 16.5,
        value: 21.0,
        late_value: 5.2,
        objective_ms: 3_000.0,
        gap_objective_ms: 1_000.0,
        deadline_ms: 15_000.0,
    };
    vec![short, middle, long]
}

/// Returns the heaviest load of the users' school lunches: short and long prompts surge in turn.
pub fn lunch_surges() -> EngineLoad {
    EngineLoad {
        classes: lunch_classes(),
        engines: 21,
        slots: 16,
        stride: 51,
        span_ms: 33_000.0,
        rate_factors: vec![
            vec![0.37, 1.3, 2.8],
            vec![2.4, 0.5, 0.05],
            vec![0.38, 1.3, 2.8],
        ],
    }
}

/// Returns the same load at the rates and on the fewer engines of the users' stock desk.
pub fn stock_surges() -> EngineLoad {
    let mut load = lunch_surges();
    for (class, rate_per_s) in load.classes.iter_mut().zip([32.7, 1.66, 1.0]) {
        class.rate_per_s = rate_per_s;
    }
    load.engines = 16;
    load
}

/// Returns the load of the grown school lunches: larger long prompts, fewer slots per engine.
pub fn lunch_grown() -> EngineLoad {
    grown(69, [111.0, 7.05, 2.32])
}

/// Returns the load of the grown stock desk.
pub fn stock_grown() -> EngineLoad {
    grown(54, [87.0, 5.52, 1.82])
}

fn grown(engines: usize, rates: [f64; 3]) -> EngineLoad {
    let mut load = lunch_surges();
    for (class, rate_per_s) in load.classes.iter_mut().zip(rates) {
        class.rate_per_s = rate_per_s;
    }
    let long = &mut load.classes[2];
    long.mean_prompt = 220_000.0;
    long.max_prompt = 700_000.0;
    long.objective_ms = 4_000.0;
    long.value = 29.0;
    long.late_value = 7.4;
    load.engines = engines;
    load.slots = 12;
    load.stride = 57;
    load
}
