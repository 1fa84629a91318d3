//! A stand-in model engine: batches, holds memory, honours priorities, starts cold.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use axum::response::IntoResponse;
use axum::response::sse;
use axum::routing;
use engine::wire;
use model::ids;
use model::load;
use model::millis;
use model::request;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time;
use xxhash_rust::xxh3;

use crate::serve;

/// Time between two rounds of the batch.
const ROUND: Duration = Duration::from_millis(5);
/// Bytes of prompt text counted as one token.
const TOKEN_BYTES: usize = 4;
/// Time between two events that only tell that work goes on.
const PROGRESS_PERIOD: Duration = Duration::from_millis(100);
/// Pieces that wait for a slow reader.
const PIECE_QUEUE: usize = 4_096;
/// Time between two entries of the load history.
const HISTORY_PERIOD: Duration = Duration::from_millis(20);

/// How a stand-in engine behaves.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineModel {
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Prompt tokens that it reads in a second, over all requests.
    pub prefill_rate: f64,
    /// Tokens that it generates in a second for one request alone.
    pub decode_rate: f64,
    /// Requests that it carries while cold; it falls over under more.
    pub cold_slots: u32,
    /// Requests that it must finish to be warm.
    pub cold_work: u32,
    /// Age of the load that it reports, in milliseconds.
    pub report_lag_ms: u64,
    /// How much faster than real time it runs.
    pub time_scale: f64,
    /// Whether it is warm from the start.
    pub starts_warm: bool,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            slots: 16,
            memory_tokens: 400_000,
            prefill_rate: 40_000.0,
            decode_rate: 60.0,
            cold_slots: 2,
            cold_work: 6,
            report_lag_ms: 200,
            time_scale: 1.0,
            starts_warm: false,
        }
    }
}

/// What a stand-in engine saw.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineWitness {
    /// Requests taken.
    pub admitted: u64,
    /// Requests refused for lack of room.
    pub refused: u64,
    /// Requests answered in full.
    pub finished: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Times that it fell over under more than it can carry while cold.
    pub overruns: u64,
    /// Most requests at once while cold.
    pub most_while_cold: u32,
    /// Tokens of memory in use.
    pub used_tokens: u64,
    /// Attempts that hold memory.
    pub streams: Vec<ids::AttemptId>,
    /// When the last request was taken, in milliseconds since 1970.
    pub last_admitted_ms: u64,
    /// Whether it is cold.
    pub cold: bool,
}

struct StreamEntry {
    attempt: ids::AttemptId,
    tokens: u64,
    priority: u32,
    prefill_left: f64,
    credit: f64,
    next: u64,
    end: u64,
    digest: u64,
    /// The part held for a set, until it is joined.
    part: Option<HeldPart>,
    pieces: Option<mpsc::Sender<StreamPiece>>,
    progressed_at: time::Instant,
}

impl StreamEntry {
    /// Whether it has read its prompt and is not one of a set's parts.
    fn generates(&self) -> bool {
        self.prefill_left <= 0.0 && self.part.is_none()
    }
}

/// A part of a prompt, and whether it was exported.
#[derive(Clone, Copy)]
struct HeldPart {
    part: request::PromptPart,
    digest: u64,
    exported: bool,
}

enum StreamPiece {
    Progress,
    Export(request::KvExport),
    Text { offset: u64, text: String },
    Done,
}

struct EngineState {
    model: EngineModel,
    incarnation: u64,
    streams: Vec<StreamEntry>,
    warmth: u32,
    leaving: bool,
    history: collections::VecDeque<LoadSample>,
    witness: EngineWitness,
}

struct LoadSample {
    at: time::Instant,
    load: load::EngineLoad,
}

type SharedEngine = sync::Arc<sync::Mutex<EngineState>>;

/// A stand-in engine that runs until it is dropped.
#[derive(Debug)]
pub struct FakeEngine {
    server: serve::ServerTask,
    batch: tokio::task::JoinHandle<()>,
}

impl FakeEngine {
    /// Starts an engine.
    pub async fn start(address: net::SocketAddr, model: EngineModel) -> io::Result<Self> {
        let state = EngineState {
            warmth: if model.starts_warm {
                model.cold_work
            } else {
                0
            },
            model,
            incarnation: rand::random(),
            streams: Vec::new(),
            leaving: false,
            history: collections::VecDeque::new(),
            witness: EngineWitness::default(),
        };
        let shared = SharedEngine::new(sync::Mutex::new(state));
        let batch = tokio::spawn(run_batch(shared.clone()));
        let router = axum::Router::new()
            .route(wire::COMPLETIONS_PATH, routing::post(complete))
            .route(wire::CANCEL_PATH, routing::post(cancel))
            .route(wire::LOAD_PATH, routing::get(report))
            .route("/fake/witness", routing::get(witness))
            .route("/fake/cold", routing::post(turn_cold))
            .route("/fake/leaving", routing::post(leave))
            .layer(axum::extract::DefaultBodyLimit::disable())
            .with_state(shared);
        let server = serve::start(address, router).await?;
        Ok(Self { server, batch })
    }

