//! Samples of what daemons send to each other and keep in the store.

use bytes::Bytes;
use model::ids;
use model::serving;
use pool::crashes;
use pool::health;
use pool::job;
use pool::limits;
use pool::quarantine;
use pool::replica;
use sardinepaddle_gateway::message::PlacementMessage;
use sardinepaddle_gateway::message::PlacerStatus;

/// A message, the era to which it belongs, and the name of its sample.
pub type MessageSample = (String, PlacementMessage, u64);

fn job_id(number: u64) -> job::JobId {
    job::JobId {
        incarnation: 1_764_880_000_123,
        number,
    }
}

fn request(kind: job::JobKind) -> job::PlacementRequest {
    job::PlacementRequest {
        route: "chat".to_owned(),
        service: ids::ServiceId::new("llm"),
        kind,
        centre: ids::CentreId::new("a"),
        objective_remaining_ms: -12.5,
        full_objective_ms: 300.0,
        gap_objective_ms: 250.0,
        abandon_after_ms: 2_000.0,
        remaining_ms: 9_000.25,
        priority: 2,
        excluded: vec![ids::EndpointId::new("e7")],
        shared_parts: Vec::new(),
        digest: None,
        customer: None,
        is_hedge: false,
        is_retry: true,
        is_budgeted: false,
    }
}

fn prompt() -> job::PlacementRequest {
    request(job::JobKind::Prompt {
        tokens: 220_000,
        answer_tokens: 912,
    })
}

fn with_parts(mut request: job::PlacementRequest) -> job::PlacementRequest {
    request.shared_parts = ["5c1e07a2", "b"].map(ids::PartId::from_name).to_vec();
    request
}

fn with_digest(mut request: job::PlacementRequest) -> job::PlacementRequest {
    request.digest = Some(digest());
    request
}

pub fn digest() -> ids::RequestDigest {
    ids::RequestDigest::of(&[b"customer-1", b"/orders/", b"{}"])
}

fn member(id: &str, reserve_tokens: u64) -> job::PlanMember {
    job::PlanMember {
        endpoint: ids::EndpointId::new(id),
        address: "10.1.0.40:8227".parse().unwrap(),
        reserve_tokens,
    }
}

fn plan() -> job::PlacementPlan {
    job::PlacementPlan {
        primary: member("e1", 0),
        helpers: vec![member("e2", 70_000), member("e3", 70_001)],
        predicted_ms: 812.5,
        priority: 1,
    }
}

fn running(number: u64, request: job::PlacementRequest, started: bool) -> job::RunningJob {
    job::RunningJob {
        job: job_id(number),
        request,
        plan: plan(),
        started,
    }
}

fn object(kind: u8, name: &str, revision: u64, spec: Option<Vec<u8>>) -> replica::ReplicaObject {
    replica::ReplicaObject {
        kind,
        name: name.to_owned(),
        revision,
        spec: spec.map(Bytes::from),
        era: 0,
        version: 0,
    }
}

/// Returns the content of each kind of objects that daemons exchange beside those of the store,
/// with the number of its kind and its name.
pub fn own_objects() -> Vec<replica::ReplicaObject> {
    let now_ms = 1_764_880_000_456;
    let contents = [
        (255, "e9", Some(Vec::new())),
        (254, "0000000b+5c1e07a2", Some(encode(&part_quarantine()))),
        (254, "0000000b", None),
        (253, "e4", Some(encode(&endpoint_limit()))),
        (253, "e5", None),
        (252, "request", Some(encode(&request_quarantine()))),
        (251, "e1", Some(encode(&(now_ms - 80, crash_report())))),
    ];
    let objects = contents.into_iter();
    objects
        .map(|(kind, name, spec)| object(kind, name, now_ms, spec))
        .collect()
}

fn encode<T: serde::Serialize>(content: &T) -> Vec<u8> {
    postcard::to_stdvec(content).unwrap()
}

pub fn part_quarantine() -> quarantine::PartQuarantine {
    quarantine::PartQuarantine {
        parts: ["b", "5c1e07a2"].map(ids::PartId::from_name).to_vec(),
        until_ms: 1_764_880_600_000,
    }
}

pub fn request_quarantine() -> quarantine::RequestQuarantine {
    quarantine::RequestQuarantine {
        digest: digest(),
        until_ms: 1_764_880_600_001,
    }
}

pub fn endpoint_limit() -> limits::EndpointLimit {
    limits::EndpointLimit {
        started_ms: 1_764_880_000_000,
        per_s: 7.5,
    }
}

pub fn crash_report() -> crashes::CrashReport {
    crashes::CrashReport {
        incarnations: vec![
            (ids::EndpointId::new("e1"), 1_764_880_000_000),
            (ids::EndpointId::new("e2"), 1_764_880_000_001),
        ],
        digests: vec![digest()],
    }
}

