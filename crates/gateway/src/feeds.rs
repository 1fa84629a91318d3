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

use crate::world;

/// Share of the time in which a kind must be known everywhere that a watch waits at most.
const WAIT_SHARE: f64 = 0.4;
/// Shares of that time after which a daemon that is told nothing follows the store by itself: the
/// first to do so tells the others, so that they need not.
const STALE_SHARES: (f64, f64) = (0.55, 0.85);
/// Pause after news, so that what changes together comes in one answer.
const NEWS_PAUSE: Duration = Duration::from_millis(100);
/// The same for endpoints, as a share of the time in which they must be known everywhere: their signs
/// of life are news of some kind at all times.
const ENDPOINT_NEWS_SHARE: f64 = 0.13;
/// Time in which the list of daemons is to be known everywhere, ms: those that are missing only
/// place for themselves.
const DAEMONS_BOUND_MS: f64 = 10_000.0;
/// Time between two looks at whether to follow.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after a failed call for daemons that follow for none but themselves: the store
/// bears, and counts, calls of all of them.
const LONGEST_PAUSE: Duration = Duration::from_millis(6_000);
/// First and longest pause after a failed call.
const RETRY_PAUSES: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Lateness of a watch's answer from which the store counts as having been away, ms.
const LATE_ANSWER_MS: f64 = 700.0;
/// Time after the store's return for which removals of endpoints are held back, ms: entries that
/// lapsed meanwhile are back within two seconds if the endpoint lives.
const LAPSE_HOLD_MS: f64 = 2_200.0;
/// Shortest and longest time that a watch waits while removals are held, ms: they are dropped
/// between two calls, and not by a call for each that is due.
const HELD_WAIT_MS: (f64, f64) = (20.0, 60_000.0);

/// One kind as it is followed.
struct ObjectFeed {
    world: rc::Rc<world::DaemonWorld>,
    kind: catalog::ObjectKind,
    client: store::StoreClient,
    /// Revision to go on from; `None` if the kind has to be listed.
    revision: Option<u64>,
    /// Whether it has been listed in this life.
    listed: bool,
    away: bool,
    /// When the store was back after it had been away.
    back_at: f64,
    /// Removals held back, by names.
    held: map::HashMap<String, HeldRemoval>,
}

/// A removal that may be a lapse.
#[derive(Clone, Copy, Debug)]
struct HeldRemoval {
    /// When it counts, ms.
    until: f64,
    revision: u64,
}

/// Follows all kinds until the process ends.
pub(crate) fn start(world: &rc::Rc<world::DaemonWorld>) {
    for kind in catalog::ObjectKind::ALL {
        let feed = ObjectFeed {
            world: world.clone(),
            kind,
            client: store::StoreClient::new(world.settings().store),
            revision: None,
            listed: false,
            away: false,
            back_at: f64::NEG_INFINITY,
            held: map::HashMap::default(),
        };
        tokio::task::spawn_local(feed.run());
    }
}

