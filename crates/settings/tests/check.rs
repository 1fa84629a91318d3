//! The checks accept what the types serialize to, and report errors at the right place.

use std::net;

use model::config;
use model::ids;
use sardinepaddle_settings::answers;
use sardinepaddle_settings::check;
use sardinepaddle_settings::daemon;
use sardinepaddle_settings::generate;
use sardinepaddle_settings::operator;

fn answers() -> answers::FleetAnswers {
    answers::FleetAnswers {
        region: "amman".to_owned(),
        data_centres: vec![answers::CentreAnswer {
            name: "amman-marka".to_owned(),
            first_address: net::Ipv4Addr::new(10, 0, 0, 255).into(),
        }],
        customers: vec![answers::CustomerAnswer {
            name: "school-1".to_owned(),
            size: answers::CustomerSize::Large,
        }],
        services: vec![answers::ServiceAnswer {
            name: "order-app".to_owned(),
            kind: config::ServiceKind::Plain {
                path_prefix: "/orders".to_owned(),
            },
            runners: 2,
            port: 8000,
            timeout_ms: Some(1),
            non_idempotent: vec!["POST /orders".to_owned()],
        }],
    }
}

#[test]
fn serialized_configuration_passes_the_check() {
    let mut fleet = generate::config(&answers());
    let service = config::ServiceEntry {
        kind: config::ServiceKind::Model {
            model: "lunch-1".to_owned(),
            bytes_per_token: 4,
        },
        timeout_ms: 1,
        non_idempotent: Vec::new(),
    };
    fleet
        .services
        .insert(ids::ServiceId::new("lunch-llm"), service);
    fleet.policy.placement = config::PlacementPolicy::LeastLoaded;
    let text = serde_yaml_ng::to_string(&fleet).unwrap();
    assert_eq!(check::config("fleet", &text).unwrap(), fleet);
}

#[test]
fn runners_get_consecutive_addresses() {
    let fleet = generate::config(&answers());
    let addresses = fleet
        .endpoints
        .values()
        .map(|entry| entry.address.to_string());
    let addresses = addresses.collect::<Vec<_>>();
    assert_eq!(addresses, ["10.0.0.255:8000", "10.0.1.0:8000"]);
}

#[test]
fn other_serialized_files_pass_the_check() {
    let address = |port| net::SocketAddr::from(([127, 0, 0, 1], port));
    let settings = daemon::DaemonSettings {
        host: ids::HostId::new("a1"),
        data_centre: ids::CentreId::new("amman-marka"),
        listen: daemon::ListenSettings {
            callers: address(1),
            peers: address(2),
            advertised_peers: None,
            admin: address(3),
        },
        platform: daemon::PlatformSettings {
            object_api: address(4),
            host_list: address(5),
        },
        limits: daemon::LimitSettings::default(),
        networks: daemon::NetworkSettings::default(),
        log: daemon::LogSettings::default(),
        seed: Some(u64::MAX),
    };
    let text = serde_yaml_ng::to_string(&settings).unwrap();
    let parsed = check::daemon("a1", &text).unwrap();
    assert_eq!(parsed.seed, Some(u64::MAX));
    assert_eq!(parsed.networks, daemon::NetworkSettings::default());
    let invalid = text.replace("10.0.0.0/8", "10.0.0.0/40");
    assert!(check::daemon("a1", &invalid).is_err());
    let settings = operator::OperatorSettings {
        object_api: Some(address(1)),
        host_list: None,
        who: Some("dana".to_owned()),
    };
    let text = serde_yaml_ng::to_string(&settings).unwrap();
    assert_eq!(check::operator("operator", &text).unwrap(), settings);
    let mut without_timeout = answers();
    without_timeout.services[0].timeout_ms = None;
    let text = serde_yaml_ng::to_string(&without_timeout).unwrap();
    assert_eq!(check::answers("answers", &text).unwrap(), without_timeout);
    let text = serde_yaml_ng::to_string(&answers()).unwrap();
    assert_eq!(check::answers("answers", &text).unwrap(), answers());
    assert_eq!(check::FileKind::guess(&text), check::FileKind::Answers);
}

#[test]
fn spans_are_counted_in_bytes() {
    let text = "customers: { é: {} } # ü\nnope: 1\ndata_centres: {}\nservices: {}\nendpoints: {}\n";
    let report = check::config("fleet", text).unwrap_err();
    let diagnostic = report
        .diagnostics
        .iter()
        .find(|diagnostic| diagnostic.message.contains("nope"));
    let span = diagnostic.unwrap().span;
    let start = span.offset();
    assert_eq!(&text[start..start + span.len()], "nope");
}
