//! A stand-in host list that lags behind what it was told.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use axum::response::IntoResponse;
use axum::routing;
use objects::wire;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::serve;

/// Listings told, each with the time from which it is shown.
#[derive(Debug, Default)]
struct HostsState {
    shown: wire::HostListing,
    /// Rises with each listing shown; its tag.
    revision: u64,
    /// Whether listings carry a tag.
    tagged: bool,
    witness: HostsWitness,
    coming: collections::VecDeque<ComingListing>,
}

/// Calls that the host list answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostsWitness {
    /// Listings sent in full.
    pub full: u64,
    /// Calls told that nothing has changed.
    pub unchanged: u64,
}

#[derive(Debug)]
struct ComingListing {
    at: time::Instant,
    listing: wire::HostListing,
}

#[derive(Clone)]
struct HostsHandle {
    state: sync::Arc<sync::Mutex<HostsState>>,
    lag: Duration,
}

impl HostsHandle {
    fn lock(&self) -> sync::MutexGuard<'_, HostsState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A stand-in host list that runs until it is dropped.
#[derive(Debug)]
pub struct FakeHosts {
    server: serve::ServerTask,
}

impl FakeHosts {
    /// Starts a host list that shows `listing` at once and later ones after `lag`.
    pub async fn start(
        address: net::SocketAddr,
        listing: wire::HostListing,
        lag: Duration,
    ) -> io::Result<Self> {
        let state = HostsState {
            shown: listing,
            tagged: true,
            ..HostsState::default()
        };
        let handle = HostsHandle {
            state: sync::Arc::new(sync::Mutex::new(state)),
            lag,
        };
        let router = axum::Router::new()
            .route(wire::HOSTS_PATH, routing::get(show))
            .route("/fake/listing", routing::put(tell))
            .route("/fake/tagged", routing::put(set_tagged))
            .route("/fake/witness", routing::get(witness))
            .with_state(handle);
        let server = serve::start(address, router).await?;
        Ok(Self { server })
    }

    /// Address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Waits for the host list's end.
    pub async fn wait(self) {
        self.server.wait().await;
    }
}

async fn show(
    axum::extract::State(handle): axum::extract::State<HostsHandle>,
    headers: http::HeaderMap,
) -> axum::response::Response {
    let mut state = handle.lock();
    let now = time::Instant::now();
    while state.coming.front().is_some_and(|coming| coming.at <= now) {
        if let Some(coming) = state.coming.pop_front() {
            state.shown = coming.listing;
            state.revision += 1;
        }
    }
    if !state.tagged {
        state.witness.full += 1;
        return axum::Json(&state.shown).into_response();
    }
    let tag = format!("\"{}\"", state.revision);
    let known = headers.get(http::header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        state.witness.unchanged += 1;
        return http::StatusCode::NOT_MODIFIED.into_response();
    }
    state.witness.full += 1;
    ([(http::header::ETAG, tag)], axum::Json(&state.shown)).into_response()
}

/// Sets whether listings carry a tag; not every platform gives one.
async fn set_tagged(
    axum::extract::State(handle): axum::extract::State<HostsHandle>,
    axum::Json(tagged): axum::Json<bool>,
) -> http::StatusCode {
    handle.lock().tagged = tagged;
    http::StatusCode::OK
}

async fn witness(
    axum::extract::State(handle): axum::extract::State<HostsHandle>,
) -> axum::Json<HostsWitness> {
    axum::Json(handle.lock().witness)
}

async fn tell(
    axum::extract::State(handle): axum::extract::State<HostsHandle>,
    axum::Json(listing): axum::Json<wire::HostListing>,
) -> http::StatusCode {
    let at = time::Instant::now() + handle.lag;
    handle
        .lock()
        .coming
        .push_back(ComingListing { at, listing });
    http::StatusCode::OK
}
