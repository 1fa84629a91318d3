//! Follows the store: one task for each kind of objects.
//!
//! The daemon that places and a second one follow for all. The others list each kind at their
//! start, and follow when what they are told gets old.

use std::rc;
use std::time::Duration;

use model::map;
use model::millis;
use platform::catalog;
use platform::store;
use pool::replica;
use tokio::time;

use crate::state;

/// Share of the time in which a kind must be known everywhere that a watch waits at most.
const WATCH_WAIT_FRACTION: f64 = 0.4;
/// Shares of that time after which a daemon that is told nothing follows the store by itself: the
/// first to do so tells the others, so that they need not.
const STALE_FRACTIONS: (f64, f64) = (0.55, 0.85);
/// Pause after news, so that what changes together comes in one answer.
const BATCH_PAUSE: Duration = Duration::from_millis(100);
/// The same for endpoints, as a share of the time in which they must be known everywhere: their signs
/// of life are news of some kind at all times.
const ENDPOINT_BATCH_FRACTION: f64 = 0.13;
/// Time in which the list of daemons is to be known everywhere, ms: those that are missing only
/// place for themselves.
const DAEMONS_PROPAGATION_MS: f64 = 10_000.0;
/// Time between two looks at whether to follow.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Longest pause after a failed call for daemons that follow for none but themselves: the store
/// bears, and counts, calls of all of them.
const STANDBY_MAX_BACKOFF: Duration = Duration::from_millis(6_000);
/// First and longest pause after a failed call.
const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Lateness of a watch's answer from which the store counts as having been away, ms.
const LATE_RESPONSE_MS: f64 = 700.0;
/// Time after the store's return for which removals of endpoints are held back, ms: entries that
/// lapsed meanwhile are back within two seconds if the endpoint lives.
const REMOVAL_DEFER_MS: f64 = 2_200.0;
/// Shortest and longest time that a watch waits while removals are held, ms: they are dropped
/// between two calls, and not by a call for each that is due.
const DEFERRED_WAIT_MS: (f64, f64) = (20.0, 60_000.0);

/// One kind as it is followed.
struct ObjectWatcher {
    state: rc::Rc<state::DaemonState>,
    kind: catalog::ObjectKind,
    client: store::StoreClient,
    /// Revision to go on from; `None` if the kind has to be listed.
    revision: Option<u64>,
    /// Whether it has been listed in this life.
    has_listed: bool,
    unreachable: bool,
    /// When the store was back after it had been away.
    recovered_at: f64,
    /// Removals held back, by names.
    deferred: map::HashMap<String, DeferredRemoval>,
}

/// A removal that may be a lapse.
#[derive(Clone, Copy, Debug)]
struct DeferredRemoval {
    /// When it counts, ms.
    apply_at: f64,
    revision: u64,
}

/// Follows all kinds until the process ends.
pub(crate) fn start(state: &rc::Rc<state::DaemonState>) {
    for kind in catalog::ObjectKind::ALL {
        let watcher = ObjectWatcher {
            state: state.clone(),
            kind,
            client: store::StoreClient::new(state.settings().store),
            revision: None,
            has_listed: false,
            unreachable: false,
            recovered_at: f64::NEG_INFINITY,
            deferred: map::HashMap::default(),
        };
        tokio::task::spawn_local(watcher.run());
    }
}

/// Lists this daemon in the store, and tries until it is.
pub(crate) async fn register(state: rc::Rc<state::DaemonState>, spec: String) {
    let mut client = store::StoreClient::new(state.settings().store);
    let (mut backoff, max_backoff) = RETRY_BACKOFF;
    let kind = catalog::ObjectKind::Daemons;
    let host = state.settings().host.clone();
    loop {
        match client.put(kind, host.as_str(), &spec).await {
            Ok(()) => {
                state.metrics.store_call("enlist", "done");
                log::info!(target: "sardinepaddle", entry = spec; "listed in the store");
                return;
            }
            Err(error) => {
                state.metrics.store_call("enlist", "failed");
                log::warn!(target: "sardinepaddle", error:% = error; "not listed in the store yet");
            }
        }
        time::sleep(backoff).await;
        backoff = (backoff * 2).min(max_backoff);
    }
}