    /// Address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Waits for the engine's end.
    pub async fn wait(&mut self) {
        // Only an error ends the batch.
        let _ = (&mut self.batch).await;
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.batch.abort();
    }
}

/// The text of one piece of the answer to a prompt.
pub fn piece_text(digest: u64, offset: u64) -> String {
    let word = xxh3::xxh3_64_with_seed(&offset.to_le_bytes(), digest);
    format!("{:08x} ", word & 0xffff_ffff)
}

/// Digest of a prompt, on which its answer depends.
pub fn prompt_digest(prompt: &wire::PromptBody) -> u64 {
    match prompt {
        wire::PromptBody::Text(text) => xxh3::xxh3_64(text.as_bytes()),
        wire::PromptBody::Tokens(tokens) => {
            let mut hasher = xxh3::Xxh3::new();
            for token in tokens {
                hasher.update(&token.to_le_bytes());
            }
            hasher.digest()
        }
    }
}

fn lock(shared: &SharedEngine) -> sync::MutexGuard<'_, EngineState> {
    shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl EngineState {
    fn is_cold(&self) -> bool {
        self.warmth < self.model.cold_work
    }

    fn used_tokens(&self) -> u64 {
        self.streams.iter().map(|stream| stream.tokens).sum()
    }

    fn load(&self) -> load::EngineLoad {
        let streams = self.streams.iter().map(|stream| load::EngineStream {
            attempt: stream.attempt,
            tokens: stream.tokens,
            attached: stream
                .pieces
                .as_ref()
                .is_some_and(|pieces| !pieces.is_closed()),
        });
        load::EngineLoad {
            incarnation: self.incarnation,
            slots: self.model.slots,
            memory_tokens: self.model.memory_tokens,
            used_tokens: self.used_tokens(),
            leaving: self.leaving,
            streams: streams.collect(),
        }
    }

    fn has_room(&self, tokens: u64) -> bool {
        let slots = self.streams.len() < self.model.slots as usize;
        slots && self.used_tokens() + tokens <= self.model.memory_tokens
    }

    /// Takes a request, or a part of one, if there is room.
    fn admit(
        &mut self,
        request: &wire::EngineRequest<'_>,
        pieces: mpsc::Sender<StreamPiece>,
    ) -> http::StatusCode {
        let prompt_tokens = request.prompt.token_count(TOKEN_BYTES as u32);
        let read = request
            .part
            .map_or(prompt_tokens, |part| part.to - part.from);
        let generates = request.part.is_none_or(|part| part.leads);
        let tokens = read + if generates { request.max_tokens } else { 0 };
        if !self.has_room(tokens) {
            self.witness.refused += 1;
            return http::StatusCode::TOO_MANY_REQUESTS;
        }
        self.witness.admitted += 1;
        self.witness.last_admitted_ms = millis::since_epoch();
        let part = request.part.map(|part| HeldPart {
            part,
            digest: part_digest(&request.prompt, &part),
            exported: false,
        });
        self.streams.push(StreamEntry {
            attempt: request.attempt,
            tokens,
            priority: request.priority,
            prefill_left: (read + request.resume_offset) as f64,
            credit: 0.0,
            next: request.resume_offset,
            end: request.max_tokens,
            digest: prompt_digest(&request.prompt),
            part,
            pieces: Some(pieces),
            progressed_at: time::Instant::now(),
        });
        self.note_cold();
        http::StatusCode::OK
    }

    /// Joins the exports of other engines with the part held here and generates over them all.
    fn join(
        &mut self,
        request: &wire::EngineRequest<'_>,
        pieces: mpsc::Sender<StreamPiece>,
    ) -> http::StatusCode {
        let held = self
            .streams
            .iter_mut()
            .find(|stream| stream.attempt == request.attempt);
        let Some((stream, part)) = held.and_then(|stream| stream.part.map(|part| (stream, part)))
        else {
            return http::StatusCode::CONFLICT;
        };
        let right = |export: &request::KvExport| {
            export.digest == part_digest(&request.prompt, &export.part)
        };
        let mut parts = request
            .exports
            .iter()
            .map(|export| export.part)
            .collect::<Vec<_>>();
        parts.push(part.part);
        let whole = covers(parts, request.prompt.token_count(TOKEN_BYTES as u32));
        if !whole || !part.exported || !request.exports.iter().all(right) {
            return http::StatusCode::CONFLICT;
        }
        stream.part = None;
        stream.pieces = Some(pieces);
        http::StatusCode::OK
    }

    /// Notes a new request while cold; the engine falls over under more than it can carry.
    fn note_cold(&mut self) {
        if !self.is_cold() {
            return;
        }
        let carried = u32::try_from(self.streams.len()).unwrap_or(u32::MAX);
        self.witness.most_while_cold = self.witness.most_while_cold.max(carried);
        if carried > self.model.cold_slots {
            self.witness.overruns += 1;
            self.fall_over();
        }
    }

    fn fall_over(&mut self) {
        self.streams.clear();
        self.incarnation = self.incarnation.wrapping_add(1);
        self.warmth = 0;
    }
}

