//! All state of the machine, and what every system needs of it.

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

/// The configuration in force here.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigView {
    pub version: config::ConfigVersion,
    pub config: Option<sync::Arc<config::FleetConfig>>,
    /// The changes that led to it, oldest first, each starting from the one before.
    pub deltas: collections::VecDeque<sync::Arc<delta::ConfigDelta>>,
    /// Newest version that a peer has named.
    pub named: config::ConfigVersion,
    /// When the object API or a peer was last heard.
    pub heard_at: time::MonoTime,
    /// When the object API was last heard.
    pub store_heard_at: time::MonoTime,
    /// Whether the daemon was away and only what was asked since then counts.
    pub unverified: bool,
    /// Whether this daemon holds the watch.
    pub watching: bool,
    /// Membership generation, and whether roles are taken, when the watch was last decided.
    pub watch_basis: Option<(u64, bool)>,
    /// Call that reads the configuration, if one is in flight.
    pub read: Option<store::CallId>,
    pub next_read_at: time::MonoTime,
}

/// A probe that has not been answered.
#[derive(Clone, Debug)]
pub(crate) struct PendingProbe {
    pub target: ids::HostId,
    pub sent_at: time::MonoTime,
    /// Whether others were asked to probe too.
    pub relayed: bool,
    /// Whom to tell of the answer, and the number that they gave.
    pub relay_for: Option<RelayedProbe>,
}

/// A probe made on another daemon's behalf.
#[derive(Clone, Debug)]
pub(crate) struct RelayedProbe {
    pub asker: ids::HostId,
    pub number: u64,
}

/// State of the membership system.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    pub pending: collections::BTreeMap<u64, PendingProbe>,
    pub next_number: u64,
    pub next_probe_at: time::MonoTime,
    pub next_list_at: time::MonoTime,
    /// Members still to be probed in this round, in random order.
    pub round: Vec<ids::HostId>,
    /// Whether the host list has been read in this life.
    pub listed: bool,
    /// This daemon's own news.
    pub revision: u64,
    pub own_gossip_left: u32,
}

/// A cancel that its engine has not confirmed.
#[derive(Clone, Debug)]
pub(crate) struct CancelEntry {
    pub endpoint: ids::EndpointId,
    pub next_at: time::MonoTime,
    pub tries: u32,
}

/// A stream on an engine that seems of no use.
#[derive(Clone, Debug)]
pub(crate) struct IdleStream {
    pub endpoint: ids::EndpointId,
    pub attached: bool,
    pub since: time::MonoTime,
}

/// State of the drain system.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainState {
    pub since: Option<time::MonoTime>,
    pub ready_told: Option<bool>,
    pub exited: bool,
}

/// State of the machine.
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
    pub idle_streams: map::HashMap<ids::AttemptId, IdleStream>,
    pub retry_tokens: f64,
    pub drain: DrainState,
    pub stats: stats::NodeStats,
    pub actions: Vec<action::NodeAction>,
    /// Messages of this daemon to itself.
    pub inbox: collections::VecDeque<peer::PeerMessage>,
}

impl NodeState {
    pub fn new(settings: settings::NodeSettings, now: time::MonoTime) -> Self {
        let incarnation = settings.incarnation;
        let rng = rngs::SmallRng::seed_from_u64(settings.seed);
        let config = ConfigView {
            heard_at: now,
            store_heard_at: now,
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
                own_gossip_left: crate::systems::membership::GOSSIP_TRANSMISSIONS,
                ..ProbeState::default()
            },
            config,
            requests: request::RequestTable::default(),
            endpoints: endpoint::EndpointTable::default(),
            queues: queue::QueueTable::default(),
            ledgers: ledger::LedgerTable::default(),
            claims: claim::ClaimTable::default(),
            cancels: map::HashMap::default(),
            idle_streams: map::HashMap::default(),
            retry_tokens: crate::systems::retry::MAX_RETRY_TOKENS,
            drain: DrainState::default(),
            stats: stats::NodeStats::default(),
            actions: Vec::new(),
            inbox: collections::VecDeque::new(),
        }
    }

    /// This daemon's host.
    pub fn host(&self) -> &ids::HostId {
        &self.settings.entry.host
    }

    /// Adds an action.
    pub fn act(&mut self, action: action::NodeAction) {
        self.actions.push(action);
    }

    /// Adds a line to the log.
    pub fn note(&mut self, note: action::NodeNote) {
        self.act(action::NodeAction::WriteNote(note));
    }

    /// Sends a message to a host, or to this daemon itself. Unknown hosts are passed over.
    pub fn send(&mut self, host: &ids::HostId, message: peer::PeerMessage) {
        if host == self.host() {
            self.inbox.push_back(message);
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
        self.act(action::NodeAction::SendPeer { to, envelope });
    }

    /// Calls the object API.
    pub fn call_store(&mut self, body: store::StoreCall) -> store::CallId {
        self.claims.next_call += 1;
        let call = store::CallId(self.claims.next_call);
        self.stats.store_calls += 1;
        self.act(action::NodeAction::CallStore { call, body });
        call
    }

    /// Wall clock in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.settings.wall_origin_ms + self.now.as_millis()
    }

    /// Whether this daemon takes roles.
    pub fn takes_roles(&self) -> bool {
        self.drain.since.is_none()
    }

    /// Usable hosts of a data centre, this one included.
    pub fn usable_in(&self, centre: Option<&ids::CentreId>) -> Vec<ids::HostId> {
        let own = &self.settings.entry;
        let mut hosts = Vec::new();
        if self.takes_roles() && centre.is_none_or(|centre| own.data_centre == *centre) {
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

    /// Hosts in the order in which they take a role, best first.
    pub fn rank(&self, centre: Option<&ids::CentreId>, role: &str) -> Vec<ids::HostId> {
        let mut hosts = self.usable_in(centre);
        hosts.sort_by_cached_key(|host| std::cmp::Reverse(member::role_weight(host, role)));
        hosts
    }

    /// The keeper of an endpoint: a daemon of its data centre, or any if that has none.
    pub fn keeper_of(
        &self,
        id: &ids::EndpointId,
        entry: &config::EndpointEntry,
    ) -> Option<ids::HostId> {
        let mut hosts = self.usable_in(Some(&entry.data_centre));
        if hosts.is_empty() {
            hosts = self.usable_in(None);
        }
        hosts
            .into_iter()
            .max_by_key(|host| member::role_weight(host, id.as_str()))
    }

    /// Whether any endpoint of a service takes new work.
    pub fn has_open_endpoint(&self, service: &ids::ServiceId) -> bool {
        let Some(config) = &self.config.config else {
            return false;
        };
        let mut own = config
            .endpoints
            .iter()
            .filter(|(_, entry)| entry.service == *service);
        own.any(|(id, entry)| self.takes_work(id, entry))
    }

    /// Whether operators and the platform let an endpoint take new work.
    pub fn takes_work(&self, id: &ids::EndpointId, entry: &config::EndpointEntry) -> bool {
        let Some(config) = &self.config.config else {
            return false;
        };
        let centre_open = config
            .data_centres
            .get(&entry.data_centre)
            .is_some_and(|centre| centre.state == config::ServiceState::InService);
        let open = entry.state == config::ServiceState::InService;
        centre_open && open && !self.endpoints.leaving.contains(id)
    }
}
