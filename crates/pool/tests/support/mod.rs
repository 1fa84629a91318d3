//! Shared by the tests that play loads.

pub mod engine;
pub mod figures;
pub mod play;

use play::EngineLoad;
use play::RequestKind;

/// The three kinds of prompts of the users' school lunches.
pub fn lunch_kinds() -> Vec<RequestKind> {
    let short = RequestKind {
        name: "short",
        per_s: 42.9,
        prompt: 4_960.0,
        spread: 0.9,
        most_prompt: 23_800.0,
        events: 32.9,
        worth: 1.3,
        late_worth: 0.33,
        objective_ms: 300.0,
        gap_objective_ms: 250.0,
        deadline_ms: 10_000.0,
    };
    let middle = RequestKind {
        name: "middle",
        per_s: 2.18,
        prompt: 45_000.0,
        spread: 0.5,
        most_prompt: 110_000.0,
        events: 19.7,
        worth: 4.2,
        late_worth: 1.0,
        objective_ms: 1_500.0,
        gap_objective_ms: 600.0,
        deadline_ms: 10_000.0,
    };
    let long = RequestKind {
        name: "long",
        per_s: 1.32,
        prompt: 154_000.0,
        spread: 0.55,
        most_prompt: 700_000.0,
        events: 16.5,
        worth: 21.0,
        late_worth: 5.2,
        objective_ms: 3_000.0,
        gap_objective_ms: 1_000.0,
        deadline_ms: 15_000.0,
    };
    vec![short, middle, long]
}

/// The heaviest days of the users' school lunches: short and long prompts surge by turns.
pub fn lunch_surges() -> EngineLoad {
    EngineLoad {
        kinds: lunch_kinds(),
        engines: 21,
        slots: 16,
        stride: 51,
        span_ms: 33_000.0,
        waves: vec![
            vec![0.37, 1.3, 2.8],
            vec![2.4, 0.5, 0.05],
            vec![0.38, 1.3, 2.8],
        ],
    }
}

/// The same on the stock desk's fewer engines.
pub fn stock_surges() -> EngineLoad {
    let mut load = lunch_surges();
    for (kind, per_s) in load.kinds.iter_mut().zip([32.7, 1.66, 1.0]) {
        kind.per_s = per_s;
    }
    load.engines = 16;
    load
}

/// The school lunches after they have grown: larger long prompts, fewer slots an engine.
pub fn lunch_grown() -> EngineLoad {
    grown(69, [111.0, 7.05, 2.32])
}

/// The stock desk after it has grown.
pub fn stock_grown() -> EngineLoad {
    grown(54, [87.0, 5.52, 1.82])
}

fn grown(engines: usize, rates: [f64; 3]) -> EngineLoad {
    let mut load = lunch_surges();
    for (kind, per_s) in load.kinds.iter_mut().zip(rates) {
        kind.per_s = per_s;
    }
    let long = &mut load.kinds[2];
    long.prompt = 220_000.0;
    long.most_prompt = 700_000.0;
    long.objective_ms = 4_000.0;
    long.worth = 29.0;
    long.late_worth = 7.4;
    load.engines = engines;
    load.slots = 12;
    load.stride = 57;
    load
}
