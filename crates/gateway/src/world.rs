//! What one daemon knows, shared by all its tasks on its one thread.

use std::cell;
use std::rc;

use model::ids;
use model::map;
use platform::catalog;
use pool::job;
use pool::placer;
use pool::rank;
use pool::replica;
use pool::routes;
use settings::gateway;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock;
use crate::followers;
use crate::knowledge;
use crate::logs;
use crate::message;
use crate::metrics;

/// Time after SIGTERM for which all new requests are taken, ms: the balancer has noticed by then.
/// Later ones are taken if they are likely to be over before the end of the process.
const LAST_ACCEPTED_MS: f64 = 3_000.0;
/// Time before SIGKILL at which the process is to have ended, ms.
pub(crate) const END_MARGIN_MS: f64 = 500.0;
/// Time after which an ask that met neither verdict nor word that it waits goes elsewhere, ms:
/// some times the slowest exchange between two daemons that run.
const ASK_PATIENCE_MS: f64 = 250.0;
/// Followers that the store failed, beside the daemon that places, from which on it counts as away for
/// all: fewer may have been turned away alone.
const MANY_BLIND: usize = 3;
/// Share of the budget for repeats that a daemon gives out for others: two that place at the same
/// time must not overdraw it.
const REPEAT_SHARE: f64 = 0.4;
/// Share that all daemons together give out while each places for itself.
const ALONE_SHARE: f64 = 0.2;

/// Who places requests, as this daemon sees it.
#[derive(Clone, Debug)]
pub(crate) enum PlacerRole {
    /// This daemon, for all or for itself alone.
    Own,
    /// Another one, over a connection.
    Remote {
        host: ids::HostId,
        sender: mpsc::UnboundedSender<message::LinkMessage>,
    },
}

struct PendingAsk {
    ask: job::PlacementRequest,
    asked_at: f64,
    remote: bool,
    queued: bool,
    verdict: oneshot::Sender<job::PlacementDecision>,
}

/// The state and the ways to change it.
pub(crate) struct DaemonWorld {
    pub settings: cell::RefCell<rc::Rc<gateway::GatewaySettings>>,
    pub clock: clock::SteadyClock,
    pub life: u64,
    pub metrics: metrics::GatewayMetrics,
    log: logs::LogGuard,
    known: cell::RefCell<knowledge::StoreKnowledge>,
    placer: cell::RefCell<placer::JobPlacer>,
    pub rank: cell::RefCell<rank::DaemonRank>,
    role: cell::RefCell<PlacerRole>,
    pending: cell::RefCell<map::HashMap<job::JobId, PendingAsk>>,
    running: cell::RefCell<map::HashMap<job::JobId, job::RunningJob>>,
    /// Daemons whose requests this one places.
    followers: cell::RefCell<followers::FollowerTable<message::LinkMessage>>,
    /// Number of the newest change of the replica.
    changes: watch::Sender<u64>,
    /// When the process was asked to end, ms.
    leaving_since: cell::Cell<Option<f64>>,
    /// Kinds on which the last call to the store failed.
    blind: cell::RefCell<[bool; knowledge::KINDS]>,
    /// Connected followers, and whether they reach the store.
    sights: cell::RefCell<map::HashMap<ids::HostId, bool>>,
    told_to_follow: cell::Cell<bool>,
    /// The daemon to which this one's placer moved, until it is looked at.
    moved: cell::RefCell<Option<ids::HostId>>,
    moves: tokio::sync::Notify,
    next_job: cell::Cell<u64>,
    pub active: cell::Cell<usize>,
}

impl DaemonWorld {
    /// A daemon that knows nothing yet.
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
        Self {
            settings: cell::RefCell::new(rc::Rc::new(settings)),
            clock: clock::SteadyClock::start(),
            life: rand::random(),
            metrics,
            log,
            known: cell::RefCell::new(knowledge::StoreKnowledge::new()),
            placer: cell::RefCell::new(placer::JobPlacer::new(bounds)),
            rank: cell::RefCell::new(rank::DaemonRank::default()),
            role: cell::RefCell::new(PlacerRole::Own),
            pending: cell::RefCell::default(),
            running: cell::RefCell::default(),
            followers: cell::RefCell::default(),
            changes: watch::Sender::new(0),
            leaving_since: cell::Cell::new(None),
            blind: cell::RefCell::default(),
            sights: cell::RefCell::default(),
            told_to_follow: cell::Cell::new(false),
            moved: cell::RefCell::default(),
            moves: tokio::sync::Notify::new(),
            next_job: cell::Cell::new(0),
            active: cell::Cell::new(0),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> rc::Rc<gateway::GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Time since the start, ms.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// The configuration in force, indexed.
    pub fn index(&self) -> rc::Rc<routes::RouteIndex> {
        self.known.borrow().index()
    }

    /// Whether enough is known of the store to send requests on.
    pub fn is_informed(&self) -> bool {
        self.known.borrow().is_complete()
    }

    /// What is known of the store.
    pub fn known(&self) -> cell::Ref<'_, knowledge::StoreKnowledge> {
        self.known.borrow()
    }

