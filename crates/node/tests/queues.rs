//! Requests without room: what the classes may take, whose turn it is, and when none will come.

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

const LIFE: ids::NodeIncarnation = ids::NodeIncarnation(1 << 30);
const STEP: Duration = Duration::from_millis(20);
const MEMORY: u64 = 400_000;

/// One daemon that keeps one warm engine.
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
        memory_tokens: MEMORY,
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
            .incarnation(LIFE)
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
        driver.pass(Duration::from_secs(3));
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

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.report();
            self.step(event::NodeEvent::Tick);
        }
    }

    fn report(&mut self) {
        let streams = self.running.iter().map(|attempt| load::EngineStream {
            attempt: *attempt,
            tokens: 1,
            attached: true,
        });
        let load = load::EngineLoad {
            incarnation: 1,
            slots: 64,
            memory_tokens: MEMORY,
            streams: streams.collect(),
            ..load::EngineLoad::default()
        };
        let endpoint = engine();
        let load = Some(load);
        self.step(event::NodeEvent::LoadReported { endpoint, load });
    }

    fn ask(&mut self, count: u64, customer: &str, prompt_tokens: u64, allowed: Duration) {
        let request = request::RequestHead {
            id: ids::RequestId { node: LIFE, count },
            service: ids::ServiceId::new("stockdesk-lm"),
            customer: ids::CustomerId::new(customer),
            kind: request::RequestKind::Prompt {
                prompt_tokens,
                max_tokens: 24,
                prefix: 0,
            },
            deadline: self.now + allowed,
        };
        self.step(event::NodeEvent::RequestArrived { request });
    }

    /// Operators take the data centre out.
    fn take_out(&mut self, slots: u32) {
        let mut fleet = fleet(slots);
        for entry in fleet.data_centres.values_mut() {
            entry.state = config::ServiceState::TakenOut;
        }
        self.step(event::NodeEvent::ConfigReceived {
            version: config::ConfigVersion(2),
            config: std::sync::Arc::new(fleet),
        });
    }

    fn finish_first(&mut self) {
        let attempt = self.running.remove(0);
        let end = outcome::AttemptEnd::Complete { answer: None };
        self.step(event::NodeEvent::AttemptEnded { attempt, end });
    }
}

#[test]
fn a_prompt_larger_than_the_share_of_its_class_gets_an_idle_engine() {
    let mut driver = QueueDriver::new(16);
    driver.ask(1, "large", 380_000, Duration::from_secs(10));
    driver.pass(Duration::from_secs(1));
    assert_eq!(driver.started, [1], "{:?}", driver.ended);
}

#[test]
fn a_second_long_prompt_leaves_memory_to_the_others() {
    let mut driver = QueueDriver::new(16);
    driver.ask(1, "large", 200_000, Duration::from_secs(10));
    driver.ask(2, "large", 150_000, Duration::from_secs(10));
    driver.pass(Duration::from_millis(500));
    assert_eq!(driver.started, [1]);
    driver.ask(3, "small", 2_000, Duration::from_secs(10));
    driver.pass(Duration::from_millis(500));
    assert_eq!(driver.started, [1, 3]);
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut driver = QueueDriver::new(1);
    for count in 1..=10 {
        driver.ask(count, "large", 2_000, Duration::from_secs(30));
    }
    // One second each: the queue learns how fast it is served.
    for _ in 0..3 {
        driver.pass(Duration::from_secs(1));
        driver.finish_first();
    }
    driver.pass(Duration::from_millis(200));
    driver.ask(11, "large", 2_000, Duration::from_secs(3));
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
    // Six wait before it, and it would run for a second: some four seconds over its deadline.
    let retry = retry_after.unwrap();
    assert!(retry >= Duration::from_secs(3), "{retry:?}");
    assert!(retry <= Duration::from_secs(6), "{retry:?}");
    driver.ask(12, "large", 2_000, Duration::from_secs(20));
    assert_ne!(driver.ended.last().unwrap().0, 12);
}

