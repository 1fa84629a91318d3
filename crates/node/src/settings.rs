//! Settings of the state machine.

use std::net;

use model::ids;
use model::peer;

/// What a [`crate::machine::NodeMachine`] knows of itself from the start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This daemon as its peers know it.
    pub entry: peer::HostEntry,
    /// This life of the daemon. Must differ from every earlier life of any daemon.
    pub incarnation: ids::NodeIncarnation,
    /// Seed of all random choices.
    pub seed: u64,
    /// Wall clock at the origin of the monotonic clock, in milliseconds since 1970.
    pub wall_origin_ms: u64,
    /// Number of objects among which claims are divided. The same on every daemon.
    pub claim_shards: u32,
    /// Most requests in flight at this daemon.
    pub max_in_flight: usize,
}

/// Builds [`NodeSettings`].
#[derive(Clone, Debug)]
pub struct NodeBuilder {
    settings: NodeSettings,
}

impl NodeBuilder {
    const DEFAULT_CLAIM_SHARDS: u32 = 16;
    const DEFAULT_MAX_IN_FLIGHT: usize = 4_000;

    /// Starts from a daemon's name, data centre and address for peers.
    pub fn new(host: ids::HostId, data_centre: ids::CentreId, address: net::SocketAddr) -> Self {
        let entry = peer::HostEntry {
            host,
            data_centre,
            peer_address: address,
            admin_address: address,
            leaving: false,
        };
        let settings = NodeSettings {
            entry,
            incarnation: ids::NodeIncarnation(1),
            seed: 0,
            wall_origin_ms: 0,
            claim_shards: Self::DEFAULT_CLAIM_SHARDS,
            max_in_flight: Self::DEFAULT_MAX_IN_FLIGHT,
        };
        Self { settings }
    }

    /// Sets the address for operators.
    pub fn admin_address(mut self, address: net::SocketAddr) -> Self {
        self.settings.entry.admin_address = address;
        self
    }

    /// Sets this life of the daemon.
    pub fn incarnation(mut self, incarnation: ids::NodeIncarnation) -> Self {
        self.settings.incarnation = incarnation;
        self
    }

    /// Sets the seed of all random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.settings.seed = seed;
        self
    }

    /// Sets the wall clock at the origin of the monotonic clock, in milliseconds since 1970.
    pub fn wall_origin_ms(mut self, millis: u64) -> Self {
        self.settings.wall_origin_ms = millis;
        self
    }

    /// Sets the number of claim shards.
    pub fn claim_shards(mut self, shards: u32) -> Self {
        self.settings.claim_shards = shards.max(1);
        self
    }

    /// Sets the most requests in flight.
    pub fn max_in_flight(mut self, requests: usize) -> Self {
        self.settings.max_in_flight = requests;
        self
    }

    /// Finishes the settings.
    pub fn build(self) -> NodeSettings {
        self.settings
    }
}