    /// Packs a large object for a daemon that has revision `base` of it.
    pub fn pack(
        &self,
        object: &replica::ReplicaObject,
        base: Option<u64>,
    ) -> std::io::Result<(u64, bytes::Bytes)> {
        self.known.borrow_mut().pack(object, base)
    }

    /// Age of what is known of the configuration and the endpoints, ms.
    pub fn data_age(&self) -> f64 {
        let config = self.age(catalog::ObjectKind::Config);
        config.max(self.age(catalog::ObjectKind::Endpoints))
    }

    /// Age of what is known of a kind, ms.
    pub fn age(&self, kind: catalog::ObjectKind) -> f64 {
        self.now() - self.known.borrow().fresh_at(kind)
    }

    /// Ages of all kinds, whole ms.
    pub fn ages(&self) -> Vec<u64> {
        self.known.borrow().ages(self.now())
    }

    /// The store listed a kind, perhaps from an old copy.
    pub fn note_listed(&self, kind: catalog::ObjectKind) {
        self.known.borrow_mut().note_listed(self.now(), kind);
    }

    /// The store told of a kind.
    pub fn note_fresh(&self, kind: catalog::ObjectKind) {
        self.known.borrow_mut().note_fresh(self.now(), kind);
    }

    /// Another daemon told how old its knowledge is.
    pub fn note_ages(&self, ages_ms: &[u64]) {
        self.known.borrow_mut().note_ages(self.now(), ages_ms);
    }

    /// Takes objects of the store in, as read here or told by another daemon.
    pub fn apply(&self, objects: Vec<replica::ReplicaObject>, source: &str) {
        let kinds = self.known.borrow_mut().apply(objects, source);
        if kinds.is_empty() {
            return;
        }
        let known = self.known.borrow();
        if kinds.contains(&catalog::ObjectKind::Daemons) {
            self.rank.borrow_mut().set_daemons(known.daemons());
            self.share_budget();
        }
        let mut placer = self.placer.borrow_mut();
        placer.set_services(&known.index().config().services);
        placer.set_endpoints(&known.endpoints(), known.emptied());
        self.changes.send_replace(known.last_change());
    }

    /// Whether new requests are welcome here.
    pub fn is_ready(&self) -> bool {
        self.is_informed() && !self.is_leaving()
    }

    /// Whether the process was asked to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Whether the process ends so soon that a request of some length might be cut by it.
    pub fn ends_before(&self, expected_ms: f64) -> bool {
        let Some(since) = self.leaving_since.get() else {
            return false;
        };
        let passed = self.now() - since;
        let left = self.settings().bounds.grace_s * 1_000.0 - END_MARGIN_MS - passed;
        passed > LAST_ACCEPTED_MS && expected_ms > left
    }

    /// Whether this daemon can place for others.
    pub fn placer_state(&self) -> message::PlacerState {
        match (self.is_informed(), self.is_leaving()) {
            (false, _) => message::PlacerState::Unready,
            (true, true) => message::PlacerState::Leaving,
            (true, false) => message::PlacerState::Placing,
        }
    }

    /// The process was asked to end.
    pub fn leave(&self) {
        self.leaving_since.set(Some(self.now()));
    }

    /// A call to the store about a kind failed or succeeded.
    pub fn note_sight(&self, kind: catalog::ObjectKind, reached: bool) {
        self.blind.borrow_mut()[kind as usize] = !reached;
    }

    /// Whether the last call about the configuration failed.
    pub fn lost_config(&self) -> bool {
        self.blind.borrow()[catalog::ObjectKind::Config as usize]
    }

