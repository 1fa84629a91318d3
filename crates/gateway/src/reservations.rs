//! Memory reserved on endpoints for one prompt: renewed while the request runs, released after.

use std::net;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use platform::endpoint;
use pool::job;
use tokio::task;
use tokio::time;

use crate::upstream;

/// Time for which memory is reserved: a daemon that dies leaves none behind for longer.
const HOLD_TIME: Duration = Duration::from_millis(3_000);
/// Time between two renewals: two may be lost.
const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Time that an order may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a release is tried again.
const RELEASE_PAUSE: Duration = Duration::from_millis(200);

/// Memory on one endpoint.
#[derive(Clone, Debug)]
struct ReservedMemory {
    address: net::SocketAddr,
    id: String,
    tokens: u64,
}

/// All memory reserved for one attempt. Dropped, it is released.
pub(crate) struct MemoryLease {
    pool: rc::Rc<upstream::UpstreamPool>,
    memories: Vec<ReservedMemory>,
    renewal: Option<task::JoinHandle<()>>,
}

impl MemoryLease {
    /// Reserves what a plan needs, all or nothing; `Err` names the endpoint that gave none.
    pub async fn reserve(
        pool: &rc::Rc<upstream::UpstreamPool>,
        job: job::JobId,
        helpers: &[job::PlanMember],
    ) -> Result<Self, model::ids::EndpointId> {
        let mut lease = Self {
            pool: pool.clone(),
            memories: Vec::new(),
            renewal: None,
        };
        for helper in helpers.iter().filter(|helper| helper.reserve_tokens > 0) {
            let memory = ReservedMemory {
                address: helper.address,
                id: reservation_id(job, helper),
                tokens: helper.reserve_tokens,
            };
            let body = endpoint::reserve_body(&memory.id, memory.tokens, HOLD_TIME);
            // Held from before the order: one without an answer may have been carried out.
            lease.memories.push(memory);
            let reply = order(pool, helper.address, body).await;
            log::info!(target: "sardinepaddle", job = job.number, endpoint:% = helper.endpoint,
                tokens = helper.reserve_tokens, reply:? = reply; "memory reserved");
            if reply != endpoint::OrderReply::Done {
                return Err(helper.endpoint.clone());
            }
        }
        if !lease.memories.is_empty() {
            let renewal = renew(pool.clone(), lease.memories.clone());
            lease.renewal = Some(task::spawn_local(renewal));
        }
        Ok(lease)
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        for memory in self.memories.drain(..) {
            task::spawn_local(release(self.pool.clone(), memory));
        }
    }
}

/// Id of the memory that an attempt reserves on an endpoint.
pub(crate) fn reservation_id(job: job::JobId, helper: &job::PlanMember) -> String {
    format!("{:x}-{}-{}", job.incarnation, job.number, helper.endpoint)
}

async fn renew(pool: rc::Rc<upstream::UpstreamPool>, memories: Vec<ReservedMemory>) {
    loop {
        time::sleep(RENEW_PERIOD).await;
        for memory in &memories {
            let body = endpoint::reserve_body(&memory.id, memory.tokens, HOLD_TIME);
            let reply = order(&pool, memory.address, body).await;
            if reply != endpoint::OrderReply::Done {
                log::warn!(target: "sardinepaddle", reservation = memory.id, reply:? = reply;
                    "memory not renewed");
            }
        }
    }
}

/// Releases memory; tries again until it would have lapsed by itself.
async fn release(pool: rc::Rc<upstream::UpstreamPool>, memory: ReservedMemory) {
    let until = time::Instant::now() + HOLD_TIME;
    while time::Instant::now() < until {
        let body = endpoint::release_body(&memory.id);
        match order(&pool, memory.address, body).await {
            endpoint::OrderReply::Done | endpoint::OrderReply::Refused => return,
            reply => {
                log::info!(target: "sardinepaddle", reservation = memory.id, reply:? = reply;
                    "memory not released yet");
            }
        }
        time::sleep(RELEASE_PAUSE).await;
    }
}

async fn order(
    pool: &upstream::UpstreamPool,
    address: net::SocketAddr,
    body: Vec<u8>,
) -> endpoint::OrderReply {
    let exchange = async {
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(endpoint::ORDER_PATH)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let mut connection = pool.connect(address, false).await?;
        let answer = connection.exchange(request).await?;
        let status = answer.status();
        let keep = upstream::kept_for(answer.headers());
        let whole = answer.into_body().collect().await;
        if whole.is_ok() {
            pool.put_back(connection, keep).await;
        }
        Ok(endpoint::order_reply(status))
    };
    let reply: Result<upstream::Result<_>, _> = time::timeout(ORDER_TIMEOUT, exchange).await;
    match reply {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => {
            log::warn!(target: "sardinepaddle", address:% = address, error:% = error; "order failed");
            endpoint::OrderReply::Unknown
        }
        Err(_) => endpoint::OrderReply::Unknown,
    }
}
