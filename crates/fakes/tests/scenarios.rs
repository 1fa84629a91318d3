//! Runs every file under `scenarios/`, each as a test of its own name.

use std::collections;
use std::fs;
use std::path;

use sardinepaddle_fakes::scenario::run;
use sardinepaddle_fakes::scenario::spec;
use tokio::sync;

/// Fleets that run at once.
const FLEETS: usize = 3;

static ROOM: sync::Semaphore = sync::Semaphore::const_new(FLEETS);

fn folder() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

async fn play(name: &str) {
    let _room = ROOM.acquire().await.unwrap();
    let file = spec::read(&folder().join(format!("{name}.yaml"))).unwrap();
    if let Err(error) = run::run(&file).await {
        panic!("{name}: {error}");
    }
}

macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                play(stringify!($name)).await;
            }
        )*

        #[test]
        fn every_file_has_a_test() {
            let tests = [$(stringify!($name)),*].map(str::to_owned);
            let tests = collections::BTreeSet::from(tests);
            let files = fs::read_dir(folder()).unwrap();
            let files = files.map(|file| file.unwrap().path());
            let files = files.map(|path| path.file_stem().unwrap().to_str().unwrap().to_owned());
            assert_eq!(tests, files.collect());
        }
    };
}

scenarios!(
    callers_gone_free_memory,
    cancels_lost_free_memory,
    claim_write_answer_lost,
    daemon_killed_frees_memory,
    daemon_killed_while_call_runs,
    engine_killed_mid_stream,
    frozen_connections,
    paused_daemon_resumes,
    plain_service_killed_while_call_runs,
    same_key_through_three_daemons,
    store_outage_refuses_at_once,
);

#[test]
fn unknown_keys_are_refused() {
    let good = fs::read_to_string(folder().join("same_key_through_three_daemons.yaml")).unwrap();
    assert!(spec::parse(&good).is_ok());
    for (from, to) in [
        ("about:", "abuot:"),
        ("daemons:", "deamons:"),
        ("calls:", "call:"),
        ("keyed:", "key:"),
        ("proves:", "shows:"),
        ("at_most_once", "at_least_once"),
        ("true_outcomes:", "true_results:"),
    ] {
        assert!(good.contains(from), "{from}");
        assert!(spec::parse(&good.replacen(from, to, 1)).is_err(), "{to}");
    }
}
