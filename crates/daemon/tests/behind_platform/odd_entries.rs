//! Entries in the store that another program wrote and that can't be decoded.

use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;

use crate::support;
use crate::support::RunningDaemon;

const KINDS: [&str; 3] = ["servers", "sardinepaddle-daemons", "evacuations"];

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn endpoint(address: &str, fields: &str) -> String {
    format!(
        "{{\"service\": \"s\", \"address\": \"{address}\", \"zone\": \"a\", \"phase\": \"ready\", \
         {fields}}}"
    )
}

fn daemon(address: &str, cpu_millis: &str) -> String {
    format!(
        "{{\"host\": \"h9\", \"centre\": \"a\", \"address\": \"{address}\", \
         \"callers\": \"{address}\", \"cpu_millis\": {cpu_millis}}}"
    )
}

fn odd_texts() -> Vec<String> {
    let closed = "127.0.0.1:1";
    let mut texts = vec![
        nested(100_000),
        endpoint(closed, &format!("\"labels\": {}", nested(100_000))),
        endpoint(closed, &format!("\"slots\": {}", nested(200))),
        endpoint("127.0.0.1:70000", "\"slots\": 4"),
        endpoint("127.0.0.1:0", "\"slots\": 4"),
        endpoint("127.0.0.1:-1", "\"slots\": 4"),
        daemon("127.0.0.1:70000", "1000"),
        daemon(closed, "1e999"),
        daemon(closed, &nested(200)),
        daemon(closed, "4294967295"),
        "\"\\ud800\"".to_owned(),
        "1e999".to_owned(),
    ];
    let numbers = [
        "1e999",
        "-1",
        "99999999999999999999999999",
        "18446744073709551615",
        "4294967295",
    ];
    for number in numbers {
        for field in ["slots", "born", "sequence", "cold_left_ms"] {
            texts.push(endpoint(closed, &format!("\"{field}\": {number}")));
        }
    }
    texts
}

fn put_all(store: &FakeObjectStore, prefix: &str) {
    for kind in KINDS {
        for (number, text) in odd_texts().iter().enumerate() {
            store.put_text(kind, &format!("{prefix}{number:02}"), text);
        }
    }
}

/// Asserts that a daemon is the process that was started, learns of an endpoint that is listed now,
/// and serves requests.
async fn assert_follows(store: &FakeObjectStore, daemon: &mut RunningDaemon, id: &str) {
    let endpoint = FakeEndpoint::start(id, EndpointScript::Respond).await;
    store.put("servers", id, endpoint.entry("s", "ready"));
    let listed = format!("\"endpoint\":\"{id}\",\"event\":\"endpoint listed\"");
    RunningDaemon::wait_for("the endpoint", || daemon.log().contains(&listed));
    RunningDaemon::wait_for("a response", || {
        daemon.call("GET /safe/ HTTP/1.1", "r").status == 200
    });
    assert!(!daemon.process.has_ended());
    assert_eq!(daemon.log().matches("panicked").count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_in_the_first_list_neither_end_the_daemon_nor_hide_others() {
    let store = FakeObjectStore::start().await;
    let config = support::config(1, &support::default_routes());
    store.put("config", "main", config);
    put_all(&store, "a");
    put_all(&store, "z");
    let mut daemon = RunningDaemon::start(&store, "h1");
    daemon.wait_ready();
    assert_follows(&store, &mut daemon, "m0").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_in_a_watch_neither_end_the_daemon_nor_hide_others() {
    let (store, _endpoints, mut daemon) = support::deployment(&[EndpointScript::Respond]).await;
    put_all(&store, "a");
    assert_follows(&store, &mut daemon, "m0").await;
    put_all(&store, "z");
    assert_follows(&store, &mut daemon, "m1").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_reach_the_other_daemons_without_harm() {
    let (store, _endpoints, mut first) = support::deployment(&[EndpointScript::Respond]).await;
    let mut second = RunningDaemon::start(&store, "h2");
    second.wait_ready();
    RunningDaemon::wait_for_followers(&[&first, &second], 1);
    put_all(&store, "a");
    for (daemon, id) in [(&mut first, "m0"), (&mut second, "m1")] {
        assert_follows(&store, daemon, id).await;
    }
}

// Guards against a list that never ends, so that the daemon never gets ready, as a name of a foreign
// entry needs escapes or no entry of a page can be read.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_gets_ready_though_pages_of_lists_have_only_foreign_entries() {
    for page_length in [1, 2] {
        let store = FakeObjectStore::start().await;
        store.set_page_length(page_length);
        let config = support::config(1, &support::default_routes());
        store.put("config", "main", config);
        for kind in KINDS {
            for name in ["a00%#", "a01%41", "a02&b=", "a03+", "a04\u{e9}", "a05 ?/"] {
                store.put(kind, name, serde_json::json!(["foreign"]));
                store.put_unreadable(kind, &format!("{name}-unreadable"));
            }
        }
        let mut daemon = RunningDaemon::start(&store, "h1");
        daemon.wait_ready();
        assert_follows(&store, &mut daemon, "z1").await;
        // Five kinds, each listed once, and what the daemon calls besides.
        assert!(store.calls() < 200, "{} calls", store.calls());
    }
}