    /// Whether the store is reached, as far as is known.
    pub fn is_sighted(&self) -> bool {
        !self.blind.borrow().contains(&true)
    }

    /// Whether this daemon is to follow the store for others: the one that places is.
    pub fn leads(&self) -> bool {
        match &*self.role.borrow() {
            PlacerRole::Own if self.places_for_others() => true,
            PlacerRole::Own => {
                let rank = self.rank.borrow();
                let placer = rank.placer(self.now());
                placer.is_none_or(|placer| placer.host == self.settings().host)
            }
            PlacerRole::Remote { .. } => self.told_to_follow.get(),
        }
    }

    /// The daemon that places told whether to follow the store.
    pub fn set_told_to_follow(&self, follow: bool) {
        self.told_to_follow.set(follow);
    }

    /// The daemon that places this one's requests, as others are told; see
    /// [`message::LinkMessage::Hello`].
    pub fn placed_by(&self) -> Option<ids::HostId> {
        match &*self.role.borrow() {
            PlacerRole::Remote { host, .. } => Some(host.clone()),
            PlacerRole::Own => self
                .places_for_others()
                .then(|| self.settings().host.clone()),
        }
    }

    /// The daemon that places this one's requests, if it is another one.
    pub fn placed_elsewhere(&self) -> Option<ids::HostId> {
        let own = &self.settings().host;
        self.placed_by().filter(|placer| placer != own)
    }

    /// Whether daemons are connected whose requests this one places.
    pub fn places_for_others(&self) -> bool {
        !self.followers.borrow().is_empty()
    }

    /// Tells the followers that another daemon places from now on.
    pub fn send_followers_to(&self, placer: &ids::HostId) {
        let placer = placer.clone();
        let moved = message::LinkMessage::Moved { placer };
        self.followers.borrow().send_all(&moved);
    }

    /// Waits until this daemon's placer moves.
    pub async fn placer_moves(&self) {
        self.moves.notified().await;
    }

    /// Where this daemon's placer moved since the last call.
    pub fn take_move(&self) -> Option<ids::HostId> {
        self.moved.borrow_mut().take()
    }

    /// A follower told whether it reaches the store; says whether it is to follow it for others.
    pub fn choose_follower(&self, host: &ids::HostId, sighted: bool) -> bool {
        let mut sights = self.sights.borrow_mut();
        sights.insert(host.clone(), sighted);
        let fits = |host: &ids::HostId| sights.get(host).copied().unwrap_or(false);
        let rank = self.rank.borrow();
        let own = &self.settings().host;
        let blind = sights.values().filter(|sighted| !**sighted).count();
        let second = match !self.is_sighted() && blind >= MANY_BLIND {
            true => rank.watcher_in_rotation(own, self.now(), |host| sights.contains_key(host)),
            false => rank.second_watcher(own, fits),
        };
        second.is_none_or(|second| second == host)
    }

    /// Records metrics that change slowly.
    pub fn observe(&self) {
        let version = self.known.borrow().version();
        let waiting = self.placer.borrow().waiting_count();
        let dropped = self.log.dropped.dropped_lines();
        self.metrics
            .observe(self.data_age().min(1e9), version, waiting, dropped);
    }

    /// Tells when the replica changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Draws an id for an attempt.
    pub fn new_job(&self) -> job::JobId {
        let number = self.next_job.get() + 1;
        self.next_job.set(number);
        job::JobId {
            incarnation: self.life,
            number,
        }
    }

    /// Looks for a place for an attempt of this daemon.
    pub async fn place(
        &self,
        job: job::JobId,
        ask: job::PlacementRequest,
    ) -> Option<job::PlacementDecision> {
        let (sender, receiver) = oneshot::channel();
        let remote = self.send_remote(message::LinkMessage::Ask {
            job,
            ask: ask.clone(),
        });
        let pending = PendingAsk {
            ask: ask.clone(),
            asked_at: self.now(),
            remote,
            queued: false,
            verdict: sender,
        };
        self.pending.borrow_mut().insert(job, pending);
        if !remote {
            self.placer.borrow_mut().submit(self.now(), job, ask);
            self.pass_verdicts();
        }
        receiver.await.ok()
    }

    /// Whether a role other than this daemon's own got a message.
    fn send_remote(&self, message: message::LinkMessage) -> bool {
        match &*self.role.borrow() {
            PlacerRole::Own => false,
            PlacerRole::Remote { sender, .. } => sender.send(message).is_ok(),
        }
    }

