//! Finds out whether this daemon is cut off from all endpoints.
//!
//! An endpoint that can't be reached may have failed, or the path from this host may have: only
//! other endpoints tell which. While none can be reached, some are tried at an interval.

use std::cell;
use std::pin;
use std::rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use model::ids;
use model::serving;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use tokio::task;
use tokio::time;

use crate::sockets;
use crate::state;
use crate::upstream;

/// Number of other endpoints that are tried first if one can't be reached, and at each interval.
const FIRST_ENDPOINTS: usize = 3;
/// Time for which only these are tried: at most a few round trips.
const FIRST_WAIT: Duration = Duration::from_millis(150);
/// Number of endpoints that are tried if these can't be reached either: many endpoints may have failed
/// at the same time.
const MAX_ENDPOINTS: usize = 64;
/// Time after a connection to an endpoint in which the path is not tried again, ms: when an endpoint
/// ends, many requests fail at once.
const RECENT_MS: f64 = 100.0;
/// Interval at which endpoints are tried while none can be reached.
const PROBE_PERIOD: Duration = Duration::from_millis(300);

/// What is known of the path to the endpoints.
#[derive(Debug)]
pub(crate) struct EndpointReach {
    /// Time of the last connection to an endpoint, ms.
    connected_at: cell::Cell<f64>,
    cut_off: cell::Cell<bool>,
    /// Whether [`check`] is trying other endpoints.
    checking: cell::Cell<bool>,
    checked: tokio::sync::Notify,
}

impl Default for EndpointReach {
    fn default() -> Self {
        Self {
            connected_at: cell::Cell::new(f64::NEG_INFINITY),
            cut_off: cell::Cell::new(false),
            checking: cell::Cell::new(false),
            checked: tokio::sync::Notify::new(),
        }
    }
}

impl EndpointReach {
    /// Whether no endpoint could be reached when that was last tried.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.get()
    }

    /// Records a new connection to an endpoint.
    pub fn record_connected(&self, now: f64) {
        self.connected_at.set(now);
        if self.cut_off.replace(false) {
            log::info!(target: "sardinepaddle", "endpoints reachable again");
        }
    }
}

/// Finds out whether this daemon is cut off, after an endpoint did not respond.
pub(crate) async fn check(state: &rc::Rc<state::DaemonState>, failed: &ids::EndpointId) {
    let reach = &state.reach;
    if reach.is_cut_off() || state.now() - reach.connected_at.get() < RECENT_MS {
        return;
    }
    if reach.checking.replace(true) {
        reach.checked.notified().await;
        return;
    }
    let _guard = CheckGuard(state.clone());
    let started_at = state.now();
    let others = others(state, failed);
    if others.is_empty() || reaches_first(state, &others).await || reaches_any(state, &others).await
    {
        return;
    }
    // A request may have connected in the meantime.
    if reach.connected_at.get() < started_at && !reach.cut_off.replace(true) {
        log::warn!(target: "sardinepaddle", endpoint:% = failed, others = others.len();
            "no endpoint reachable from this host");
        task::spawn_local(probe(state.clone()));
    }
}

/// Ends a check, also if its request is dropped first.
struct CheckGuard(rc::Rc<state::DaemonState>);

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.0.reach.checking.set(false);
        self.0.reach.checked.notify_waiters();
    }
}

/// Returns some endpoints that accept requests, apart from one, in random order.
fn others(state: &state::DaemonState, failed: &ids::EndpointId) -> Vec<serving::LiveEndpoint> {
    let mut others = state.cache().endpoints();
    others.retain(|live| live.id != *failed);
    others.shuffle(&mut rand::rng());
    others.truncate(MAX_ENDPOINTS);
    others
}

/// Whether one of the first endpoints can be reached within a few round trips.
async fn reaches_first(state: &state::DaemonState, endpoints: &[serving::LiveEndpoint]) -> bool {
    let first = &endpoints[..endpoints.len().min(FIRST_ENDPOINTS)];
    let reached = time::timeout(FIRST_WAIT, reaches_any(state, first)).await;
    reached.unwrap_or(false)
}

/// Whether one of some endpoints can be reached.
async fn reaches_any(state: &state::DaemonState, endpoints: &[serving::LiveEndpoint]) -> bool {
    let attempts: stream::FuturesUnordered<_> = endpoints
        .iter()
        .map(|live| sockets::dial(live.address, upstream::CONNECT_TIMEOUT))
        .collect();
    let mut connected = pin::pin!(attempts.filter_map(async |stream| stream.ok()));
    let is_connected = connected.next().await.is_some();
    if is_connected {
        state.reach.record_connected(state.now());
    }
    is_connected
}

/// Tries some endpoints at an interval until one can be reached.
async fn probe(state: rc::Rc<state::DaemonState>) {
    while state.reach.is_cut_off() {
        time::sleep(PROBE_PERIOD).await;
        let endpoints = state.cache().endpoints();
        let chosen = endpoints.choose_multiple(&mut rand::rng(), FIRST_ENDPOINTS);
        reaches_any(&state, &chosen.cloned().collect::<Vec<_>>()).await;
    }
}