/// Returns a daemon's entry in the store, with and without an address for requests.
pub fn daemon_entries() -> [serving::DaemonEntry; 2] {
    let entry = serving::DaemonEntry {
        host: ids::HostId::new("edge-1"),
        centre: ids::CentreId::new("a"),
        address: "10.1.0.40:7341".parse().unwrap(),
        callers: Some("10.1.0.40:8227".parse().unwrap()),
        cpu_millis: 250,
    };
    let mut without = entry.clone();
    without.callers = None;
    [entry, without]
}

/// Returns messages of all variants, each in all forms that the fields beside it can have.
pub fn messages() -> Vec<MessageSample> {
    let mut samples = Vec::new();
    for (name, message) in plain_messages() {
        for era in [0, 3] {
            samples.push((format!("{name}/era{era}"), message.clone(), era));
        }
    }
    samples
}

fn plain_messages() -> Vec<(String, PlacementMessage)> {
    let mut messages = Vec::new();
    let mut add = |name: &str, message| messages.push((name.to_owned(), message));
    let statuses = [
        ("ready", PlacerStatus::Ready),
        ("draining", PlacerStatus::Draining),
        ("not-ready", PlacerStatus::NotReady),
    ];
    for (name, status) in statuses {
        let hello = PlacementMessage::Hello {
            host: ids::HostId::new("edge-1"),
            incarnation: 1_764_880_000_123,
            status,
            placer: (status == PlacerStatus::Ready).then(|| ids::HostId::new("edge-2")),
        };
        add(&format!("hello-{name}"), hello);
        let heartbeat = PlacementMessage::Heartbeat {
            ages_ms: vec![0, 120, 1_000_000_000, 7],
            store_reachable: status == PlacerStatus::Ready,
            status,
            watch_store: status == PlacerStatus::Draining,
        };
        add(&format!("heartbeat-{name}"), heartbeat);
    }
    let placer = ids::HostId::new("edge-3");
    add("placer-changed", PlacementMessage::PlacerChanged { placer });
    let stored = |kind, name| object(kind, name, 40, Some(b"{\"a\":1}".to_vec()));
    let mut objects: Vec<_> = (0..4).map(|kind| stored(kind, "o")).collect();
    objects.push(object(1, "gone", 41, None));
    add("objects-stored", PlacementMessage::Objects(objects));
    add("objects-own", PlacementMessage::Objects(own_objects()));
    let compressed = PlacementMessage::Compressed {
        object: object(0, "main", 42, None),
        base: 40,
        compressed: Bytes::from_static(&[1, 2, 3, 250]),
    };
    add("compressed", compressed);
    add_requests(&mut add);
    let job = job_id(4);
    add("queued", PlacementMessage::Queued { job });
    add("cancel", PlacementMessage::Cancel { job });
    add("first-event", PlacementMessage::FirstEvent { job });
    let decision = job::PlacementDecision::Placed(plan());
    add("placed", PlacementMessage::Decision { job, decision });
    let reasons = [
        job::DeclineReason::NoEndpoint,
        job::DeclineReason::Overloaded,
        job::DeclineReason::TooLarge,
        job::DeclineReason::RetryBudget,
        job::DeclineReason::Quarantined,
    ];
    for reason in reasons {
        let decision = job::PlacementDecision::Declined {
            reason,
            retry_after_ms: 1_250,
        };
        let name = format!("declined-{}", reason.name());
        add(&name, PlacementMessage::Decision { job, decision });
    }
    add_outcomes(&mut add);
    messages
}

fn add_requests(add: &mut impl FnMut(&str, PlacementMessage)) {
    let requests = [
        ("call", request(job::JobKind::Call)),
        ("call-digest", with_digest(request(job::JobKind::Call))),
        ("prompt", prompt()),
        ("prompt-parts", with_parts(prompt())),
        ("prompt-parts-digest", with_digest(with_parts(prompt()))),
    ];
    for (name, request) in requests {
        let job = job_id(4);
        add(
            &format!("request-{name}"),
            PlacementMessage::PlacementRequest { job, request },
        );
    }
    let jobs = vec![running(5, prompt(), true), running(6, prompt(), false)];
    add("running", PlacementMessage::RunningJobs(jobs));
    let jobs = vec![
        running(5, with_parts(prompt()), true),
        running(6, with_digest(request(job::JobKind::Call)), false),
    ];
    add("running-parts-digest", PlacementMessage::RunningJobs(jobs));
}

fn add_outcomes(add: &mut impl FnMut(&str, PlacementMessage)) {
    let signals = [
        ("success", health::HealthSignal::Success),
        ("full", health::HealthSignal::Full),
        ("unreachable", health::HealthSignal::Unreachable),
        ("timed-out", health::HealthSignal::TimedOut),
        ("failed", health::HealthSignal::Failed),
        ("inconclusive", health::HealthSignal::Inconclusive),
    ];
    for (name, signal) in signals {
        for responded in [false, true] {
            let outcome = job::JobOutcome {
                signal,
                at_fault: (signal == health::HealthSignal::Failed)
                    .then(|| ids::EndpointId::new("e2")),
                responded,
            };
            let job = job_id(4);
            add(
                &format!("finished-{name}-{responded}"),
                PlacementMessage::JobFinished { job, outcome },
            );
        }
    }
}