    /// An attempt of this daemon is over.
    pub fn end_job(&self, job: job::JobId, end: job::JobOutcome) {
        self.pending.borrow_mut().remove(&job);
        self.running.borrow_mut().remove(&job);
        self.placer.borrow_mut().end(self.now(), job, &end);
        self.send_remote(message::LinkMessage::End { job, end });
    }

    /// An attempt of this daemon is not wanted any more.
    pub fn withdraw_job(&self, job: job::JobId) {
        self.pending.borrow_mut().remove(&job);
        self.running.borrow_mut().remove(&job);
        self.placer.borrow_mut().cancel(self.now(), job);
        self.send_remote(message::LinkMessage::Withdraw { job });
    }

    /// The first event of an attempt of this daemon came.
    pub fn start_job(&self, job: job::JobId) {
        if let Some(running) = self.running.borrow_mut().get_mut(&job) {
            running.started = true;
        }
        self.placer.borrow_mut().first_event(self.now(), job);
        self.send_remote(message::LinkMessage::FirstEvent { job });
    }

    /// Time has passed.
    pub fn tick(&self) {
        let waits = self.placer.borrow().waiting_count() > 0;
        if waits {
            self.placer.borrow_mut().tick(self.now());
            self.pass_verdicts();
        }
        self.reroute_unanswered();
    }

    /// Clears what was forgotten; for a slow pace.
    pub fn sweep(&self) {
        self.placer.borrow_mut().tick(self.now());
        self.pass_verdicts();
    }

    fn reroute_unanswered(&self) {
        let since = self.now() - ASK_PATIENCE_MS;
        let lost: Vec<job::JobId> = self
            .pending
            .borrow()
            .iter()
            .filter(|(_, ask)| ask.remote && !ask.queued && ask.asked_at < since)
            .map(|(job, _)| *job)
            .collect();
        for job in lost {
            log::warn!(target: "sardinepaddle", job = job.number; "no word of the placing daemon: placed here");
            self.send_remote(message::LinkMessage::Withdraw { job });
            self.place_here(job);
        }
    }

    /// What is asked, with the times that are left now.
    fn remaining_ask(&self, job: job::JobId) -> Option<job::PlacementRequest> {
        let mut pending = self.pending.borrow_mut();
        let entry = pending.get_mut(&job)?;
        let passed = self.now() - entry.asked_at;
        entry.asked_at += passed;
        entry.ask.objective_remaining_ms -= passed;
        entry.ask.remaining_ms -= passed;
        Some(entry.ask.clone())
    }

    fn place_here(&self, job: job::JobId) {
        let Some(ask) = self.remaining_ask(job) else {
            return;
        };
        if let Some(entry) = self.pending.borrow_mut().get_mut(&job) {
            entry.remote = false;
        }
        self.placer.borrow_mut().submit(self.now(), job, ask);
        self.pass_verdicts();
    }

    /// Gives out what the own placer decided.
    fn pass_verdicts(&self) {
        let verdicts = self.placer.borrow_mut().take_decisions();
        for (job, verdict) in verdicts {
            if job.incarnation == self.life {
                self.resolve(job, verdict);
                continue;
            }
            let message = message::LinkMessage::Verdict { job, verdict };
            if !self.followers.borrow().send(job.incarnation, message) {
                log::info!(target: "sardinepaddle", job = job.number, life = job.incarnation;
                    "verdict dropped: its daemon is not connected");
            }
        }
    }

    fn resolve(&self, job: job::JobId, verdict: job::PlacementDecision) {
        let Some(pending) = self.pending.borrow_mut().remove(&job) else {
            // The verdict crossed the end of its request: what it holds is given back.
            self.send_remote(message::LinkMessage::Withdraw { job });
            return;
        };
        if let job::PlacementDecision::Placed(plan) = &verdict {
            let running = job::RunningJob {
                job,
                request: pending.ask,
                plan: plan.clone(),
                started: false,
            };
            if pending.remote {
                // Known here too, for when this daemon has to place by itself.
                self.placer.borrow_mut().adopt(self.now(), &running);
            }
            self.running.borrow_mut().insert(job, running);
        }
        if pending.verdict.send(verdict).is_err() {
            self.withdraw_job(job);
        }
    }

