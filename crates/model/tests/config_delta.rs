//! Configuration deltas reproduce the new version exactly, also after serialization.

use proptest::prelude::*;
use sardinepaddle_model::config;
use sardinepaddle_model::delta;
use sardinepaddle_model::ids;

fn state() -> impl Strategy<Value = config::ServiceState> {
    prop_oneof![
        Just(config::ServiceState::InService),
        Just(config::ServiceState::TakenOut),
    ]
}

fn endpoint() -> impl Strategy<Value = config::EndpointEntry> {
    (0..3_u8, state(), 1..20_u32).prop_map(|(centre, state, slots)| config::EndpointEntry {
        service: ids::ServiceId::new("lunch-llm"),
        data_centre: ids::CentreId::new(&format!("centre-{centre}")),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9_000)),
        state,
        slots,
        memory_tokens: 400_000,
        cold_slots: 2,
        checks_orders: false,
    })
}

fn service() -> impl Strategy<Value = config::ServiceEntry> {
    (1_000..9_000_u64).prop_map(|timeout_ms| config::ServiceEntry {
        kind: config::ServiceKind::Plain {
            path_prefix: "/orders".to_owned(),
        },
        timeout_ms,
        non_idempotent: Vec::new(),
    })
}

fn policy() -> impl Strategy<Value = config::PlacementPolicy> {
    prop_oneof![
        Just(config::PlacementPolicy::RoundRobin),
        Just(config::PlacementPolicy::SizeAware),
    ]
}

prop_compose! {
    fn fleet()(
        centres in prop::collection::btree_map(0..4_u8, state(), 0..4),
        customers in prop::collection::btree_map(0..4_u8, 1..4_u32, 0..4),
        services in prop::collection::btree_map(0..3_u8, service(), 0..3),
        endpoints in prop::collection::btree_map(0..8_u8, endpoint(), 0..8),
        placement in policy(),
    ) -> config::FleetConfig {
        let mut fleet = config::FleetConfig::default();
        for (name, state) in centres {
            let entry = config::CentreEntry { region: "jordan".to_owned(), state };
            fleet.data_centres.insert(ids::CentreId::new(&format!("centre-{name}")), entry);
        }
        for (name, weight) in customers {
            let entry = config::CustomerEntry { weight, ..Default::default() };
            fleet.customers.insert(ids::CustomerId::new(&format!("customer-{name}")), entry);
        }
        for (name, entry) in services {
            fleet.services.insert(ids::ServiceId::new(&format!("service-{name}")), entry);
        }
        for (name, entry) in endpoints {
            fleet.endpoints.insert(ids::EndpointId::new(&format!("endpoint-{name}")), entry);
        }
        fleet.policy.placement = placement;
        fleet
    }
}

proptest! {
    #[test]
    fn applying_the_changes_to_the_old_configuration_yields_the_new_one(
        old in fleet(),
        new in fleet(),
    ) {
        let changes = delta::ConfigChanges::between(&old, &new);
        prop_assert_eq!(changes.apply(&old), new);
    }

    #[test]
    fn delta_survives_a_json_round_trip(old in fleet(), new in fleet()) {
        let sent = delta::ConfigDelta {
            base: config::ConfigVersion(1),
            version: config::ConfigVersion(2),
            changes: delta::ConfigChanges::between(&old, &new),
        };
        let text = serde_json::to_string(&sent).unwrap();
        let received = serde_json::from_str::<delta::ConfigDelta>(&text).unwrap();
        prop_assert_eq!(received, sent);
    }
}
