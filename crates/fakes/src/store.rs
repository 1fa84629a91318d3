//! A stand-in object API: versions, conditional updates, watches, outages, lost answers.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use axum::response::IntoResponse;
use axum::routing;
use model::store;
use objects::wire;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

use crate::serve;

/// Largest value, in bytes.
const VALUE_BYTES: usize = 1 << 20;
/// Time for which a call hangs during an outage before its connection would be given up.
const HANG: Duration = Duration::from_secs(30);

/// Faults that a stand-in object API shows.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// No call is answered or takes effect.
    pub outage: bool,
    /// Added to each call, in milliseconds.
    pub latency_ms: u64,
    /// Writes, from now on, that take effect and whose answers are lost.
    pub lose_writes: u32,
    /// Watches are held and never answered.
    pub silent_watch: bool,
}

/// Calls counted by kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreWitness {
    /// Reads.
    pub reads: u64,
    /// Writes, whether or not they took effect.
    pub writes: u64,
    /// Writes whose version was not the expected one.
    pub conflicts: u64,
    /// Removals.
    pub removes: u64,
    /// Listings.
    pub lists: u64,
    /// Waiting watches begun.
    pub watches: u64,
}

#[derive(Default)]
struct StoreState {
    objects: collections::BTreeMap<String, VersionedObject>,
    revision: u64,
    faults: StoreFaults,
    witness: StoreWitness,
}

#[derive(Clone)]
struct VersionedObject {
    version: u64,
    value: String,
}

#[derive(Clone)]
struct StoreHandle {
    state: sync::Arc<sync::Mutex<StoreState>>,
    revision: sync::Arc<watch::Sender<u64>>,
}

impl StoreHandle {
    fn lock(&self) -> sync::MutexGuard<'_, StoreState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn faults(&self) -> StoreFaults {
        self.lock().faults.clone()
    }

    /// Shows latency and outages.
    async fn delay(&self) {
        let faults = self.faults();
        time::sleep(Duration::from_millis(faults.latency_ms)).await;
        if self.faults().outage {
            time::sleep(HANG).await;
        }
    }
}

/// A stand-in object API that runs until it is dropped.
#[derive(Debug)]
pub struct FakeStore {
    server: serve::ServerTask,
}

impl FakeStore {
    /// Starts an object API without objects.
    pub async fn start(address: net::SocketAddr) -> io::Result<Self> {
        let handle = StoreHandle {
            state: sync::Arc::default(),
            revision: sync::Arc::new(watch::Sender::new(0)),
        };
        let router = axum::Router::new()
            .route("/v1/objects/", routing::get(list))
            .route(
                "/v1/objects/{*name}",
                routing::get(read).put(write).delete(remove),
            )
            .route("/v1/watch/{*name}", routing::get(wait))
            .route("/fake/faults", routing::post(set_faults))
            .route("/fake/witness", routing::get(witness))
            .layer(axum::extract::DefaultBodyLimit::max(VALUE_BYTES))
            .with_state(handle);
        let server = serve::start(address, router).await?;
        Ok(Self { server })
    }

    /// Address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Waits for the object API's end.
    pub async fn wait(self) {
        self.server.wait().await;
    }
}

fn found(object: &VersionedObject) -> axum::response::Response {
    let tag = format!("\"{}\"", object.version);
    ([(http::header::ETAG, tag)], object.value.clone()).into_response()
}

async fn read(
    axum::extract::State(handle): axum::extract::State<StoreHandle>,
    axum::extract::Path(name): axum::extract::Path<String>,
) -> axum::response::Response {
    handle.delay().await;
    let mut state = handle.lock();
    state.witness.reads += 1;
    match state.objects.get(&name) {
        Some(object) => found(object),
        None => http::StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write(
    axum::extract::State(handle): axum::extract::State<StoreHandle>,
    axum::extract::Path(name): axum::extract::Path<String>,
    headers: http::HeaderMap,
    value: String,
) -> axum::response::Response {
    handle.delay().await;
    let Some(expected) = expected(&headers) else {
        return http::StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let (response, lost) = {
        let mut state = handle.lock();
        state.witness.writes += 1;
        let current = state.objects.get(&name).map_or(0, |object| object.version);
        if current != expected {
            state.witness.conflicts += 1;
            return http::StatusCode::PRECONDITION_FAILED.into_response();
        }
        state.revision += 1;
        let object = VersionedObject {
            version: state.revision,
            value,
        };
        let response = found(&object);
        state.objects.insert(name, object);
        handle.revision.send_replace(state.revision);
        let lost = state.faults.lose_writes > 0;
        state.faults.lose_writes = state.faults.lose_writes.saturating_sub(1);
        (response, lost)
    };
    if lost {
        time::sleep(HANG).await;
    }
    response
}

fn expected(headers: &http::HeaderMap) -> Option<u64> {
    if headers.contains_key(http::header::IF_NONE_MATCH) {
        return Some(0);
    }
    let tag = headers.get(http::header::IF_MATCH)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

async fn remove(
    axum::extract::State(handle): axum::extract::State<StoreHandle>,
    axum::extract::Path(name): axum::extract::Path<String>,
) -> http::StatusCode {
    handle.delay().await;
    let mut state = handle.lock();
    state.witness.removes += 1;
    state.objects.remove(&name);
    state.revision += 1;
    handle.revision.send_replace(state.revision);
    http::StatusCode::OK
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list(
    axum::extract::State(handle): axum::extract::State<StoreHandle>,
    axum::extract::Query(query): axum::extract::Query<ListQuery>,
) -> axum::Json<Vec<wire::ListedObject>> {
    handle.delay().await;
    let mut state = handle.lock();
    state.witness.lists += 1;
    let fitting = state
        .objects
        .iter()
        .filter(|(name, _)| name.starts_with(&query.prefix));
    let listed = fitting.map(|(name, object)| wire::ListedObject {
        name: name.clone(),
        version: store::ObjectVersion(object.version),
    });
    axum::Json(listed.collect())
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

async fn wait(
    axum::extract::State(handle): axum::extract::State<StoreHandle>,
    axum::extract::Path(name): axum::extract::Path<String>,
    axum::extract::Query(query): axum::extract::Query<WatchQuery>,
) -> axum::response::Response {
    handle.delay().await;
    handle.lock().witness.watches += 1;
    let mut revision = handle.revision.subscribe();
    let until = time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let faults = handle.faults();
        if faults.outage || faults.silent_watch {
            time::sleep(HANG).await;
        }
        let newer = handle
            .lock()
            .objects
            .get(&name)
            .filter(|object| object.version > query.after)
            .cloned();
        if let Some(object) = newer {
            return found(&object);
        }
        if time::timeout_at(until, revision.changed()).await.is_err() {
            return http::StatusCode::NO_CONTENT.into_response();
        }
    }
}

async fn set_faults(
    axum::extract::State(handle): axum::extract::State<StoreHandle>,
    axum::Json(faults): axum::Json<StoreFaults>,
) -> http::StatusCode {
    handle.lock().faults = faults;
    http::StatusCode::OK
}

async fn witness(
    axum::extract::State(handle): axum::extract::State<StoreHandle>,
) -> axum::Json<StoreWitness> {
    axum::Json(handle.lock().witness.clone())
}
