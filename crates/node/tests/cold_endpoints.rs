//! A cold engine never runs more requests than it supports, even if several daemons act as its
//! coordinator.

mod nodes;

use std::time::Duration;

use proptest::prelude::*;

/// Time after which the first coordinator has issued grants.
const START: Duration = Duration::from_secs(5);

fn coordinators(set: &nodes::NodeSet) -> usize {
    let coordinators = set
        .machines
        .iter()
        .filter(|machine| !machine.coordinated_endpoints().is_empty());
    coordinators.count()
}

#[test]
fn single_coordinator_uses_all_slots_of_a_cold_engine() {
    let mut set = nodes::NodeSet::start(3, 1);
    set.run(START);
    assert_eq!(set.max_running_while_cold, nodes::COLD_SLOTS);
    assert_eq!(coordinators(&set), 1);
}

#[test]
fn two_coordinators_of_a_partitioned_data_centre_never_overload_a_cold_engine() {
    let mut max_running = Vec::new();
    let mut partitioned = 0;
    for seed in 0..20 {
        let mut set = nodes::NodeSet::start(4, seed);
        set.run(Duration::from_secs(1));
        set.set_partition(&[0, 1], &[2, 3], true);
        set.run(Duration::from_secs(8));
        partitioned += u32::from(coordinators(&set) == 2 && set.is_cold());
        set.set_partition(&[0, 1], &[2, 3], false);
        set.run(Duration::from_secs(5));
        max_running.push(set.max_running_while_cold);
    }
    assert_eq!(
        partitioned, 20,
        "the partition did not lead to two coordinators with each seed"
    );
    assert!(
        max_running
            .iter()
            .all(|running| *running <= nodes::COLD_SLOTS),
        "{max_running:?}"
    );
}

#[test]
fn majority_of_a_partitioned_data_centre_keeps_using_a_cold_engine() {
    let mut set = nodes::NodeSet::start(5, 3);
    set.run(Duration::from_secs(1));
    set.set_partition(&[0, 1], &[2, 3, 4], true);
    set.run(Duration::from_secs(9));
    assert_eq!(set.max_running_while_cold, nodes::COLD_SLOTS);
}

#[test]
fn disconnected_clients_free_no_slot_before_the_engine_does() {
    let mut set = nodes::NodeSet::start(3, 4);
    set.clients_disconnect = true;
    set.run(Duration::from_secs(30));
    assert_eq!(set.max_running_while_cold, nodes::COLD_SLOTS);
    assert!(set.started_attempts.iter().sum::<u32>() > 6);
    assert!(set.is_cold());
}

/// A fault, or the end of one, in the property test.
#[derive(Clone, Debug)]
enum FaultStep {
    /// Cuts the links between the machines whose bits are set and the others.
    Partition(u8),
    /// Restores all links.
    Heal,
    Pause(usize),
    Resume(usize),
    /// Sets the message loss, in percent.
    Loss(u32),
}

fn fault_step() -> impl Strategy<Value = FaultStep> {
    prop_oneof![
        any::<u8>().prop_map(FaultStep::Partition),
        Just(FaultStep::Heal),
        (0..5_usize).prop_map(FaultStep::Pause),
        (0..5_usize).prop_map(FaultStep::Resume),
        (0..40_u32).prop_map(FaultStep::Loss),
    ]
}

fn apply_fault(set: &mut nodes::NodeSet, step: &FaultStep) {
    let count = set.machines.len();
    match step {
        FaultStep::Partition(mask) => {
            let (left, right): (Vec<_>, Vec<_>) =
                (0..count).partition(|index| mask >> index & 1 == 0);
            set.set_partition(&left, &right, true);
        }
        FaultStep::Heal => set.cut_links.clear(),
        FaultStep::Pause(index) => set.paused[index % count] = true,
        FaultStep::Resume(index) => set.paused[index % count] = false,
        FaultStep::Loss(percent) => set.loss_percent = *percent,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn cold_engine_is_never_overloaded_under_random_faults(
        seed in 0..1_000_u64,
        count in 2..6_usize,
        steps in prop::collection::vec((fault_step(), 100..4_000_u64), 1..10),
    ) {
        let mut set = nodes::NodeSet::start(count, seed);
        set.run(Duration::from_secs(3));
        for (step, millis) in &steps {
            apply_fault(&mut set, step);
            set.run(Duration::from_millis(*millis));
        }
        prop_assert!(set.max_running_while_cold <= nodes::COLD_SLOTS, "{} concurrent requests", set.max_running_while_cold);
    }
}
