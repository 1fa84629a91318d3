//! A decoded copy of the store's objects and the age of each kind.

use std::io;
use std::rc;

use bytes::Bytes;
use model::ids;
use model::map;
use model::millis;
use model::serving;
use platform::catalog;
use pool::crashes;
use pool::holds;
use pool::limits;
use pool::quarantine;
use pool::replica;
use pool::routes;

use crate::compression;

/// Number of object kinds.
pub(crate) const KIND_COUNT: usize = catalog::ObjectKind::ALL.len();
/// Upper bound on the usual latency of a message between daemons, ms. It is added to reported ages,
/// so that data passed around does not appear fresh.
const TRANSIT_MS: f64 = 5.0;
/// Age assigned to a list that the store may have served from an outdated copy, ms: above the bound
/// on the age of every kind.
const STALE_LIST_AGE_MS: f64 = 60_000.0;
/// Number of a kind of objects that daemons exchange but the store doesn't have: incarnations of
/// endpoints whose responses stated that they are leaving. The revision is the start time of the
/// incarnation.
const CLOSED_KIND: u8 = u8::MAX;
/// Number of another such kind: parts of prompts that are quarantined, named by the parts. The
/// revision is the time of the change, Unix ms.
const QUARANTINE_KIND: u8 = u8::MAX - 1;
/// Number of another such kind: limits that endpoints name, by endpoint. The revision is the time
/// of the change, Unix ms.
const LIMIT_KIND: u8 = u8::MAX - 2;
/// Number of another such kind: requests that are quarantined, named by their digests. The revision
/// is the time of the change, Unix ms.
const REQUEST_QUARANTINE_KIND: u8 = u8::MAX - 3;
/// Number of another such kind: crashes and the requests that are suspected for them, by endpoint. The
/// revision is the time of the report, Unix ms.
const CRASH_KIND: u8 = u8::MAX - 4;
/// Time after its quarantine for which a request remains known, ms.
const ENDED_QUARANTINE_MS: u64 = 3_600_000;
/// Age reported for a kind that was never listed, ms.
const NEVER_SYNCED_AGE_MS: u64 = 1_000_000_000;

/// What a number of objects changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheChange {
    /// Kinds of the store's objects that changed.
    pub kinds: Vec<catalog::ObjectKind>,
    /// Whether the quarantined causes changed.
    pub quarantines: bool,
    /// Reports on crashes that changed, each with the age of the crash, ms.
    pub crash_reports: Vec<(f64, crashes::CrashReport)>,
    /// Whether the limits that endpoints name changed.
    pub limits: bool,
}

/// Decoded copy of the store's objects.
pub(crate) struct StoreCache {
    replica: replica::ObjectReplica,
    /// Latest known era of the store; zero if it states none.
    era: u64,
    holds: holds::EndpointHolds,
    history: compression::RevisionHistory,
    index: rc::Rc<routes::RouteIndex>,
    endpoints: map::HashMap<ids::EndpointId, serving::LiveEndpoint>,
    /// Data centres closed to new requests.
    closed_centres: Vec<ids::CentreId>,
    daemons: Vec<serving::DaemonEntry>,
    /// Time at which the store last confirmed each kind, to this daemon or to one that passed it
    /// on, ms.
    synced_at: [f64; KIND_COUNT],
}

