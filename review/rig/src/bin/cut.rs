//! The store cuts off the watches that wait; a runner leaves a moment later.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::consumer::Request;
use review_rig::daemon::{self, Daemon};
use review_rig::record::Record;
use review_rig::runner::{Handler, Runner};
use review_rig::store::Store;

const DRAIN: Duration = Duration::from_millis(2_000);

fn main() {
    daemon::guard();
    let record = Record::create();
    let store = Store::start(&record);
    store.put("config", "main", Some(&review_rig::call_config("unsafe", 1_000)));
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let seen = arrivals.clone();
    let leaver: Handler = Arc::new(move |work| {
        seen.lock().expect("arrivals").push(Instant::now());
        thread::sleep(Duration::from_millis(100));
        work.answer(200, b"ordered").is_ok()
    });
    let stays: Handler = Arc::new(|work| {
        thread::sleep(Duration::from_millis(100));
        work.answer(200, b"ordered").is_ok()
    });
    let zones = ["zone-a", "zone-b"];
    let others: Vec<Runner> = (0..2)
        .map(|n| {
            Runner::start(
                &record,
                &format!("i-stays-{n}"),
                "order-app",
                zones[n],
                stays.clone(),
            )
        })
        .collect();
    others.iter().for_each(|runner| runner.register(&store));
    let leaving: Vec<Runner> = (0..3)
        .map(|n| {
            Runner::start(
                &record,
                &format!("i-leaving-{n}"),
                "order-app",
                zones[n % 2],
                leaver.clone(),
            )
        })
        .collect();
    leaving[0].register(&store);
    let mut daemons: Vec<Daemon> = ["edge-zone-a-1", "edge-zone-b-1"]
        .iter()
        .enumerate()
        .map(|(n, host)| {
            Daemon::new(
                &record,
                host,
                zones[n],
                &format!("127.0.0.{}", n + 2),
                store.address,
            )
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    daemons.iter().for_each(Daemon::wait_ready);
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(AtomicU64::new(0));
    let consumers: Vec<_> = (0..12)
        .map(|lane| {
            let daemon = &daemons[lane % 2];
            let (to, stop, record) = (daemon.frontend, stop.clone(), record.clone());
            let (served, lost) = (served.clone(), lost.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("c{lane}-{number}");
                    let request = Request {
                        method: "POST",
                        host: "x.example",
                        path: "/call/1",
                        id: &id,
                        deadline_ms: 1_000,
                        headers: &[],
                        body: b"an order",
                        pace: None,
                    };
                    match request.send(&record, to, Duration::from_secs(2)).status {
                        200 => served.fetch_add(1, Ordering::Relaxed),
                        502 | 504 => lost.fetch_add(1, Ordering::Relaxed),
                        _ => 0,
                    };
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut broken = 0;
    for (n, runner) in leaving.iter().enumerate() {
        if n > 0 {
            runner.register(&store);
            thread::sleep(Duration::from_secs(4));
        }
        if review_rig::trouble() {
            record.say("the store cuts off the waiting watches");
            store.cut_watches();
            thread::sleep(Duration::from_millis(300));
        }
        let before = arrivals.lock().expect("arrivals").len();
        let removed_at = store.put("servers", &runner.id, None);
        record.say(format!("the entry of {} is removed (acknowledged)", runner.id));
        // It serves on for `drain_ms` and half a second more, and then exits.
        thread::sleep(DRAIN + Duration::from_millis(500));
        let lost_before = lost.load(Ordering::Relaxed);
        runner.exit();
        thread::sleep(Duration::from_millis(2_500));
        let lost = lost.load(Ordering::Relaxed) - lost_before;
        let arrivals = arrivals.lock().expect("arrivals");
        let late = arrivals.iter().filter(|at| **at > removed_at + DRAIN).count();
        let last = arrivals
            .last()
            .map_or(0, |at| at.saturating_duration_since(removed_at).as_millis());
        broken += late;
        record.say(format!(
            "{}: {before} requests before, {late} later than drain_ms after it left, \
            the last after {last} ms; orders lost (502 or 504) as it exited: {lost}",
            runner.id
        ));
        if before == 0 {
            daemon::exit(2);
        }
    }
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    record.say(format!(
        "served {}, {broken} requests reached a runner later than drain_ms after it left",
        served.load(Ordering::Relaxed)
    ));
    if std::env::var("LOGS").is_ok() {
        for daemon in &daemons {
            println!("=== {}\n{}", daemon.host, daemon.log());
        }
    }
    drop(daemons);
    daemon::exit(if broken == 0 { 0 } else { 1 });
}
