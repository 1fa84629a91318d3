//! The `load` command against stand-ins: its counts add up. Nothing here depends on speed.

use std::collections;
use std::path;
use std::process;

fn experiment(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../experiments")
        .join(name)
}

fn load(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_sardinepaddle"))
        .arg("load")
        .args(arguments)
        .output()
        .unwrap()
}

fn count(value: &serde_json::Value) -> u64 {
    value.as_u64().unwrap()
}

#[test]
fn every_request_of_every_run_is_accounted_for() {
    let path = experiment("smoke.yaml");
    let output = load(&[path.to_str().unwrap(), "--json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let report = serde_json::from_str::<serde_json::Value>(&text).unwrap();
    let runs = report["runs"].as_array().unwrap();
    assert_eq!(runs.len(), 6, "two seeds and three variants");
    let mut by_seed = collections::BTreeMap::<u64, Vec<u64>>::new();
    for run in runs {
        let sum = ["answered", "refused", "failed", "lost", "mixed_up"]
            .iter()
            .map(|name| count(&run[*name]))
            .sum::<u64>();
        assert_eq!(sum, count(&run["requests"]), "{run}");
        assert_eq!(count(&run["lost"]), 0, "{run}");
        assert_eq!(count(&run["mixed_up"]), 0, "{run}");
        assert_eq!(count(&run["doubled"]), 0, "{run}");
        let customers = run["customers"].as_object().unwrap().values();
        let by_customer = customers.map(|customer| count(&customer["requests"]));
        assert_eq!(by_customer.sum::<u64>(), count(&run["requests"]));
        assert_eq!(run["windows"].as_array().unwrap().len(), 2);
        assert!(count(&run["cost"]["peer_messages"]) > 0, "{run}");
        assert!(count(&run["cost"]["peer_bytes"]) > 0, "{run}");
        assert!(count(&run["cost"]["store_calls"]) > 0, "{run}");
        if run["variant"] == "without_long" {
            assert_eq!(count(&run["classes"]["long"]["requests"]), 0);
        } else {
            let seed = count(&run["seed"]);
            by_seed
                .entry(seed)
                .or_default()
                .push(count(&run["requests"]));
        }
    }
    for counts in by_seed.values() {
        let same = counts.iter().all(|count| *count == counts[0]);
        assert!(same, "one seed gives one load: {counts:?}");
    }
    assert_eq!(report["summary"].as_array().unwrap().len(), 3);
}

#[test]
fn an_experiment_that_does_not_exist_is_named() {
    let output = load(&["experiments/none.yaml"]);
    assert!(!output.status.success());
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("experiments/none.yaml"), "{errors}");
}