async fn complete(
    axum::extract::State(shared): axum::extract::State<SharedEngine>,
    axum::Json(request): axum::Json<wire::EngineRequest<'static>>,
) -> axum::response::Response {
    let (pieces, received) = mpsc::channel(PIECE_QUEUE);
    let status = {
        let mut state = lock(&shared);
        if request.exports.is_empty() {
            state.admit(&request, pieces)
        } else {
            state.join(&request, pieces)
        }
    };
    if status != http::StatusCode::OK {
        return status.into_response();
    }
    answer(request.attempt, request.model.to_string(), received)
}

/// Digest of the tokens of a part of a prompt.
fn part_digest(prompt: &wire::PromptBody, part: &request::PromptPart) -> u64 {
    let from = usize::try_from(part.from).unwrap_or(usize::MAX);
    let to = usize::try_from(part.to).unwrap_or(usize::MAX);
    match prompt {
        wire::PromptBody::Text(text) => {
            let bytes = text.as_bytes();
            let end = (to * TOKEN_BYTES).min(bytes.len());
            xxh3::xxh3_64(&bytes[(from * TOKEN_BYTES).min(end)..end])
        }
        wire::PromptBody::Tokens(tokens) => {
            let end = to.min(tokens.len());
            prompt_digest(&wire::PromptBody::Tokens(
                tokens[from.min(end)..end].to_vec(),
            ))
        }
    }
}

/// Whether parts, in any order, cover a prompt without a gap or an overlap.
fn covers(mut parts: Vec<request::PromptPart>, tokens: u64) -> bool {
    parts.sort_by_key(|part| part.from);
    let mut next = 0;
    for part in parts {
        if part.from != next {
            return false;
        }
        next = part.to;
    }
    next == tokens
}

fn answer(
    attempt: ids::AttemptId,
    model: String,
    mut received: mpsc::Receiver<StreamPiece>,
) -> axum::response::Response {
    let events = async_stream::stream! {
        while let Some(piece) = received.recv().await {
            match piece {
                StreamPiece::Progress => {
                    yield Ok(sse::Event::default().event(wire::PROGRESS_EVENT).data("{}"));
                }
                StreamPiece::Export(export) => {
                    yield sse::Event::default().event(wire::EXPORT_EVENT).json_data(&export);
                }
                StreamPiece::Text { offset, text } => {
                    let chunk =
                        wire::CompletionChunk::new(attempt.to_string(), &model, Some(offset), &text, false);
                    yield sse::Event::default().json_data(&chunk);
                }
                StreamPiece::Done => {
                    yield Ok(sse::Event::default().data(wire::DONE_DATA));
                    return;
                }
            }
        }
        // Without the last event the caller sees that the engine broke off.
        yield Err(axum::Error::new(io::Error::other("engine fell over")));
    };
    sse::Sse::new(events).into_response()
}

async fn cancel(
    axum::extract::State(shared): axum::extract::State<SharedEngine>,
    axum::Json(request): axum::Json<wire::CancelRequest>,
) -> http::StatusCode {
    let mut state = lock(&shared);
    state
        .streams
        .retain(|stream| stream.attempt != request.attempt);
    state.witness.cancelled += 1;
    http::StatusCode::OK
}

async fn report(
    axum::extract::State(shared): axum::extract::State<SharedEngine>,
) -> axum::Json<load::EngineLoad> {
    let state = lock(&shared);
    let lag = Duration::from_millis(state.model.report_lag_ms);
    let now = time::Instant::now();
    let sample = state
        .history
        .iter()
        .rev()
        .find(|sample| now - sample.at >= lag);
    axum::Json(sample.map_or_else(|| state.load(), |sample| sample.load.clone()))
}

