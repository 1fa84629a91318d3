//! Copies of the store's objects that daemons list, watch and exchange.

use std::collections;

use proptest::prelude::*;
use sardinepaddle_pool::replica;

const KIND: u8 = 1;
const NAMES: usize = 6;
const DAEMONS: usize = 4;

fn stamp(revision: u64) -> replica::ObjectStamp {
    replica::ObjectStamp { era: 1, revision }
}

fn object(name: usize, revision: u64, is_present: bool) -> replica::ReplicaObject {
    replica::ReplicaObject {
        kind: KIND,
        name: format!("o{name}"),
        revision,
        spec: is_present.then(|| "{}".into()),
        era: 1,
        version: 0,
    }
}

/// A store that remembers all its changes.
#[derive(Default)]
struct RecordedStore {
    changes: Vec<replica::ReplicaObject>,
}

impl RecordedStore {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn change(&mut self, name: usize, is_present: bool) {
        let change = object(name, self.revision() + 1, is_present);
        self.changes.push(change);
    }

    /// Returns the objects that exist at a revision, by name.
    fn list(&self, revision: u64) -> collections::BTreeMap<String, replica::ReplicaObject> {
        let changes = self.changes.iter().take(revision as usize);
        let mut listed = collections::BTreeMap::new();
        for change in changes {
            listed.insert(change.name.clone(), change.clone());
        }
        listed.retain(|_, change| change.spec.is_some());
        listed
    }
}

/// A daemon with its copy.
#[derive(Clone, Default)]
struct CopyingDaemon {
    copy: replica::ObjectReplica,
    /// Revision up to which it has listed or watched.
    read_until: Option<u64>,
}

impl CopyingDaemon {
    fn list(&mut self, store: &RecordedStore, revision: u64) {
        let listed = store.list(revision);
        for name in self.copy.names(KIND) {
            if !listed.contains_key(&name) {
                let removal = replica::ReplicaObject {
                    name,
                    ..object(0, revision, false)
                };
                self.copy.apply(removal);
            }
        }
        for listed in listed.into_values() {
            self.copy.apply(listed);
        }
        self.copy.mark_complete(KIND, stamp(revision));
        self.read_until = Some(revision);
    }

    fn watch(&mut self, store: &RecordedStore) {
        let Some(revision) = self.read_until else {
            return;
        };
        for change in store.changes.iter().skip(revision as usize) {
            self.copy.apply(change.clone());
        }
        self.copy.mark_complete(KIND, stamp(store.revision()));
        self.read_until = Some(store.revision());
    }

    fn merge(&mut self, other: &replica::ObjectReplica) {
        for object in other.changed_since(0) {
            let removal = self.copy.removal_of(&object);
            self.copy.apply(removal.unwrap_or(object));
        }
    }

    fn present(&self) -> Vec<String> {
        let mut names = self.copy.names(KIND);
        names.sort();
        names
    }
}

#[derive(Clone, Copy, Debug)]
enum CopyStep {
    /// An object is written or removed.
    Change(usize, bool),
    /// A daemon starts anew.
    Restart(usize),
    /// A daemon reads its first list, which is this many changes old.
    FirstList(usize, u64),
    /// A daemon lists the objects again.
    Relist(usize),
    /// A daemon reads all changes since it listed or watched.
    Watch(usize),
    /// Two daemons send each other all they know.
    Exchange(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<CopyStep>> {
    let daemon = || 0..DAEMONS;
    let step = prop_oneof![
        4 => (0..NAMES, any::<bool>()).prop_map(|(name, is_put)| CopyStep::Change(name, is_put)),
        1 => daemon().prop_map(CopyStep::Restart),
        3 => (daemon(), 0u64..12).prop_map(|(daemon, age)| CopyStep::FirstList(daemon, age)),
        1 => daemon().prop_map(CopyStep::Relist),
        2 => daemon().prop_map(CopyStep::Watch),
        4 => (daemon(), daemon()).prop_map(|(one, other)| CopyStep::Exchange(one, other)),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn removed_objects_stay_removed_and_existing_ones_stay_known(steps in steps()) {
        let mut store = RecordedStore::default();
        let mut daemons = vec![CopyingDaemon::default(); DAEMONS];
        for step in steps {
            match step {
                CopyStep::Change(name, is_present) => store.change(name, is_present),
                CopyStep::Restart(daemon) => daemons[daemon] = CopyingDaemon::default(),
                CopyStep::FirstList(daemon, age) => {
                    let revision = store.revision().saturating_sub(age);
                    if daemons[daemon].read_until.is_none() {
                        daemons[daemon].list(&store, revision);
                    }
                }
                CopyStep::Relist(daemon) => {
                    let revision = store.revision();
                    daemons[daemon].list(&store, revision);
                }
                CopyStep::Watch(daemon) => daemons[daemon].watch(&store),
                CopyStep::Exchange(one, other) => {
                    let sent = [daemons[one].copy.clone(), daemons[other].copy.clone()];
                    daemons[one].merge(&sent[1]);
                    daemons[other].merge(&sent[0]);
                }
            }
            let existing = store.list(store.revision());
            for daemon in &daemons {
                for (name, current) in &existing {
                    let known = daemon.copy.object(KIND, name);
                    let is_vanished = known.is_some_and(|known| {
                        known.spec.is_none() && known.revision > current.revision
                    });
                    prop_assert!(!is_vanished, "{name} vanished");
                }
                let read_until = daemon.read_until.unwrap_or_default();
                let listed = store.list(read_until);
                for present in daemon.copy.present(KIND) {
                    let is_known_gone = present.revision <= read_until
                        && !listed.contains_key(&present.name);
                    prop_assert!(!is_known_gone, "{} came back", present.name);
                }
            }
        }
        // One daemon that reads the store is enough for all that are connected to it.
        for daemon in &mut daemons {
            if daemon.read_until.is_none() {
                daemon.list(&store, 0);
            }
        }
        daemons[0].watch(&store);
        for other in 1..DAEMONS {
            let sent = [daemons[0].copy.clone(), daemons[other].copy.clone()];
            daemons[0].merge(&sent[1]);
            daemons[other].merge(&sent[0]);
            let updated = daemons[0].copy.clone();
            daemons[other].merge(&updated);
        }
        let existing: Vec<String> = store.list(store.revision()).into_keys().collect();
        for daemon in &daemons {
            prop_assert_eq!(&daemon.present(), &existing);
        }
    }
}
