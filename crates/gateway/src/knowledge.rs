//! What a daemon knows of the store: a copy of its objects, decoded, and how old it is.

use std::io;
use std::rc;

use bytes::Bytes;
use model::ids;
use model::map;
use model::serving;
use platform::catalog;
use pool::replica;
use pool::routes;

use crate::packing;

/// Kinds of objects that are followed.
pub(crate) const KINDS: usize = catalog::ObjectKind::ALL.len();
/// Time that a message between daemons takes at most as a rule, ms: told ages grow by it, so that
/// what is passed around does not stay young.
const TRANSIT_MS: f64 = 5.0;
/// Age that a list counts as which the store may have served from an old copy, ms: over each bound
/// on the age of a kind.
const OLD_COPY_MS: f64 = 60_000.0;
/// Age told for a kind that was never listed, ms.
const NEVER_LISTED_MS: u64 = 1_000_000_000;

/// Known objects of the store, decoded.
pub(crate) struct StoreKnowledge {
    replica: replica::ObjectReplica,
    history: packing::ContentHistory,
    index: rc::Rc<routes::RouteIndex>,
    endpoints: map::HashMap<ids::EndpointId, serving::LiveEndpoint>,
    emptied: Vec<ids::CentreId>,
    daemons: Vec<serving::DaemonEntry>,
    /// When the store last told of each kind, here or by a daemon that passed it on.
    fresh_at: [f64; KINDS],
}

impl StoreKnowledge {
    /// Nothing is known yet.
    pub fn new() -> Self {
        Self {
            replica: replica::ObjectReplica::default(),
            history: packing::ContentHistory::default(),
            index: rc::Rc::default(),
            endpoints: map::HashMap::default(),
            emptied: Vec::new(),
            daemons: Vec::new(),
            fresh_at: [f64::NEG_INFINITY; KINDS],
        }
    }

    /// The configuration in force, indexed.
    pub fn index(&self) -> rc::Rc<routes::RouteIndex> {
        self.index.clone()
    }

    /// Version of the configuration in force; zero if none is known.
    pub fn version(&self) -> u64 {
        self.index.config().version
    }

    /// Endpoints as listed.
    pub fn endpoints(&self) -> Vec<serving::LiveEndpoint> {
        self.endpoints.values().cloned().collect()
    }

    /// Data centres that are to get nothing.
    pub fn emptied(&self) -> &[ids::CentreId] {
        &self.emptied
    }

    /// Daemons as listed.
    pub fn daemons(&self) -> &[serving::DaemonEntry] {
        &self.daemons
    }

    /// Whether an endpoint may get new work, by what is known here.
    pub fn takes_work(&self, id: &ids::EndpointId) -> bool {
        let live = self.endpoints.get(id);
        live.is_some_and(|live| !live.leaving && !self.emptied.contains(&live.centre))
    }

    /// When the store last told of a kind.
    pub fn fresh_at(&self, kind: catalog::ObjectKind) -> f64 {
        self.fresh_at[kind as usize]
    }

    /// The store told of a kind.
    pub fn note_fresh(&mut self, now: f64, kind: catalog::ObjectKind) {
        self.fresh_at[kind as usize] = now;
    }

    /// The store listed a kind, perhaps from an old copy.
    pub fn note_listed(&mut self, now: f64, kind: catalog::ObjectKind) {
        let fresh_at = &mut self.fresh_at[kind as usize];
        *fresh_at = fresh_at.max(now - OLD_COPY_MS);
    }

    /// Ages of all kinds as told to other daemons, ms.
    pub fn ages(&self, now: f64) -> Vec<u64> {
        let ages = self.fresh_at.iter();
        ages.map(|fresh_at| (now - fresh_at).clamp(0.0, NEVER_LISTED_MS as f64) as u64)
            .collect()
    }

    /// Another daemon told how old its knowledge is.
    pub fn note_ages(&mut self, now: f64, ages_ms: &[u64]) {
        for (fresh_at, age) in self.fresh_at.iter_mut().zip(ages_ms) {
            if *age < NEVER_LISTED_MS {
                *fresh_at = fresh_at.max(now - *age as f64 - TRANSIT_MS);
            }
        }
    }

    /// Whether enough is known to send requests on: the configuration, the endpoints, and which
    /// data centres are to get nothing.
    pub fn is_complete(&self) -> bool {
        let kinds = [catalog::ObjectKind::Endpoints, catalog::ObjectKind::Emptied];
        self.version() > 0 && kinds.iter().all(|kind| self.fresh_at(*kind).is_finite())
    }

    /// Number of the newest change of the copy.
    pub fn last_change(&self) -> u64 {
        self.replica.last_change()
    }

    /// Objects that changed after a change.
    pub fn since(&self, change: u64) -> Vec<replica::ReplicaObject> {
        self.replica.changed_since(change)
    }

    /// Names known of a kind.
    pub fn names(&self, kind: catalog::ObjectKind) -> Vec<String> {
        self.replica.names(kind as u8)
    }

