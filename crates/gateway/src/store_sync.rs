//! Watches the store, with one task for each kind of objects.
//!
//! The placer and one follower that it selects watch the store on behalf of all daemons. The others
//! list each kind once when they start, and watch it only if the data that they receive from the
//! placer becomes stale.

use std::rc;
use std::time::Duration;

use model::map;
use model::millis;
use platform::catalog;
use platform::store;
use pool::replica;
use tokio::time;

use crate::state;

/// Maximum wait of a watch, as a fraction of the kind's propagation bound.
const WATCH_WAIT_FRACTION: f64 = 0.4;
/// Range of fractions of the propagation bound after which a daemon that receives no updates
/// watches the store itself. The range staggers the daemons: the first one distributes what it
/// reads, so that the others need not watch.
const STALE_FRACTIONS: (f64, f64) = (0.55, 0.85);
/// Time after the start of the process in which a list that the store may have served from an outdated
/// copy is confirmed by the placer, ms; before that it doesn't count as stale.
const CONFIRMATION_WAIT_MS: f64 = 2_000.0;
/// Time after the start of the process in which a daemon that knows no others may still learn of them,
/// ms; only then does it watch the store as the only one.
const DAEMONS_WAIT_MS: f64 = 300.0;
/// Delay after a change, so that related changes arrive in one response.
const BATCH_PAUSE: Duration = Duration::from_millis(100);
/// The same delay for endpoints, as a fraction of their propagation bound: heartbeats of endpoints
/// change some entry at all times.
const ENDPOINT_BATCH_FRACTION: f64 = 0.13;
/// Propagation bound of the list of daemons, ms: a daemon missing from the list only has to place
/// its own requests.
const DAEMONS_PROPAGATION_MS: f64 = 10_000.0;
/// Interval at which a task that does not watch checks whether it should.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Maximum backoff after a failed call for daemons that watch only on their own behalf: the store
/// handles and counts the calls of all of them.
const STANDBY_MAX_BACKOFF: Duration = Duration::from_millis(6_000);
/// Minimum and maximum backoff after a failed registration.
const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Minimum and maximum backoff after a failed call of a daemon that watches for others or has none:
/// the return of the store must be noticed well before removals have to be applied.
const WATCH_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(250));
/// Minimum backoff after a response that can't be used.
const CONTENT_BACKOFF: Duration = Duration::from_millis(1_000);
/// Delay of a watch response beyond its wait from which its connection counts as silent.
const LATE_RESPONSE: Duration = Duration::from_millis(700);
/// Time for which an endpoint that the store lost by coming back from an older copy is kept, ms: it
/// registers again within two seconds if it is alive.
const LOST_ENDPOINT_DEFER_MS: f64 = 2_200.0;
/// Time for which an entry that the store lost by coming back from an older copy is kept until its
/// writer has written it again, ms: operators may take a while, daemons register within seconds.
const LOST_CENTRE_DEFER_MS: f64 = 30_000.0;
const LOST_DAEMON_DEFER_MS: f64 = 10_000.0;
/// Maximum time to wait for the first list of daemons, and the interval of checks.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(1_000);
const FIRST_LIST_CHECK: Duration = Duration::from_millis(25);
/// Time after the start of an era in which the list of daemons reaches all of them, and the range
/// over which those that are missing from it then register.
const REGISTRATION_SETTLE_TIME: Duration = Duration::from_millis(1_500);
const REGISTRATION_SPREAD: Duration = Duration::from_millis(2_000);
/// Minimum and maximum wait of a watch while removals are deferred, ms: removals that have become
/// due are applied between two calls, so the wait ends when the first one is due.
const DEFERRED_WAIT_MS: (f64, f64) = (20.0, 60_000.0);

