//! Reservations of endpoint memory for a prompt: renewed while the request runs, and released
//! afterwards.

use std::cell;
use std::net;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use model::ids;
use model::millis;
use platform::endpoint;
use platform::headers;
use pool::job;
use pool::reserve;
use tokio::task;
use tokio::time;

use crate::byte_account;
use crate::state;
use crate::upstream;

/// Interval of renewals: two may be lost before the reservation expires.
const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Maximum size of the reply to an order, bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Timeout of an order, the call that reserves or releases memory on an endpoint.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between attempts to release a reservation.
const RELEASE_RETRY_PERIOD: Duration = Duration::from_millis(200);

/// A reservation on one endpoint.
#[derive(Clone, Debug)]
struct MemoryReservation {
    target: OrderTarget,
    id: String,
    tokens: u64,
}

/// An incarnation of an endpoint that gets orders.
#[derive(Clone, Debug)]
struct OrderTarget {
    endpoint: ids::EndpointId,
    address: net::SocketAddr,
    /// Its start time, Unix ms.
    started_ms: u64,
}

/// All memory reserved for one attempt. Released on drop.
pub(crate) struct MemoryLease {
    state: rc::Rc<state::DaemonState>,
    upstreams: rc::Rc<upstream::UpstreamPool>,
    reservations: Vec<MemoryReservation>,
    renewal: Option<task::JoinHandle<()>>,
    release_at: ReleaseTime,
}

/// When memory is released unless an endpoint begins to use it, ms since the start of the process;
/// `None` if there is no such time.
type ReleaseTime = rc::Rc<cell::Cell<Option<f64>>>;

impl MemoryLease {
    /// Reserves the memory that a plan needs, all or nothing. On failure returns the endpoint that
    /// did not grant it. `release_at` is the time at which unused memory is released, ms since the
    /// start of the process; `None` if it waits for its request to the end.
    pub async fn reserve(
        state: &rc::Rc<state::DaemonState>,
        upstreams: &rc::Rc<upstream::UpstreamPool>,
        job: job::JobId,
        helpers: &[job::PlanMember],
        release_at: Option<f64>,
    ) -> Result<Self, ids::EndpointId> {
        let mut lease = Self::none(state, upstreams);
        lease.release_at.set(release_at);
        for helper in helpers.iter().filter(|helper| helper.reserve_tokens > 0) {
            let reservation = MemoryReservation {
                target: OrderTarget {
                    endpoint: helper.endpoint.clone(),
                    address: helper.address,
                    started_ms: state.started_ms(&helper.endpoint),
                },
                id: reservation_id(job, helper),
                tokens: helper.reserve_tokens,
            };
            let body = reserve_body(state, &reservation, &lease.release_at);
            // Recorded before the order is sent, as an order without a response may have been
            // carried out.
            let target = reservation.target.clone();
            lease.reservations.push(reservation);
            let reply = send_order(state, upstreams, &target, body).await;
            log::info!(target: "sardinepaddle", job = job.number, endpoint:% = helper.endpoint,
                tokens = helper.reserve_tokens, reply:? = reply; "memory reservation requested");
            if reply != endpoint::OrderReply::Done {
                return Err(helper.endpoint.clone());
            }
        }
        if !lease.reservations.is_empty() {
            let reservations = lease.reservations.clone();
            let release_at = lease.release_at.clone();
            let renewal = renew(state.clone(), upstreams.clone(), reservations, release_at);
            lease.renewal = Some(task::spawn_local(renewal));
        }
        Ok(lease)
    }

    /// Returns a lease of no memory.
    pub fn none(
        state: &rc::Rc<state::DaemonState>,
        upstreams: &rc::Rc<upstream::UpstreamPool>,
    ) -> Self {
        Self {
            state: state.clone(),
            upstreams: upstreams.clone(),
            reservations: Vec::new(),
            renewal: None,
            release_at: ReleaseTime::default(),
        }
    }

