//! Member states after shutdowns, pauses and with an incomplete host list.

mod nodes;

use std::time::Duration;

use model::ids;
use model::peer;
use sardinepaddle_node::event;

fn state_of(set: &nodes::NodeSet, observer: usize, member: usize) -> Option<peer::MemberState> {
    let name = ids::HostId::new(&format!("host-{member}"));
    let members = set.machines[observer].members();
    let update = members.iter().find(|update| update.entry.host == name)?;
    (update.incarnation.0 > 0).then_some(update.state)
}

#[test]
fn leaving_daemon_that_misses_a_probe_is_never_alive_again() {
    let mut set = nodes::NodeSet::start(4, 5);
    set.run(Duration::from_secs(6));
    set.step_machine(0, event::NodeEvent::ShutdownRequested);
    set.run(Duration::from_secs(3));
    assert_eq!(state_of(&set, 1, 0), Some(peer::MemberState::Leaving));
    set.set_partition(&[0], &[1, 2, 3], true);
    set.run(Duration::from_millis(2_600));
    set.set_partition(&[0], &[1, 2, 3], false);
    for _ in 0..60 {
        set.run(Duration::from_millis(100));
        for observer in 1..4 {
            let state = state_of(&set, observer, 0);
            assert_ne!(state, Some(peer::MemberState::Alive), "at host-{observer}");
        }
    }
}

#[test]
fn daemon_missing_from_the_host_list_is_discovered_by_its_probes() {
    let mut set = nodes::NodeSet::start(4, 6);
    set.unlisted = Some(3);
    set.run(Duration::from_secs(3));
    for observer in 0..3 {
        let state = state_of(&set, observer, 3);
        assert_eq!(state, Some(peer::MemberState::Alive), "at host-{observer}");
    }
}

#[test]
fn paused_daemon_rejoins_under_a_new_incarnation_and_stays_alive() {
    let mut set = nodes::NodeSet::start(4, 7);
    set.run(Duration::from_secs(6));
    let before = set.machines[2].incarnation();
    set.paused[2] = true;
    set.run(Duration::from_secs(8));
    assert_eq!(state_of(&set, 0, 2), Some(peer::MemberState::Dead));
    set.paused[2] = false;
    set.run(Duration::from_secs(4));
    assert!(set.machines[2].incarnation() > before);
    for _ in 0..40 {
        set.run(Duration::from_millis(100));
        for observer in [0, 1, 3] {
            let state = state_of(&set, observer, 2);
            assert_eq!(state, Some(peer::MemberState::Alive), "at host-{observer}");
        }
    }
}
