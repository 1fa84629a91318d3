//! A stand-in plain service that counts what it ran: the witness for at most once.

use std::collections;
use std::fs;
use std::io;
use std::io::Write;
use std::net;
use std::path;
use std::sync;
use std::time::Duration;

use axum::routing;
use model::millis;
use serde::{Deserialize, Serialize};

use crate::serve;

/// Header that names the operation of a call.
pub const OPERATION_HEADER: &str = "x-operation-id";
/// Header with the time that the call takes after its effect, in milliseconds.
pub const DELAY_HEADER: &str = "x-fake-delay-ms";

/// What a stand-in plain service saw.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PlainWitness {
    /// How often each operation ran.
    pub runs: collections::BTreeMap<String, u64>,
    /// When the last call came, in milliseconds since 1970.
    pub last_call_ms: u64,
}

#[derive(Debug, Default)]
struct PlainState {
    witness: PlainWitness,
    journal: Option<fs::File>,
}

type SharedPlain = sync::Arc<sync::Mutex<PlainState>>;

/// A stand-in plain service that runs until it is dropped.
#[derive(Debug)]
pub struct FakePlain {
    server: serve::ServerTask,
}

impl FakePlain {
    /// Starts a plain service. With a journal it keeps its count beyond its own death.
    pub async fn start(address: net::SocketAddr, journal: Option<&path::Path>) -> io::Result<Self> {
        let mut state = PlainState::default();
        if let Some(path) = journal {
            state.witness.runs = read_journal(path)?;
            let file = fs::File::options().append(true).create(true).open(path)?;
            state.journal = Some(file);
        }
        let router = axum::Router::new()
            .route("/fake/witness", routing::get(witness))
            .fallback(run)
            .with_state(SharedPlain::new(sync::Mutex::new(state)));
        let server = serve::start(address, router).await?;
        Ok(Self { server })
    }

    /// Address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Waits for the service's end.
    pub async fn wait(self) {
        self.server.wait().await;
    }
}

/// Counts the runs in a journal, of which each line names an operation.
pub fn read_journal(path: &path::Path) -> io::Result<collections::BTreeMap<String, u64>> {
    let mut runs = collections::BTreeMap::new();
    if !path.exists() {
        return Ok(runs);
    }
    for operation in fs::read_to_string(path)?.lines() {
        *runs.entry(operation.to_owned()).or_default() += 1;
    }
    Ok(runs)
}

async fn witness(
    axum::extract::State(shared): axum::extract::State<SharedPlain>,
) -> axum::Json<PlainWitness> {
    let state = shared.lock().unwrap_or_else(sync::PoisonError::into_inner);
    axum::Json(state.witness.clone())
}

/// Answer to a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlainReply {
    /// The operation that was run.
    pub operation: String,
    /// How often it has run.
    pub run: u64,
}

async fn run(
    axum::extract::State(shared): axum::extract::State<SharedPlain>,
    headers: http::HeaderMap,
) -> axum::Json<PlainReply> {
    let operation = text(&headers, OPERATION_HEADER)
        .unwrap_or_default()
        .to_owned();
    let run = count(&shared, &operation);
    // The effect comes first, so that a call broken off while it waits has run.
    let delay = text(&headers, DELAY_HEADER).and_then(|text| text.parse().ok());
    tokio::time::sleep(Duration::from_millis(delay.unwrap_or(0))).await;
    axum::Json(PlainReply { operation, run })
}

fn count(shared: &SharedPlain, operation: &str) -> u64 {
    let mut state = shared.lock().unwrap_or_else(sync::PoisonError::into_inner);
    if let Some(journal) = &mut state.journal
        && let Err(error) = journal.write_all(format!("{operation}\n").as_bytes())
    {
        panic!("the journal cannot be written: {error}");
    }
    state.witness.last_call_ms = millis::since_epoch();
    let runs = state.witness.runs.entry(operation.to_owned()).or_default();
    *runs += 1;
    *runs
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