#[test]
fn a_waiting_request_is_given_up_as_soon_as_it_cannot_run_in_time() {
    let mut driver = QueueDriver::new(1);
    driver.ask(1, "large", 2_000, Duration::from_secs(30));
    driver.pass(Duration::from_secs(1));
    driver.finish_first();
    driver.ask(2, "large", 2_000, Duration::from_secs(30));
    driver.pass(STEP);
    driver.ask(3, "large", 2_000, Duration::from_secs(3));
    driver.pass(Duration::from_millis(2_200));
    let refused = driver.ended.iter().find(|(count, _)| *count == 3);
    assert!(refused.is_some(), "{:?}", driver.ended);
}

#[test]
fn a_small_customer_is_not_kept_behind_the_queue_of_a_large_one() {
    let mut driver = QueueDriver::new(1);
    for count in 1..=9 {
        driver.ask(count, "large", 2_000, Duration::from_secs(60));
    }
    driver.pass(Duration::from_millis(300));
    driver.ask(100, "small", 2_000, Duration::from_secs(60));
    for _ in 0..3 {
        driver.pass(Duration::from_millis(300));
        driver.finish_first();
    }
    driver.pass(Duration::from_millis(300));
    let place = driver.started.iter().position(|count| *count == 100);
    assert!(
        place.is_some_and(|place| place <= 2),
        "{:?}",
        driver.started
    );
}

#[test]
fn without_an_open_endpoint_all_that_wait_and_all_that_come_are_refused_at_once() {
    let mut driver = QueueDriver::new(1);
    driver.ask(1, "large", 2_000, Duration::from_secs(30));
    driver.ask(2, "large", 2_000, Duration::from_secs(30));
    driver.pass(STEP);
    assert_eq!(driver.started, [1]);
    driver.take_out(1);
    driver.pass(STEP);
    driver.ask(3, "small", 2_000, Duration::from_secs(30));
    let refused = |count: u64| {
        let reason = outcome::RefusalReason::NoEndpoint;
        let found = driver.ended.iter().find(|(ended, _)| *ended == count);
        matches!(found, Some((_, outcome::RequestOutcome::NotRun { reason: given, retry_after: Some(_) })) if *given == reason)
    };
    assert!(refused(2) && refused(3), "{:?}", driver.ended);
}

// While the keepers of a leaving daemon's endpoints changed, nothing started for three seconds;
// that pause was taken as the time of each start to come (shutdown.rs: a prompt refused at once).
#[test]
fn one_stall_is_not_taken_for_the_pace_of_all_starts() {
    let mut driver = QueueDriver::new(1);
    for count in 1..=16 {
        driver.ask(count, "large", 2_000, Duration::from_secs(60));
    }
    for _ in 0..3 {
        driver.pass(Duration::from_millis(200));
        driver.finish_first();
    }
    driver.pass(Duration::from_secs(3));
    driver.ask(100, "large", 2_000, Duration::from_secs(30));
    let refused = driver.ended.iter().any(|(count, _)| *count == 100);
    assert!(!refused, "{:?}", driver.ended);
}

// Until the endpoints of a new fleet have keepers, nothing starts for three seconds; that wait was
// taken as the time between two starts (shutdown.rs again, with the pause above counted once).
#[test]
fn the_wait_for_the_first_start_is_not_taken_for_the_pace_of_starts() {
    let mut driver = QueueDriver::new(1);
    for count in 1..=4 {
        driver.ask(count, "large", 2_000, Duration::from_secs(60));
    }
    driver.pass(Duration::from_secs(3));
    for _ in 0..4 {
        driver.finish_first();
        driver.pass(Duration::from_millis(60));
    }
    for count in 11..=30 {
        driver.ask(count, "large", 2_000, Duration::from_secs(30));
    }
    let refused = driver.ended.iter().filter(|(count, _)| *count > 10);
    assert_eq!(refused.count(), 0, "{:?}", driver.ended);
}
