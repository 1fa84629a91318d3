//! What must always hold, under random orders of events, losses, duplicates and pauses.

use std::time::Duration;

use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_assert, prop_oneof, proptest};

mod support;

/// Something that happens to a fleet.
#[derive(Clone, Debug)]
enum FleetStep {
    Call { unit: usize, key: u32, ms: u64 },
    Ask { unit: usize, ms: u64 },
    Leave { request: usize },
    Kill { unit: usize },
    Start { unit: usize },
    Pause { unit: usize },
    Resume { unit: usize },
    StoreDown { down: bool },
    Advance { ticks: u32 },
}

fn any_step() -> impl Strategy<Value = FleetStep> {
    let unit = 0..3_usize;
    prop_oneof![
        6 => (unit.clone(), 0..3_u32, 500..5_000_u64)
            .prop_map(|(unit, key, ms)| FleetStep::Call { unit, key, ms }),
        4 => (unit.clone(), 500..5_000_u64).prop_map(|(unit, ms)| FleetStep::Ask { unit, ms }),
        1 => (0..20_usize).prop_map(|request| FleetStep::Leave { request }),
        1 => unit.clone().prop_map(|unit| FleetStep::Kill { unit }),
        1 => unit.clone().prop_map(|unit| FleetStep::Start { unit }),
        1 => unit.clone().prop_map(|unit| FleetStep::Pause { unit }),
        1 => unit.prop_map(|unit| FleetStep::Resume { unit }),
        1 => any::<bool>().prop_map(|down| FleetStep::StoreDown { down }),
        8 => (1..80_u32).prop_map(|ticks| FleetStep::Advance { ticks }),
    ]
}

fn any_rates() -> impl Strategy<Value = support::FaultRates> {
    let percent = || prop_oneof![0..1_u32, 0..30_u32];
    (
        percent(),
        percent(),
        0..60_u32,
        percent(),
        0..5_u32,
        percent(),
    )
        .prop_map(
            |(lost, doubled, late, store_lost, broken, not_sent)| support::FaultRates {
                lost,
                doubled,
                late,
                store_lost,
                broken,
                not_sent,
                ..support::FaultRates::default()
            },
        )
}

fn play(driver: &mut support::FleetDriver, step: &FleetStep) {
    let units = driver.units.len();
    match step {
        FleetStep::Call { unit, key, ms } => {
            driver.call(unit % units, *key, Duration::from_millis(*ms));
        }
        FleetStep::Ask { unit, ms } => {
            driver.ask(unit % units, Duration::from_millis(*ms));
        }
        FleetStep::Leave { request } => {
            let open = driver
                .callers
                .iter()
                .filter(|(_, view)| view.outcome.is_none());
            let open = open.map(|(id, _)| *id).collect::<Vec<_>>();
            if let Some(id) = open.get(request % open.len().max(1)) {
                driver.leave(*id);
            }
        }
        FleetStep::Kill { unit } => driver.kill(unit % units),
        FleetStep::Start { unit } => driver.start(unit % units),
        FleetStep::Pause { unit } => driver.set_paused(unit % units, true),
        FleetStep::Resume { unit } => driver.set_paused(unit % units, false),
        FleetStep::StoreDown { down } => driver.store_down = *down,
        FleetStep::Advance { ticks } => driver.advance(*ticks),
    }
}

/// Ends all faults and lets time pass until everything has ended.
fn calm(driver: &mut support::FleetDriver) {
    driver.rates = support::FaultRates::default();
    driver.store_down = false;
    for unit in 0..driver.units.len() {
        driver.set_paused(unit, false);
        driver.start(unit);
    }
    driver.advance(1_500);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, max_shrink_iters: 64, ..ProptestConfig::default() })]

    /// The driver checks after each tick: no key is sent twice, each request ends once and in
    /// time, "not run" is true, and pieces go whole and in order to their own callers. At the
    /// end the engine holds nothing.
    #[test]
    fn invariants_hold_under_random_faults(
        machines in 1..4_usize,
        seed in any::<u64>(),
        rates in any_rates(),
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut driver = support::FleetDriver::new(machines, seed);
        driver.rates = rates;
        for step in &steps {
            play(&mut driver, step);
        }
        calm(&mut driver);
        let streams = driver.streams();
        prop_assert!(streams.is_empty(), "the engine still holds {streams:?}");
    }
}
