//! State of one daemon, shared by all its tasks on the daemon's only thread.

use std::cell;
use std::rc;

use model::ids;
use model::map;
use model::millis;
use model::serving;
use platform::catalog;
use platform::headers;
use pool::budget;
use pool::crashes;
use pool::hedge;
use pool::job;
use pool::limits;
use pool::outage;
use pool::placer;
use pool::quarantine;
use pool::quiet;
use pool::rank;
use pool::replica;
use pool::routes;
use pool::shares;
use settings::gateway;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::byte_account;
use crate::clock;
use crate::followers;
use crate::forward;
use crate::logs;
use crate::message;
use crate::metrics;
use crate::reach;
use crate::shutdown;
use crate::store_cache;

/// Time without a decision or a [`message::PlacementMessage::Queued`] after which a placement request is
/// placed elsewhere, ms: several times the slowest exchange between two running daemons.
const PLACER_RESPONSE_TIMEOUT_MS: f64 = 250.0;
/// Number of followers without access to the store, besides the placer, from which the store counts
/// as unreachable for all daemons; a smaller number may have been rejected individually.
const MIN_UNREACHABLE_FOLLOWERS: usize = 3;

/// Time after the start of the process for which it waits for the quarantines in the store, ms: other
/// daemons may have them, and the store may be away.
const MAX_QUARANTINE_WAIT_MS: f64 = 1_000.0;
/// Time without a message after which a follower no longer counts for the shares, ms. With the
/// interval of updates, less than the time after which it selects another placer.
const FOLLOWER_SILENCE_MS: f64 = 800.0;
/// Interval at which the shares are updated, ms.
const SHARE_UPDATE_MS: f64 = 100.0;

/// The placer of this daemon's requests.
#[derive(Clone, Debug)]
pub(crate) enum PlacerLocation {
    /// This daemon places its own requests, and possibly those of others.
    Local,
    /// Another daemon places them, reached over a connection.
    Remote {
        host: ids::HostId,
        sender: mpsc::UnboundedSender<message::PlacementMessage>,
    },
}

/// A placement request of this daemon without a decision.
struct PendingPlacement {
    request: job::PlacementRequest,
    requested_at: f64,
    /// Whether a remote placer has the request.
    remote: bool,
    /// Whether the remote placer has confirmed that it queued the request.
    queued: bool,
    decision: oneshot::Sender<job::PlacementDecision>,
}

/// State of the daemon.
pub(crate) struct DaemonState {
    pub settings: cell::RefCell<rc::Rc<gateway::GatewaySettings>>,
    /// The entry of this daemon in the store.
    pub entry: serving::DaemonEntry,
    pub clock: clock::MonotonicClock,
    pub incarnation: u64,
    pub metrics: metrics::GatewayMetrics,
    log: logs::LogGuard,
    /// Bodies of requests and responses in memory.
    pub bodies: byte_account::ByteAccount,
    cache: cell::RefCell<store_cache::StoreCache>,
    placer: cell::RefCell<placer::JobPlacer>,
    pub rank: cell::RefCell<rank::DaemonRank>,
    placer_location: cell::RefCell<PlacerLocation>,
    pending: cell::RefCell<map::HashMap<job::JobId, PendingPlacement>>,
    running: cell::RefCell<map::HashMap<job::JobId, job::RunningJob>>,
    /// Daemons whose requests are placed by this one.
    followers: cell::RefCell<followers::FollowerTable<message::PlacementMessage>>,
    /// Number of the latest change of the replica.
    changes: watch::Sender<u64>,
    /// Latest known era of the store.
    era_changes: watch::Sender<u64>,
    /// Periods in which endpoints want no requests from this daemon.
    quiet_periods: cell::RefCell<quiet::QuietPeriods>,
    /// When the current limit of each endpoint became known, ms.
    limits_known_since: cell::RefCell<map::HashMap<ids::EndpointId, f64>>,
    /// Daemons to which requests can be forwarded.
    pub forward_targets: forward::ForwardTargets,
    /// Path to the endpoints.
    pub reach: reach::EndpointReach,
    quarantines_restored: cell::Cell<bool>,
    unsaved_quarantines: cell::RefCell<Vec<replica::ReplicaObject>>,
    /// Quarantined causes of crashes.
    quarantines: cell::RefCell<quarantine::QuarantineList>,
    /// The shutdown of the process.
    pub shutdown: shutdown::ShutdownState,
    /// Object kinds for which the last call to the store failed.
    unreachable_kinds: cell::RefCell<[bool; store_cache::KIND_COUNT]>,
    /// Outages of the store, in which entries of endpoints may expire.
    store_outages: cell::RefCell<outage::OutageTracker>,
    group_history: cell::RefCell<shares::GroupHistory>,
    /// What this daemon may send more than once.
    pub retry_budget: cell::RefCell<budget::DaemonBudget>,
    shares_updated_at: cell::Cell<f64>,
    /// Connected followers and whether each reaches the store.
    follower_reachability: cell::RefCell<map::HashMap<ids::HostId, bool>>,
    /// Whether the placer selected this daemon to watch the store on behalf of others.
    assigned_store_watch: cell::Cell<bool>,
    /// New placer announced by the current one and not yet taken by [`Self::take_announced_placer`].
    announced_placer: cell::RefCell<Option<ids::HostId>>,
    placer_announced: tokio::sync::Notify,
    next_job_number: cell::Cell<u64>,
    /// Number of requests whose header was read and whose response has not been written completely.
    pub active_requests: cell::Cell<usize>,
}

