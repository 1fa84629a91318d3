//! Keeps quarantines in the platform's store, for daemons that start while no other one runs.

use std::rc;
use std::time::Duration;

use platform::store;
use pool::replica;
use tokio::time;

use crate::state;
use crate::store_cache;

/// Backoff after a failed call.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of attempts to write a quarantine; the daemons have it in any case.
const MAX_WRITES: usize = 20;

/// Reads the quarantines that the store has, until that has succeeded.
pub(crate) async fn restore(state: rc::Rc<state::DaemonState>) {
    let mut client = store::StoreClient::new(state.settings().store);
    let batch = loop {
        match client.list_quarantines().await {
            Ok(batch) => break batch,
            Err(error) => {
                state.metrics.store_call("quarantines", "failed");
                log::info!(target: "sardinepaddle", error:% = error;
                    "quarantines not read from the store: retrying");
            }
        }
        time::sleep(RETRY_BACKOFF).await;
    };
    state.metrics.store_call("quarantines", "done");
    let mut objects = Vec::new();
    for entry in batch.entries {
        match serde_json::from_slice::<replica::ReplicaObject>(&entry.spec) {
            Ok(object) if store_cache::StoreCache::is_quarantine(&object) => objects.push(object),
            Ok(object) => {
                log::warn!(target: "sardinepaddle", kind = object.kind, name = entry.name;
                "object of another kind skipped")
            }
            Err(error) => log::warn!(target: "sardinepaddle", name = entry.name, error:% = error;
                "invalid quarantine in the store skipped"),
        }
    }
    log::info!(target: "sardinepaddle", quarantines = objects.len();
        "quarantines read from the store");
    state.apply(objects, "store");
    state.set_quarantines_restored();
}

/// Writes a quarantine, or the end of one, to the store.
pub(crate) async fn save(state: rc::Rc<state::DaemonState>, object: replica::ReplicaObject) {
    let spec = match serde_json::to_string(&object) {
        Ok(spec) => spec,
        Err(error) => {
            log::warn!(target: "sardinepaddle", error:% = error; "quarantine can't be encoded");
            return;
        }
    };
    // Combinations of parts are joined by a character that has a meaning in URLs.
    let name = object.name.replace('+', "-");
    let mut client = store::StoreClient::new(state.settings().store);
    for _ in 0..MAX_WRITES {
        match client.put_quarantine(&name, &spec).await {
            Ok(()) => {
                state.metrics.store_call("quarantines", "done");
                return;
            }
            Err(error) => {
                state.metrics.store_call("quarantines", "failed");
                log::info!(target: "sardinepaddle", name, error:% = error;
                    "quarantine not written to the store: retrying");
            }
        }
        time::sleep(RETRY_BACKOFF).await;
    }
    log::warn!(target: "sardinepaddle", name; "quarantine not written to the store: giving up");
}