impl ObjectWatcher {
    async fn run(mut self) {
        let (min_backoff, max_backoff) = RETRY_BACKOFF;
        let mut backoff = min_backoff;
        loop {
            self.apply_due_removals();
            if !self.should_watch() {
                time::sleep(IDLE_CHECK_PERIOD).await;
                continue;
            }
            match self.poll().await {
                Ok(changed) => {
                    backoff = min_backoff;
                    if changed {
                        time::sleep(self.batch_pause()).await;
                    }
                }
                Err(error) => {
                    self.record_failure(&error);
                    time::sleep(backoff).await;
                    let max_backoff = if self.state.watches_store() {
                        max_backoff
                    } else {
                        STANDBY_MAX_BACKOFF
                    };
                    backoff = (backoff * 2).min(max_backoff);
                }
            }
        }
    }

    /// Time in which changes of this kind must be known everywhere, ms.
    fn propagation_bound_ms(&self) -> f64 {
        let settings = self.state.settings();
        match self.kind {
            catalog::ObjectKind::Config => settings.bounds.config_ms,
            catalog::ObjectKind::Endpoints => settings.bounds.endpoints_ms,
            catalog::ObjectKind::Emptied => settings.bounds.emptied_ms,
            catalog::ObjectKind::Daemons => DAEMONS_PROPAGATION_MS,
        }
    }

    fn batch_pause(&self) -> Duration {
        match self.kind {
            catalog::ObjectKind::Endpoints => {
                millis::to_duration(ENDPOINT_BATCH_FRACTION * self.propagation_bound_ms())
                    .max(BATCH_PAUSE)
            }
            _ => BATCH_PAUSE,
        }
    }

    fn should_watch(&self) -> bool {
        let state = &self.state;
        if state.is_shutting_down() {
            return false;
        }
        let (first, last) = STALE_FRACTIONS;
        let fraction = first + (last - first) * (state.incarnation % 16) as f64 / 16.0;
        let stale = state.age(self.kind) > fraction * self.propagation_bound_ms();
        // While the store is away one kind asks for all whether it is back.
        let await_config =
            self.kind != catalog::ObjectKind::Config && state.is_config_unreachable();
        (state.watches_store() || stale) && !await_config
    }

    /// Makes one call; says whether it brought news.
    async fn poll(&mut self) -> store::Result<bool> {
        match self.revision {
            None => self.list().await,
            Some(revision) => self.watch(revision).await,
        }
    }

    async fn list(&mut self) -> store::Result<bool> {
        // The first list may be old: what changed since is told by other daemons, or by a watch.
        let read_age = match self.has_listed {
            false => store::ReadAge::Any,
            true => store::ReadAge::Newest,
        };
        let batch = self.client.list(self.kind, read_age).await?;
        self.has_listed = true;
        if read_age == store::ReadAge::Newest {
            self.record_success();
        }
        self.log_skipped(&batch.skipped);
        let present: Vec<&str> = batch
            .entries
            .iter()
            .map(|entry| entry.name.as_str())
            .collect();
        let names = self.state.cache().names(self.kind);
        let missing = names
            .into_iter()
            .filter(|name| !present.contains(&name.as_str()));
        let missing: Vec<String> = missing.collect();
        let objects = batch.entries.into_iter();
        let objects = objects.map(|entry| self.replica_object(entry)).collect();
        self.revision = Some(batch.revision);
        self.state.apply(objects, "store");
        for name in missing {
            self.remove_or_defer(name, batch.revision);
        }
        self.state.mark_listed(self.kind);
        Ok(false)
    }

    async fn watch(&mut self, revision: u64) -> store::Result<bool> {
        let requested_at = self.state.now();
        let wait = self.watch_wait();
        let batch = match self.client.watch(self.kind, revision, wait).await {
            Err(store::StoreError::HistoryGone) => {
                log::info!(target: "sardinepaddle", kind = self.kind.name(), revision;
                    "history is gone: listing anew");
                self.state
                    .metrics
                    .store_call(self.kind.name(), "history_gone");
                self.revision = None;
                return Ok(false);
            }
            batch => batch?,
        };
        let lateness_ms = self.state.now() - requested_at - millis::from_duration(wait);
        self.unreachable = self.unreachable || lateness_ms > LATE_RESPONSE_MS;
        self.record_success();
        self.log_skipped(&batch.skipped);
        self.revision = Some(batch.revision);
        let changed = !batch.entries.is_empty();
        let mut objects = Vec::new();
        for event in batch.entries {
            if event.removed {
                let revision = event.object.revision.max(revision + 1);
                self.remove_or_defer(event.object.name, revision);
            } else {
                objects.push(self.replica_object(event.object));
            }
        }
        self.state.apply(objects, "store");
        Ok(changed)
    }