fn hedge_limits(settings: &gateway::GatewaySettings) -> hedge::HedgeLimits {
    let hedging = &settings.hedging;
    let services = hedging.services.iter();
    hedge::HedgeLimits {
        max_extra_share: hedging.max_extra_share,
        services: services.map(|(id, share)| (id.clone(), *share)).collect(),
    }
}

fn outage_bounds(settings: &gateway::GatewaySettings) -> outage::OutageBounds {
    outage::OutageBounds {
        heartbeat_ms: settings.bounds.heartbeat_ms,
        contact_ms: settings.bounds.contact_ms,
    }
}

fn own_entry(settings: &gateway::GatewaySettings) -> serving::DaemonEntry {
    serving::DaemonEntry {
        host: settings.host.clone(),
        centre: settings.data_centre.clone(),
        address: settings.listen.peers,
        callers: Some(settings.listen.callers),
        cpu_millis: (settings.cpu_share * 1_000.0) as u32,
    }
}

impl DaemonState {
    /// Creates the state of a daemon that has read nothing from the store.
    pub fn new(
        settings: gateway::GatewaySettings,
        metrics: metrics::GatewayMetrics,
        log: logs::LogGuard,
    ) -> Self {
        let bounds = &settings.bounds;
        let bounds = placer::PlacerBounds {
            retry_ratio: bounds.retry_ratio,
            retry_extra: bounds.retry_extra,
            retry_window_ms: bounds.retry_window_s * 1_000.0,
            cold_factor: bounds.cold_factor,
            cold_extra: bounds.cold_extra,
        };
        let mut placer = placer::JobPlacer::new(bounds);
        let outages = outage::OutageTracker::new(outage_bounds(&settings));
        placer.set_hedge_limits(hedge_limits(&settings));
        Self {
            entry: own_entry(&settings),
            bodies: byte_account::ByteAccount::new(settings.memory_mb),
            settings: cell::RefCell::new(rc::Rc::new(settings)),
            clock: clock::MonotonicClock::start(),
            incarnation: rand::random(),
            metrics,
            log,
            cache: cell::RefCell::new(store_cache::StoreCache::new()),
            placer: cell::RefCell::new(placer),
            rank: cell::RefCell::new(rank::DaemonRank::default()),
            placer_location: cell::RefCell::new(PlacerLocation::Local),
            pending: cell::RefCell::default(),
            running: cell::RefCell::default(),
            followers: cell::RefCell::default(),
            group_history: cell::RefCell::default(),
            retry_budget: cell::RefCell::new(budget::DaemonBudget::new(bounds.budget(), 0.0)),
            shares_updated_at: cell::Cell::new(f64::NEG_INFINITY),
            changes: watch::Sender::new(0),
            era_changes: watch::Sender::new(0),
            quiet_periods: cell::RefCell::default(),
            limits_known_since: cell::RefCell::default(),
            forward_targets: forward::ForwardTargets::default(),
            reach: reach::EndpointReach::default(),
            quarantines_restored: cell::Cell::new(false),
            unsaved_quarantines: cell::RefCell::default(),
            quarantines: cell::RefCell::default(),
            shutdown: shutdown::ShutdownState::default(),
            unreachable_kinds: cell::RefCell::default(),
            store_outages: cell::RefCell::new(outages),
            follower_reachability: cell::RefCell::default(),
            assigned_store_watch: cell::Cell::new(false),
            announced_placer: cell::RefCell::default(),
            placer_announced: tokio::sync::Notify::new(),
            next_job_number: cell::Cell::new(0),
            active_requests: cell::Cell::new(0),
        }
    }

    /// Returns the current settings.
    pub fn settings(&self) -> rc::Rc<gateway::GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Replaces the settings.
    pub fn set_settings(&self, settings: gateway::GatewaySettings) {
        let limits = hedge_limits(&settings);
        self.placer.borrow_mut().set_hedge_limits(limits);
        let bounds = outage_bounds(&settings);
        self.store_outages.borrow_mut().set_bounds(bounds);
        self.bodies.set_memory(settings.memory_mb);
        *self.settings.borrow_mut() = rc::Rc::new(settings);
    }

    /// Returns the time after which an attempt should get another one beside it, ms; `None` if the
    /// service has no hedges.
    pub fn hedge_after_ms(&self, service: &ids::ServiceId, predicted_ms: f64) -> Option<f64> {
        let placer = self.placer.borrow();
        placer.hedges().after_ms(service, predicted_ms)
    }

    /// Returns the time since the start of the process, ms.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Returns the index of the current configuration.
    pub fn index(&self) -> rc::Rc<routes::RouteIndex> {
        self.cache.borrow().index()
    }

    /// Whether the copy of the store is complete enough to route requests.
    pub fn is_synced(&self) -> bool {
        let has_quarantines =
            self.quarantines_restored.get() || self.now() > MAX_QUARANTINE_WAIT_MS;
        has_quarantines && self.cache.borrow().is_synced()
    }

    /// Records that the quarantines in the store have been read.
    pub fn set_quarantines_restored(&self) {
        self.quarantines_restored.set(true);
    }

