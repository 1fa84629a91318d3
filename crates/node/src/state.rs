//! State of the machine, with the helpers that all systems share.

use std::collections;
use std::sync;

use model::config;
use model::delta;
use model::ids;
use model::map;
use model::peer;
use model::store;
use model::time;
use rand::SeedableRng;
use rand::rngs;

use crate::action;
use crate::settings;
use crate::stats;
use crate::tables::claim;
use crate::tables::endpoint;
use crate::tables::ledger;
use crate::tables::member;
use crate::tables::queue;
use crate::tables::request;

/// Configuration in force on this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigView {
    pub version: config::ConfigVersion,
    pub config: Option<sync::Arc<config::FleetConfig>>,
    /// Latest changes, oldest first; each is based on the version before it.
    pub deltas: collections::VecDeque<sync::Arc<delta::ConfigDelta>>,
    /// Newest version announced by a peer.
    pub newest_announced: config::ConfigVersion,
    /// Time of the last message from the object API or a peer.
    pub last_contact_at: time::MonoTime,
    /// Time of the last message from the object API.
    pub store_last_contact_at: time::MonoTime,
    /// Whether the process was paused and the configuration has not been confirmed since by a
    /// reply to a request sent after the pause.
    pub unverified: bool,
    /// Whether this daemon watches the object API for configuration changes.
    pub holds_watch: bool,
    /// Membership generation and whether roles are accepted, as of the last watcher selection.
    pub watch_inputs: Option<(u64, bool)>,
    /// Object API call that reads the configuration, if one is in flight.
    pub pending_read: Option<store::CallId>,
    pub next_read_at: time::MonoTime,
}

/// A probe that has not been answered.
#[derive(Clone, Debug)]
pub(crate) struct PendingProbe {
    pub target: ids::HostId,
    pub sent_at: time::MonoTime,
    /// Whether other members were asked to probe the target too.
    pub relay_requested: bool,
    /// Requester to which the reply is forwarded.
    pub relay_for: Option<RelayedProbe>,
}

/// A probe sent on behalf of another daemon.
#[derive(Clone, Debug)]
pub(crate) struct RelayedProbe {
    pub requester: ids::HostId,
    /// Number of the requester's own probe.
    pub number: u64,
}

/// State of the membership system.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    pub pending: collections::BTreeMap<u64, PendingProbe>,
    /// Number of the last probe sent.
    pub last_number: u64,
    pub next_probe_at: time::MonoTime,
    /// Time of the next read of the host list.
    pub next_list_at: time::MonoTime,
    /// Members not yet probed in this round, in random order.
    pub round: Vec<ids::HostId>,
    /// Whether the host list has been read by this incarnation.
    pub host_list_read: bool,
    /// Revision of this daemon's own member update.
    pub revision: u64,
    /// Number of further messages that carry this daemon's own update.
    pub own_remaining_gossip: u32,
}

/// A cancellation that the engine has not confirmed.
#[derive(Clone, Debug)]
pub(crate) struct CancelEntry {
    pub endpoint: ids::EndpointId,
    /// Time at which the cancellation is next sent.
    pub next_send_at: time::MonoTime,
    /// Number of times it was sent.
    pub tries: u32,
}

/// A stream on an engine that seems to have no reader or no live sender.
#[derive(Clone, Debug)]
pub(crate) struct SuspectedOrphan {
    pub endpoint: ids::EndpointId,
    /// Whether a connection reads the stream, in the last load report.
    pub attached: bool,
    /// Time since which it has been a suspect with this value of `attached`.
    pub since: time::MonoTime,
}

/// State of the drain system.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainState {
    pub started_at: Option<time::MonoTime>,
    /// Last readiness reported to the driver.
    pub published_readiness: Option<bool>,
    pub exited: bool,
}

/// Complete state of the machine.
#[derive(Clone, Debug)]
pub(crate) struct NodeState {
    pub settings: settings::NodeSettings,
    pub now: time::MonoTime,
    pub started_at: time::MonoTime,
    pub incarnation: ids::NodeIncarnation,
    pub rng: rngs::SmallRng,
    pub members: member::MemberTable,
    pub probes: ProbeState,
    pub config: ConfigView,
    pub requests: request::RequestTable,
    pub endpoints: endpoint::EndpointTable,
    pub queues: queue::QueueTable,
    pub ledgers: ledger::LedgerTable,
    pub claims: claim::ClaimTable,
    pub cancels: map::HashMap<ids::AttemptId, CancelEntry>,
    pub suspected_orphans: map::HashMap<ids::AttemptId, SuspectedOrphan>,
    /// Token bucket that limits retries.
    pub retry_tokens: f64,
    pub drain: DrainState,
    pub stats: stats::NodeStats,
    pub actions: Vec<action::NodeAction>,
    /// Messages from this daemon to itself.
    pub loopback: collections::VecDeque<peer::PeerMessage>,
}

