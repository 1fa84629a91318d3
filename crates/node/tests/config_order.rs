//! The newest configuration is in force, in whatever order versions and deltas are received.

mod nodes;

use std::sync;
use std::time::Duration;

use model::config;
use model::delta;
use model::ids;
use model::peer;
use proptest::prelude::*;
use sardinepaddle_node::event;
use sardinepaddle_node::machine::NodeMachine;

/// Returns the configuration of a version. No two versions have the same configuration.
fn config_of(number: u64) -> sync::Arc<config::FleetConfig> {
    let mut fleet = nodes::one_engine();
    for customer in 0..number {
        let name = ids::CustomerId::new(&format!("customer-{customer}"));
        fleet.customers.insert(name, Default::default());
    }
    sync::Arc::new(fleet)
}

fn delta_between(base: u64, to: u64) -> sync::Arc<delta::ConfigDelta> {
    sync::Arc::new(delta::ConfigDelta {
        base: config::ConfigVersion(base),
        version: config::ConfigVersion(to),
        changes: delta::ConfigChanges::between(&config_of(base), &config_of(to)),
    })
}

/// A message about the configuration, from the object API or a peer.
#[derive(Clone, Debug)]
enum ConfigMessage {
    /// Configuration of a version from the object API.
    Received(u64),
    /// Configuration of a version from a peer.
    Push(u64),
    /// Delta between two versions from a peer.
    Delta(u64, u64),
    /// Version announced in a peer's probe.
    Announced(u64),
}

fn any_message() -> impl Strategy<Value = ConfigMessage> {
    prop_oneof![
        (1..9_u64).prop_map(ConfigMessage::Received),
        (1..9_u64).prop_map(ConfigMessage::Push),
        (1..9_u64, 1..9_u64).prop_map(|(base, to)| ConfigMessage::Delta(base, to)),
        (1..9_u64).prop_map(ConfigMessage::Announced),
    ]
}

fn deliver(set: &mut nodes::NodeSet, message: &ConfigMessage) {
    let message = match message {
        ConfigMessage::Received(number) => {
            set.step_machine(
                0,
                event::NodeEvent::ConfigReceived {
                    version: config::ConfigVersion(*number),
                    config: config_of(*number),
                },
            );
            return;
        }
        ConfigMessage::Push(number) => peer::PeerMessage::ConfigPush {
            version: config::ConfigVersion(*number),
            config: config_of(*number),
        },
        ConfigMessage::Delta(base, to) => peer::PeerMessage::ConfigDelta {
            delta: delta_between(*base, *to),
        },
        ConfigMessage::Announced(number) => peer::PeerMessage::Probe {
            number: 1,
            version: config::ConfigVersion(*number),
            updates: Vec::new(),
        },
    };
    let envelope = set.envelope(1, message);
    set.step_machine(0, event::NodeEvent::PeerReceived { envelope });
}

proptest! {
    #[test]
    fn configuration_in_force_never_reverts_and_is_complete(
        steps in prop::collection::vec(any_message(), 1..40),
    ) {
        let mut set = nodes::NodeSet::start(2, 1);
        let mut last = config::ConfigVersion::default();
        for step in &steps {
            deliver(&mut set, step);
            let current = set.machines[0].config_version();
            prop_assert!(current >= last, "{current:?} after {last:?}");
            if let Some(config) = set.machines[0].config() {
                prop_assert_eq!(config, config_of(current.0));
            }
            last = current;
        }
    }
}

#[test]
fn change_of_one_entry_is_relayed_without_the_whole_configuration() {
    let mut set = nodes::NodeSet::start(2, 1);
    set.run(Duration::from_secs(2));
    let mut fleet = nodes::one_engine();
    for number in 0..670 {
        let entry = fleet.endpoints[&ids::EndpointId::new(nodes::ENGINE)].clone();
        let name = ids::EndpointId::new(&format!("runner-{number}"));
        fleet.endpoints.insert(name, entry);
    }
    set.deliver_config(0, 2, &sync::Arc::new(fleet.clone()));
    set.run(Duration::from_secs(1));
    let whole = serde_json::to_string(&fleet).unwrap().len();
    set.config_bytes = 0;
    let taken_out = fleet
        .endpoints
        .get_mut(&ids::EndpointId::new("runner-7"))
        .unwrap();
    taken_out.state = config::ServiceState::TakenOut;
    set.deliver_config(0, 3, &sync::Arc::new(fleet));
    set.run(Duration::from_secs(1));
    assert_eq!(set.machines[1].config_version().0, 3);
    assert!(
        set.config_bytes > 0 && set.config_bytes < whole / 20,
        "{} bytes for a configuration of {whole}",
        set.config_bytes
    );
}

#[test]
fn lost_relay_is_recovered_by_a_probe() {
    let mut set = nodes::NodeSet::start(3, 1);
    set.run(Duration::from_secs(2));
    set.set_partition(&[0], &[1, 2], true);
    set.deliver_config(0, 2, &config_of(2));
    set.run(Duration::from_millis(100));
    set.set_partition(&[0], &[1, 2], false);
    set.run(Duration::from_secs(4));
    let versions = set
        .machines
        .iter()
        .map(|machine| machine.config_version().0)
        .collect::<Vec<_>>();
    assert_eq!(versions, [2, 2, 2]);
}

#[test]
fn messages_queued_during_a_pause_do_not_confirm_an_old_configuration() {
    let mut set = nodes::NodeSet::start(3, 1);
    let mut fleet = nodes::one_engine();
    let service = ids::ServiceId::new("lunch-llm");
    fleet.services.get_mut(&service).unwrap().kind = config::ServiceKind::Plain {
        path_prefix: "/orders".to_owned(),
    };
    for index in 0..3 {
        set.deliver_config(index, 2, &sync::Arc::new(fleet.clone()));
    }
    set.run(Duration::from_secs(6));
    let coordinates = |machine: &NodeMachine| !machine.coordinated_endpoints().is_empty();
    let coordinator = set.machines.iter().position(coordinates).unwrap();
    let others = (0..3)
        .filter(|index| *index != coordinator)
        .collect::<Vec<_>>();
    set.paused[coordinator] = true;
    set.run(Duration::from_secs(5));
    let centre = ids::CentreId::new("abdali");
    fleet.data_centres.get_mut(&centre).unwrap().state = config::ServiceState::TakenOut;
    for index in &others {
        set.deliver_config(*index, 3, &sync::Arc::new(fleet.clone()));
    }
    set.set_partition(&[coordinator], &others, true);
    set.run(Duration::from_secs(5));
    set.silent_watch = true;
    set.started_attempts = vec![0; 3];
    set.paused[coordinator] = false;
    set.run(Duration::from_secs(4));
    assert_eq!(set.machines[coordinator].config_version().0, 2);
    let started = set.started_attempts[coordinator];
    assert_eq!(
        started, 0,
        "attempts were started with an outdated configuration"
    );
}
