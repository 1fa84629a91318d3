//! Concurrency limit that a new coordinator sets for an engine.

use std::sync;
use std::time::Duration;

use model::config;
use model::ids;
use model::load;
use model::time;
use sardinepaddle_node::action;
use sardinepaddle_node::event;
use sardinepaddle_node::machine;
use sardinepaddle_node::settings;

const COLD_SLOTS: u32 = 2;
const SLOTS: u32 = 16;

fn fleet() -> config::FleetConfig {
    let mut fleet = config::FleetConfig::default();
    let centre = ids::CentreId::new("kgn-a");
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
    fleet
        .data_centres
        .insert(centre.clone(), config::CentreEntry::default());
    fleet.services.insert(service.clone(), entry);
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let mut entry = config::EndpointEntry::new(service, centre, address);
    entry.slots = SLOTS;
    entry.cold_slots = COLD_SLOTS;
    fleet
        .endpoints
        .insert(ids::EndpointId::new("engine-0"), entry);
    fleet
}

/// Returns streams of another daemon, either attached to a connection or without a reader.
fn streams(count: u64, attached: bool) -> Vec<load::EngineStream> {
    let stream = |count| load::EngineStream {
        attempt: ids::AttemptId {
            request: ids::RequestId {
                node: ids::NodeIncarnation(7),
                count,
            },
            number: 1,
        },
        tokens: 1_000,
        attached,
    };
    (0..count).map(stream).collect()
}

/// Returns the concurrency limit that a new coordinator sets after an engine's first load report.
fn first_concurrency_limit(streams: Vec<load::EngineStream>) -> u32 {
    let centre = ids::CentreId::new("kgn-a");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = settings::NodeBuilder::new(ids::HostId::new("k1"), centre, address)
        .incarnation(ids::NodeIncarnation(1 << 30))
        .build();
    let mut now = time::MonoTime::from_millis(1);
    let mut machine = machine::NodeMachine::new(settings, now);
    let version = config::ConfigVersion(1);
    let config = sync::Arc::new(fleet());
    machine.step(now, event::NodeEvent::ConfigReceived { version, config });
    let mut load = Some(load::EngineLoad {
        incarnation: 1,
        slots: SLOTS,
        memory_tokens: 400_000,
        streams,
        ..load::EngineLoad::default()
    });
    while load.is_some() {
        assert!(
            now < time::MonoTime::from_millis(5_000),
            "no load report was requested"
        );
        now = now + Duration::from_millis(20);
        for action in machine.step(now, event::NodeEvent::Tick) {
            if let action::NodeAction::ReadLoad { endpoint, .. } = action {
                let load = load.take();
                machine.step(now, event::NodeEvent::LoadReported { endpoint, load });
            }
        }
    }
    machine.coordinated_endpoints()[0].concurrency_limit
}

#[test]
fn new_coordinator_starts_from_the_attached_streams_of_the_engine() {
    assert_eq!(first_concurrency_limit(streams(9, true)), 9);
    assert_eq!(first_concurrency_limit(streams(90, true)), SLOTS);
}

#[test]
fn engine_without_attached_streams_starts_as_cold() {
    assert_eq!(first_concurrency_limit(Vec::new()), COLD_SLOTS);
    assert_eq!(first_concurrency_limit(streams(9, false)), COLD_SLOTS);
}
