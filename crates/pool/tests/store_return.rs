//! What daemons believe after the store came back from an older copy of itself.

use model::ids;
use model::serving;
use sardinepaddle_pool::holds;
use sardinepaddle_pool::replica;

fn object(version: u64, era: u64, revision: u64) -> replica::ReplicaObject {
    replica::ReplicaObject {
        kind: 0,
        name: "main".to_owned(),
        revision,
        spec: Some(format!("version {version}").into()),
        era,
        version,
    }
}

#[test]
fn changes_are_ordered_by_era_before_revision() {
    let mut copy = replica::ObjectReplica::default();
    assert!(copy.apply(object(0, 1, 900)));
    assert!(copy.apply(object(0, 2, 40)));
    assert!(
        !copy.apply(object(0, 1, 901)),
        "late change of the lost history"
    );
    assert!(copy.apply(object(0, 2, 41)));
}

#[test]
fn older_version_in_the_copy_does_not_replace_the_one_in_force() {
    // In whichever order two daemons hear of the same objects, they agree.
    let changes = [object(7, 1, 900), object(5, 2, 40), object(6, 2, 44)];
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2]] {
        let mut copy = replica::ObjectReplica::default();
        for index in order {
            copy.apply(changes[index].clone());
        }
        assert_eq!(copy.object(0, "main"), Some(&changes[0]));
        assert!(copy.apply(object(7, 2, 50)), "written again");
        assert!(copy.apply(object(8, 2, 51)));
    }
}

fn live(leaving: bool, started_ms: u64, sequence: u64) -> serving::LiveEndpoint {
    serving::LiveEndpoint {
        id: ids::EndpointId::new("e1"),
        service: ids::ServiceId::new("s"),
        address: "127.0.0.1:80".parse().unwrap(),
        centre: ids::CentreId::new("a"),
        slots: 4,
        leaving,
        started_ms,
        sequence,
    }
}

/// Holds of one endpoint, which is listed or gone.
#[derive(Default)]
struct HoldTester(holds::EndpointHolds);

impl HoldTester {
    /// Lists the endpoint and returns whether it is held closed.
    fn list(&mut self, now: f64, era: u64, revision: u64, live: &serving::LiveEndpoint) -> bool {
        let stamp = replica::ObjectStamp { era, revision };
        let listed = [holds::ListedEndpoint { live, stamp }];
        self.0.update(now, &listed, |_| era);
        self.0.is_held(&live.id)
    }

    fn remove(&mut self, now: f64, era: u64) {
        self.0.update(now, &[], |_| era);
    }
}

#[test]
fn leaving_endpoint_is_held_until_its_entry_shows_a_later_write() {
    let started = [live(false, 6, 0), live(false, 5, 4)];
    for rewritten in started {
        let mut holds = HoldTester::default();
        holds.list(0.0, 1, 90, &live(true, 5, 3));
        assert!(holds.list(10.0, 2, 40, &live(false, 5, 2)));
        assert!(holds.list(20.0, 2, 40, &live(false, 5, 2)));
        assert!(!holds.list(30.0, 2, 45, &rewritten), "{rewritten:?}");
    }
}

#[test]
fn higher_revision_alone_does_not_end_a_hold() {
    let mut holds = HoldTester::default();
    holds.list(0.0, 1, 90, &live(true, 5, 3));
    assert!(holds.list(10.0, 2, 40, &live(false, 5, 2)));
    assert!(holds.list(20.0, 2, 300, &live(false, 5, 2)));
    // An entry that differs from the copy's was written after the return.
    assert!(!holds.list(30.0, 2, 301, &live(false, 5, 3)));
}

#[test]
fn within_an_era_a_leaving_endpoint_opens_by_its_next_entry() {
    let mut holds = HoldTester::default();
    holds.list(0.0, 1, 90, &live(true, 5, 3));
    assert!(!holds.list(10.0, 1, 91, &live(false, 5, 3)));
}

#[test]
fn endpoint_that_is_gone_is_held_through_two_returns() {
    let mut holds = HoldTester::default();
    holds.list(0.0, 1, 80, &live(false, 5, 3));
    holds.remove(10.0, 1);
    // The store may have raised the sequence without an event before it removed the entry.
    assert!(holds.list(20.0, 2, 40, &live(false, 5, 9)));
    assert!(holds.list(30.0, 3, 38, &live(false, 5, 8)));
    assert!(!holds.list(40.0, 3, 50, &live(false, 7, 0)));
}

#[test]
fn endpoint_that_registers_again_after_the_return_is_open() {
    let mut holds = HoldTester::default();
    holds.list(0.0, 1, 80, &live(false, 5, 3));
    // The copy lacks it, and its removal belongs to the new era.
    holds.remove(10.0, 2);
    assert!(!holds.list(20.0, 2, 45, &live(false, 5, 3)));
}

#[test]
fn hold_without_evidence_runs_out_only_while_the_store_is_heard() {
    let mut holds = HoldTester::default();
    holds.list(0.0, 1, 90, &live(true, 5, 3));
    assert!(holds.list(10.0, 2, 40, &live(false, 5, 2)));
    holds.0.restart(9_000.0);
    let due = 9_000.0 + holds::HOLD_MS;
    assert!(!holds.0.has_expired(due - 1.0));
    assert!(holds.list(due - 1.0, 2, 40, &live(false, 5, 2)));
    assert!(holds.0.has_expired(due));
    assert!(!holds.list(due, 2, 40, &live(false, 5, 2)));
}