    fn watch_wait(&self) -> Duration {
        let now = self.state.now();
        let due = self.deferred.values().map(|removal| removal.apply_at);
        let due = due.fold(f64::INFINITY, f64::min);
        let (min_wait, max_wait) = DEFERRED_WAIT_MS;
        let until_due = millis::to_duration((due - now).clamp(min_wait, max_wait));
        let wait = millis::to_duration(WATCH_WAIT_FRACTION * self.propagation_bound_ms());
        wait.min(until_due)
    }

    fn replica_object(&mut self, stored: store::StoredObject) -> replica::ReplicaObject {
        if self.deferred.remove(&stored.name).is_some() {
            log::info!(target: "sardinepaddle", endpoint = stored.name, revision = stored.revision;
                "lapsed entry is back");
        }
        replica::ReplicaObject {
            kind: self.kind as u8,
            name: stored.name,
            revision: stored.revision,
            spec: Some(stored.spec),
        }
    }

    /// Takes a removal in, at once or once it can be no lapse any more.
    fn remove_or_defer(&mut self, name: String, revision: u64) {
        let apply_at = self.recovered_at + REMOVAL_DEFER_MS;
        if self.kind == catalog::ObjectKind::Endpoints && self.state.now() < apply_at {
            log::info!(target: "sardinepaddle", endpoint = name, revision;
                "entry lapsed with the store: held for its return");
            self.deferred
                .insert(name, DeferredRemoval { apply_at, revision });
            return;
        }
        self.apply_removal(name, revision);
    }

    fn apply_removal(&self, name: String, revision: u64) {
        let object = replica::ReplicaObject {
            kind: self.kind as u8,
            name,
            revision,
            spec: None,
        };
        self.state.apply(vec![object], "store");
    }

    /// Takes in the removals that have been held long enough.
    fn apply_due_removals(&mut self) {
        let now = self.state.now();
        let due = self
            .deferred
            .iter()
            .filter(|(_, removal)| removal.apply_at <= now);
        let due: Vec<(String, u64)> = due
            .map(|(name, removal)| (name.clone(), removal.revision))
            .collect();
        for (name, revision) in due {
            self.deferred.remove(&name);
            log::info!(target: "sardinepaddle", endpoint = name, revision;
                "lapsed entry did not come back");
            self.apply_removal(name, revision);
        }
    }

    fn record_success(&mut self) {
        let kind = self.kind.name();
        self.state.metrics.store_call(kind, "done");
        log::debug!(target: "sardinepaddle", kind, leads:% = self.state.watches_store(),
            revision = self.revision.unwrap_or_default(); "store answered");
        self.state.mark_synced(self.kind);
        self.state.set_store_reachable(self.kind, true);
        if self.unreachable {
            self.unreachable = false;
            self.recovered_at = self.state.now();
            log::info!(target: "sardinepaddle", kind; "store is back");
        }
    }

    fn record_failure(&mut self, error: &store::StoreError) {
        let kind = self.kind.name();
        self.state.metrics.store_call(kind, "failed");
        self.state.set_store_reachable(self.kind, false);
        log::debug!(target: "sardinepaddle", kind, leads:% = self.state.watches_store(), error:% = error;
            "store call failed");
        if !self.unreachable {
            self.unreachable = true;
            let age = self.state.age(self.kind);
            log::warn!(target: "sardinepaddle", kind, error:% = error, data_age_ms = age;
                "store lost");
        }
    }

    fn log_skipped(&self, skipped: &[String]) {
        for reason in skipped {
            log::warn!(target: "sardinepaddle", kind = self.kind.name(), reason;
                "entry skipped: unreadable");
        }
    }
}
