//! A copy of the store's objects that daemons keep and exchange.

use std::collections;

use bytes::Bytes;
use model::map;
use serde::{Deserialize, Serialize};

/// Position of a change in the history of the store. The store starts a new era when it comes back
/// from an older copy of itself, and then assigns revisions again that it had assigned before.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectStamp {
    /// Era of the store; zero if the store states none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

/// An object or its removal, as of a revision of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaObject {
    /// Number of its kind, assigned by the adapter of the store.
    pub kind: u8,
    /// Its name.
    pub name: String,
    /// Revision of its last change or of its removal.
    pub revision: u64,
    /// Its content; `None` if it was removed.
    pub spec: Option<Bytes>,
    /// Era of the store to which the revision belongs. Sent beside the object, so that builds
    /// without eras can decode it.
    #[serde(skip)]
    pub era: u64,
    /// Version that its content states, which precedes the stamp in the order of changes; zero if
    /// objects of this kind state none. Read from the content, not sent.
    #[serde(skip)]
    pub version: u64,
}

impl ReplicaObject {
    /// Returns the position of the change in the history of the store.
    pub fn stamp(&self) -> ObjectStamp {
        ObjectStamp {
            era: self.era,
            revision: self.revision,
        }
    }

    /// Returns the key that orders the changes of one object. A version that was in force before
    /// the store came back from an older copy stays ahead of the older version in that copy.
    fn order_key(&self) -> (u64, ObjectStamp) {
        (self.version, self.stamp())
    }
}

/// A copy of the store's objects that numbers its own changes, so that the objects changed after
/// one of them can be listed.
#[derive(Clone, Debug, Default)]
pub struct ObjectReplica {
    objects: map::HashMap<(u8, String), (u64, ReplicaObject)>,
    by_change: collections::BTreeMap<u64, (u8, String)>,
    last_change: u64,
    /// Position up to which the copy has all objects of a kind that exist.
    complete: map::HashMap<u8, ObjectStamp>,
}

impl ObjectReplica {
    /// Applies an object; returns whether it was newer than the copy's.
    ///
    /// ```
    /// use sardinepaddle_pool::replica::{ObjectReplica, ReplicaObject};
    /// let mut replica = ObjectReplica::default();
    /// let object = ReplicaObject {
    ///     kind: 0, name: "a".into(), revision: 7, spec: None, era: 1, version: 0,
    /// };
    /// assert!(replica.apply(object.clone()));
    /// assert!(!replica.apply(object.clone()));
    /// // The store came back from an older copy, and assigned a lower revision.
    /// assert!(replica.apply(ReplicaObject { revision: 3, era: 2, ..object }));
    /// ```
    pub fn apply(&mut self, object: ReplicaObject) -> bool {
        let key = (object.kind, object.name.clone());
        if let Some((change, known)) = self.objects.get(&key) {
            if known.order_key() >= object.order_key() {
                return false;
            }
            self.by_change.remove(change);
        }
        self.last_change += 1;
        self.by_change.insert(self.last_change, key.clone());
        self.objects.insert(key, (self.last_change, object));
        true
    }

    /// Records that the copy has all objects of a kind that exist at a position of the store, or were
    /// removed there after they had been known here.
    pub fn mark_complete(&mut self, kind: u8, stamp: ObjectStamp) {
        let complete = self.complete.entry(kind).or_default();
        *complete = stamp.max(*complete);
    }

    /// Returns the removal of an object of another copy that was removed before the position up to
    /// which this one is complete; `None` if it may exist or its removal is known.
    ///
    /// ```
    /// use sardinepaddle_pool::replica::{ObjectReplica, ObjectStamp, ReplicaObject};
    /// let mut replica = ObjectReplica::default();
    /// replica.mark_complete(0, ObjectStamp { era: 1, revision: 9 });
    /// let object = ReplicaObject {
    ///     kind: 0, name: "a".into(), revision: 7, spec: Some("{}".into()), era: 1, version: 0,
    /// };
    /// let removal = replica.removal_of(&object).unwrap();
    /// assert_eq!((removal.revision, removal.spec), (9, None));
    /// assert_eq!(replica.removal_of(&ReplicaObject { revision: 12, ..object }), None);
    /// ```
    pub fn removal_of(&self, object: &ReplicaObject) -> Option<ReplicaObject> {
        let complete = self.complete.get(&object.kind)?;
        // What an earlier era had may have been lost by the store, not removed.
        let is_covered = object.era == complete.era && object.revision <= complete.revision;
        let known = self.object(object.kind, &object.name);
        let is_known =
            known.is_some_and(|known| known.spec.is_some() || known.stamp() >= object.stamp());
        let is_removed = is_covered && object.spec.is_some() && !is_known;
        is_removed.then(|| ReplicaObject {
            revision: complete.revision,
            spec: None,
            version: 0,
            ..object.clone()
        })
    }

    /// Returns the number of the newest change of the copy.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the objects that changed after the given change, oldest first.
    pub fn changed_since(&self, change: u64) -> Vec<ReplicaObject> {
        let changes = self.by_change.range(change + 1..);
        changes
            .filter_map(|(_, key)| self.objects.get(key))
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Returns the existing objects of a kind, in no particular order.
    pub fn present(&self, kind: u8) -> impl Iterator<Item = &ReplicaObject> {
        let objects = self.objects.values().map(|(_, object)| object);
        objects.filter(move |object| object.kind == kind && object.spec.is_some())
    }

    /// Returns the names of the existing objects of a kind.
    pub fn names(&self, kind: u8) -> Vec<String> {
        self.present(kind)
            .map(|object| object.name.clone())
            .collect()
    }

    /// Returns an object, or its removal.
    pub fn object(&self, kind: u8, name: &str) -> Option<&ReplicaObject> {
        let entry = self.objects.get(&(kind, name.to_owned()));
        entry.map(|(_, object)| object)
    }
}