/// Watches the objects of one kind.
struct ObjectWatcher {
    state: rc::Rc<state::DaemonState>,
    kind: catalog::ObjectKind,
    client: store::StoreClient,
    /// Stamp to continue from; `None` if the kind has to be listed.
    stamp: Option<replica::ObjectStamp>,
    /// Whether the kind has been listed since the start of the process.
    has_listed: bool,
    /// Whether the last call failed.
    unreachable: bool,
    /// Whether the last watch lost its connection while it waited, or got no response on it. The next
    /// one returns at once and tells whether the store is reachable.
    resuming: bool,
    /// Whether all entries since the last list could be read.
    is_complete: bool,
    /// Deferred removals by object name.
    deferred: map::HashMap<String, DeferredRemoval>,
}

/// A removal that may be caused by an expired entry.
#[derive(Clone, Copy, Debug)]
struct DeferredRemoval {
    /// Time at which the removal is applied, ms.
    apply_at: f64,
    stamp: replica::ObjectStamp,
}

/// Starts a watcher for each kind, which runs until the process exits.
pub(crate) fn start(state: &rc::Rc<state::DaemonState>) {
    for kind in catalog::ObjectKind::ALL {
        let watcher = ObjectWatcher {
            state: state.clone(),
            kind,
            client: store::StoreClient::new(state.settings().store),
            stamp: None,
            has_listed: false,
            unreachable: false,
            resuming: false,
            is_complete: false,
            deferred: map::HashMap::default(),
        };
        tokio::task::spawn_local(watcher.run());
    }
}

/// Keeps this daemon registered in the store: registers it at its start, and in each era of the
/// store whose list of daemons lacks it.
pub(crate) async fn keep_registered(state: rc::Rc<state::DaemonState>, spec: String) {
    let mut eras = state.subscribe_eras();
    let mut registered_era = register(&state, &spec).await;
    loop {
        let changed = eras.wait_for(|era| *era > registered_era).await;
        let Ok(era) = changed.map(|era| *era) else {
            return;
        };
        let spread = REGISTRATION_SPREAD.mul_f64(rand::random());
        time::sleep(REGISTRATION_SETTLE_TIME + spread).await;
        registered_era = match is_registered(&state, era, &spec) {
            true => era,
            false => register(&state, &spec).await.max(era),
        };
    }
}

/// Whether an era's list of daemons contains this one's entry.
fn is_registered(state: &state::DaemonState, era: u64, spec: &str) -> bool {
    let settings = state.settings();
    let cache = state.cache();
    let object = cache.object(catalog::ObjectKind::Daemons, settings.host.as_str());
    let listed = object.filter(|object| object.era >= era);
    let listed = listed.and_then(|object| object.spec.as_deref());
    let listed = listed.and_then(|listed| catalog::decode_daemon(listed).ok());
    let own = catalog::decode_daemon(spec.as_bytes()).ok();
    listed.is_some() && listed == own
}

/// Waits until the list of daemons has been read, for a limited time.
async fn wait_for_list(state: &state::DaemonState) {
    let listed = async {
        while !state.age(catalog::ObjectKind::Daemons).is_finite() {
            time::sleep(FIRST_LIST_CHECK).await;
        }
    };
    // Without a list the entry is replaced.
    let _ = time::timeout(FIRST_LIST_WAIT, listed).await;
}

/// Registers this daemon in the store, retrying until it succeeds. Returns the era of the store.
async fn register(state: &state::DaemonState, spec: &str) -> u64 {
    let mut client = store::StoreClient::new(state.settings().store);
    let (mut backoff, max_backoff) = RETRY_BACKOFF;
    let kind = catalog::ObjectKind::Daemons;
    let host = state.settings().host.clone();
    loop {
        let result = match client.create(kind, host.as_str(), spec).await {
            Err(store::StoreError::Exists) => {
                // The entry of the previous process on this host may be the same.
                wait_for_list(state).await;
                let era = state.store_era();
                if is_registered(state, era, spec) {
                    log::info!(target: "sardinepaddle", era; "entry found in the store");
                    return era;
                }
                client.replace(kind, host.as_str(), spec).await
            }
            result => result,
        };
        match result {
            Ok(era) => {
                state.metrics.store_call("enlist", "done");
                log::info!(target: "sardinepaddle", entry = spec, era; "registered in the store");
                state.observe_era(era, "store");
                return era;
            }
            Err(error) => {
                state.metrics.store_call("enlist", "failed");
                log::warn!(target: "sardinepaddle", error:% = error; "registration in the store failed: retrying");
            }
        }
        time::sleep(backoff).await;
        backoff = (backoff * 2).min(max_backoff);
    }
}