    /// Takes on another role; asks that were with the earlier one go to the new one.
    pub fn set_role(&self, role: PlacerRole) {
        let name = match &role {
            PlacerRole::Own => self.settings().host.to_string(),
            PlacerRole::Remote { host, .. } => host.to_string(),
        };
        let waiting = self.pending.borrow().len();
        log::info!(target: "sardinepaddle", placer = name, waiting; "placing daemon chosen");
        *self.role.borrow_mut() = role;
        let running: Vec<job::RunningJob> = self.running.borrow().values().cloned().collect();
        self.send_remote(message::LinkMessage::Running(running));
        let jobs: Vec<job::JobId> = self.pending.borrow().keys().copied().collect();
        for job in jobs {
            self.move_ask(job);
        }
    }

    fn move_ask(&self, job: job::JobId) {
        let Some(ask) = self.remaining_ask(job) else {
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
        if !self.send_remote(message::LinkMessage::Ask { job, ask }) {
            self.place_here(job);
            return;
        }
        if let Some(entry) = self.pending.borrow_mut().get_mut(&job) {
            entry.queued = false;
        }
    }

    /// A message came from the daemon that places for this one.
    pub fn on_placer_message(&self, message: message::LinkMessage) {
        match message {
            message::LinkMessage::Queued { job } => {
                if let Some(entry) = self.pending.borrow_mut().get_mut(&job) {
                    entry.queued = true;
                }
            }
            message::LinkMessage::Verdict { job, verdict } => self.resolve(job, verdict),
            message::LinkMessage::Moved { placer } => {
                log::info!(target: "sardinepaddle", placer:% = placer; "placing daemon moved");
                self.rank.borrow_mut().reset_backoff(&placer);
                *self.moved.borrow_mut() = Some(placer);
                self.moves.notify_one();
            }
            _ => log::warn!(target: "sardinepaddle",
                "message dropped: not one of a placing daemon"),
        }
    }

    /// A daemon connected to have its requests placed here.
    pub fn add_follower(&self, life: u64, sender: mpsc::UnboundedSender<message::LinkMessage>) {
        self.followers.borrow_mut().connect(life, sender);
        self.share_budget();
    }

    fn share_budget(&self) {
        let daemons = self.rank.borrow().daemons().len().max(1) as f64;
        let alone = self.followers.borrow().is_empty();
        let share = if alone {
            ALONE_SHARE / daemons
        } else {
            REPEAT_SHARE
        };
        self.placer.borrow_mut().set_retry_share(share);
    }

    /// A connection of such a daemon is over.
    pub fn drop_follower(
        &self,
        host: &ids::HostId,
        life: u64,
        sender: &mpsc::UnboundedSender<message::LinkMessage>,
    ) {
        if !self.followers.borrow_mut().disconnect(life, sender) {
            log::info!(target: "sardinepaddle", daemon:% = host, life;
                "old connection over: the daemon has a newer one");
            return;
        }
        self.sights.borrow_mut().remove(host);
        self.share_budget();
        self.placer
            .borrow_mut()
            .cancel_incarnation(self.now(), life);
        self.sweep();
    }

    /// A message came from a daemon whose requests this one places.
    pub fn on_follower_message(&self, life: u64, message: message::LinkMessage) {
        let now = self.now();
        match message {
            message::LinkMessage::Running(jobs) => {
                let mut placer = self.placer.borrow_mut();
                for running in jobs {
                    placer.adopt(now, &running);
                }
            }
            message::LinkMessage::Ask { job, ask } => {
                self.placer.borrow_mut().submit(now, job, ask);
                let waits = !self.placer.borrow().has_decision(job);
                self.pass_verdicts();
                if waits {
                    // A follower that is gone takes its asks along.
                    let queued = message::LinkMessage::Queued { job };
                    self.followers.borrow().send(life, queued);
                }
            }
            message::LinkMessage::Withdraw { job } => {
                self.placer.borrow_mut().cancel(now, job);
            }
            message::LinkMessage::FirstEvent { job } => {
                self.placer.borrow_mut().first_event(now, job);
            }
            message::LinkMessage::End { job, end } => {
                self.placer.borrow_mut().end(now, job, &end);
            }
            _ => {
                log::warn!(target: "sardinepaddle", life; "message dropped: not one of a follower")
            }
        }
    }
}
