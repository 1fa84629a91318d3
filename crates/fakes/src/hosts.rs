//! A stand-in host list that lags behind what it was told.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use axum::routing;
use platform::wire;
use tokio::time;

use crate::serve;

/// Listings told, each with the time from which it is shown.
#[derive(Debug, Default)]
struct HostsState {
    shown: wire::HostListing,
    coming: collections::VecDeque<ComingListing>,
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
            coming: collections::VecDeque::new(),
        };
        let handle = HostsHandle {
            state: sync::Arc::new(sync::Mutex::new(state)),
            lag,
        };
        let router = axum::Router::new()
            .route(wire::HOSTS_PATH, routing::get(show))
            .route("/fake/listing", routing::put(tell))
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
) -> axum::Json<wire::HostListing> {
    let mut state = handle.lock();
    let now = time::Instant::now();
    while state.coming.front().is_some_and(|coming| coming.at <= now) {
        if let Some(coming) = state.coming.pop_front() {
            state.shown = coming.listing;
        }
    }
    axum::Json(state.shown.clone())
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