impl ObjectWatcher {
    async fn run(mut self) {
        let (min_backoff, max_backoff) = WATCH_BACKOFF;
        let mut backoff = min_backoff;
        loop {
            self.apply_due_removals();
            if !self.should_watch() {
                time::sleep(IDLE_CHECK_PERIOD).await;
                continue;
            }
            if self.waits_for_config() {
                time::sleep(IDLE_CHECK_PERIOD).await;
                continue;
            }
            let sent_at = self.state.now();
            match self.poll().await {
                Ok(changed) => {
                    backoff = min_backoff;
                    if changed {
                        time::sleep(self.batch_pause()).await;
                    }
                }
                Err(error) => {
                    self.record_failure(&error, sent_at);
                    let has_priority = self.state.watches_store() || self.state.is_alone();
                    let max_backoff = match has_priority && !error.is_of_content() {
                        true => max_backoff,
                        false => STANDBY_MAX_BACKOFF,
                    };
                    if error.is_of_content() {
                        backoff = backoff.max(CONTENT_BACKOFF);
                    }
                    time::sleep(backoff).await;
                    backoff = (backoff * 2).min(max_backoff);
                }
            }
        }
    }

    /// Returns the time within which changes of this kind must reach all daemons, ms.
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
        let awaits_confirmation = self.has_listed && state.now() < CONFIRMATION_WAIT_MS;
        let awaits_daemons = self.has_listed
            && state.now() < DAEMONS_WAIT_MS
            && state.rank.borrow().daemons().is_empty();
        let watches = state.watches_store() && !awaits_daemons;
        watches || stale && !awaits_confirmation
    }

    /// Whether the store is unreachable and this kind waits until it serves the configuration, the
    /// only kind that is polled during an outage.
    fn waits_for_config(&self) -> bool {
        self.kind != catalog::ObjectKind::Config && self.state.is_config_unreachable()
    }

    /// Makes one call to the store. Returns whether it reported changes.
    async fn poll(&mut self) -> store::Result<bool> {
        let era = self.state.store_era();
        match self.stamp.filter(|stamp| stamp.era >= era) {
            None => self.list().await,
            Some(stamp) => {
                let mut eras = self.state.subscribe_eras();
                tokio::select! {
                    result = self.watch(stamp) => result,
                    // A watch of an earlier era may not end before its wait.
                    Ok(_) = eras.wait_for(|era| *era > stamp.era) => {
                        self.client.disconnect();
                        Ok(false)
                    }
                }
            }
        }
    }

    /// Records the era that a response states; one of an earlier era is an error.
    fn check_era(&mut self, era: u64) -> store::Result<()> {
        if era < self.state.store_era() {
            self.client.disconnect();
            return Err(store::StoreError::Outdated);
        }
        self.state.observe_era(era, "store");
        Ok(())
    }

    async fn list(&mut self) -> store::Result<bool> {
        // The first list may be outdated: later changes arrive from other daemons or from a watch.
        let read_age = match self.has_listed {
            false => store::ReadAge::Any,
            true => store::ReadAge::Newest,
        };
        let batch = self.client.list(self.kind, read_age).await?;
        self.check_era(batch.era)?;
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
        let objects = objects
            .map(|entry| self.replica_object(entry, batch.era))
            .collect();
        let stamp = replica::ObjectStamp {
            era: batch.era,
            revision: batch.revision,
        };
        self.stamp = Some(stamp);
        self.state.apply(objects, "store");
        for name in missing {
            self.remove_or_defer(name, stamp);
        }
        self.is_complete = batch.skipped.is_empty();
        self.mark_complete(stamp);
        self.state.mark_listed(self.kind);
        Ok(false)
    }

    async fn watch(&mut self, stamp: replica::ObjectStamp) -> store::Result<bool> {
        let revision = stamp.revision;
        let watching = match self.resuming {
            true => self.client.watch(self.kind, revision, Duration::ZERO).await,
            false => {
                let wait = self.watch_wait();
                let watching = self.client.watch(self.kind, revision, wait);
                let watching = time::timeout(wait + LATE_RESPONSE, watching).await;
                watching.unwrap_or(Err(store::StoreError::TimedOut))
            }
        };
        let batch = match watching {
            Err(store::StoreError::HistoryGone) => {
                log::info!(target: "sardinepaddle", kind = self.kind.name(), revision;
                    "history no longer available: listing again");
                self.state
                    .metrics
                    .store_call(self.kind.name(), "history_gone");
                self.stamp = None;
                return Ok(false);
            }
            Err(error) if !self.resuming && error.is_of_connection() => {
                log::info!(target: "sardinepaddle", kind = self.kind.name(), revision, error:% = error;
                    "watch cut off: resuming it");
                self.state.metrics.store_call(self.kind.name(), "cut_off");
                self.resuming = true;
                return Ok(false);
            }
            Err(error) if error.is_of_content() => {
                self.stamp = None;
                return Err(error);
            }
            batch => batch?,
        };
        self.resuming = false;
        self.check_era(batch.era)?;
        if batch.era != stamp.era {
            self.stamp = None;
            return Ok(false);
        }
        self.record_success();
        self.log_skipped(&batch.skipped);
        let next_stamp = replica::ObjectStamp {
            era: batch.era,
            revision: batch.revision,
        };
        self.stamp = Some(next_stamp);
        self.is_complete = self.is_complete && batch.skipped.is_empty();
        let changed = !batch.entries.is_empty();
        let mut objects = Vec::new();
        for event in batch.entries {
            if event.removed {
                let removed = replica::ObjectStamp {
                    era: batch.era,
                    revision: event.object.revision.max(revision + 1),
                };
                self.remove_or_defer(event.object.name, removed);
            } else {
                objects.push(self.replica_object(event.object, batch.era));
            }
        }
        self.state.apply(objects, "store");
        self.mark_complete(next_stamp);
        Ok(changed)
    }

    /// Records the position up to which this daemon has all objects, unless some can't be read.
    fn mark_complete(&self, stamp: replica::ObjectStamp) {
        if self.is_complete {
            self.state.mark_complete(self.kind, stamp);
        }
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

    fn replica_object(&mut self, stored: store::StoredObject, era: u64) -> replica::ReplicaObject {
        if self.deferred.remove(&stored.name).is_some() {
            log::info!(target: "sardinepaddle", kind = self.kind.name(), entry = stored.name,
                revision = stored.revision; "expired entry is back");
        }
        replica::ReplicaObject {
            kind: self.kind as u8,
            name: stored.name,
            revision: stored.revision,
            spec: Some(stored.spec),
            era,
            version: 0,
        }
    }

    /// Returns until when a removal is deferred, ms: while the entry may have expired during an
    /// outage, or may have been lost as the store came back from an older copy.
    fn deferred_until(&self, name: &str, stamp: replica::ObjectStamp) -> f64 {
        let cache = self.state.cache();
        let known = cache.object(self.kind, name);
        let is_lost = known.is_some_and(|known| known.era < stamp.era);
        let now = self.state.now();
        match (self.kind, is_lost) {
            (catalog::ObjectKind::Endpoints, true) => now + LOST_ENDPOINT_DEFER_MS,
            (catalog::ObjectKind::Endpoints, false) => self.state.removals_deferred_until(),
            (catalog::ObjectKind::Emptied, true) => now + LOST_CENTRE_DEFER_MS,
            (catalog::ObjectKind::Daemons, true) => now + LOST_DAEMON_DEFER_MS,
            // A configuration stays in force until a newer version replaces it.
            (catalog::ObjectKind::Config, true) => f64::INFINITY,
            (_, false) => f64::NEG_INFINITY,
        }
    }

    /// Applies a removal, or defers it.
    fn remove_or_defer(&mut self, name: String, stamp: replica::ObjectStamp) {
        let deferred = self.deferred.get(&name);
        let deferred = deferred.filter(|deferred| deferred.stamp.era == stamp.era);
        let apply_at = match deferred {
            Some(deferred) => deferred.apply_at,
            None => self.deferred_until(&name, stamp),
        };
        if self.state.now() < apply_at {
            log::info!(target: "sardinepaddle", kind = self.kind.name(), entry = name,
                revision = stamp.revision; "entry expired during a store outage: removal deferred");
            self.deferred
                .insert(name, DeferredRemoval { apply_at, stamp });
            return;
        }
        self.deferred.remove(&name);
        self.apply_removal(name, stamp);
    }

    fn apply_removal(&self, name: String, stamp: replica::ObjectStamp) {
        let object = replica::ReplicaObject {
            kind: self.kind as u8,
            name,
            revision: stamp.revision,
            spec: None,
            era: stamp.era,
            version: 0,
        };
        self.state.apply(vec![object], "store");
    }

    /// Applies the deferred removals that are due.
    fn apply_due_removals(&mut self) {
        let now = self.state.now();
        let due = self
            .deferred
            .iter()
            .filter(|(_, removal)| removal.apply_at <= now);
        let due: Vec<(String, replica::ObjectStamp)> = due
            .map(|(name, removal)| (name.clone(), removal.stamp))
            .collect();
        for (name, stamp) in due {
            self.deferred.remove(&name);
            log::info!(target: "sardinepaddle", kind = self.kind.name(), entry = name,
                revision = stamp.revision; "expired entry did not come back: removing it");
            self.apply_removal(name, stamp);
        }
    }

    fn record_success(&mut self) {
        let kind = self.kind.name();
        self.state.metrics.store_call(kind, "done");
        log::debug!(target: "sardinepaddle", kind, leads:% = self.state.watches_store(),
            revision = self.stamp.unwrap_or_default().revision; "store call succeeded");
        self.state.mark_synced(self.kind);
        self.state.set_store_reachable(self.kind, true);
        if self.unreachable {
            self.unreachable = false;
            log::info!(target: "sardinepaddle", kind; "store reachable again");
        }
    }

    fn record_failure(&mut self, error: &store::StoreError, sent_at: f64) {
        self.resuming = false;
        let kind = self.kind.name();
        self.state.metrics.store_call(kind, "failed");
        if error.is_of_content() {
            log::warn!(target: "sardinepaddle", kind, error:% = error;
                "response of the store can't be used: listing again");
            return;
        }
        self.state.record_store_failure(sent_at);
        self.state.set_store_reachable(self.kind, false);
        log::debug!(target: "sardinepaddle", kind, leads:% = self.state.watches_store(), error:% = error;
            "store call failed");
        if !self.unreachable {
            self.unreachable = true;
            let age = self.state.age(self.kind);
            log::warn!(target: "sardinepaddle", kind, error:% = error, data_age_ms = age;
                "store unreachable");
        }
    }

    fn log_skipped(&self, skipped: &[String]) {
        for reason in skipped {
            log::warn!(target: "sardinepaddle", kind = self.kind.name(), reason;
                "invalid entry skipped");
        }
    }
}
