//! The change path: acceptance, races, lost answers, the audit trail.

mod support;

use std::future;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use fakes::fleet;
use fakes::proxy;
use fakes::store;
use model::audit;
use model::config;
use model::ids;
use model::store as store_model;
use objects::client;
use objects::trail;
use objects::writer;

fn note(who: &str, write_id: &str) -> writer::ChangeMetadata {
    writer::ChangeMetadata {
        who: who.to_owned(),
        what: "test".to_owned(),
        at_ms: 1,
        write_id: write_id.to_owned(),
    }
}

fn with_customer(base: &writer::CurrentConfig, name: &str) -> config::FleetConfig {
    let mut config = base.object.config.clone();
    config
        .customers
        .insert(ids::CustomerId::new(name), config::CustomerEntry::default());
    config
}

fn lost(count: u32) -> store::StoreFaults {
    store::StoreFaults {
        lose_writes: count,
        ..Default::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_and_entry_are_one_write() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    let end = platform
        .run_as("dana", &["endpoint", "take-out", "lm-01"])
        .await;
    assert_eq!(end.code, 0, "{end:?}");
    let (_, object) = platform.object().await;
    let entry = object.audit.last().unwrap();
    assert_eq!(entry.number, 2);
    assert_eq!(entry.who, "dana");
    assert_eq!(entry.what, "endpoint take-out lm-01");
    assert_eq!(entry.changes[0].path, "endpoints/lm-01");
    assert_eq!(
        entry.changes[0].before.as_ref().unwrap()["state"],
        "in_service"
    );
    assert_eq!(
        entry.changes[0].after.as_ref().unwrap()["state"],
        "taken_out"
    );
    let state = object.config.endpoints[&ids::EndpointId::new("lm-01")].state;
    assert_eq!(state, config::ServiceState::TakenOut);
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_to_change_writes_nothing() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    let (before, _) = platform.object().await;
    let end = platform.run(&["endpoint", "bring-back", "lm-01"]).await;
    assert_eq!(end.code, 0, "{end:?}");
    assert_eq!(platform.object().await.0, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_race_names_the_winner_and_changes_nothing() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    let writer = writer::ConfigWriter::new(platform.client.clone());
    let base = writer.read().await.unwrap();
    let end = platform
        .run_as("omar", &["customer", "create", "won"])
        .await;
    assert_eq!(end.code, 0, "{end:?}");
    let config = with_customer(&base, "late");
    let outcome = writer.change(&base, config, note("late", "w")).await;
    let writer::ChangeOutcome::Conflict { earlier_changes } = outcome.unwrap() else {
        panic!("the race was not lost");
    };
    assert_eq!(earlier_changes.len(), 1);
    assert_eq!(earlier_changes[0].who, "omar");
    assert_eq!(earlier_changes[0].changes[0].path, "customers/won");
    let (_, object) = platform.object().await;
    assert!(
        !object
            .config
            .customers
            .contains_key(&ids::CustomerId::new("late"))
    );
}

/// Programs started at once in one round.
const RACERS: usize = 6;
/// Most rounds until two programs meet.
const ROUNDS: usize = 30;

#[tokio::test(flavor = "multi_thread")]
async fn program_exits_with_three_after_a_lost_race() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    // Slow calls let programs read before another one writes.
    platform
        .faults(&store::StoreFaults {
            latency_ms: 100,
            ..Default::default()
        })
        .await;
    for round in 0..ROUNDS {
        if race(&platform, round).await > 0 {
            return;
        }
    }
    panic!("no two programs met");
}

/// Lets programs race. Returns how many lost.
async fn race(platform: &support::TestPlatform, round: usize) -> usize {
    let names = (0..RACERS).map(|index| format!("c{round}-{index}"));
    let names = names.collect::<Vec<_>>();
    let runs = names.iter().map(async |name| {
        let args = ["customer", "create", name.as_str()];
        platform.run_as(name, &args).await
    });
    let ends = futures_util::future::join_all(runs).await;
    let (_, object) = platform.object().await;
    let mut lost = 0;
    for (name, end) in names.iter().zip(&ends) {
        let id = ids::CustomerId::new(name);
        let present = object.config.customers.contains_key(&id);
        assert_eq!(present, end.code == 0, "{end:?}");
        if end.code == 0 {
            continue;
        }
        lost += 1;
        assert_eq!(end.code, 3, "{end:?}");
        assert!(end.stderr.contains("+ customers/c"), "{end:?}");
    }
    lost
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_read_back_as_accepted() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    platform.faults(&lost(1)).await;
    let end = platform.run(&["customer", "create", "depot-2"]).await;
    assert_eq!(end.code, 0, "{end:?}");
    let (version, object) = platform.object().await;
    assert!(
        end.stdout.contains(&format!("accepted: version {version}")),
        "{end:?}"
    );
    let entries = object
        .audit
        .iter()
        .filter(|entry| entry.what == "customer create depot-2");
    assert_eq!(entries.count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_settled_by_write_id_after_others_changed_more() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    let direct = writer::ConfigWriter::new(platform.client.clone());
    let base = direct.read().await.unwrap();
    // The first writer hears nothing until the second one's change is accepted.
    let link = proxy::FaultProxy::start(fleet::free_address(), platform.store.address());
    let link = link.await.unwrap();
    link.control().set(proxy::LinkFault::DropAnswers);
    let far = client::PlatformClient::new(link.address(), platform.hosts.address());
    let far = writer::ConfigWriter::new(far);
    let config = with_customer(&base, "first");
    let first = far.change(&base, config, note("one", "w-one"));
    let second = async {
        let base = wait_for_entries(&direct, 2).await;
        let config = with_customer(&base, "second");
        let outcome = direct.change(&base, config, note("two", "w-two")).await;
        link.control().set(proxy::LinkFault::None);
        outcome
    };
    let (first, second) = tokio::join!(first, second);
    assert!(matches!(
        second.unwrap(),
        writer::ChangeOutcome::Accepted { .. }
    ));
    let writer::ChangeOutcome::Accepted { current, entry } = first.unwrap() else {
        panic!("the first change was accepted");
    };
    assert_eq!(entry.number, 2);
    assert_eq!(current.object.audit.len(), 3);
}

async fn wait_for_entries(writer: &writer::ConfigWriter, count: usize) -> writer::CurrentConfig {
    loop {
        let current = writer.read().await.unwrap();
        if current.object.audit.len() == count {
            return current;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_in_the_middle_is_told_as_unknown() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    platform.fill().await;
    let writer = writer::ConfigWriter::new(platform.client.clone());
    let base = writer.read().await.unwrap();
    let outage = store::StoreFaults {
        outage: true,
        ..Default::default()
    };
    platform.faults(&outage).await;
    let config = with_customer(&base, "late");
    let error = writer.change(&base, config, note("one", "w-one")).await;
    let Err(writer::WriterError::Unknown { write_id }) = error else {
        panic!("{error:?}");
    };
    assert_eq!(write_id, "w-one");
}

/// An object API that is empty until the first write, and answers nothing from then on.
async fn serve_until_written(listener: tokio::net::TcpListener) {
    let written = sync::Arc::new(atomic::AtomicBool::new(false));
    let answer = move |request: axum::extract::Request| async move {
        if request.method() == http::Method::PUT {
            written.store(true, atomic::Ordering::SeqCst);
        }
        if written.load(atomic::Ordering::SeqCst) {
            future::pending::<()>().await;
        }
        match request.uri().query() {
            Some(_) => (http::StatusCode::OK, "[]"),
            None => (http::StatusCode::NOT_FOUND, ""),
        }
    };
    let router = axum::Router::new().fallback(answer);
    axum::serve(listener, router).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn program_exits_with_four_when_the_outcome_is_unknown() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = tokio::spawn(serve_until_written(listener));
    let end = tokio::task::spawn_blocking(move || {
        let flags = [
            "--object-api",
            &address,
            "--host-list",
            &address,
            "--who",
            "dana",
        ];
        support::run(&[&["customer", "create", "depot-1"][..], &flags[..]].concat())
    });
    let end = end.await.unwrap();
    server.abort();
    assert_eq!(end.code, 4, "{end:?}");
    assert!(end.stderr.contains("the response to write "), "{end:?}");
    assert!(end.stderr.contains("audit --write-id"), "{end:?}");
    assert!(!end.stdout.contains("accepted"), "{end:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_before_the_read_is_a_failure() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    let outage = store::StoreFaults {
        outage: true,
        ..Default::default()
    };
    platform.faults(&outage).await;
    let end = platform.run(&["customer", "create", "depot-2"]).await;
    assert_eq!(end.code, 1, "{end:?}");
    assert!(end.stderr.contains("nothing was changed"), "{end:?}");
}

fn entry(number: u64, bytes: usize) -> audit::AuditEntry {
    audit::AuditEntry {
        number,
        who: "tester".to_owned(),
        at_ms: number,
        what: "x".repeat(bytes),
        write_id: format!("w-{number}"),
        changes: Vec::new(),
    }
}

#[test]
fn entries_are_rolled_by_count_and_by_size() {
    let count = trail::MAX_INLINE_ENTRIES as u64;
    let many = (1..=count)
        .map(|number| entry(number, 10))
        .collect::<Vec<_>>();
    assert_eq!(trail::archive_lengths(&many), Vec::<usize>::new());
    let more = (1..=count + 1)
        .map(|number| entry(number, 10))
        .collect::<Vec<_>>();
    assert_eq!(trail::archive_lengths(&more), vec![32]);
    let large = (1..=9)
        .map(|number| entry(number, 90 << 10))
        .collect::<Vec<_>>();
    assert_eq!(trail::archive_lengths(&large), vec![2, 2, 2]);
}

async fn fill_trail(platform: &support::TestPlatform, count: u64) {
    let writer = writer::ConfigWriter::new(platform.client.clone());
    let mut base = writer.read().await.unwrap();
    for number in 1..=count {
        let config = with_customer(&base, &format!("c{number}"));
        let note = note("tester", &format!("w-{number}"));
        let outcome = writer.change(&base, config, note).await.unwrap();
        let writer::ChangeOutcome::Accepted { current, .. } = outcome else {
            panic!("{outcome:?}");
        };
        base = *current;
    }
}

async fn numbers(platform: &support::TestPlatform) -> Vec<u64> {
    let (_, object) = platform.object().await;
    let entries = trail::read(&platform.client, &object, usize::MAX)
        .await
        .unwrap();
    entries.iter().map(|entry| entry.number).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn rolled_entries_stay_in_the_trail() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    fill_trail(&platform, 140).await;
    assert_eq!(numbers(&platform).await, (1..=140).collect::<Vec<_>>());
    let (_, object) = platform.object().await;
    assert!(object.audit.len() <= trail::MAX_INLINE_ENTRIES + 1);
    let rolled = platform.client.list(trail::ARCHIVE_PREFIX).await.unwrap();
    assert_eq!(rolled.len(), 3);
    let end = platform
        .run(&["audit", "--write-id", "w-3", "--json"])
        .await;
    assert_eq!(end.code, 0, "{end:?}");
    let found = serde_json::from_str::<Vec<audit::AuditEntry>>(&end.stdout).unwrap();
    assert_eq!(found[0].number, 3);
    let end = platform.run(&["audit", "--write-id", "none"]).await;
    assert_eq!(end.code, 1, "{end:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn roll_interrupted_before_the_change_loses_and_doubles_nothing() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    fill_trail(&platform, trail::MAX_INLINE_ENTRIES as u64 + 1).await;
    let (_, object) = platform.object().await;
    // The writer is interrupted after it wrote the rolled entries.
    assert_eq!(
        trail::archive(&platform.client, &object.audit)
            .await
            .unwrap(),
        32
    );
    let all = (1..=trail::MAX_INLINE_ENTRIES as u64 + 1).collect::<Vec<_>>();
    assert_eq!(numbers(&platform).await, all);
    // The next one meets them, also with its own answer lost.
    platform.faults(&lost(1)).await;
    let end = platform.run(&["customer", "create", "next"]).await;
    assert_eq!(end.code, 0, "{end:?}");
    let all = (1..=trail::MAX_INLINE_ENTRIES as u64 + 2).collect::<Vec<_>>();
    assert_eq!(numbers(&platform).await, all);
    assert_eq!(
        platform.object().await.1.audit.len(),
        trail::MAX_INLINE_ENTRIES + 2 - 32
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn numbers_go_on_after_the_object_was_removed() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    fill_trail(&platform, trail::MAX_INLINE_ENTRIES as u64 + 2).await;
    let call = store_model::StoreCall::Remove {
        name: config::CONFIG_OBJECT.to_owned(),
    };
    platform.client.call(call).await;
    platform.fill().await;
    assert_eq!(platform.object().await.1.audit[0].number, 33);
}

/// A note whose entry has about `bytes` bytes.
fn large_note(write_id: &str, bytes: usize) -> writer::ChangeMetadata {
    let mut note = note("tester", write_id);
    note.what = "x".repeat(bytes);
    note
}

#[tokio::test(flavor = "multi_thread")]
async fn large_entry_is_rolled_by_the_next_change() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    let writer = writer::ConfigWriter::new(platform.client.clone());
    for (index, bytes) in [700 << 10, 700 << 10, 10].into_iter().enumerate() {
        let base = writer.read().await.unwrap();
        let config = with_customer(&base, &format!("c{index}"));
        let note = large_note(&format!("w-{index}"), bytes);
        let outcome = writer.change(&base, config, note).await.unwrap();
        assert!(matches!(outcome, writer::ChangeOutcome::Accepted { .. }));
    }
    assert_eq!(numbers(&platform).await, [1, 2, 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn change_beyond_the_value_limit_is_refused_before_it_is_written() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    let writer = writer::ConfigWriter::new(platform.client.clone());
    let base = writer.read().await.unwrap();
    let config = with_customer(&base, "c1");
    let outcome = writer.change(&base, config, large_note("w", writer::MAX_VALUE_BYTES));
    let error = outcome.await.unwrap_err();
    assert!(
        matches!(error, writer::WriterError::TooLarge { .. }),
        "{error}"
    );
    assert_eq!(writer.read().await.unwrap(), base);
}

#[tokio::test(flavor = "multi_thread")]
async fn writers_that_roll_at_once_lose_no_entry() {
    let platform = support::TestPlatform::start(Vec::new()).await;
    let count = trail::MAX_INLINE_ENTRIES as u64 + 1;
    fill_trail(&platform, count).await;
    let writer = writer::ConfigWriter::new(platform.client.clone());
    let base = writer.read().await.unwrap();
    let changes = ["a", "b", "c", "d"].map(|name| {
        let config = with_customer(&base, name);
        writer.change(&base, config, note(name, name))
    });
    let outcomes = futures_util::future::join_all(changes).await;
    let accepted = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Ok(writer::ChangeOutcome::Accepted { .. })));
    assert_eq!(accepted.count(), 1, "{outcomes:?}");
    assert_eq!(
        numbers(&platform).await,
        (1..=count + 1).collect::<Vec<_>>()
    );
}
