//! Systems: one module per concern, run in a fixed order each tick.

pub(crate) mod admission;
pub(crate) mod claims;
pub(crate) mod class_limits;
pub(crate) mod config;
pub(crate) mod drain;
pub(crate) mod engine_sets;
pub(crate) mod fair_shares;
pub(crate) mod grants;
pub(crate) mod membership;
pub(crate) mod placement;
pub(crate) mod queues;
pub(crate) mod reclaim;
pub(crate) mod retry;
pub(crate) mod shards;
pub(crate) mod votes;
