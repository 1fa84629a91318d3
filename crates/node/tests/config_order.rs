//! Which configuration is in force, whatever the order in which news of it comes.

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

/// The configuration of a version: each differs from all others.
fn version(number: u64) -> sync::Arc<config::FleetConfig> {
    let mut fleet = nodes::one_engine();
    for customer in 0..number {
        let name = ids::CustomerId::new(&format!("customer-{customer}"));
        fleet.customers.insert(name, Default::default());
    }
    sync::Arc::new(fleet)
}

fn changes(base: u64, to: u64) -> sync::Arc<delta::ConfigDelta> {
    sync::Arc::new(delta::ConfigDelta {
        base: config::ConfigVersion(base),
        version: config::ConfigVersion(to),
        changes: delta::ConfigChanges::between(&version(base), &version(to)),
    })
}

/// News of the configuration, from the object API or a peer.
#[derive(Clone, Debug)]
enum ConfigNews {
    Seen(u64),
    Push(u64),
    Delta(u64, u64),
    Named(u64),
}

fn news() -> impl Strategy<Value = ConfigNews> {
    prop_oneof![
        (1..9_u64).prop_map(ConfigNews::Seen),
        (1..9_u64).prop_map(ConfigNews::Push),
        (1..9_u64, 1..9_u64).prop_map(|(base, to)| ConfigNews::Delta(base, to)),
        (1..9_u64).prop_map(ConfigNews::Named),
    ]
}

fn tell(set: &mut nodes::NodeSet, news: &ConfigNews) {
    let message = match news {
        ConfigNews::Seen(number) => {
            set.apply(
                0,
                event::NodeEvent::ConfigReceived {
                    version: config::ConfigVersion(*number),
                    config: version(*number),
                },
            );
            return;
        }
        ConfigNews::Push(number) => peer::PeerMessage::ConfigPush {
            version: config::ConfigVersion(*number),
            config: version(*number),
        },
        ConfigNews::Delta(base, to) => peer::PeerMessage::ConfigDelta {
            delta: changes(*base, *to),
        },
        ConfigNews::Named(number) => peer::PeerMessage::Probe {
            number: 1,
            version: config::ConfigVersion(*number),
            updates: Vec::new(),
        },
    };
    let envelope = set.envelope(1, message);
    set.apply(0, event::NodeEvent::PeerReceived { envelope });
}

proptest! {
    #[test]
    fn the_configuration_in_force_never_reverts_and_is_whole(
        steps in prop::collection::vec(news(), 1..40),
    ) {
        let mut set = nodes::NodeSet::start(2, 1);
        let mut last = config::ConfigVersion::default();
        for step in &steps {
            tell(&mut set, step);
            let now = set.machines[0].config_version();
            prop_assert!(now >= last, "{now:?} after {last:?}");
            if let Some(config) = set.machines[0].config() {
                prop_assert_eq!(config, version(now.0));
            }
            last = now;
        }
    }
}

#[test]
fn a_change_of_one_entry_is_relayed_without_the_whole_configuration() {
    let mut set = nodes::NodeSet::start(2, 1);
    set.run(Duration::from_secs(2));
    let mut fleet = nodes::one_engine();
    for number in 0..670 {
        let entry = fleet.endpoints[&ids::EndpointId::new(nodes::ENGINE)].clone();
        let name = ids::EndpointId::new(&format!("runner-{number}"));
        fleet.endpoints.insert(name, entry);
    }
    set.give_config(0, 2, &sync::Arc::new(fleet.clone()));
    set.run(Duration::from_secs(1));
    let whole = serde_json::to_string(&fleet).unwrap().len();
    set.config_bytes = 0;
    let taken = fleet
        .endpoints
        .get_mut(&ids::EndpointId::new("runner-7"))
        .unwrap();
    taken.state = config::ServiceState::TakenOut;
    set.give_config(0, 3, &sync::Arc::new(fleet));
    set.run(Duration::from_secs(1));
    assert_eq!(set.machines[1].config_version().0, 3);
    assert!(
        set.config_bytes > 0 && set.config_bytes < whole / 20,
        "{} bytes for a configuration of {whole}",
        set.config_bytes
    );
}

#[test]
fn a_lost_relay_is_made_up_for_at_a_probe() {
    let mut set = nodes::NodeSet::start(3, 1);
    set.run(Duration::from_secs(2));
    set.part(&[0], &[1, 2], true);
    set.give_config(0, 2, &version(2));
    set.run(Duration::from_millis(100));
    set.part(&[0], &[1, 2], false);
    set.run(Duration::from_secs(4));
    let versions = set
        .machines
        .iter()
        .map(|machine| machine.config_version().0)
        .collect::<Vec<_>>();
    assert_eq!(versions, [2, 2, 2]);
}

#[test]
fn what_waited_during_a_pause_does_not_make_an_old_configuration_trusted() {
    let mut set = nodes::NodeSet::start(3, 1);
    let mut fleet = nodes::one_engine();
    let service = ids::ServiceId::new("lunch-llm");
    fleet.services.get_mut(&service).unwrap().kind = config::ServiceKind::Plain {
        path_prefix: "/orders".to_owned(),
    };
    for index in 0..3 {
        set.give_config(index, 2, &sync::Arc::new(fleet.clone()));
    }
    set.run(Duration::from_secs(6));
    let kept = |machine: &NodeMachine| !machine.coordinated_endpoints().is_empty();
    let keeper = set.machines.iter().position(kept).unwrap();
    let others = (0..3).filter(|index| *index != keeper).collect::<Vec<_>>();
    set.paused[keeper] = true;
    set.run(Duration::from_secs(5));
    let centre = ids::CentreId::new("abdali");
    fleet.data_centres.get_mut(&centre).unwrap().state = config::ServiceState::TakenOut;
    for index in &others {
        set.give_config(*index, 3, &sync::Arc::new(fleet.clone()));
    }
    set.part(&[keeper], &others, true);
    set.run(Duration::from_secs(5));
    set.silent_watch = true;
    set.started_by = vec![0; 3];
    set.paused[keeper] = false;
    set.run(Duration::from_secs(4));
    assert_eq!(set.machines[keeper].config_version().0, 2);
    let started = set.started_by[keeper];
    assert_eq!(started, 0, "new work on an old configuration");
}
