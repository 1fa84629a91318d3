//! A cold engine never carries more than it can, whoever takes itself as its keeper.

mod nodes;

use std::time::Duration;

use proptest::prelude::*;

/// Time after which the first keeper has granted.
const START: Duration = Duration::from_secs(5);

fn keepers(set: &nodes::NodeSet) -> usize {
    let kept = set
        .machines
        .iter()
        .filter(|machine| !machine.coordinated_endpoints().is_empty());
    kept.count()
}

#[test]
fn one_keeper_uses_what_a_cold_engine_carries() {
    let mut set = nodes::NodeSet::start(3, 1);
    set.run(START);
    assert_eq!(set.most_while_cold, nodes::COLD_SLOTS);
    assert_eq!(keepers(&set), 1);
}

#[test]
fn two_keepers_of_a_parted_data_centre_never_overrun_a_cold_engine() {
    let mut most = Vec::new();
    let mut parted = 0;
    for seed in 0..20 {
        let mut set = nodes::NodeSet::start(4, seed);
        set.run(Duration::from_secs(1));
        set.part(&[0, 1], &[2, 3], true);
        set.run(Duration::from_secs(8));
        parted += u32::from(keepers(&set) == 2 && set.is_cold());
        set.part(&[0, 1], &[2, 3], false);
        set.run(Duration::from_secs(5));
        most.push(set.most_while_cold);
    }
    assert_eq!(parted, 20, "the fault did not make two keepers each time");
    assert!(
        most.iter().all(|most| *most <= nodes::COLD_SLOTS),
        "{most:?}"
    );
}

#[test]
fn the_majority_of_a_parted_data_centre_goes_on_with_a_cold_engine() {
    let mut set = nodes::NodeSet::start(5, 3);
    set.run(Duration::from_secs(1));
    set.part(&[0, 1], &[2, 3, 4], true);
    set.run(Duration::from_secs(9));
    assert_eq!(set.most_while_cold, nodes::COLD_SLOTS);
}

#[test]
fn callers_that_go_away_do_not_make_room_before_the_engine_has_it() {
    let mut set = nodes::NodeSet::start(3, 4);
    set.callers_leave = true;
    set.run(Duration::from_secs(30));
    assert_eq!(set.most_while_cold, nodes::COLD_SLOTS);
    assert!(set.started_by.iter().sum::<u32>() > 6);
    assert!(set.is_cold());
}

/// A fault, or its end, for the property test.
#[derive(Clone, Debug)]
enum FaultStep {
    Part(u8),
    Heal,
    Pause(usize),
    Resume(usize),
    Loss(u32),
}

fn fault_step() -> impl Strategy<Value = FaultStep> {
    prop_oneof![
        any::<u8>().prop_map(FaultStep::Part),
        Just(FaultStep::Heal),
        (0..5_usize).prop_map(FaultStep::Pause),
        (0..5_usize).prop_map(FaultStep::Resume),
        (0..40_u32).prop_map(FaultStep::Loss),
    ]
}

fn take_step(set: &mut nodes::NodeSet, step: &FaultStep) {
    let count = set.machines.len();
    match step {
        FaultStep::Part(mask) => {
            let (left, right): (Vec<_>, Vec<_>) =
                (0..count).partition(|index| mask >> index & 1 == 0);
            set.part(&left, &right, true);
        }
        FaultStep::Heal => set.cut.clear(),
        FaultStep::Pause(index) => set.paused[index % count] = true,
        FaultStep::Resume(index) => set.paused[index % count] = false,
        FaultStep::Loss(percent) => set.loss = *percent,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn a_cold_engine_is_never_overrun_under_any_order_of_faults(
        seed in 0..1_000_u64,
        count in 2..6_usize,
        steps in prop::collection::vec((fault_step(), 100..4_000_u64), 1..10),
    ) {
        let mut set = nodes::NodeSet::start(count, seed);
        set.run(Duration::from_secs(3));
        for (step, millis) in &steps {
            take_step(&mut set, step);
            set.run(Duration::from_millis(*millis));
        }
        prop_assert!(set.most_while_cold <= nodes::COLD_SLOTS, "{} at once", set.most_while_cold);
    }
}