impl StoreCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self {
            replica: replica::ObjectReplica::default(),
            era: 0,
            holds: holds::EndpointHolds::default(),
            history: compression::RevisionHistory::default(),
            index: rc::Rc::default(),
            endpoints: map::HashMap::default(),
            closed_centres: Vec::new(),
            daemons: Vec::new(),
            synced_at: [f64::NEG_INFINITY; KIND_COUNT],
        }
    }

    /// Returns the latest known era of the store; zero if it states none.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Records an era of the store. Returns whether it is later than the known one.
    pub fn observe_era(&mut self, era: u64, source: &str) -> bool {
        if era <= self.era {
            return false;
        }
        log::info!(target: "sardinepaddle", era, previous = self.era, source; "store era changed");
        self.era = era;
        true
    }

    /// Returns the index of the current configuration.
    pub fn index(&self) -> rc::Rc<routes::RouteIndex> {
        self.index.clone()
    }

    /// Returns the version of the current configuration; zero if there is none.
    pub fn version(&self) -> u64 {
        self.index.config().version
    }

    /// Returns the listed endpoints.
    pub fn endpoints(&self) -> Vec<serving::LiveEndpoint> {
        self.endpoints.values().cloned().collect()
    }

    /// Returns the data centres closed to new requests.
    pub fn closed_centres(&self) -> &[ids::CentreId] {
        &self.closed_centres
    }

    /// Returns the listed daemons.
    pub fn daemons(&self) -> &[serving::DaemonEntry] {
        &self.daemons
    }

    /// Returns an endpoint of the list.
    pub fn endpoint(&self, id: &ids::EndpointId) -> Option<&serving::LiveEndpoint> {
        self.endpoints.get(id)
    }

    /// Returns the endpoints of a service that accept new requests, according to this copy.
    pub fn accepting<'a>(
        &'a self,
        service: &'a ids::ServiceId,
    ) -> impl Iterator<Item = &'a serving::LiveEndpoint> {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |live| live.service == *service && self.accepts_work(&live.id))
    }

    /// Whether an incarnation of an endpoint has stated that it is leaving.
    pub fn is_closed(&self, id: &ids::EndpointId, started_ms: u64) -> bool {
        let closed = self.replica.object(CLOSED_KIND, id.as_str());
        closed.is_some_and(|closed| closed.revision >= started_ms)
    }

    /// Whether an endpoint accepts new requests, according to this copy.
    pub fn accepts_work(&self, id: &ids::EndpointId) -> bool {
        let live = self.endpoints.get(id);
        live.is_some_and(|live| !live.leaving && !self.closed_centres.contains(&live.centre))
    }

    /// Returns the time at which the store last confirmed a kind, ms.
    pub fn synced_at(&self, kind: catalog::ObjectKind) -> f64 {
        self.synced_at[kind as usize]
    }

    /// Returns the time at which the store last confirmed any kind, ms.
    pub fn last_synced_at(&self) -> f64 {
        self.synced_at.into_iter().fold(f64::NEG_INFINITY, f64::max)
    }

    /// Records that the objects of a kind are up to date.
    pub fn mark_synced(&mut self, now: f64, kind: catalog::ObjectKind) {
        self.synced_at[kind as usize] = now;
    }

    /// Records that the store listed a kind, possibly from an outdated copy.
    pub fn mark_listed(&mut self, now: f64, kind: catalog::ObjectKind) {
        let synced_at = &mut self.synced_at[kind as usize];
        *synced_at = synced_at.max(now - STALE_LIST_AGE_MS);
    }

    /// Returns the ages of all kinds as reported to other daemons, ms.
    pub fn ages(&self, now: f64) -> Vec<u64> {
        let ages = self.synced_at.iter();
        ages.map(|synced_at| (now - synced_at).clamp(0.0, NEVER_SYNCED_AGE_MS as f64) as u64)
            .collect()
    }

    /// Merges the ages reported by another daemon.
    pub fn merge_ages(&mut self, now: f64, ages_ms: &[u64]) {
        for (synced_at, age) in self.synced_at.iter_mut().zip(ages_ms) {
            if *age < NEVER_SYNCED_AGE_MS {
                *synced_at = synced_at.max(now - *age as f64 - TRANSIT_MS);
            }
        }
    }

    /// Whether the copy is complete enough to route requests: it has the configuration, the
    /// endpoints, and the data centres closed to new requests.
    pub fn is_synced(&self) -> bool {
        let kinds = [catalog::ObjectKind::Endpoints, catalog::ObjectKind::Emptied];
        self.version() > 0 && kinds.iter().all(|kind| self.synced_at(*kind).is_finite())
    }

    /// Returns the number of the latest change of the copy.
    pub fn last_change(&self) -> u64 {
        self.replica.last_change()
    }

    /// Records that the copy has all objects of a kind that exist at a position of the store.
    pub fn mark_complete(&mut self, kind: catalog::ObjectKind, stamp: replica::ObjectStamp) {
        self.replica.mark_complete(kind as u8, stamp);
    }

    /// Returns the removals of those of another daemon's objects that the store no longer has: its
    /// list may have been outdated.
    pub fn removals_of(&self, objects: &[replica::ReplicaObject]) -> Vec<replica::ReplicaObject> {
        let removals = objects
            .iter()
            .filter_map(|object| self.replica.removal_of(object));
        removals.collect()
    }

    /// Returns the objects changed after the given change.
    pub fn changed_since(&self, change: u64) -> Vec<replica::ReplicaObject> {
        self.replica.changed_since(change)
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: catalog::ObjectKind) -> Vec<String> {
        self.replica.names(kind as u8)
    }

    /// Returns an object of a kind, or its removal.
    pub fn object(&self, kind: catalog::ObjectKind, name: &str) -> Option<&replica::ReplicaObject> {
        self.replica.object(kind as u8, name)
    }

    /// Compresses a large object for a daemon that has its revision `base`.
    pub fn compress(
        &mut self,
        object: &replica::ReplicaObject,
        base: Option<replica::ObjectStamp>,
    ) -> io::Result<(u64, Bytes)> {
        self.history.compress(object, base)
    }

    /// Decompresses an object compressed by another daemon against revision `base` of the same era;
    /// zero if there is none.
    pub fn decompress(
        &self,
        object: &replica::ReplicaObject,
        base: u64,
        compressed: &[u8],
    ) -> io::Result<Vec<u8>> {
        let content = match base {
            0 => None,
            revision => {
                let base = replica::ObjectStamp {
                    era: object.era,
                    revision,
                };
                // Outdated revisions may have displaced the one in force from the history.
                let current = self.replica.object(object.kind, &object.name);
                let current = current.filter(|current| current.stamp() == base);
                let content = match current.and_then(|current| current.spec.as_ref()) {
                    Some(content) => Some(content),
                    None => self.history.content(object.kind, &object.name, base),
                };
                let missing = || io::Error::other("the base revision is not available");
                Some(content.ok_or_else(missing)?)
            }
        };
        compression::decompress(compressed, content.map(|content| content.as_ref()))
    }

    /// Returns the quarantined causes, each with the time for which they remain so, ms, and the
    /// requests whose quarantine has ended, with zero.
    pub fn quarantines(&self) -> Vec<(quarantine::CrashCause, f64)> {
        let now_ms = millis::since_epoch();
        let mut quarantines = Vec::new();
        for object in self.replica.present(QUARANTINE_KIND) {
            let Some(quarantine) = decode_own::<quarantine::PartQuarantine>(object) else {
                continue;
            };
            let left_ms = remaining_ms(quarantine.until_ms, now_ms);
            if left_ms > 0.0 {
                quarantines.push((quarantine::CrashCause::Parts(quarantine.parts), left_ms));
            }
        }
        for object in self.replica.present(REQUEST_QUARANTINE_KIND) {
            let Some(quarantine) = decode_own::<quarantine::RequestQuarantine>(object) else {
                continue;
            };
            if quarantine.until_ms + ENDED_QUARANTINE_MS > now_ms {
                let left_ms = remaining_ms(quarantine.until_ms, now_ms);
                quarantines.push((quarantine::CrashCause::Request(quarantine.digest), left_ms));
            }
        }
        quarantines
    }

    /// Returns the object that quarantines a cause for a period here and at other daemons; `None`
    /// ends its quarantine.
    pub fn quarantine_object(
        &self,
        cause: &quarantine::CrashCause,
        period_ms: Option<f64>,
    ) -> io::Result<replica::ReplicaObject> {
        let until_ms = period_ms.map(|period_ms| millis::since_epoch() + period_ms as u64);
        let name = cause.to_string();
        match cause {
            quarantine::CrashCause::Parts(parts) => {
                let content = until_ms.map(|until_ms| quarantine::PartQuarantine {
                    parts: parts.clone(),
                    until_ms,
                });
                self.own_object(QUARANTINE_KIND, name, content.as_ref())
            }
            quarantine::CrashCause::Request(digest) => {
                let content = until_ms.map(|until_ms| quarantine::RequestQuarantine {
                    digest: *digest,
                    until_ms,
                });
                self.own_object(REQUEST_QUARANTINE_KIND, name, content.as_ref())
            }
        }
    }

    /// Whether an object is a quarantine or the end of one.
    pub fn is_quarantine(object: &replica::ReplicaObject) -> bool {
        matches!(object.kind, QUARANTINE_KIND | REQUEST_QUARANTINE_KIND)
    }

    /// Returns the object that tells other daemons of a crash that was `age_ms` ago.
    pub fn crash_object(
        &self,
        age_ms: f64,
        report: &crashes::CrashReport,
    ) -> io::Result<replica::ReplicaObject> {
        let endpoint = report.incarnations.first();
        let name = endpoint.map_or("", |(id, _)| id.as_str()).to_owned();
        let at_ms = millis::since_epoch().saturating_sub(age_ms as u64);
        self.own_object(CRASH_KIND, name, Some(&(at_ms, report)))
    }

    /// Returns the limit that an endpoint named, unless it is that of another incarnation.
    pub fn limit(&self, id: &ids::EndpointId, started_ms: u64) -> Option<limits::EndpointLimit> {
        let object = self.replica.object(LIMIT_KIND, id.as_str())?;
        let limit: limits::EndpointLimit = decode_own(object)?;
        (limit.started_ms == started_ms).then_some(limit)
    }

    /// Returns the limits that listed endpoints named.
    pub fn limits(&self) -> Vec<(ids::EndpointId, limits::EndpointLimit)> {
        let objects = self.replica.present(LIMIT_KIND);
        let named = objects.filter_map(|object| {
            let id = ids::EndpointId::new(&object.name);
            self.endpoints.contains_key(&id).then_some(())?;
            Some((id, decode_own(object)?))
        });
        named.collect()
    }

    /// Returns the object that states the limit of an endpoint here and at other daemons, or that
    /// it has none any more.
    pub fn limit_object(
        &self,
        id: &ids::EndpointId,
        limit: Option<limits::EndpointLimit>,
    ) -> io::Result<replica::ReplicaObject> {
        self.own_object(LIMIT_KIND, id.as_str().to_owned(), limit.as_ref())
    }

    /// Returns an object of a kind that the store doesn't have, as of now; `None` removes it.
    fn own_object<T: serde::Serialize>(
        &self,
        kind: u8,
        name: String,
        content: Option<&T>,
    ) -> io::Result<replica::ReplicaObject> {
        let now_ms = millis::since_epoch();
        let known = self.replica.object(kind, &name);
        // The clock may have been set back since the last change.
        let revision = known.map_or(now_ms, |known| now_ms.max(known.revision + 1));
        let spec = content.map(postcard::to_stdvec).transpose();
        let spec = spec.map_err(io::Error::other)?;
        Ok(replica::ReplicaObject {
            kind,
            name,
            revision,
            spec: spec.map(Bytes::from),
            era: 0,
            version: 0,
        })
    }

    /// Applies objects. Returns what changed.
    pub fn apply(
        &mut self,
        now: f64,
        objects: Vec<replica::ReplicaObject>,
        source: &str,
    ) -> CacheChange {
        let (mut quarantines, mut limits) = (false, false);
        let mut crash_reports = Vec::new();
        let mut changed = [false; KIND_COUNT];
        for mut object in objects {
            self.observe_era(object.era, source);
            let known = self.replica.object(object.kind, &object.name);
            if known.is_some_and(|known| known.stamp() == object.stamp()) {
                continue;
            }
            let kind = match object.kind {
                CLOSED_KIND => Some(catalog::ObjectKind::Endpoints),
                number => catalog::ObjectKind::ALL.get(usize::from(number)).copied(),
            };
            if let (Some(kind), Some(spec)) = (kind, &object.spec) {
                object.version = catalog::content_version(kind, spec);
            }
            // Even an outdated object may serve as the base of a later difference.
            self.history.record(&object);
            let name = object.name.clone();
            let number = object.kind;
            let is_quarantine = Self::is_quarantine(&object);
            let is_applied = self.replica.apply(object);
            if is_applied && is_quarantine {
                let is_quarantined = self.replica.object(number, &name);
                let is_quarantined = is_quarantined.is_some_and(|object| object.spec.is_some());
                log::warn!(target: "sardinepaddle", cause = name, quarantined:% = is_quarantined,
                    source; "quarantine changed");
                quarantines = true;
            }
            if is_applied && number == CRASH_KIND {
                let object = self.replica.object(number, &name);
                if let Some((at_ms, report)) = object.and_then(decode_own::<(u64, _)>) {
                    let age_ms = millis::since_epoch().saturating_sub(at_ms) as f64;
                    crash_reports.push((age_ms, report));
                }
            }
            if is_applied && number == LIMIT_KIND {
                let limit = self
                    .replica
                    .object(number, &name)
                    .and_then(decode_own::<limits::EndpointLimit>);
                log::info!(target: "sardinepaddle", endpoint = name, source,
                    per_s:? = limit.map(|limit| limit.per_s); "limit of an endpoint changed");
                limits = true;
            }
            match kind {
                Some(kind) if is_applied => changed[kind as usize] = true,
                Some(kind @ catalog::ObjectKind::Config) => {
                    log::info!(target: "sardinepaddle", kind = kind.name(), name, source;
                        "object ignored: its version is not newer");
                }
                _ => {}
            }
        }
        let kinds = catalog::ObjectKind::ALL.into_iter();
        let kinds: Vec<_> = kinds.filter(|kind| changed[*kind as usize]).collect();
        for kind in &kinds {
            self.decode(now, *kind, source);
        }
        CacheChange {
            kinds,
            quarantines,
            crash_reports,
            limits,
        }
    }

    /// Returns the object that closes an incarnation of an endpoint to new requests, here and at
    /// other daemons.
    pub fn closed_object(id: &ids::EndpointId, started_ms: u64) -> replica::ReplicaObject {
        replica::ReplicaObject {
            kind: CLOSED_KIND,
            name: id.as_str().to_owned(),
            revision: started_ms,
            spec: Some(Bytes::new()),
            era: 0,
            version: 0,
        }
    }

    /// Opens the endpoints whose hold has run out, as long as the list of endpoints is not older
    /// than `max_age_ms`. Returns whether the endpoints changed.
    pub fn review_holds(&mut self, now: f64, max_age_ms: f64) -> bool {
        if now - self.synced_at(catalog::ObjectKind::Endpoints) > max_age_ms {
            self.holds.restart(now);
            return false;
        }
        let is_due = self.holds.has_expired(now);
        if is_due {
            self.decode_endpoints(now, "hold expired");
        }
        is_due
    }

    fn decode(&mut self, now: f64, kind: catalog::ObjectKind, source: &str) {
        match kind {
            catalog::ObjectKind::Config => self.decode_config(source),
            catalog::ObjectKind::Endpoints => self.decode_endpoints(now, source),
            catalog::ObjectKind::Emptied => self.decode_closed_centres(source),
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
        match catalog::decode_config(&spec) {
            Ok(config) if config.version > self.index.config().version => {
                log::info!(target: "sardinepaddle", version = config.version,
                    routes = config.routes.len(), source; "config applied");
                self.index = rc::Rc::new(routes::RouteIndex::new(config));
            }
            Ok(config) => {
                log::info!(target: "sardinepaddle", version = config.version, source;
                    "config ignored: its version is not newer");
            }
            Err(error) => {
                log::warn!(target: "sardinepaddle", error:% = error, source;
                    "invalid config: keeping the previous one");
            }
        }
    }

    fn decode_endpoints(&mut self, now: f64, source: &str) {
        let mut endpoints = map::HashMap::default();
        let mut stamps = map::HashMap::default();
        for object in self.replica.present(catalog::ObjectKind::Endpoints as u8) {
            let spec = object.spec.as_deref().unwrap_or_default();
            match catalog::decode_endpoint(&object.name, spec) {
                Ok(live) => {
                    stamps.insert(live.id.clone(), object.stamp());
                    endpoints.insert(live.id.clone(), live);
                }
                Err(error) => {
                    log::warn!(target: "sardinepaddle", endpoint = object.name, error:% = error;
                        "invalid endpoint entry skipped");
                }
            }
        }
        let listed = endpoints.values().map(|live| holds::ListedEndpoint {
            live,
            stamp: stamps.get(&live.id).copied().unwrap_or_default(),
        });
        self.holds.update(now, &listed.collect::<Vec<_>>(), |id| {
            let removed = self
                .replica
                .object(catalog::ObjectKind::Endpoints as u8, id.as_str());
            removed.map_or(0, |removed| removed.era)
        });
        for (id, live) in &mut endpoints {
            let is_closed = self.is_closed(id, live.started_ms);
            live.leaving = live.leaving || is_closed || self.holds.is_held(id);
        }
        for (id, live) in &endpoints {
            let previous: Option<&serving::LiveEndpoint> = self.endpoints.get(id);
            if previous.is_none_or(|previous| previous != live) {
                log::info!(target: "sardinepaddle", endpoint:% = id, address:% = live.address,
                    centre:% = live.centre, leaving:% = live.leaving, source; "endpoint listed");
            }
        }
        for id in self.endpoints.keys() {
            if !endpoints.contains_key(id) {
                log::info!(target: "sardinepaddle", endpoint:% = id, source; "endpoint removed");
            }
        }
        self.endpoints = endpoints;
    }

    fn decode_closed_centres(&mut self, source: &str) {
        let names = self.replica.names(catalog::ObjectKind::Emptied as u8);
        self.closed_centres = names.iter().map(|name| ids::CentreId::new(name)).collect();
        let names = names.join(",");
        log::info!(target: "sardinepaddle", emptied = names, source; "data centres out of service");
    }

    fn decode_daemons(&mut self, source: &str) {
        let objects = self.replica.present(catalog::ObjectKind::Daemons as u8);
        let mut daemons = Vec::new();
        for object in objects {
            match catalog::decode_daemon(object.spec.as_deref().unwrap_or_default()) {
                Ok(daemon) => daemons.push(daemon),
                Err(error) => {
                    log::warn!(target: "sardinepaddle", daemon = object.name, error:% = error;
                        "invalid daemon entry skipped");
                }
            }
        }
        log::info!(target: "sardinepaddle", daemons = daemons.len(), source; "daemons listed");
        self.daemons = daemons;
    }
}

/// Returns the content of an object of a kind that the store doesn't have; `None` if it was removed
/// or can't be read.
fn decode_own<T: serde::de::DeserializeOwned>(object: &replica::ReplicaObject) -> Option<T> {
    let decoded = postcard::from_bytes(object.spec.as_deref()?);
    decoded
        .inspect_err(|error| {
            log::warn!(target: "sardinepaddle", kind = object.kind, name = object.name,
                error:% = error; "invalid object of a daemon skipped");
        })
        .ok()
}

/// Returns the time for which a quarantine remains, ms; clocks of daemons may differ.
fn remaining_ms(until_ms: u64, now_ms: u64) -> f64 {
    let left_ms = until_ms.saturating_sub(now_ms) as f64;
    left_ms.min(quarantine::QUARANTINE_MS)
}
