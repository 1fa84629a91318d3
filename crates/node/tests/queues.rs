//! Requests that wait for capacity: limits of the size classes, fair order, and early refusal.

use std::time::Duration;

use model::config;
use model::ids;
use model::load;
use model::outcome;
use model::request;
use model::time;
use sardinepaddle_node::action;
use sardinepaddle_node::event;
use sardinepaddle_node::machine;
use sardinepaddle_node::settings;

const INCARNATION: ids::NodeIncarnation = ids::NodeIncarnation(1 << 30);
const STEP: Duration = Duration::from_millis(20);
const MEMORY_TOKENS: u64 = 400_000;

/// A daemon that coordinates one warm engine.
struct QueueDriver {
    machine: machine::NodeMachine,
    now: time::MonoTime,
    running: Vec<ids::AttemptId>,
    started: Vec<u64>,
    ended: Vec<(u64, outcome::RequestOutcome)>,
}

fn engine() -> ids::EndpointId {
    ids::EndpointId::new("engine-0")
}

fn fleet(slots: u32) -> config::FleetConfig {
    let mut fleet = config::FleetConfig::default();
    let centre = ids::CentreId::new("kgn-a");
    let entry = config::CentreEntry::default();
    fleet.data_centres.insert(centre.clone(), entry);
    for name in ["large", "small"] {
        let entry = config::CustomerEntry::default();
        fleet.customers.insert(ids::CustomerId::new(name), entry);
    }
    let service = ids::ServiceId::new("stockdesk-lm");
    let kind = config::ServiceKind::Model {
        model: "stock-1".to_owned(),
        bytes_per_token: 4,
    };
    let entry = config::ServiceEntry {
        kind,
        timeout_ms: 30_000,
        non_idempotent: Vec::new(),
    };
    fleet.services.insert(service.clone(), entry);
    let entry = config::EndpointEntry {
        service,
        data_centre: centre,
        address: "127.0.0.1:9".parse().unwrap(),
        state: config::ServiceState::InService,
        slots,
        memory_tokens: MEMORY_TOKENS,
        cold_slots: slots,
        checks_orders: false,
    };
    fleet.endpoints.insert(engine(), entry);
    fleet
}

impl QueueDriver {
    fn new(slots: u32) -> Self {
        let address = "127.0.0.1:1".parse().unwrap();
        let centre = ids::CentreId::new("kgn-a");
        let settings = settings::NodeBuilder::new(ids::HostId::new("a1"), centre, address)
            .incarnation(INCARNATION)
            .seed(1)
            .build();
        let now = time::MonoTime::from_millis(1);
        let mut driver = Self {
            machine: machine::NodeMachine::new(settings, now),
            now,
            running: Vec::new(),
            started: Vec::new(),
            ended: Vec::new(),
        };
        driver.step(event::NodeEvent::HostsListed {
            hosts: Vec::new(),
            leaving_endpoints: Vec::new(),
        });
        driver.step(event::NodeEvent::ConfigReceived {
            version: config::ConfigVersion(1),
            config: std::sync::Arc::new(fleet(slots)),
        });
        driver.advance(Duration::from_secs(3));
        driver
    }

