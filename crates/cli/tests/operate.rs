//! Each operators' command against the stand-in platform.

mod support;

use std::time::Duration;

use fakes::fleet;
use fakes::store;
use model::config;

#[tokio::test(flavor = "multi_thread")]
async fn apply_tells_the_daemons_and_status_shows_them() {
    let (object_api, host_list) = (fleet::free_address(), fleet::free_address());
    // The daemon cannot reach the object API: only the push can bring it the configuration.
    let settings = support::daemon_settings(fleet::free_address(), host_list);
    let silent = support::daemon_settings(object_api, host_list);
    let mut silent = support::host_entry(&silent);
    silent.host = model::ids::HostId::new("k2");
    let listed = vec![support::host_entry(&settings), silent];
    let platform = support::TestPlatform::start_at(object_api, host_list, listed).await;
    let handle = daemon::run::start(settings).await.unwrap();
    let file = platform.file("fleet.yaml", support::FLEET);
    let end = platform.run(&["apply", &file]).await;
    assert_eq!(end.code, 0, "{end:?}");
    assert!(end.stdout.contains("pushed to 1 of 2 daemons"), "{end:?}");
    let (version, _) = platform.object().await;
    let mut shown = serde_json::Value::Null;
    for _ in 0..200 {
        let end = platform.run(&["status", "--json"]).await;
        assert_eq!(end.code, 1, "{end:?}");
        assert!(end.stderr.contains("no answer from k2"), "{end:?}");
        shown = serde_json::from_str(&end.stdout).unwrap();
        if shown["daemons"][0]["status"]["version"] == version {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(shown["config"]["version"], version, "{shown}");
    assert!(shown["config"]["age_ms"].is_u64(), "{shown}");
    assert_eq!(shown["daemons"][0]["status"]["version"], version, "{shown}");
    assert_eq!(shown["daemons"][1]["status"], serde_json::Value::Null);
    handle.stopper().stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn status_tells_an_outage_of_the_object_api() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform
        .faults(&store::StoreFaults {
            outage: true,
            ..Default::default()
        })
        .await;
    let end = platform.run(&["status"]).await;
    assert_eq!(end.code, 1, "{end:?}");
    assert!(end.stderr.contains("the object API"), "{end:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn diff_shows_what_apply_would_change() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    let same = platform.file("same.yaml", support::FLEET);
    let end = platform.run(&["diff", &same]).await;
    assert_eq!(end.code, 0, "{end:?}");
    assert!(end.stdout.contains("no difference"), "{end:?}");
    let text = support::FLEET.replace("depot-1: {}", "depot-1: { weight: 4 }");
    let other = platform.file("other.yaml", &text);
    let end = platform.run(&["diff", &other, "--json"]).await;
    assert_eq!(end.code, 0, "{end:?}");
    let shown = serde_json::from_str::<serde_json::Value>(&end.stdout).unwrap();
    assert_eq!(shown["changes"][0]["path"], "customers/depot-1");
    assert_eq!(shown["changes"][0]["after"]["weight"], 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_refuses_a_faulty_file_and_writes_nothing() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    let text = support::FLEET.replace("service: stockdesk-lm", "service: stockdesk-ml");
    let file = platform.file("fleet.yaml", &text);
    let end = platform.run(&["apply", &file]).await;
    assert_eq!(end.code, 1, "{end:?}");
    assert!(end.stderr.contains("did you mean stockdesk-lm?"), "{end:?}");
    let listed = platform.client.list("config/").await.unwrap();
    assert!(listed.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn everything_is_created_listed_taken_out_and_removed() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    let steps: &[&[&str]] = &[
        &["data-centre", "create", "spt-c", "--region", "jm-south"],
        &["customer", "create", "depot-9", "--weight", "4"],
        &["service", "create", "lm", "--model", "stock-1"],
        &[
            "service",
            "create",
            "app",
            "--path-prefix",
            "/stock",
            "--non-idempotent",
            "POST /stock",
        ],
        &[
            "endpoint",
            "create",
            "lm-1",
            "--service",
            "lm",
            "--data-centre",
            "spt-c",
            "--address",
            "127.0.0.1:1",
            "--slots",
            "8",
        ],
        &["data-centre", "take-out", "spt-c"],
        &["endpoint", "take-out", "lm-1"],
    ];
    for step in steps {
        let end = platform.run(step).await;
        assert_eq!(end.code, 0, "{step:?} {end:?}");
    }
    let shown = |end: support::ProgramEnd| {
        assert_eq!(end.code, 0, "{end:?}");
        serde_json::from_str::<serde_json::Value>(&end.stdout).unwrap()
    };
    let centres = shown(platform.run(&["data-centre", "list", "--json"]).await);
    assert_eq!(centres["spt-c"]["state"], "taken_out");
    let endpoints = shown(platform.run(&["endpoint", "list", "--json"]).await);
    assert_eq!(endpoints["lm-1"]["state"], "taken_out");
    assert_eq!(endpoints["lm-1"]["slots"], 8);
    let services = shown(platform.run(&["service", "list", "--json"]).await);
    assert_eq!(services["app"]["non_idempotent"][0]["method"], "POST");
    let customers = shown(platform.run(&["customer", "list", "--json"]).await);
    assert_eq!(customers["depot-9"]["weight"], 4);
    let table = platform.run(&["endpoint", "list"]).await;
    assert!(table.stdout.contains("taken_out"), "{table:?}");
    let undo: &[&[&str]] = &[
        &["endpoint", "bring-back", "lm-1"],
        &["data-centre", "bring-back", "spt-c"],
        &["endpoint", "remove", "lm-1"],
        &["service", "remove", "lm"],
        &["service", "remove", "app"],
        &["customer", "remove", "depot-9"],
        &["data-centre", "remove", "spt-c"],
    ];
    for step in undo {
        let end = platform.run(step).await;
        assert_eq!(end.code, 0, "{step:?} {end:?}");
    }
    let (_, object) = platform.object().await;
    assert_eq!(object.config, config::FleetConfig::default());
    assert_eq!(object.audit.len(), steps.len() + undo.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_that_make_no_sense_are_refused() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    let (before, _) = platform.object().await;
    let cases: &[(&[&str], i32, &str)] = &[
        (
            &["service", "remove", "stockdesk-lm"],
            1,
            "there is no service stockdesk-lm",
        ),
        (
            &["data-centre", "remove", "kgn-a"],
            1,
            "there is no data centre kgn-a",
        ),
        (
            &["customer", "create", "depot-1"],
            1,
            "depot-1 exists already",
        ),
        (&["endpoint", "take-out", "lm-99"], 1, "there is no lm-99"),
        (&["service", "create", "x"], 2, "--path-prefix"),
        (
            &[
                "service",
                "create",
                "x",
                "--model",
                "m",
                "--path-prefix",
                "/m",
            ],
            2,
            "cannot be used",
        ),
    ];
    for (args, code, text) in cases {
        let end = platform.run(args).await;
        assert_eq!(end.code, *code, "{args:?} {end:?}");
        assert!(end.stderr.contains(text), "{args:?} {end:?}");
    }
    assert_eq!(platform.object().await.0, before);
}

#[test]
fn missing_addresses_are_misuse() {
    let end = support::run(&["status"]);
    assert_eq!(end.code, 2, "{end:?}");
    assert!(end.stderr.contains("--object-api"), "{end:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn addresses_come_from_a_settings_file() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    let text = format!(
        "object_api: {}\nhost_list: {}\nwho: file\n",
        platform.store.address(),
        platform.hosts.address()
    );
    let file = platform.file("operator.yaml", &text);
    let end = tokio::task::spawn_blocking(move || {
        support::run(&["customer", "create", "depot-5", "--settings", &file])
    })
    .await
    .unwrap();
    assert_eq!(end.code, 0, "{end:?}");
    assert_eq!(platform.object().await.1.audit.last().unwrap().who, "file");
}
