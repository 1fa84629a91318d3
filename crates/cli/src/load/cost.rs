//! What the daemons spent on control.

use std::net;

use fakes::caller;
use fakes::plain;
use http_body_util::BodyExt;
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
        cost.peer_bytes += sent_bytes(*admin).await.unwrap_or(0);
    }
    cost
}

/// Bytes sent to peers, from the metrics.
async fn sent_bytes(admin: net::SocketAddr) -> Option<u64> {
    let request = http::Request::get("/metrics")
        .header(http::header::HOST, admin.to_string())
        .body(http_body_util::Full::new(bytes::Bytes::new()))
        .ok()?;
    let response = caller::exchange(admin, request).await?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let text = String::from_utf8_lossy(&body);
    let line = text
        .lines()
        .find(|line| line.starts_with("peer_bytes") && line.contains("direction=\"sent\""))?;
    let value = line.rsplit(' ').next()?.parse::<f64>().ok()?;
    Some(value as u64)
}

/// Operations that ran more than once, by the plain service's own count.
pub(crate) async fn doubled(plain: net::SocketAddr) -> u64 {
    let witness = caller::get_json::<plain::PlainWitness>(plain, "/fake/witness").await;
    let runs = witness.unwrap_or_default().runs;
    runs.values().filter(|count| **count > 1).count() as u64
}