    fn step(&mut self, event: event::NodeEvent) {
        for action in self.machine.step(self.now, event) {
            match action {
                action::NodeAction::StartAttempt(order) => {
                    self.running.push(order.attempt);
                    self.started.push(order.attempt.request.count);
                }
                action::NodeAction::FinishRequest { request, outcome } => {
                    self.ended.push((request.count, outcome));
                }
                _ => {}
            }
        }
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.report_load();
            self.step(event::NodeEvent::Tick);
        }
    }

    fn report_load(&mut self) {
        let streams = self.running.iter().map(|attempt| load::EngineStream {
            attempt: *attempt,
            tokens: 1,
            attached: true,
        });
        let load = load::EngineLoad {
            incarnation: 1,
            slots: 64,
            memory_tokens: MEMORY_TOKENS,
            streams: streams.collect(),
            ..load::EngineLoad::default()
        };
        let endpoint = engine();
        let load = Some(load);
        self.step(event::NodeEvent::LoadReported { endpoint, load });
    }

    fn send_prompt(&mut self, count: u64, customer: &str, prompt_tokens: u64, timeout: Duration) {
        let request = request::RequestMetadata {
            id: ids::RequestId {
                node: INCARNATION,
                count,
            },
            service: ids::ServiceId::new("stockdesk-lm"),
            customer: ids::CustomerId::new(customer),
            kind: request::RequestKind::Prompt {
                prompt_tokens,
                max_tokens: 24,
                prefix: 0,
            },
            deadline: self.now + timeout,
        };
        self.step(event::NodeEvent::RequestArrived { request });
    }

    /// Takes the data centre out of service, as an operator does.
    fn take_out_centre(&mut self, slots: u32) {
        let mut fleet = fleet(slots);
        for entry in fleet.data_centres.values_mut() {
            entry.state = config::ServiceState::TakenOut;
        }
        self.step(event::NodeEvent::ConfigReceived {
            version: config::ConfigVersion(2),
            config: std::sync::Arc::new(fleet),
        });
    }

    fn finish_oldest(&mut self) {
        let attempt = self.running.remove(0);
        let outcome = outcome::AttemptOutcome::Complete { answer: None };
        self.step(event::NodeEvent::AttemptEnded { attempt, outcome });
    }
}

#[test]
fn prompt_larger_than_the_share_of_its_class_is_served_by_an_idle_engine() {
    let mut driver = QueueDriver::new(16);
    driver.send_prompt(1, "large", 380_000, Duration::from_secs(10));
    driver.advance(Duration::from_secs(1));
    assert_eq!(driver.started, [1], "{:?}", driver.ended);
}

#[test]
fn second_long_prompt_leaves_memory_for_other_classes() {
    let mut driver = QueueDriver::new(16);
    driver.send_prompt(1, "large", 200_000, Duration::from_secs(10));
    driver.send_prompt(2, "large", 150_000, Duration::from_secs(10));
    driver.advance(Duration::from_millis(500));
    assert_eq!(driver.started, [1]);
    driver.send_prompt(3, "small", 2_000, Duration::from_secs(10));
    driver.advance(Duration::from_millis(500));
    assert_eq!(driver.started, [1, 3]);
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut driver = QueueDriver::new(1);
    for count in 1..=10 {
        driver.send_prompt(count, "large", 2_000, Duration::from_secs(30));
    }
    // Each request takes one second, from which the queue measures its service rate.
    for _ in 0..3 {
        driver.advance(Duration::from_secs(1));
        driver.finish_oldest();
    }
    driver.advance(Duration::from_millis(200));
    driver.send_prompt(11, "large", 2_000, Duration::from_secs(3));
    let Some((11, outcome)) = driver.ended.last() else {
        panic!("not refused at once: {:?}", driver.ended);
    };
    let outcome::RequestOutcome::NotRun {
        reason,
        retry_after,
    } = outcome
    else {
        panic!("not a refusal: {outcome:?}");
    };
    assert_eq!(*reason, outcome::RefusalReason::Overloaded);
    // Six requests wait ahead of it and it would run for a second, so it would end about four
    // seconds after its deadline.
    let retry = retry_after.unwrap();
    assert!(retry >= Duration::from_secs(3), "{retry:?}");
    assert!(retry <= Duration::from_secs(6), "{retry:?}");
    driver.send_prompt(12, "large", 2_000, Duration::from_secs(20));
    assert_ne!(driver.ended.last().unwrap().0, 12);
}

