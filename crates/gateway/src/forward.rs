//! Forwards requests to other daemons while this one is cut off from all endpoints.

use std::cell;
use std::net;

use http_body_util::Full;
use hyper::body::Incoming;
use model::ids;
use model::map;
use model::millis;
use platform::headers;
use pool::job;
use rand::seq::SliceRandom;

use crate::request;
use crate::state;
use crate::upstream;

/// Maximum number of daemons that a request is forwarded to in one attempt.
const MAX_TARGETS: usize = 4;
/// Time for which a daemon that could not serve a request is not asked again, ms.
const BACKOFF_MS: f64 = 2_000.0;

/// The daemons that could not serve forwarded requests lately.
#[derive(Debug, Default)]
pub(crate) struct ForwardTargets {
    /// Times until which daemons are not asked, ms.
    backoffs: cell::RefCell<map::HashMap<ids::HostId, f64>>,
}

impl ForwardTargets {
    fn back_off(&self, host: &ids::HostId, now: f64) {
        let mut backoffs = self.backoffs.borrow_mut();
        backoffs.retain(|_, until| now < *until);
        backoffs.insert(host.clone(), now + BACKOFF_MS);
    }

    fn is_backed_off(&self, host: &ids::HostId, now: f64) -> bool {
        let backoffs = self.backoffs.borrow();
        backoffs.get(host).is_some_and(|until| now < *until)
    }
}

/// The response of a daemon to which a request was forwarded, with an unread body.
pub(crate) struct ForwardedResponse {
    pub connection: upstream::UpstreamConnection,
    pub response: http::Response<Incoming>,
    /// The daemon in the place of an endpoint.
    pub plan: job::PlacementPlan,
}

/// How forwarding a request ended.
pub(crate) enum ForwardOutcome {
    /// A daemon responded.
    Responded(Box<ForwardedResponse>),
    /// The connection broke, so that the request may have run.
    Broken,
    /// No daemon took the request.
    NoTarget,
}

/// Returns the daemons that a request may be forwarded to, in random order, those that failed it
/// before last.
fn targets(
    state: &state::DaemonState,
    failed: &[ids::EndpointId],
) -> Vec<(ids::HostId, net::SocketAddr)> {
    let now = state.now();
    let own_host = &state.settings().host;
    let rank = state.rank.borrow();
    let others = rank.daemons().iter();
    let others = others.filter(|daemon| daemon.host != *own_host);
    let others = others.filter(|daemon| !state.forward_targets.is_backed_off(&daemon.host, now));
    let others = others.filter_map(|daemon| Some((daemon.host.clone(), daemon.callers?)));
    let mut targets: Vec<_> = others.collect();
    targets.shuffle(&mut rand::rng());
    targets.sort_by_key(|(host, _)| failed.iter().any(|id| id.as_str() == host.as_str()));
    targets.truncate(MAX_TARGETS);
    targets
}

/// Whether an address is that of a listed daemon, whose forwarded requests are taken as such.
pub(crate) fn is_daemon(state: &state::DaemonState, address: net::IpAddr) -> bool {
    let rank = state.rank.borrow();
    let mut daemons = rank.daemons().iter();
    daemons.any(|daemon| {
        daemon
            .callers
            .is_some_and(|callers| callers.ip() == address)
    })
}

/// Forwards a request to another daemon. `runs` is the number of endpoints on which it may have run,
/// `failed` names those that failed it, daemons among them.
pub(crate) async fn forward(
    request: &request::ClientRequest,
    last_event: Option<u64>,
    runs: u32,
    failed: &[ids::EndpointId],
) -> ForwardOutcome {
    let state = &request.state;
    let force_new = !request.route_match.route.retry_safety.is_retryable();
    for (host, address) in targets(state, failed) {
        let source = state.settings().listen.callers.ip();
        let connected = request
            .upstreams
            .connect_to_daemon(source, address, force_new);
        let mut connection = match connected.await {
            Ok(connection) => connection,
            Err(error) => {
                log_unavailable(&host, &error.to_string());
                state.forward_targets.back_off(&host, state.now());
                continue;
            }
        };
        let remaining = millis::to_duration(request.remaining_ms());
        let outgoing = http::Request::builder()
            .method(request.method.clone())
            .uri(request.path.as_str())
            .body(Full::new(request.body.clone()));
        let Ok(mut outgoing) = outgoing else {
            return ForwardOutcome::NoTarget;
        };
        *outgoing.headers_mut() =
            headers::for_daemon(&request.headers, remaining, last_event, runs);
        log::info!(target: "sardinepaddle", request = request.hints.attempt_id, daemon:% = host, runs,
            after_event = last_event, left_ms = request.remaining_ms();
            "request forwarded to another daemon");
        match connection.exchange(outgoing).await {
            Ok(response) if headers::is_forward_refused(response.headers()) => {
                log_unavailable(&host, "it can't serve forwarded requests");
                state.forward_targets.back_off(&host, state.now());
            }
            Ok(response) => {
                let forwarded = ForwardedResponse {
                    connection,
                    response,
                    plan: plan_for(&host, address),
                };
                return ForwardOutcome::Responded(Box::new(forwarded));
            }
            Err(error) => {
                log_unavailable(&host, &error.to_string());
                state.forward_targets.back_off(&host, state.now());
                return ForwardOutcome::Broken;
            }
        }
    }
    ForwardOutcome::NoTarget
}

/// Returns a plan with a daemon in the place of the endpoint.
fn plan_for(host: &ids::HostId, address: net::SocketAddr) -> job::PlacementPlan {
    job::PlacementPlan {
        primary: job::PlanMember {
            endpoint: ids::EndpointId::new(host.as_str()),
            address,
            reserve_tokens: 0,
        },
        helpers: Vec::new(),
        predicted_ms: 0.0,
        priority: 0,
    }
}

fn log_unavailable(host: &ids::HostId, error: &str) {
    log::info!(target: "sardinepaddle", daemon:% = host, error; "forwarded request not served");
}