    /// Packs a large object for a daemon that has revision `base` of it.
    pub fn pack(
        &mut self,
        object: &replica::ReplicaObject,
        base: Option<u64>,
    ) -> io::Result<(u64, Bytes)> {
        self.history.pack(object, base)
    }

    /// Unpacks what another daemon packed; `base` is a revision that it knows is known here.
    pub fn unpack(
        &self,
        object: &replica::ReplicaObject,
        base: u64,
        packed: &[u8],
    ) -> io::Result<Vec<u8>> {
        let content = match base {
            0 => None,
            base => {
                let content = self.history.content(object.kind, &object.name, base);
                let missing = || io::Error::other("the base is not known here");
                Some(content.ok_or_else(missing)?)
            }
        };
        packing::unpack(packed, content.map(|content| content.as_ref()))
    }

    /// Takes objects in; says which kinds changed.
    pub fn apply(
        &mut self,
        objects: Vec<replica::ReplicaObject>,
        source: &str,
    ) -> Vec<catalog::ObjectKind> {
        let mut changed = [false; KINDS];
        for object in objects {
            let kind = usize::from(object.kind);
            // Also one that is old here may be the base of a difference to come.
            self.history.keep(&object);
            if self.replica.apply(object) && kind < KINDS {
                changed[kind] = true;
            }
        }
        let kinds = catalog::ObjectKind::ALL.into_iter();
        let kinds: Vec<_> = kinds.filter(|kind| changed[*kind as usize]).collect();
        for kind in &kinds {
            self.decode(*kind, source);
        }
        kinds
    }

    fn decode(&mut self, kind: catalog::ObjectKind, source: &str) {
        match kind {
            catalog::ObjectKind::Config => self.decode_config(source),
            catalog::ObjectKind::Endpoints => self.decode_endpoints(source),
            catalog::ObjectKind::Emptied => self.decode_emptied(source),
            catalog::ObjectKind::Daemons => self.decode_daemons(source),
        }
    }

    fn decode_config(&mut self, source: &str) {
        let kind = catalog::ObjectKind::Config as u8;
        let object = self.replica.present(kind);
        let object = object
            .into_iter()
            .find(|object| object.name == catalog::CONFIG_NAME);
        let Some(spec) = object.and_then(|object| object.spec.clone()) else {
            return;
        };
        match catalog::read_config(&spec) {
            Ok(config) if config.version > self.index.config().version => {
                log::info!(target: "sardinepaddle", version = config.version,
                    routes = config.routes.len(), source; "config in force");
                self.index = rc::Rc::new(routes::RouteIndex::new(config));
            }
            Ok(config) => {
                log::info!(target: "sardinepaddle", version = config.version, source;
                    "config passed over: not newer");
            }
            Err(error) => {
                log::warn!(target: "sardinepaddle", error:% = error, source;
                    "config unreadable: the last one stays in force");
            }
        }
    }

    fn decode_endpoints(&mut self, source: &str) {
        let mut endpoints = map::HashMap::default();
        for object in self.replica.present(catalog::ObjectKind::Endpoints as u8) {
            let spec = object.spec.as_deref().unwrap_or_default();
            match catalog::read_endpoint(&object.name, spec) {
                Ok(live) => {
                    endpoints.insert(live.id.clone(), live);
                }
                Err(error) => {
                    log::warn!(target: "sardinepaddle", endpoint = object.name, error:% = error;
                        "endpoint entry skipped");
                }
            }
        }
        for (id, live) in &endpoints {
            let before: Option<&serving::LiveEndpoint> = self.endpoints.get(id);
            if before.is_none_or(|before| before != live) {
                log::info!(target: "sardinepaddle", endpoint:% = id, address:% = live.address,
                    centre:% = live.centre, leaving:% = live.leaving, source; "endpoint listed");
            }
        }
        for id in self.endpoints.keys() {
            if !endpoints.contains_key(id) {
                log::info!(target: "sardinepaddle", endpoint:% = id, source; "endpoint gone");
            }
        }
        self.endpoints = endpoints;
    }

    fn decode_emptied(&mut self, source: &str) {
        let names = self.replica.names(catalog::ObjectKind::Emptied as u8);
        self.emptied = names.iter().map(|name| ids::CentreId::new(name)).collect();
        let names = names.join(",");
        log::info!(target: "sardinepaddle", emptied = names, source; "data centres out of service");
    }

    fn decode_daemons(&mut self, source: &str) {
        let objects = self.replica.present(catalog::ObjectKind::Daemons as u8);
        let mut daemons = Vec::new();
        for object in objects {
            match catalog::read_daemon(object.spec.as_deref().unwrap_or_default()) {
                Ok(daemon) => daemons.push(daemon),
                Err(error) => {
                    log::warn!(target: "sardinepaddle", daemon = object.name, error:% = error;
                        "daemon entry skipped");
                }
            }
        }
        log::info!(target: "sardinepaddle", daemons = daemons.len(), source; "daemons listed");
        self.daemons = daemons;
    }
}