#[test]
fn queued_request_is_refused_once_it_would_miss_its_deadline() {
    let mut driver = QueueDriver::new(1);
    driver.send_prompt(1, "large", 2_000, Duration::from_secs(30));
    driver.advance(Duration::from_secs(1));
    driver.finish_oldest();
    driver.send_prompt(2, "large", 2_000, Duration::from_secs(30));
    driver.advance(STEP);
    driver.send_prompt(3, "large", 2_000, Duration::from_secs(3));
    driver.advance(Duration::from_millis(2_200));
    let refused = driver.ended.iter().find(|(count, _)| *count == 3);
    assert!(refused.is_some(), "{:?}", driver.ended);
}

#[test]
fn small_customer_does_not_wait_behind_the_queue_of_a_large_one() {
    let mut driver = QueueDriver::new(1);
    for count in 1..=9 {
        driver.send_prompt(count, "large", 2_000, Duration::from_secs(60));
    }
    driver.advance(Duration::from_millis(300));
    driver.send_prompt(100, "small", 2_000, Duration::from_secs(60));
    for _ in 0..3 {
        driver.advance(Duration::from_millis(300));
        driver.finish_oldest();
    }
    driver.advance(Duration::from_millis(300));
    let position = driver.started.iter().position(|count| *count == 100);
    assert!(
        position.is_some_and(|position| position <= 2),
        "{:?}",
        driver.started
    );
}

#[test]
fn queued_and_new_requests_are_refused_at_once_without_an_available_endpoint() {
    let mut driver = QueueDriver::new(1);
    driver.send_prompt(1, "large", 2_000, Duration::from_secs(30));
    driver.send_prompt(2, "large", 2_000, Duration::from_secs(30));
    driver.advance(STEP);
    assert_eq!(driver.started, [1]);
    driver.take_out_centre(1);
    driver.advance(STEP);
    driver.send_prompt(3, "small", 2_000, Duration::from_secs(30));
    let refused = |count: u64| {
        let reason = outcome::RefusalReason::NoEndpoint;
        let found = driver.ended.iter().find(|(ended, _)| *ended == count);
        matches!(found, Some((_, outcome::RequestOutcome::NotRun { reason: found_reason, retry_after: Some(_) })) if *found_reason == reason)
    };
    assert!(refused(2) && refused(3), "{:?}", driver.ended);
}

// Guards against refusals after a single stall. When a daemon leaves, its endpoints change
// coordinators and no request starts for three seconds. The queue used this pause as the expected
// interval of all later starts, so a prompt was refused at once (seen in shutdown.rs).
#[test]
fn single_stall_does_not_count_as_the_interval_of_all_starts() {
    let mut driver = QueueDriver::new(1);
    for count in 1..=16 {
        driver.send_prompt(count, "large", 2_000, Duration::from_secs(60));
    }
    for _ in 0..3 {
        driver.advance(Duration::from_millis(200));
        driver.finish_oldest();
    }
    driver.advance(Duration::from_secs(3));
    driver.send_prompt(100, "large", 2_000, Duration::from_secs(30));
    let refused = driver.ended.iter().any(|(count, _)| *count == 100);
    assert!(!refused, "{:?}", driver.ended);
}

// Guards against refusals after the start of a fleet. Until its endpoints have coordinators, no
// request starts for three seconds. The queue measured this wait as an interval between two starts
// (also seen in shutdown.rs, after the stall above was counted only once).
#[test]
fn wait_for_the_first_start_does_not_count_as_an_interval_between_starts() {
    let mut driver = QueueDriver::new(1);
    for count in 1..=4 {
        driver.send_prompt(count, "large", 2_000, Duration::from_secs(60));
    }
    driver.advance(Duration::from_secs(3));
    for _ in 0..4 {
        driver.finish_oldest();
        driver.advance(Duration::from_millis(60));
    }
    for count in 11..=30 {
        driver.send_prompt(count, "large", 2_000, Duration::from_secs(30));
    }
    let refused = driver.ended.iter().filter(|(count, _)| *count > 10);
    assert_eq!(refused.count(), 0, "{:?}", driver.ended);
}
