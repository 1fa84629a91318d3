//! The open connections to the store go silent; a runner leaves a second later.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::consumer::Request;
use review_rig::daemon::{self, Daemon};
use review_rig::record::Record;
use review_rig::runner::{Handler, Runner};
use review_rig::store::Store;
use review_rig_2::link::Link;

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `contact_ms` of the site: from then on the machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the silence to the removal of the runner's entry.
const REMOVAL: Duration = Duration::from_millis(1_000);
/// Time from the removal to the exit of the runner.
const EXIT: Duration = Duration::from_millis(3_200);
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn main() {
    daemon::guard();
    let record = Record::create();
    let store = Store::start(&record);
    let link = Link::start(store.address);
    store.put(
        "config",
        "main",
        Some(&review_rig::call_config("unsafe", 1_000)),
    );
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
    for (n, zone) in ZONES.iter().enumerate().take(2) {
        let id = format!("i-stays-{n}");
        Runner::start(&record, &id, "order-app", zone, stays.clone()).register(&store);
    }
    let leaving: Vec<Runner> = (0..3)
        .map(|n| {
            let id = format!("i-leaving-{n}");
            Runner::start(&record, &id, "order-app", ZONES[n], leaver.clone())
        })
        .collect();
    leaving[0].register(&store);
    let mut daemons: Vec<Daemon> = ZONES
        .iter()
        .enumerate()
        .map(|(n, zone)| {
            let (host, ip) = (format!("edge-{zone}-1"), format!("127.0.0.{}", n + 2));
            Daemon::new(&record, &host, zone, &ip, link.address)
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
            let to = daemons[lane % daemons.len()].frontend;
            let (stop, record) = (stop.clone(), record.clone());
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
            thread::sleep(Duration::from_secs(6));
        }
        let silent_at = Instant::now();
        if review_rig::trouble() {
            let count = link.silence();
            record.say(format!(
                "the open connections to the store go silent ({count} so far)"
            ));
        }
        thread::sleep(REMOVAL);
        let before = arrivals.lock().expect("arrivals").len();
        let removed_at = store.put("servers", &runner.id, None);
        record.say(format!(
            "the entry of {} is removed (acknowledged)",
            runner.id
        ));
        thread::sleep(EXIT);
        let lost_before = lost.load(Ordering::Relaxed);
        runner.exit();
        thread::sleep(Duration::from_millis(1_500));
        let lost = lost.load(Ordering::Relaxed) - lost_before;
        // Later than `drain_ms` after the removal, by machines that are in touch.
        let bound = (removed_at + DRAIN).max(silent_at + CONTACT);
        let arrivals = arrivals.lock().expect("arrivals");
        let late = arrivals.iter().filter(|at| **at > bound).count();
        let last = arrivals
            .last()
            .map_or(0, |at| at.saturating_duration_since(removed_at).as_millis());
        broken += late;
        record.say(format!(
            "{}: {before} requests before, {late} later than drain_ms after it left, \
             the last {last} ms after it left; orders lost (502 or 504) as it exited: {lost}",
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
    drop(daemons);
    daemon::exit(if broken == 0 { 0 } else { 1 });
}
