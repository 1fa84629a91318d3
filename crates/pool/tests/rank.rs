//! Tests which daemon becomes the placer and which daemons watch the store.

use model::ids;
use model::serving;
use sardinepaddle_pool::rank;

fn entry(host: &str, centre: &str, cpu_millis: u32) -> serving::DaemonEntry {
    serving::DaemonEntry {
        host: ids::HostId::new(host),
        centre: ids::CentreId::new(centre),
        address: "127.0.0.1:7000".parse().unwrap(),
        callers: None,
        cpu_millis,
    }
}

fn three_daemons() -> rank::DaemonRank {
    let mut daemons = rank::DaemonRank::default();
    daemons.set_daemons(&[
        entry("a1", "a", 250),
        entry("a2", "a", 250),
        entry("b1", "b", 500),
    ]);
    daemons
}

#[test]
fn daemon_with_most_processor_time_is_the_placer() {
    let daemons = three_daemons();
    assert_eq!(daemons.placer(0.0).unwrap().host.as_str(), "b1");
}

#[test]
fn backoff_of_a_daemon_that_did_not_answer_grows() {
    let mut daemons = three_daemons();
    let b1 = ids::HostId::new("b1");
    daemons.back_off(&b1, 0.0);
    assert_ne!(daemons.placer(1_000.0).unwrap().host, b1);
    assert_eq!(daemons.placer(1_600.0).unwrap().host, b1);
    daemons.back_off(&b1, 1_600.0);
    assert_ne!(daemons.placer(3_500.0).unwrap().host, b1);
    daemons.reset_backoff(&b1);
    assert_eq!(daemons.placer(3_500.0).unwrap().host, b1);
}

// Regression: a host that had been replaced stayed the second watcher of the store forever
// (trouble-3 of zaatar-amman, seed 144841837859: CONFIG).
#[test]
fn removed_daemon_does_not_watch_the_store() {
    let daemons = three_daemons();
    let b1 = ids::HostId::new("b1");
    let first = daemons.second_watcher(&b1, |_| true).unwrap().clone();
    let next = daemons.second_watcher(&b1, |host| *host != first).unwrap();
    assert_ne!(*next, first);
    assert_ne!(*next, b1);
    assert_eq!(daemons.second_watcher(&b1, |_| false), None);
}

#[test]
fn store_is_watched_from_two_data_centres() {
    let daemons = three_daemons();
    let a1 = ids::HostId::new("a1");
    assert_eq!(
        daemons.second_watcher(&a1, |_| true).unwrap().as_str(),
        "b1"
    );
}

// Regression: each daemon returned to the first of the order at a time of its own. While daemons
// were stopped in turn, two placed at once for up to three seconds after each return, each with
// only half of the state (zaatar-amman trouble-2).
#[test]
fn placer_stays_unless_another_has_more_processor_time() {
    let daemons = three_daemons();
    let [a1, a2, b1] = ["a1", "a2", "b1"].map(ids::HostId::new);
    for own in [&a1, &a2] {
        assert!(daemons.should_yield(own, &b1, false));
        assert!(!daemons.should_yield(&b1, own, true));
    }
    assert!(!daemons.should_yield(&a1, &a2, false));
    assert!(!daemons.should_yield(&a2, &a1, false));
}

#[test]
fn one_of_two_placers_yields() {
    let daemons = three_daemons();
    let [a1, a2] = ["a1", "a2"].map(ids::HostId::new);
    let yields = [
        daemons.should_yield(&a1, &a2, true),
        daemons.should_yield(&a2, &a1, true),
    ];
    assert_eq!(yields.iter().filter(|yields| **yields).count(), 1);
}

// Regression: while the store was down, each of 91 daemons became the second watcher in turn,
// because the one before it had just failed: 441 calls in six seconds (stock desk grown, scale-1).
#[test]
fn one_daemon_at_a_time_watches_an_unreachable_store() {
    let daemons = three_daemons();
    let b1 = ids::HostId::new("b1");
    let watcher_at = |now: f64| {
        daemons
            .watcher_in_rotation(&b1, now, |_| true)
            .unwrap()
            .clone()
    };
    let watchers: Vec<ids::HostId> = (0..60)
        .map(|tick| watcher_at(f64::from(tick) * 100.0))
        .collect();
    let changes = watchers
        .windows(2)
        .filter(|pair| pair[0] != pair[1])
        .count();
    assert_eq!(changes, 3, "{watchers:?}");
    assert!(!watchers.contains(&b1));
    assert_eq!(daemons.watcher_in_rotation(&b1, 0.0, |_| false), None);
}

#[test]
fn daemon_that_is_starting_is_tried_again_soon() {
    let mut daemons = three_daemons();
    let b1 = ids::HostId::new("b1");
    daemons.back_off_starting(&b1, 0.0);
    assert!(daemons.is_starting(&b1));
    assert!(daemons.is_backed_off(&b1, 100.0));
    daemons.back_off_starting(&b1, 300.0);
    assert!(!daemons.is_backed_off(&b1, 600.0));
    daemons.back_off(&b1, 600.0);
    assert!(!daemons.is_starting(&b1));
}

#[test]
fn daemons_in_a_circle_agree_on_the_first_in_rank() {
    let daemons = three_daemons();
    let hosts = ["a1", "b1", "a2"].map(ids::HostId::new);
    let rotated = ["b1", "a2", "a1"].map(ids::HostId::new);
    for circle in [&hosts, &rotated] {
        let first = daemons.first_of(circle, &entry("a1", "a", 250));
        assert_eq!(first.unwrap().as_str(), "b1");
    }
    assert_eq!(daemons.first_of(&[], &entry("a1", "a", 250)), None);
}

// Guards against a daemon that ranks itself last before its own entry is listed, and follows another one
// than the rest of its circle.
#[test]
fn daemon_that_is_not_listed_yet_has_its_rank_in_a_circle() {
    let daemons = three_daemons();
    let circle = ["a1", "c1", "b1"].map(ids::HostId::new);
    let first = |cpu_millis| {
        let own = entry("c1", "c", cpu_millis);
        daemons.first_of(&circle, &own).unwrap().as_str()
    };
    assert_eq!(first(1_000), "c1");
    assert_eq!(first(100), "b1");
}