impl NodeState {
    pub fn new(settings: settings::NodeSettings, now: time::MonoTime) -> Self {
        let incarnation = settings.incarnation;
        let rng = rngs::SmallRng::seed_from_u64(settings.seed);
        let config = ConfigView {
            last_contact_at: now,
            store_last_contact_at: now,
            ..ConfigView::default()
        };
        Self {
            settings,
            now,
            started_at: now,
            incarnation,
            rng,
            members: member::MemberTable::default(),
            probes: ProbeState {
                own_remaining_gossip: crate::systems::membership::GOSSIP_TRANSMISSIONS,
                ..ProbeState::default()
            },
            config,
            requests: request::RequestTable::default(),
            endpoints: endpoint::EndpointTable::default(),
            queues: queue::QueueTable::default(),
            ledgers: ledger::LedgerTable::default(),
            claims: claim::ClaimTable::default(),
            cancels: map::HashMap::default(),
            suspected_orphans: map::HashMap::default(),
            retry_tokens: crate::systems::retry::MAX_RETRY_TOKENS,
            drain: DrainState::default(),
            stats: stats::NodeStats::default(),
            actions: Vec::new(),
            loopback: collections::VecDeque::new(),
        }
    }

    /// Returns this daemon's host.
    pub fn host(&self) -> &ids::HostId {
        &self.settings.entry.host
    }

    /// Adds an action for the driver.
    pub fn emit(&mut self, action: action::NodeAction) {
        self.actions.push(action);
    }

    /// Writes a record to the log.
    pub fn log(&mut self, record: action::LogRecord) {
        self.emit(action::NodeAction::WriteLog(record));
    }

    /// Sends a message to a host, which may be this one. Messages to unknown hosts are dropped.
    pub fn send(&mut self, host: &ids::HostId, message: peer::PeerMessage) {
        if host == self.host() {
            self.loopback.push_back(message);
            return;
        }
        let Some(member) = self.members.get(host) else {
            return;
        };
        let to = member.update.entry.peer_address;
        self.send_to(to, message);
    }

    /// Sends a message to an address.
    pub fn send_to(&mut self, to: std::net::SocketAddr, message: peer::PeerMessage) {
        let envelope = peer::PeerEnvelope {
            from: self.host().clone(),
            incarnation: self.incarnation,
            reply_to: self.settings.entry.peer_address,
            message,
        };
        self.stats.peer_messages += 1;
        self.emit(action::NodeAction::SendPeer { to, envelope });
    }

    /// Calls the object API and returns the number of the call.
    pub fn call_store(&mut self, body: store::StoreCall) -> store::CallId {
        self.claims.last_call_number += 1;
        let call = store::CallId(self.claims.last_call_number);
        self.stats.store_calls += 1;
        self.emit(action::NodeAction::CallStore { call, body });
        call
    }

    /// Returns the wall clock time, in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        self.settings.wall_origin_ms + self.now.as_millis()
    }

    /// Whether this daemon accepts roles, which it does until it drains.
    pub fn accepts_roles(&self) -> bool {
        self.drain.started_at.is_none()
    }

    /// Returns the usable hosts of a data centre, or of all, including this one.
    pub fn usable_hosts(&self, centre: Option<&ids::CentreId>) -> Vec<ids::HostId> {
        let own = &self.settings.entry;
        let mut hosts = Vec::new();
        if self.accepts_roles() && centre.is_none_or(|centre| own.data_centre == *centre) {
            hosts.push(own.host.clone());
        }
        for member in self.members.usable() {
            let entry = &member.update.entry;
            if centre.is_none_or(|centre| entry.data_centre == *centre) {
                hosts.push(entry.host.clone());
            }
        }
        hosts
    }

    /// Returns the usable hosts in their order of preference for a role, the preferred one first.
    pub fn rank_hosts(&self, centre: Option<&ids::CentreId>, role: &str) -> Vec<ids::HostId> {
        let mut hosts = self.usable_hosts(centre);
        hosts.sort_by_cached_key(|host| std::cmp::Reverse(member::role_weight(host, role)));
        hosts
    }

    /// Returns the coordinator of an endpoint: a daemon of the endpoint's data centre, or any
    /// daemon if that data centre has none.
    pub fn coordinator_of(
        &self,
        id: &ids::EndpointId,
        entry: &config::EndpointEntry,
    ) -> Option<ids::HostId> {
        let mut hosts = self.usable_hosts(Some(&entry.data_centre));
        if hosts.is_empty() {
            hosts = self.usable_hosts(None);
        }
        hosts
            .into_iter()
            .max_by_key(|host| member::role_weight(host, id.as_str()))
    }

    /// Whether any endpoint of a service accepts new work.
    pub fn has_available_endpoint(&self, service: &ids::ServiceId) -> bool {
        let Some(config) = &self.config.config else {
            return false;
        };
        let mut service_endpoints = config
            .endpoints
            .iter()
            .filter(|(_, entry)| entry.service == *service);
        service_endpoints.any(|(id, entry)| self.accepts_work(id, entry))
    }

    /// Whether an endpoint accepts new work: it and its data centre are in service, and the
    /// platform doesn't list it as leaving.
    pub fn accepts_work(&self, id: &ids::EndpointId, entry: &config::EndpointEntry) -> bool {
        let Some(config) = &self.config.config else {
            return false;
        };
        let centre_in_service = config
            .data_centres
            .get(&entry.data_centre)
            .is_some_and(|centre| centre.state == config::ServiceState::InService);
        let endpoint_in_service = entry.state == config::ServiceState::InService;
        centre_in_service && endpoint_in_service && !self.endpoints.leaving.contains(id)
    }
}
