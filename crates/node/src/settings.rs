//! Settings of the state machine.

use std::net;

use model::ids;
use model::peer;

/// Initial settings of a [`crate::machine::NodeMachine`].
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This daemon's entry in the membership table of its peers.
    pub entry: peer::HostEntry,
    /// First incarnation of this process. Must differ from every earlier incarnation of any daemon.
    pub incarnation: ids::NodeIncarnation,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Wall clock time at the origin of the monotonic clock, in milliseconds since the Unix epoch.
    pub wall_origin_ms: u64,
    /// Number of shards into which claims are divided. Must be the same on every daemon.
    pub claim_shards: u32,
    /// Maximum number of requests in flight at this daemon.
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

    /// Creates a builder from a daemon's host name, data centre and address for peers.
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

    /// Sets the address for operators, by default the address for peers.
    pub fn admin_address(mut self, address: net::SocketAddr) -> Self {
        self.settings.entry.admin_address = address;
        self
    }

    /// Sets the first incarnation of this process.
    pub fn incarnation(mut self, incarnation: ids::NodeIncarnation) -> Self {
        self.settings.incarnation = incarnation;
        self
    }

    /// Sets the seed of the random number generator.
    pub fn seed(mut self, seed: u64) -> Self {
        self.settings.seed = seed;
        self
    }

    /// Sets the wall clock time at the origin of the monotonic clock, in milliseconds since the
    /// Unix epoch.
    pub fn wall_origin_ms(mut self, millis: u64) -> Self {
        self.settings.wall_origin_ms = millis;
        self
    }

    /// Sets the number of claim shards, at least 1.
    pub fn claim_shards(mut self, shards: u32) -> Self {
        self.settings.claim_shards = shards.max(1);
        self
    }

    /// Sets the maximum number of requests in flight.
    pub fn max_in_flight(mut self, requests: usize) -> Self {
        self.settings.max_in_flight = requests;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> NodeSettings {
        self.settings
    }
}