/// Lists this daemon in the store, and tries until it is.
pub(crate) async fn enlist(world: rc::Rc<world::DaemonWorld>, spec: String) {
    let mut client = store::StoreClient::new(world.settings().store);
    let (mut pause, longest) = RETRY_PAUSES;
    let kind = catalog::ObjectKind::Daemons;
    let host = world.settings().host.clone();
    loop {
        match client.put(kind, host.as_str(), &spec).await {
            Ok(()) => {
                world.metrics.store_call("enlist", "done");
                log::info!(target: "sardinepaddle", entry = spec; "listed in the store");
                return;
            }
            Err(error) => {
                world.metrics.store_call("enlist", "failed");
                log::warn!(target: "sardinepaddle", error:% = error; "not listed in the store yet");
            }
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(longest);
    }
}

impl ObjectFeed {
    async fn run(mut self) {
        let (first, longest) = RETRY_PAUSES;
        let mut pause = first;
        loop {
            self.drop_held();
            if !self.follows() {
                time::sleep(IDLE_PAUSE).await;
                continue;
            }
            match self.step().await {
                Ok(news) => {
                    pause = first;
                    if news {
                        time::sleep(self.news_pause()).await;
                    }
                }
                Err(error) => {
                    self.note_failure(&error);
                    time::sleep(pause).await;
                    let longest = if self.world.leads() {
                        longest
                    } else {
                        LONGEST_PAUSE
                    };
                    pause = (pause * 2).min(longest);
                }
            }
        }
    }

    /// Time in which changes of this kind must be known everywhere, ms.
    fn bound_ms(&self) -> f64 {
        let settings = self.world.settings();
        match self.kind {
            catalog::ObjectKind::Config => settings.bounds.config_ms,
            catalog::ObjectKind::Endpoints => settings.bounds.endpoints_ms,
            catalog::ObjectKind::Emptied => settings.bounds.emptied_ms,
            catalog::ObjectKind::Daemons => DAEMONS_BOUND_MS,
        }
    }

    fn news_pause(&self) -> Duration {
        match self.kind {
            catalog::ObjectKind::Endpoints => {
                millis::to_duration(ENDPOINT_NEWS_SHARE * self.bound_ms()).max(NEWS_PAUSE)
            }
            _ => NEWS_PAUSE,
        }
    }

    fn follows(&self) -> bool {
        let world = &self.world;
        if world.is_leaving() {
            return false;
        }
        let (first, last) = STALE_SHARES;
        let share = first + (last - first) * (world.life % 16) as f64 / 16.0;
        let stale = world.age(self.kind) > share * self.bound_ms();
        // While the store is away one kind asks for all whether it is back.
        let hopeless = self.kind != catalog::ObjectKind::Config && world.lost_config();
        (world.leads() || stale) && !hopeless
    }

    /// Makes one call; says whether it brought news.
    async fn step(&mut self) -> store::Result<bool> {
        match self.revision {
            None => self.list().await,
            Some(revision) => self.watch(revision).await,
        }
    }

    async fn list(&mut self) -> store::Result<bool> {
        // The first list may be old: what changed since is told by other daemons, or by a watch.
        let age = match self.listed {
            false => store::ReadAge::Any,
            true => store::ReadAge::Newest,
        };
        let batch = self.client.list(self.kind, age).await?;
        self.listed = true;
        if age == store::ReadAge::Newest {
            self.note_answer();
        }
        self.log_skipped(&batch.skipped);
        let present: Vec<&str> = batch
            .entries
            .iter()
            .map(|entry| entry.name.as_str())
            .collect();
        let names = self.world.known().names(self.kind);
        let missing = names
            .into_iter()
            .filter(|name| !present.contains(&name.as_str()));
        let missing: Vec<String> = missing.collect();
        let objects = batch.entries.into_iter();
        let objects = objects.map(|entry| self.object(entry)).collect();
        self.revision = Some(batch.revision);
        self.world.apply(objects, "store");
        for name in missing {
            self.remove(name, batch.revision);
        }
        self.world.note_listed(self.kind);
        Ok(false)
    }

    async fn watch(&mut self, revision: u64) -> store::Result<bool> {
        let asked_at = self.world.now();
        let wait = self.watch_wait();
        let batch = match self.client.watch(self.kind, revision, wait).await {
            Err(store::StoreError::HistoryGone) => {
                log::info!(target: "sardinepaddle", kind = self.kind.name(), revision;
                    "history is gone: listing anew");
                self.world
                    .metrics
                    .store_call(self.kind.name(), "history_gone");
                self.revision = None;
                return Ok(false);
            }
            batch => batch?,
        };
        let late = self.world.now() - asked_at - millis::from_duration(wait);
        self.away = self.away || late > LATE_ANSWER_MS;
        self.note_answer();
        self.log_skipped(&batch.skipped);
        self.revision = Some(batch.revision);
        let news = !batch.entries.is_empty();
        let mut objects = Vec::new();
        for event in batch.entries {
            if event.removed {
                let revision = event.object.revision.max(revision + 1);
                self.remove(event.object.name, revision);
            } else {
                objects.push(self.object(event.object));
            }
        }
        self.world.apply(objects, "store");
        Ok(news)
    }

    fn watch_wait(&self) -> Duration {
        let now = self.world.now();
        let due = self.held.values().map(|removal| removal.until);
        let due = due.fold(f64::INFINITY, f64::min);
        let (shortest, longest) = HELD_WAIT_MS;
        let until_due = millis::to_duration((due - now).clamp(shortest, longest));
        let wait = millis::to_duration(WAIT_SHARE * self.bound_ms());
        wait.min(until_due)
    }

    fn object(&mut self, stored: store::StoredObject) -> replica::ReplicaObject {
        if self.held.remove(&stored.name).is_some() {
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
    fn remove(&mut self, name: String, revision: u64) {
        let until = self.back_at + LAPSE_HOLD_MS;
        if self.kind == catalog::ObjectKind::Endpoints && self.world.now() < until {
            log::info!(target: "sardinepaddle", endpoint = name, revision;
                "entry lapsed with the store: held for its return");
            self.held.insert(name, HeldRemoval { until, revision });
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
        self.world.apply(vec![object], "store");
    }

    /// Takes in the removals that have been held long enough.
    fn drop_held(&mut self) {
        let now = self.world.now();
        let due = self.held.iter().filter(|(_, removal)| removal.until <= now);
        let due: Vec<(String, u64)> = due
            .map(|(name, removal)| (name.clone(), removal.revision))
            .collect();
        for (name, revision) in due {
            self.held.remove(&name);
            log::info!(target: "sardinepaddle", endpoint = name, revision;
                "lapsed entry did not come back");
            self.apply_removal(name, revision);
        }
    }

    fn note_answer(&mut self) {
        let kind = self.kind.name();
        self.world.metrics.store_call(kind, "done");
        log::debug!(target: "sardinepaddle", kind, leads:% = self.world.leads(),
            revision = self.revision.unwrap_or_default(); "store answered");
        self.world.note_fresh(self.kind);
        self.world.note_sight(self.kind, true);
        if self.away {
            self.away = false;
            self.back_at = self.world.now();
            log::info!(target: "sardinepaddle", kind; "store is back");
        }
    }

    fn note_failure(&mut self, error: &store::StoreError) {
        let kind = self.kind.name();
        self.world.metrics.store_call(kind, "failed");
        self.world.note_sight(self.kind, false);
        log::debug!(target: "sardinepaddle", kind, leads:% = self.world.leads(), error:% = error;
            "store call failed");
        if !self.away {
            self.away = true;
            let age = self.world.age(self.kind);
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
