//! What the daemons spent on control.

use std::net;

use fakes::caller;
use fakes::plain;
use serde::Serialize;

/// Messages, bytes and calls of all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct ControlCost {
    pub peer_messages: u64,
    pub peer_bytes: u64,
    pub store_calls: u64,
    pub grants_given: u64,
    pub grants_denied: u64,
}

impl ControlCost {
    /// What was spent since an earlier reading.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            peer_messages: self.peer_messages.saturating_sub(before.peer_messages),
            peer_bytes: self.peer_bytes.saturating_sub(before.peer_bytes),
            store_calls: self.store_calls.saturating_sub(before.store_calls),
            grants_given: self.grants_given.saturating_sub(before.grants_given),
            grants_denied: self.grants_denied.saturating_sub(before.grants_denied),
        }
    }
}

/// Reads the counts of the daemons.
pub(crate) async fn read(admins: &[net::SocketAddr]) -> ControlCost {
    let mut cost = ControlCost::default();
    for admin in admins {
        let status = caller::get_json::<serde_json::Value>(*admin, "/status").await;
        let status = status.unwrap_or_default();
        let count = |name: &str| status["stats"][name].as_u64().unwrap_or(0);
        cost.peer_messages += count("peer_messages");
        cost.store_calls += count("store_calls");
        cost.grants_given += count("grants_given");
        cost.grants_denied += count("grants_denied");
        let control = &status["control"];
        cost.peer_bytes += control["peer_sent_bytes"].as_u64().unwrap_or(0);
    }
    cost
}

/// Operations that ran more than once, by the plain service's own count.
pub(crate) async fn doubled(plain: net::SocketAddr) -> u64 {
    let witness = caller::get_json::<plain::PlainWitness>(plain, "/fake/witness").await;
    let runs = witness.unwrap_or_default().runs;
    runs.values().filter(|count| **count > 1).count() as u64
}