async fn witness(
    axum::extract::State(shared): axum::extract::State<SharedEngine>,
) -> axum::Json<EngineWitness> {
    let state = lock(&shared);
    let mut witness = state.witness.clone();
    witness.used_tokens = state.used_tokens();
    witness.streams = state.streams.iter().map(|stream| stream.attempt).collect();
    witness.cold = state.is_cold();
    axum::Json(witness)
}

async fn turn_cold(
    axum::extract::State(shared): axum::extract::State<SharedEngine>,
) -> http::StatusCode {
    lock(&shared).warmth = 0;
    http::StatusCode::OK
}

async fn leave(
    axum::extract::State(shared): axum::extract::State<SharedEngine>,
) -> http::StatusCode {
    lock(&shared).leaving = true;
    http::StatusCode::OK
}

async fn run_batch(shared: SharedEngine) {
    let mut rounds = time::interval(ROUND);
    rounds.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut last = time::Instant::now();
    loop {
        rounds.tick().await;
        let now = time::Instant::now();
        let span = (now - last).as_secs_f64();
        last = now;
        let mut state = lock(&shared);
        let scaled = span * state.model.time_scale;
        prefill(&mut state, scaled);
        decode(&mut state, scaled);
        remember(&mut state, now);
    }
}

/// Reads prompts, the most urgent first, in pieces.
fn prefill(state: &mut EngineState, span: f64) {
    let mut budget = state.model.prefill_rate * span;
    let mut order = (0..state.streams.len()).collect::<Vec<_>>();
    order.sort_by_key(|index| state.streams[*index].priority);
    for index in order {
        let stream = &mut state.streams[index];
        if stream.prefill_left > 0.0 {
            let part = stream.prefill_left.min(budget);
            stream.prefill_left -= part;
            budget -= part;
            tell_progress(stream);
        } else if stream.part.is_some() {
            export(stream);
            tell_progress(stream);
        }
    }
}

fn tell_progress(stream: &mut StreamEntry) {
    let now = time::Instant::now();
    if now - stream.progressed_at >= PROGRESS_PERIOD {
        stream.progressed_at = now;
        send(stream, StreamPiece::Progress);
    }
}

/// Exports a part that has been read, once.
fn export(stream: &mut StreamEntry) {
    let attempt = stream.attempt;
    let Some(held) = stream.part.as_mut().filter(|held| !held.exported) else {
        return;
    };
    held.exported = true;
    let export = request::KvExport {
        attempt,
        part: held.part,
        digest: held.digest,
    };
    send(stream, StreamPiece::Export(export));
}

/// Generates for all that have read their prompts; the more there are, the slower.
fn decode(state: &mut EngineState, span: f64) {
    let active = state
        .streams
        .iter()
        .filter(|stream| stream.generates())
        .count();
    let load = active as f64 / f64::from(state.model.slots.max(1));
    let rate = state.model.decode_rate / (1.0 + load);
    let mut finished = 0;
    state.streams.retain_mut(|stream| {
        if !stream.generates() || stream.pieces.is_none() {
            return true;
        }
        stream.credit += rate * span;
        while stream.credit >= 1.0 && stream.next < stream.end && stream.pieces.is_some() {
            stream.credit -= 1.0;
            let offset = stream.next;
            let text = piece_text(stream.digest, offset);
            send(stream, StreamPiece::Text { offset, text });
            stream.next += u64::from(stream.pieces.is_some());
        }
        let done = stream.next >= stream.end;
        if done {
            send(stream, StreamPiece::Done);
        }
        let delivered = done && stream.pieces.is_some();
        finished += u32::from(delivered);
        !delivered
    });
    state.witness.finished += u64::from(finished);
    state.warmth = state
        .warmth
        .saturating_add(finished)
        .min(state.model.cold_work);
}

/// Sends to the reader; one that has gone leaves the stream, and its memory, behind.
fn send(stream: &mut StreamEntry, piece: StreamPiece) {
    if let Some(pieces) = &stream.pieces
        && pieces.try_send(piece).is_err()
    {
        stream.pieces = None;
    }
}

fn remember(state: &mut EngineState, now: time::Instant) {
    let due = state
        .history
        .back()
        .is_none_or(|sample| now - sample.at >= HISTORY_PERIOD);
    if !due {
        return;
    }
    let load = state.load();
    state.history.push_back(LoadSample { at: now, load });
    let lag = Duration::from_millis(state.model.report_lag_ms) + HISTORY_PERIOD * 2;
    while state
        .history
        .front()
        .is_some_and(|sample| now - sample.at > lag)
    {
        state.history.pop_front();
    }
}
