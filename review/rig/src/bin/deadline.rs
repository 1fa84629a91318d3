//! Runners run requests and lose some of the answers: what the repeats are told of the time left.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::consumer::Request;
use review_rig::daemon::{self, Daemon};
use review_rig::record::Record;
use review_rig::runner::{Handler, Runner};
use review_rig::store::Store;

const TIME_LIMIT_MS: u64 = 5_000;
const WORK: Duration = Duration::from_millis(800);
/// Difference from which the rule counts a request, ms.
const SLACK: Duration = Duration::from_millis(500);
const DOSE: Duration = Duration::from_secs(4);

type Arrivals = BTreeMap<String, Vec<(Instant, Duration)>>;

fn main() {
    daemon::guard();
    let record = Record::create();
    let store = Store::start(&record);
    store.put(
        "config",
        "main",
        Some(&review_rig::call_config("safe", TIME_LIMIT_MS)),
    );
    let arrivals: Arc<Mutex<Arrivals>> = Arc::default();
    let losing = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicU64::new(0));
    let handler = |is_lossy: bool| -> Handler {
        let (arrivals, losing, count) = (arrivals.clone(), losing.clone(), count.clone());
        Arc::new(move |work| {
            let left = work.head.get("x-deadline-ms").and_then(|left| left.parse().ok());
            let left = Duration::from_millis(left.unwrap_or(u64::from(u32::MAX)));
            let mut known = arrivals.lock().expect("arrivals");
            known
                .entry(work.attempt())
                .or_default()
                .push((Instant::now(), left));
            drop(known);
            // Two of five answers are lost.
            let is_lost =
                is_lossy && losing.load(Ordering::Relaxed) && count.fetch_add(1, Ordering::Relaxed) % 5 < 2;
            thread::sleep(WORK);
            if is_lost {
                work.runner
                    .note(&format!("{} ran, its answer is lost by a reset", work.attempt()));
                review_rig::reset_on_close(&work.connection.stream);
                return false;
            }
            work.answer(200, b"looked up").is_ok()
        })
    };
    let runners: Vec<Runner> = (0..4)
        .map(|n| {
            Runner::start(
                &record,
                &format!("i-{n}"),
                "order-app",
                "zone-a",
                handler(n % 2 == 0),
            )
        })
        .collect();
    runners.iter().for_each(|runner| runner.register(&store));
    let mut daemons: Vec<Daemon> = (0..2)
        .map(|n| {
            Daemon::new(
                &record,
                &format!("edge-zone-a-{}", n + 1),
                "zone-a",
                &format!("127.0.0.{}", n + 2),
                store.address,
            )
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    daemons.iter().for_each(Daemon::wait_ready);
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let consumers: Vec<_> = (0..20)
        .map(|lane| {
            let (to, stop, record, sent) = (
                daemons[lane % 2].frontend,
                stop.clone(),
                record.clone(),
                sent.clone(),
            );
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("c{lane}-{number}");
                    let request = Request {
                        method: "GET",
                        host: "x.example",
                        path: "/call/1",
                        id: &id,
                        deadline_ms: TIME_LIMIT_MS,
                        headers: &[],
                        body: b"",
                        pace: None,
                    };
                    sent.lock().expect("sent").insert(id.clone(), Instant::now());
                    request.send(&record, to, Duration::from_millis(TIME_LIMIT_MS));
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    for _ in 0..4 {
        losing.store(review_rig::trouble(), Ordering::Relaxed);
        thread::sleep(DOSE);
        losing.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let (mut repeats, mut longer) = (0, 0);
    for (id, arrivals) in arrivals.lock().expect("arrivals").iter() {
        let (first_at, first_left) = arrivals[0];
        let own_end = sent.lock().expect("sent")[id] + Duration::from_millis(TIME_LIMIT_MS);
        let latest = (first_at + first_left).max(own_end);
        for (at, left) in arrivals.iter().skip(1).filter(|(at, _)| *at > first_at + SLACK) {
            repeats += 1;
            if *at + *left > latest + SLACK {
                longer += 1;
                record.line(format!(
                    "{id}: repeated {} ms after the first, told {} ms, {} ms more than is left",
                    (*at - first_at).as_millis(),
                    left.as_millis(),
                    (*at + *left - own_end).as_millis()
                ));
            }
        }
    }
    record.say(format!(
        "{} requests, {repeats} sent once more over 0.5 s later, {longer} of them with over 0.5 s more \
        time than is left",
        sent.lock().expect("sent").len()
    ));
    if std::env::var("LOGS").is_ok() {
        for daemon in &daemons {
            println!("=== {}\n{}", daemon.host, daemon.log());
        }
    }
    drop(daemons);
    daemon::exit(if longer > 20 && longer * 5 > repeats { 1 } else { 0 });
}