    /// Returns and clears the quarantines that were decided here and are not in the store yet.
    pub fn take_unsaved_quarantines(&self) -> Vec<replica::ReplicaObject> {
        self.unsaved_quarantines.take()
    }

    /// Returns the copy of the store's objects.
    pub fn cache(&self) -> cell::Ref<'_, store_cache::StoreCache> {
        self.cache.borrow()
    }

    /// Compresses a large object for a daemon that has its revision `base`.
    pub fn compress(
        &self,
        object: &replica::ReplicaObject,
        base: Option<replica::ObjectStamp>,
    ) -> std::io::Result<(u64, bytes::Bytes)> {
        self.cache.borrow_mut().compress(object, base)
    }

    /// Returns the age of the configuration or of the endpoints, whichever is older, ms.
    pub fn data_age(&self) -> f64 {
        let config = self.age(catalog::ObjectKind::Config);
        config.max(self.age(catalog::ObjectKind::Endpoints))
    }

    /// Returns the age of the objects of a kind, ms.
    pub fn age(&self, kind: catalog::ObjectKind) -> f64 {
        self.now() - self.cache.borrow().synced_at(kind)
    }

    /// Returns the ages of all kinds, whole ms.
    pub fn ages(&self) -> Vec<u64> {
        self.cache.borrow().ages(self.now())
    }

    /// Records that the store listed a kind, possibly from an outdated copy.
    pub fn mark_listed(&self, kind: catalog::ObjectKind) {
        self.cache.borrow_mut().mark_listed(self.now(), kind);
    }

    /// Records the position of the store up to which the copy of a kind is complete.
    pub fn mark_complete(&self, kind: catalog::ObjectKind, stamp: replica::ObjectStamp) {
        self.cache.borrow_mut().mark_complete(kind, stamp);
    }

    /// Records that the objects of a kind are up to date.
    pub fn mark_synced(&self, kind: catalog::ObjectKind) {
        let now = self.now();
        self.cache.borrow_mut().mark_synced(now, kind);
        self.record_store_response(now);
    }

    /// Records that the store responded to this daemon or to another one.
    fn record_store_response(&self, at: f64) {
        let ended = self.store_outages.borrow_mut().record_response(at);
        let Some(outage) = ended else {
            return;
        };
        let deferral_ms = (outage.deferred_until - self.now()).max(0.0);
        log::info!(target: "sardinepaddle", outage_ms = outage.length_ms, deferral_ms;
            "store outage ended: removals of endpoints are deferred");
    }

    /// Records a failed call to the store.
    pub fn record_store_failure(&self, sent_at: f64) {
        self.store_outages.borrow_mut().record_failure(sent_at);
    }

    /// Returns the time until which removals of endpoints are deferred, ms.
    pub fn removals_deferred_until(&self) -> f64 {
        self.store_outages.borrow().deferred_until()
    }

    /// Merges the ages that another daemon reported with the latest era that it knows. Those of an
    /// earlier era are not merged: the daemon's objects are older than they appear.
    pub fn merge_ages(&self, ages_ms: &[u64], era: u64, source: &str) {
        self.observe_era(era, source);
        if era == self.store_era() {
            let last_response_at = {
                let mut cache = self.cache.borrow_mut();
                cache.merge_ages(self.now(), ages_ms);
                cache.last_synced_at()
            };
            self.record_store_response(last_response_at);
        }
    }

    /// Returns the latest known era of the store; zero if it states none.
    pub fn store_era(&self) -> u64 {
        self.cache.borrow().era()
    }

    /// Records an era of the store. Returns whether it is later than the known one.
    pub fn observe_era(&self, era: u64, source: &str) -> bool {
        let is_later = self.cache.borrow_mut().observe_era(era, source);
        self.notify_era();
        is_later
    }

    fn notify_era(&self) {
        let era = self.store_era();
        self.era_changes.send_if_modified(|known| {
            let is_later = *known < era;
            *known = era;
            is_later
        });
    }

    /// Returns a receiver that is notified of a new era of the store.
    pub fn subscribe_eras(&self) -> watch::Receiver<u64> {
        self.era_changes.subscribe()
    }

    /// Applies objects received from another daemon, or their removals if the store no longer has
    /// them. Returns whether there are such removals, which that daemon lacks.
    pub fn merge(&self, mut objects: Vec<replica::ReplicaObject>, source: &str) -> bool {
        let removals = self.cache.borrow().removals_of(&objects);
        for removal in &removals {
            log::info!(target: "sardinepaddle", kind = removal.kind, name = removal.name, source;
                "object ignored: the store no longer has it");
            objects.retain(|object| (object.kind, &object.name) != (removal.kind, &removal.name));
        }
        let has_removals = !removals.is_empty();
        objects.extend(removals);
        self.apply(objects, source);
        has_removals
    }

    /// Applies objects read from the store or made by this daemon.
    pub fn apply(&self, objects: Vec<replica::ReplicaObject>, source: &str) {
        let now = self.now();
        let change = self.cache.borrow_mut().apply(now, objects, source);
        self.notify_era();
        if change.quarantines {
            self.update_quarantines(now);
        }
        for (age_ms, report) in &change.crash_reports {
            self.placer
                .borrow_mut()
                .merge_crash_report(now, *age_ms, report);
        }
        if change.limits && change.kinds.is_empty() {
            self.update_limits(&self.cache.borrow());
        }
        if change.kinds.is_empty() {
            if change.quarantines || change.limits || !change.crash_reports.is_empty() {
                self.changes.send_replace(self.cache.borrow().last_change());
            }
            return;
        }
        let cache = self.cache.borrow();
        if change.kinds.contains(&catalog::ObjectKind::Daemons) {
            self.rank.borrow_mut().set_daemons(cache.daemons());
            self.update_shares();
        }
        self.update_placer(&cache);
        self.changes.send_replace(cache.last_change());
    }

    fn update_quarantines(&self, now: f64) {
        let listed = self.cache.borrow().quarantines();
        *self.quarantines.borrow_mut() = quarantine::QuarantineList::new(now, &listed);
        self.placer.borrow_mut().set_quarantines(now, &listed);
        self.deliver_decisions();
    }

    /// Publishes what the local placer has found out about crashes.
    fn publish_crashes(&self) {
        let changes = self.placer.borrow_mut().take_quarantine_changes();
        let is_follower = matches!(
            *self.placer_location.borrow(),
            PlacerLocation::Remote { .. }
        );
        if is_follower {
            if !changes.is_empty() {
                // The local placer knows the requests of this daemon only.
                self.update_quarantines(self.now());
            }
            return;
        }
        for change in changes {
            log::warn!(target: "sardinepaddle", change:? = change; "quarantine decided");
            let (cause, period_ms) = match &change {
                crashes::QuarantineChange::Start {
                    cause, doubtful, ..
                } => match doubtful {
                    true => (cause, Some(quarantine::DOUBTFUL_QUARANTINE_MS)),
                    false => (cause, Some(quarantine::QUARANTINE_MS)),
                },
                crashes::QuarantineChange::Release { cause } => (cause, None),
            };
            let object = self.cache.borrow().quarantine_object(cause, period_ms);
            if let Ok(object) = &object {
                let mut unsaved = self.unsaved_quarantines.borrow_mut();
                unsaved.push(object.clone());
            }
            self.apply_own(object);
        }
        let now = self.now();
        let reports = self.placer.borrow_mut().take_crash_reports(now);
        for (age_ms, report) in reports {
            log::info!(target: "sardinepaddle", age_ms, report:? = report;
                "requests suspected of a crash");
            let object = self.cache.borrow().crash_object(age_ms, &report);
            self.apply_own(object);
        }
    }

    /// Applies an object that this daemon made, here and at other daemons.
    fn apply_own(&self, object: std::io::Result<replica::ReplicaObject>) {
        match object {
            Ok(object) => self.apply(vec![object], "placer"),
            Err(error) => log::warn!(target: "sardinepaddle", error:% = error;
                "object for other daemons not published"),
        }
    }

    /// Returns the time for which a request is still declined, ms, if it is quarantined.
    pub fn quarantined_ms(&self, request: &quarantine::RequestFeatures) -> Option<f64> {
        self.quarantines.borrow().remaining_ms(self.now(), request)
    }

    fn update_placer(&self, cache: &store_cache::StoreCache) {
        let mut placer = self.placer.borrow_mut();
        placer.set_services(&cache.index().config().services);
        placer.set_endpoints(&cache.endpoints(), cache.closed_centres());
        drop(placer);
        self.update_limits(cache);
    }

    fn update_limits(&self, cache: &store_cache::StoreCache) {
        let (named, now) = (cache.limits(), self.now());
        let mut known_since = self.limits_known_since.borrow_mut();
        known_since.retain(|id, _| named.iter().any(|(other, _)| other == id));
        for (id, _) in &named {
            known_since.entry(id.clone()).or_insert(now);
        }
        drop(known_since);
        self.placer.borrow_mut().set_limits(now, &named);
    }

    /// Returns the start time of the listed incarnation of an endpoint, Unix ms; zero if it isn't
    /// listed.
    pub fn started_ms(&self, id: &ids::EndpointId) -> u64 {
        let cache = self.cache.borrow();
        cache.endpoint(id).map_or(0, |live| live.started_ms)
    }

    /// Records the limit in a response of an incarnation of an endpoint, here and on the other
    /// daemons. A response without one lifts it if its request was sent after the limit was known;
    /// `sent_at` is `None` for responses that can't.
    fn record_limit(
        &self,
        id: &ids::EndpointId,
        started_ms: u64,
        per_s: Option<f64>,
        sent_at: Option<f64>,
    ) {
        let known = self.cache.borrow().limit(id, started_ms);
        if known.map(|known| known.per_s) == per_s {
            return;
        }
        if per_s.is_none() {
            let known_since = self.limits_known_since.borrow().get(id).copied();
            let is_after = |sent_at: f64| known_since.is_some_and(|since| sent_at > since);
            if !sent_at.is_some_and(is_after) {
                return;
            }
        }
        let limit = per_s.map(|per_s| limits::EndpointLimit { started_ms, per_s });
        let object = self.cache.borrow().limit_object(id, limit);
        match object {
            Ok(object) => self.apply(vec![object], "endpoint"),
            Err(error) => log::warn!(target: "sardinepaddle", endpoint:% = id, error:% = error;
                "limit of an endpoint not published"),
        }
    }

    /// Records what a response of an incarnation of an endpoint states about requests that follow.
    /// One that is leaving is closed at once, here and on the other daemons.
    pub fn record_notice(
        &self,
        id: &ids::EndpointId,
        started_ms: u64,
        notice: headers::EndpointNotice,
        sent_at: Option<f64>,
    ) {
        self.record_limit(id, started_ms, notice.rate_limit, sent_at);
        if let Some(period) = notice.quiet_period {
            log::info!(target: "sardinepaddle", endpoint:% = id, period_ms = period.as_millis();
                "endpoint wants no requests for a time");
            let period_ms = millis::from_duration(period);
            let mut periods = self.quiet_periods.borrow_mut();
            periods.record(self.now(), id, started_ms, period_ms);
        }
        if notice.leaving && !self.cache.borrow().is_closed(id, started_ms) {
            log::info!(target: "sardinepaddle", endpoint:% = id, started_ms;
                "endpoint stated that it is leaving");
            let closed = store_cache::StoreCache::closed_object(id, started_ms);
            self.apply(vec![closed], "endpoint");
        }
    }

    /// Returns whether an endpoint wants no requests of this daemon now.
    pub fn is_quiet(&self, id: &ids::EndpointId) -> bool {
        let cache = self.cache.borrow();
        let periods = self.quiet_periods.borrow();
        let live = cache.endpoint(id);
        live.is_some_and(|live| !periods.accepts(self.now(), live))
    }

    /// Returns whether an endpoint may get a request of this daemon now.
    pub fn may_send(&self, id: &ids::EndpointId) -> bool {
        self.cache.borrow().accepts_work(id) && !self.is_quiet(id)
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_send(&self, id: &ids::EndpointId) {
        let now = self.now();
        self.quiet_periods.borrow_mut().record_send(now, id);
    }

    /// Returns the endpoints of a service that want no requests of this daemon now.
    pub fn quiet_endpoints(&self, service: &ids::ServiceId) -> Vec<ids::EndpointId> {
        let periods = self.quiet_periods.borrow();
        if periods.is_empty() {
            return Vec::new();
        }
        let cache = self.cache.borrow();
        let quiet = cache
            .accepting(service)
            .filter(|live| !periods.accepts(self.now(), live));
        quiet.map(|live| live.id.clone()).collect()
    }

    /// Returns the time until the first endpoint of a service, apart from those `excluded`, wants
    /// requests again, ms, if none does now.
    pub fn until_first_due_ms(
        &self,
        service: &ids::ServiceId,
        excluded: &[ids::EndpointId],
    ) -> Option<f64> {
        let periods = self.quiet_periods.borrow();
        if periods.is_empty() {
            return None;
        }
        let cache = self.cache.borrow();
        let accepting = cache.accepting(service);
        let remaining = accepting.filter(|live| !excluded.contains(&live.id));
        let now = self.now();
        periods.first_due(now, remaining).map(|due| due - now)
    }

    /// Whether the daemon accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.is_synced() && !self.is_shutting_down()
    }

    /// Whether the process was asked to exit.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_started()
    }

    /// Returns whether this daemon can place requests for others.
    pub fn placer_status(&self) -> message::PlacerStatus {
        match (self.is_synced(), self.is_shutting_down()) {
            (false, _) => message::PlacerStatus::NotReady,
            (true, true) => message::PlacerStatus::Draining,
            (true, false) => message::PlacerStatus::Ready,
        }
    }

    /// Records whether the last call to the store about a kind succeeded.
    pub fn set_store_reachable(&self, kind: catalog::ObjectKind, reachable: bool) {
        self.unreachable_kinds.borrow_mut()[kind as usize] = !reachable;
    }

    /// Whether the last call about the configuration failed.
    pub fn is_config_unreachable(&self) -> bool {
        self.unreachable_kinds.borrow()[catalog::ObjectKind::Config as usize]
    }

    /// Whether the last calls to the store succeeded for all kinds.
    pub fn is_store_reachable(&self) -> bool {
        !self.unreachable_kinds.borrow().contains(&true)
    }

    /// Whether this daemon watches the store on behalf of others: it does if it has followers, if it
    /// is first in the rank of the daemons that are not in backoff, or if its placer selected it.
    pub fn watches_store(&self) -> bool {
        match &*self.placer_location.borrow() {
            PlacerLocation::Local if self.places_for_others() => true,
            PlacerLocation::Local => {
                let rank = self.rank.borrow();
                let placer = rank.placer(self.now());
                placer.is_none_or(|placer| placer.host == self.settings().host)
            }
            PlacerLocation::Remote { .. } => self.assigned_store_watch.get(),
        }
    }

    /// Whether this daemon neither follows another one nor has followers.
    pub fn is_alone(&self) -> bool {
        let places_locally = matches!(&*self.placer_location.borrow(), PlacerLocation::Local);
        places_locally && !self.places_for_others()
    }

    /// Records whether the placer selected this daemon to watch the store on behalf of others.
    pub fn set_assigned_store_watch(&self, watch_store: bool) {
        self.assigned_store_watch.set(watch_store);
    }

    /// Returns the placer of this daemon's requests as sent in [`message::PlacementMessage::Hello`].
    pub fn placer_host(&self) -> Option<ids::HostId> {
        match &*self.placer_location.borrow() {
            PlacerLocation::Remote { host, .. } => Some(host.clone()),
            PlacerLocation::Local => self
                .places_for_others()
                .then(|| self.settings().host.clone()),
        }
    }

    /// Returns the placer of this daemon's requests if it is another daemon.
    pub fn remote_placer_host(&self) -> Option<ids::HostId> {
        let own_host = &self.settings().host;
        self.placer_host().filter(|placer| placer != own_host)
    }

    /// Whether this daemon has followers, whose requests it places.
    pub fn places_for_others(&self) -> bool {
        !self.followers.borrow().is_empty()
    }

    /// Redirects the followers to another placer.
    pub fn redirect_followers(&self, placer: &ids::HostId) {
        let placer = placer.clone();
        let placer_change = message::PlacementMessage::PlacerChanged { placer };
        self.followers.borrow().send_all(&placer_change);
    }

    /// Waits until the placer announces another placer.
    pub async fn wait_for_announced_placer(&self) {
        self.placer_announced.notified().await;
    }

    /// Takes the latest placer that was announced as the new one.
    pub fn take_announced_placer(&self) -> Option<ids::HostId> {
        self.announced_placer.borrow_mut().take()
    }

    /// Records whether a follower reaches the store. Returns whether that follower should watch the
    /// store on behalf of others.
    pub fn assign_store_watch(&self, host: &ids::HostId, store_reachable: bool) -> bool {
        let mut reachability = self.follower_reachability.borrow_mut();
        reachability.insert(host.clone(), store_reachable);
        let can_watch = |host: &ids::HostId| reachability.get(host).copied().unwrap_or(false);
        let rank = self.rank.borrow();
        let own_host = &self.settings().host;
        let unreachable = reachability
            .values()
            .filter(|store_reachable| !**store_reachable)
            .count();
        let watcher = match !self.is_store_reachable() && unreachable >= MIN_UNREACHABLE_FOLLOWERS {
            true => rank
                .watcher_in_rotation(own_host, self.now(), |host| reachability.contains_key(host)),
            false => rank.second_watcher(own_host, can_watch),
        };
        watcher.is_none_or(|watcher| watcher == host)
    }

    /// Records the gauges.
    pub fn record_gauges(&self) {
        let version = self.cache.borrow().version();
        let waiting = self.placer.borrow().waiting_count();
        for queue in self.placer.borrow().service_queues(self.now()) {
            self.metrics.service_queue(&queue);
        }
        let dropped = self.log.drop_counter.dropped_lines();
        self.metrics
            .record_gauges(self.data_age().min(1e9), version, waiting, dropped);
        self.metrics.store_era(self.store_era());
        self.metrics.quarantines(self.quarantines.borrow().len());
        self.metrics.cut_off(self.reach.is_cut_off());
        self.metrics.held_bytes(self.bodies.held());
        for (service, share) in self.placer.borrow().hedges().extra_shares() {
            self.metrics.hedge_extra_share(service.as_str(), share);
        }
    }

    /// Returns a receiver that is notified of changes of the replica.
    pub fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Allocates an id for an attempt.
    pub fn next_job_id(&self) -> job::JobId {
        let number = self.next_job_number.get() + 1;
        self.next_job_number.set(number);
        job::JobId {
            incarnation: self.incarnation,
            number,
        }
    }

    /// Requests a placement for an attempt of this daemon and waits for the decision.
    pub async fn place(
        &self,
        job: job::JobId,
        request: job::PlacementRequest,
    ) -> Option<job::PlacementDecision> {
        let (sender, receiver) = oneshot::channel();
        let remote = self.send_to_placer(message::PlacementMessage::PlacementRequest {
            job,
            request: request.clone(),
        });
        let pending = PendingPlacement {
            request: request.clone(),
            requested_at: self.now(),
            remote,
            queued: false,
            decision: sender,
        };
        self.pending.borrow_mut().insert(job, pending);
        if !remote {
            self.placer.borrow_mut().submit(self.now(), job, request);
            self.deliver_decisions();
        }
        receiver.await.ok()
    }

    /// Sends a message to a remote placer; returns `false` if this daemon is its own placer or the
    /// connection is closed.
    fn send_to_placer(&self, message: message::PlacementMessage) -> bool {
        match &*self.placer_location.borrow() {
            PlacerLocation::Local => false,
            PlacerLocation::Remote { sender, .. } => sender.send(message).is_ok(),
        }
    }

    /// Records the end of an attempt of this daemon.
    pub fn finish_job(&self, job: job::JobId, outcome: job::JobOutcome) {
        self.pending.borrow_mut().remove(&job);
        self.running.borrow_mut().remove(&job);
        self.placer.borrow_mut().end(self.now(), job, &outcome);
        self.send_to_placer(message::PlacementMessage::JobFinished { job, outcome });
    }

    /// Cancels an attempt of this daemon.
    pub fn cancel_job(&self, job: job::JobId) {
        self.pending.borrow_mut().remove(&job);
        self.running.borrow_mut().remove(&job);
        self.placer.borrow_mut().cancel(self.now(), job);
        self.send_to_placer(message::PlacementMessage::Cancel { job });
    }

    /// Records that the first event of an attempt of this daemon arrived.
    pub fn record_first_event(&self, job: job::JobId) {
        if let Some(running) = self.running.borrow_mut().get_mut(&job) {
            running.started = true;
        }
        self.placer.borrow_mut().first_event(self.now(), job);
        self.send_to_placer(message::PlacementMessage::FirstEvent { job });
    }

    /// Decides on the requests that wait at the local placer, and places locally those to which the
    /// remote placer has not responded in time.
    pub fn tick(&self) {
        if self.now() - self.shares_updated_at.get() > SHARE_UPDATE_MS {
            self.update_shares();
        }
        let needs_tick = self.placer.borrow().needs_tick();
        if needs_tick {
            self.placer.borrow_mut().tick(self.now());
            self.deliver_decisions();
            self.publish_crashes();
        }
        self.reroute_unanswered();
    }

    /// Removes expired jobs from the local placer, also while no request waits there; called at a
    /// lower rate than [`Self::tick`].
    pub fn sweep(&self) {
        let now = self.now();
        self.placer.borrow_mut().tick(now);
        self.deliver_decisions();
        self.publish_crashes();
        self.quiet_periods.borrow_mut().sweep(now);
        self.quarantines.borrow_mut().expire(now);
        let max_age_ms = self.settings().bounds.endpoints_ms;
        let is_changed = self.cache.borrow_mut().review_holds(now, max_age_ms);
        if is_changed {
            self.update_placer(&self.cache.borrow());
        }
    }

    fn reroute_unanswered(&self) {
        let cutoff = self.now() - PLACER_RESPONSE_TIMEOUT_MS;
        let unanswered: Vec<job::JobId> = self
            .pending
            .borrow()
            .iter()
            .filter(|(_, entry)| entry.remote && !entry.queued && entry.requested_at < cutoff)
            .map(|(job, _)| *job)
            .collect();
        for job in unanswered {
            log::warn!(target: "sardinepaddle", job = job.number; "placer did not respond: placing locally");
            self.send_to_placer(message::PlacementMessage::Cancel { job });
            self.place_locally(job);
        }
    }

    /// Returns the placement request with its remaining times updated to now.
    fn refresh_request(&self, job: job::JobId) -> Option<job::PlacementRequest> {
        let mut pending = self.pending.borrow_mut();
        let entry = pending.get_mut(&job)?;
        let elapsed = self.now() - entry.requested_at;
        entry.requested_at += elapsed;
        entry.request.objective_remaining_ms -= elapsed;
        entry.request.remaining_ms -= elapsed;
        Some(entry.request.clone())
    }

    fn place_locally(&self, job: job::JobId) {
        let Some(request) = self.refresh_request(job) else {
            return;
        };
        if let Some(entry) = self.pending.borrow_mut().get_mut(&job) {
            entry.remote = false;
        }
        self.placer.borrow_mut().submit(self.now(), job, request);
        self.deliver_decisions();
    }

    /// Delivers the decisions of the local placer.
    fn deliver_decisions(&self) {
        let (decisions, refusals) = {
            let mut placer = self.placer.borrow_mut();
            (placer.take_decisions(), placer.take_refusals())
        };
        for refusal in refusals {
            log::info!(target: "sardinepaddle", job = refusal.job.number,
                life = refusal.job.incarnation, service:% = refusal.service,
                route = refusal.route, waiting = refusal.waiting,
                drain_rate = refusal.drain_rate, age_ms = refusal.age_ms,
                predicted_wait_ms = refusal.predicted_wait_ms,
                retry_after_ms = refusal.retry_after_ms; "request refused under load");
        }
        let hedge_refusals = self.placer.borrow_mut().take_hedge_refusals();
        for (job, refusal) in hedge_refusals {
            let reason = refusal.name();
            self.metrics.hedge_refusal(reason);
            log::info!(target: "sardinepaddle", job = job.number, life = job.incarnation, reason;
                "hedge declined");
        }
        for (job, decision) in decisions {
            if job.incarnation == self.incarnation {
                self.resolve(job, decision);
                continue;
            }
            let message = message::PlacementMessage::Decision { job, decision };
            if !self.followers.borrow().send(job.incarnation, message) {
                log::info!(target: "sardinepaddle", job = job.number, life = job.incarnation;
                    "placement decision dropped: its daemon is not connected");
            }
        }
    }

    fn resolve(&self, job: job::JobId, decision: job::PlacementDecision) {
        let Some(pending) = self.pending.borrow_mut().remove(&job) else {
            // The request ended before its decision arrived: release the resources held for it.
            self.send_to_placer(message::PlacementMessage::Cancel { job });
            return;
        };
        if let job::PlacementDecision::Placed(plan) = &decision {
            let running = job::RunningJob {
                job,
                request: pending.request,
                plan: plan.clone(),
                started: false,
            };
            if pending.remote {
                // The local placer tracks it too, in case this daemon has to take over placement.
                self.placer.borrow_mut().adopt(self.now(), &running);
            }
            self.running.borrow_mut().insert(job, running);
        }
        if pending.decision.send(decision).is_err() {
            self.cancel_job(job);
        }
    }

    /// Switches to another placer and sends it the placement requests pending at the previous one.
    pub fn set_placer_location(&self, placer_location: PlacerLocation) {
        let placer_host = match &placer_location {
            PlacerLocation::Local => self.settings().host.to_string(),
            PlacerLocation::Remote { host, .. } => host.to_string(),
        };
        let waiting = self.pending.borrow().len();
        log::info!(target: "sardinepaddle", placer = placer_host, waiting; "placer selected");
        *self.placer_location.borrow_mut() = placer_location;
        let running: Vec<job::RunningJob> = self.running.borrow().values().cloned().collect();
        self.send_to_placer(message::PlacementMessage::RunningJobs(running));
        let jobs: Vec<job::JobId> = self.pending.borrow().keys().copied().collect();
        for job in jobs {
            self.reroute_pending(job);
        }
    }

    fn reroute_pending(&self, job: job::JobId) {
        let Some(request) = self.refresh_request(job) else {
            return;
        };
        let was_remote = self
            .pending
            .borrow()
            .get(&job)
            .is_some_and(|entry| entry.remote);
        if !was_remote {
            return;
        }
        if !self.send_to_placer(message::PlacementMessage::PlacementRequest { job, request }) {
            self.place_locally(job);
            return;
        }
        if let Some(entry) = self.pending.borrow_mut().get_mut(&job) {
            entry.queued = false;
        }
    }

    /// Handles a message from the placer of this daemon.
    pub fn handle_placer_message(&self, message: message::PlacementMessage) {
        match message {
            message::PlacementMessage::Queued { job } => {
                if let Some(entry) = self.pending.borrow_mut().get_mut(&job) {
                    entry.queued = true;
                }
            }
            message::PlacementMessage::Decision { job, decision } => self.resolve(job, decision),
            message::PlacementMessage::PlacerChanged { placer } => {
                log::info!(target: "sardinepaddle", placer:% = placer; "placer moved");
                self.rank.borrow_mut().reset_backoff(&placer);
                *self.announced_placer.borrow_mut() = Some(placer);
                self.placer_announced.notify_one();
            }
            _ => log::warn!(target: "sardinepaddle",
                "message dropped: unexpected from a placer"),
        }
    }

    /// Records that a message of a follower has arrived.
    pub fn record_follower_message(&self, incarnation: u64) {
        let mut followers = self.followers.borrow_mut();
        followers.record_message(incarnation, self.now());
    }

    /// Adds a connected daemon whose requests are placed here.
    pub fn add_follower(
        &self,
        incarnation: u64,
        sender: mpsc::UnboundedSender<message::PlacementMessage>,
    ) {
        self.followers.borrow_mut().connect(incarnation, sender);
        self.update_shares();
    }

    fn update_shares(&self) {
        let now = self.now();
        let listed = self.rank.borrow().daemons().len();
        let followers = self.followers.borrow();
        let members = match &*self.placer_location.borrow() {
            PlacerLocation::Local => followers.heard_since(now - FOLLOWER_SILENCE_MS) + 1,
            PlacerLocation::Remote { .. } => 0,
        };
        let mut history = self.group_history.borrow_mut();
        let cold_share = history.update(now, members, listed);
        let mut placer = self.placer.borrow_mut();
        let mut budget = self.retry_budget.borrow_mut();
        budget.set_daemons(now, listed);
        placer.set_retry_share(budget.settled_share(now));
        placer.set_limit_share(limits::group_share(members, listed));
        placer.set_cold_share(now, cold_share, self.incarnation);
        self.shares_updated_at.set(now);
    }

    /// Removes a follower whose connection has closed.
    pub fn remove_follower(
        &self,
        host: &ids::HostId,
        incarnation: u64,
        sender: &mpsc::UnboundedSender<message::PlacementMessage>,
    ) {
        if !self.followers.borrow_mut().disconnect(incarnation, sender) {
            log::info!(target: "sardinepaddle", daemon:% = host, life = incarnation;
                "connection closed: the daemon has a newer one");
            return;
        }
        self.follower_reachability.borrow_mut().remove(host);
        self.update_shares();
        self.placer
            .borrow_mut()
            .cancel_incarnation(self.now(), incarnation);
        self.sweep();
    }

    /// Handles a message from a follower.
    pub fn handle_follower_message(&self, incarnation: u64, message: message::PlacementMessage) {
        let now = self.now();
        match message {
            message::PlacementMessage::RunningJobs(jobs) => {
                self.placer.borrow_mut().reconcile(now, incarnation, &jobs);
            }
            message::PlacementMessage::PlacementRequest { job, request } => {
                self.placer.borrow_mut().submit(now, job, request);
                let is_waiting = !self.placer.borrow().has_decision(job);
                self.deliver_decisions();
                if is_waiting {
                    // If the follower has disconnected, its placement requests are dropped with it.
                    let queued = message::PlacementMessage::Queued { job };
                    self.followers.borrow().send(incarnation, queued);
                }
            }
            message::PlacementMessage::Cancel { job } => {
                self.placer.borrow_mut().cancel(now, job);
            }
            message::PlacementMessage::FirstEvent { job } => {
                self.placer.borrow_mut().first_event(now, job);
            }
            message::PlacementMessage::JobFinished { job, outcome } => {
                self.placer.borrow_mut().end(now, job, &outcome);
            }
            _ => {
                log::warn!(target: "sardinepaddle", life = incarnation; "message dropped: unexpected from a follower")
            }
        }
    }
}