    /// Records that an endpoint uses the memory.
    pub fn mark_used(&self) {
        self.release_at.set(None);
    }

    /// Whether no memory is reserved.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        for reservation in self.reservations.drain(..) {
            task::spawn_local(release(
                self.state.clone(),
                self.upstreams.clone(),
                reservation,
            ));
        }
    }
}

/// Returns the id of an attempt's reservation on an endpoint.
pub(crate) fn reservation_id(job: job::JobId, helper: &job::PlanMember) -> String {
    format!("{:x}-{}-{}", job.incarnation, job.number, helper.endpoint)
}

/// Returns the order that makes or renews a reservation.
fn reserve_body(
    state: &state::DaemonState,
    reservation: &MemoryReservation,
    release_at: &ReleaseTime,
) -> Vec<u8> {
    let release_in_ms = release_at.get().map(|at| at - state.now());
    let ttl = millis::to_duration(reserve::ttl_ms(release_in_ms));
    endpoint::reserve_body(&reservation.id, reservation.tokens, ttl)
}

/// Renews reservations, also of endpoints that want no requests: the requests that use them run.
async fn renew(
    state: rc::Rc<state::DaemonState>,
    upstreams: rc::Rc<upstream::UpstreamPool>,
    reservations: Vec<MemoryReservation>,
    release_at: ReleaseTime,
) {
    loop {
        time::sleep(RENEW_PERIOD).await;
        for reservation in &reservations {
            let body = reserve_body(&state, reservation, &release_at);
            let reply = send_order(&state, &upstreams, &reservation.target, body).await;
            if reply != endpoint::OrderReply::Done {
                log::warn!(target: "sardinepaddle", reservation = reservation.id, reply:? = reply;
                    "memory reservation not renewed");
            }
        }
    }
}

/// Releases a reservation, retrying until it would have expired. One of an endpoint that wants no
/// requests is left to expire.
async fn release(
    state: rc::Rc<state::DaemonState>,
    upstreams: rc::Rc<upstream::UpstreamPool>,
    reservation: MemoryReservation,
) {
    let expires_at = time::Instant::now() + millis::to_duration(reserve::RESERVATION_TTL_MS);
    while time::Instant::now() < expires_at && !state.is_quiet(&reservation.target.endpoint) {
        let body = endpoint::release_body(&reservation.id);
        match send_order(&state, &upstreams, &reservation.target, body).await {
            endpoint::OrderReply::Done | endpoint::OrderReply::Refused => return,
            reply => {
                log::info!(target: "sardinepaddle", reservation = reservation.id, reply:? = reply;
                    "memory reservation not released yet");
            }
        }
        time::sleep(RELEASE_RETRY_PERIOD).await;
    }
}

async fn send_order(
    state: &state::DaemonState,
    upstreams: &rc::Rc<upstream::UpstreamPool>,
    target: &OrderTarget,
    body: Vec<u8>,
) -> endpoint::OrderReply {
    let address = target.address;
    let exchange = async {
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(endpoint::ORDER_PATH)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let mut connection = upstreams.connect(address, false).await?;
        let response = connection.exchange(request).await?;
        let status = response.status();
        let notice = headers::parse_notice(status, response.headers());
        state.record_notice(&target.endpoint, target.started_ms, notice, None);
        let keep_alive = upstream::keep_alive_timeout(response.headers());
        let kind = byte_account::BodyKind::Response;
        let body = response.into_body();
        let body_result = state.bodies.collect(kind, body, MAX_REPLY_BYTES).await;
        if body_result.is_ok() {
            upstreams.put_back(connection, keep_alive);
        }
        Ok(endpoint::order_reply(status))
    };
    let reply: Result<upstream::Result<_>, _> = time::timeout(ORDER_TIMEOUT, exchange).await;
    match reply {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => {
            log::warn!(target: "sardinepaddle", address:% = address, error:% = error; "reservation order failed");
            endpoint::OrderReply::Unknown
        }
        Err(_) => endpoint::OrderReply::Unknown,
    }
}
