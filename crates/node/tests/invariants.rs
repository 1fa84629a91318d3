//! Invariants of a fleet under random sequences of events, message faults, kills and pauses.

use std::time::Duration;

use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_assert, prop_oneof, proptest};

mod support;

/// One step of a random test run.
#[derive(Clone, Debug)]
enum FleetStep {
    SendKeyedCall { host: usize, key: u32, ms: u64 },
    SendPrompt { host: usize, ms: u64 },
    DisconnectClient { request: usize },
    Kill { host: usize },
    Start { host: usize },
    Pause { host: usize },
    Resume { host: usize },
    StoreDown { down: bool },
    Advance { ticks: u32 },
}

fn any_step() -> impl Strategy<Value = FleetStep> {
    let host = 0..3_usize;
    prop_oneof![
        6 => (host.clone(), 0..3_u32, 500..5_000_u64)
            .prop_map(|(host, key, ms)| FleetStep::SendKeyedCall { host, key, ms }),
        4 => (host.clone(), 500..5_000_u64).prop_map(|(host, ms)| FleetStep::SendPrompt { host, ms }),
        1 => (0..20_usize).prop_map(|request| FleetStep::DisconnectClient { request }),
        1 => host.clone().prop_map(|host| FleetStep::Kill { host }),
        1 => host.clone().prop_map(|host| FleetStep::Start { host }),
        1 => host.clone().prop_map(|host| FleetStep::Pause { host }),
        1 => host.prop_map(|host| FleetStep::Resume { host }),
        1 => any::<bool>().prop_map(|down| FleetStep::StoreDown { down }),
        8 => (1..80_u32).prop_map(|ticks| FleetStep::Advance { ticks }),
    ]
}

fn any_rates() -> impl Strategy<Value = support::FaultRates> {
    let any_percent = || prop_oneof![0..1_u32, 0..30_u32];
    (
        any_percent(),
        any_percent(),
        0..60_u32,
        any_percent(),
        0..5_u32,
        any_percent(),
    )
        .prop_map(
            |(lost, duplicated, delayed, store_lost, broken, not_sent)| support::FaultRates {
                lost,
                duplicated,
                delayed,
                store_lost,
                broken,
                not_sent,
                ..support::FaultRates::default()
            },
        )
}

fn apply_step(driver: &mut support::FleetDriver, step: &FleetStep) {
    let hosts = driver.hosts.len();
    match step {
        FleetStep::SendKeyedCall { host, key, ms } => {
            driver.send_keyed_call(host % hosts, *key, Duration::from_millis(*ms));
        }
        FleetStep::SendPrompt { host, ms } => {
            driver.send_prompt(host % hosts, Duration::from_millis(*ms));
        }
        FleetStep::DisconnectClient { request } => {
            let open_requests = driver
                .clients
                .iter()
                .filter(|(_, client)| client.outcome.is_none());
            let open_requests = open_requests.map(|(id, _)| *id).collect::<Vec<_>>();
            if let Some(id) = open_requests.get(request % open_requests.len().max(1)) {
                driver.disconnect_client(*id);
            }
        }
        FleetStep::Kill { host } => driver.kill(host % hosts),
        FleetStep::Start { host } => driver.start(host % hosts),
        FleetStep::Pause { host } => driver.set_paused(host % hosts, true),
        FleetStep::Resume { host } => driver.set_paused(host % hosts, false),
        FleetStep::StoreDown { down } => driver.store_down = *down,
        FleetStep::Advance { ticks } => driver.advance(*ticks),
    }
}

/// Ends all faults and advances until all requests have ended.
fn end_faults(driver: &mut support::FleetDriver) {
    driver.rates = support::FaultRates::default();
    driver.store_down = false;
    for host in 0..driver.hosts.len() {
        driver.set_paused(host, false);
        driver.start(host);
    }
    driver.advance(1_500);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, max_shrink_iters: 64, ..ProptestConfig::default() })]

    /// The driver checks after each tick that no idempotency key is sent twice, each request ends
    /// once and in time, a request reported as "not run" was not sent, and each client receives
    /// only its own chunks, complete and in order. At the end the engine must hold no memory.
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
            apply_step(&mut driver, step);
        }
        end_faults(&mut driver);
        let streams = driver.streams();
        prop_assert!(streams.is_empty(), "the engine still holds {streams:?}");
    }
}
