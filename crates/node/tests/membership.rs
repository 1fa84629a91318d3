//! Who is taken as alive after restarts, pauses and departures.

mod nodes;

use std::time::Duration;

use model::ids;
use model::peer;
use sardinepaddle_node::event;

fn state_of(set: &nodes::NodeSet, at: usize, of: usize) -> Option<peer::MemberState> {
    let name = ids::HostId::new(&format!("host-{of}"));
    let members = set.machines[at].members();
    let update = members.iter().find(|update| update.entry.host == name)?;
    (update.incarnation.0 > 0).then_some(update.state)
}

#[test]
fn leaving_daemon_that_misses_a_probe_never_takes_roles_again() {
    let mut set = nodes::NodeSet::start(4, 5);
    set.run(Duration::from_secs(6));
    set.apply(0, event::NodeEvent::ShutdownRequested);
    set.run(Duration::from_secs(3));
    assert_eq!(state_of(&set, 1, 0), Some(peer::MemberState::Leaving));
    set.part(&[0], &[1, 2, 3], true);
    set.run(Duration::from_millis(2_600));
    set.part(&[0], &[1, 2, 3], false);
    for _ in 0..60 {
        set.run(Duration::from_millis(100));
        for at in 1..4 {
            let state = state_of(&set, at, 0);
            assert_ne!(state, Some(peer::MemberState::Alive), "at host-{at}");
        }
    }
}

#[test]
fn daemon_that_the_host_list_does_not_name_yet_is_known_by_its_probes() {
    let mut set = nodes::NodeSet::start(4, 6);
    set.unlisted = Some(3);
    set.run(Duration::from_secs(3));
    for at in 0..3 {
        let state = state_of(&set, at, 3);
        assert_eq!(state, Some(peer::MemberState::Alive), "at host-{at}");
    }
}

#[test]
fn frozen_daemon_is_alive_again_under_a_new_incarnation_and_stays_so() {
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
        for at in [0, 1, 3] {
            let state = state_of(&set, at, 2);
            assert_eq!(state, Some(peer::MemberState::Alive), "at host-{at}");
        }
    }
}
