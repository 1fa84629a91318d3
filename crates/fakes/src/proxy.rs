//! A TCP proxy that injects faults into one link.

use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use axum::routing;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::serve;

/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 << 10;

/// The fault of a link.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkFault {
    /// None.
    #[default]
    None,
    /// Open connections are closed, and new ones too.
    Cut,
    /// Connections open now go silent for good; new ones work.
    Freeze,
    /// All connections go silent, new ones too.
    Blackhole,
    /// Bytes are held back for so many milliseconds.
    Delay(u64),
    /// Requests pass and answers are dropped. A connection that lost bytes is reset at the end of the
    /// fault, or as it ends: TCP never continues a connection after a gap.
    DropAnswers,
}

/// State told to all connections.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    fault: LinkFault,
    /// Connections numbered up to here are frozen.
    frozen_to: u64,
}

/// A proxy that runs until it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: net::SocketAddr,
    control: ProxyControl,
    task: task::JoinHandle<()>,
}

/// Changes the fault of a link.
#[derive(Clone, Debug)]
pub struct ProxyControl {
    state: sync::Arc<watch::Sender<LinkState>>,
    opened: sync::Arc<sync::atomic::AtomicU64>,
    moved: sync::Arc<MovedBytes>,
}

/// Bytes that went through a link, as TCP payload.
#[derive(Debug, Default)]
struct MovedBytes {
    requests: sync::atomic::AtomicU64,
    answers: sync::atomic::AtomicU64,
}

/// What went through a link since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkWitness {
    /// Connections opened.
    pub opened: u64,
    /// Bytes towards the target.
    pub request_bytes: u64,
    /// Bytes back from it.
    pub answer_bytes: u64,
}

impl ProxyControl {
    /// What went through the link.
    pub fn witness(&self) -> LinkWitness {
        let load = |count: &sync::atomic::AtomicU64| count.load(sync::atomic::Ordering::SeqCst);
        LinkWitness {
            opened: load(&self.opened),
            request_bytes: load(&self.moved.requests),
            answer_bytes: load(&self.moved.answers),
        }
    }

    /// Sets the fault.
    pub fn set(&self, fault: LinkFault) {
        let opened = self.opened.load(sync::atomic::Ordering::SeqCst);
        self.state.send_modify(|state| {
            state.fault = fault;
            if fault == LinkFault::Freeze {
                state.frozen_to = opened;
            }
        });
    }
}

impl FaultProxy {
    /// Starts a proxy from `address` to `target`.
    pub async fn start(address: net::SocketAddr, target: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let control = ProxyControl {
            state: sync::Arc::new(watch::Sender::new(LinkState::default())),
            opened: sync::Arc::default(),
            moved: sync::Arc::default(),
        };
        let task = tokio::spawn(accept(listener, target, control.clone()));
        Ok(Self {
            address,
            control,
            task,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Changes the fault.
    pub fn control(&self) -> &ProxyControl {
        &self.control
    }

    /// Serves `POST /fault` on `address` until it is dropped.
    pub async fn serve_control(&self, address: net::SocketAddr) -> io::Result<serve::ServerTask> {
        let router = axum::Router::new()
            .route("/fault", routing::post(set_fault))
            .with_state(self.control.clone());
        serve::start(address, router).await
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn set_fault(
    axum::extract::State(control): axum::extract::State<ProxyControl>,
    axum::Json(fault): axum::Json<LinkFault>,
) -> http::StatusCode {
    control.set(fault);
    http::StatusCode::OK
}

async fn accept(listener: tokio::net::TcpListener, target: net::SocketAddr, control: ProxyControl) {
    loop {
        let Ok((inbound, _)) = listener.accept().await else {
            continue;
        };
        if control.state.borrow().fault == LinkFault::Cut {
            continue;
        }
        let number = control.opened.fetch_add(1, sync::atomic::Ordering::SeqCst) + 1;
        tokio::spawn(link(inbound, target, number, control.clone()));
    }
}

/// Some bytes of a connection were dropped, so it can't go on.
struct BytesLost;

type Result<T> = std::result::Result<T, BytesLost>;

async fn link(
    mut inbound: tokio::net::TcpStream,
    target: net::SocketAddr,
    number: u64,
    control: ProxyControl,
) {
    let state = control.state.subscribe();
    let Ok(mut outbound) = tokio::net::TcpStream::connect(target).await else {
        return;
    };
    // Only latency suffers if the options cannot be set.
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (caller_read, caller_write) = inbound.split();
    let (target_read, target_write) = outbound.split();
    let mut cut = state.clone();
    let requests = pump(
        caller_read,
        target_write,
        PumpState {
            number,
            state: state.clone(),
            moved: control.moved.clone(),
            answers: false,
        },
    );
    let answers = pump(
        target_read,
        caller_write,
        PumpState {
            number,
            state,
            moved: control.moved.clone(),
            answers: true,
        },
    );
    tokio::select! {
        _ = async { tokio::try_join!(requests, answers) } => {}
        _ = cut.wait_for(|state| state.fault == LinkFault::Cut) => {}
    }
}

struct PumpState {
    number: u64,
    state: watch::Receiver<LinkState>,
    moved: sync::Arc<MovedBytes>,
    answers: bool,
}

impl PumpState {
    fn count(&self, bytes: usize) {
        let counter = if self.answers {
            &self.moved.answers
        } else {
            &self.moved.requests
        };
        counter.fetch_add(bytes as u64, sync::atomic::Ordering::SeqCst);
    }

    fn is_silent(&self) -> bool {
        let state = self.state.borrow();
        state.fault == LinkFault::Blackhole || self.number <= state.frozen_to
    }

    /// Waits until bytes are no longer dropped.
    async fn passes_answers(&mut self) {
        // An error means that the proxy is gone.
        let _ = self
            .state
            .wait_for(|state| state.fault != LinkFault::DropAnswers)
            .await;
    }

    /// Waits while the connection is silent; a frozen one stays so for good.
    async fn hold(&mut self) {
        while self.is_silent() {
            if self.state.changed().await.is_err() {
                return;
            }
        }
    }
}

async fn pump(
    mut from: tcp::ReadHalf<'_>,
    mut to: tcp::WriteHalf<'_>,
    mut pump: PumpState,
) -> Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut has_lost = false;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = pump.passes_answers(), if has_lost => return Err(BytesLost),
        };
        let Ok(count) = read else {
            pump.hold().await;
            return Ok(());
        };
        pump.hold().await;
        if count == 0 && !has_lost {
            // The other direction may still have bytes to move.
            let _ = to.shutdown().await;
            return Ok(());
        }
        pump.count(count);
        let fault = pump.state.borrow().fault;
        match fault {
            LinkFault::DropAnswers if pump.answers && count > 0 => {
                has_lost = true;
                // The receiver sees an error, not the end, whatever closes the connection.
                let _ = to.as_ref().set_zero_linger();
                continue;
            }
            _ if has_lost => return Err(BytesLost),
            LinkFault::Delay(millis) => time::sleep(Duration::from_millis(millis)).await,
            _ => {}
        }
        pump.hold().await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return Ok(());
        }
    }
}
