//! A removed runner comes back to the lists of all daemons through one that read an older list.

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
const CONTACT: Duration = Duration::from_millis(3_000);

fn main() {
    daemon::guard();
    let record = Record::create();
    let store = Store::start(&record);
    store.put("config", "main", Some(&review_rig::call_config("unsafe", 1_000)));

    // Arrivals of requests at the runner that leaves.
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
    let zones = ["zone-a", "zone-b", "zone-c"];
    let leaving = Runner::start(&record, "i-leaving", "order-app", zones[0], leaver);
    let others: Vec<Runner> = (1..3)
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
    leaving.register(&store);
    others.iter().for_each(|runner| runner.register(&store));

    // The order is that of the daemons' own rank: the first places the requests and watches the
    // store, the second watches it too.
    let hosts = std::env::var("HOSTS").unwrap_or("edge-zone-a-1,edge-zone-b-1,edge-zone-c-1".to_owned());
    let hosts: Vec<&str> = hosts.split(',').collect();
    let mut daemons: Vec<Daemon> = hosts
        .iter()
        .enumerate()
        .map(|(n, host)| {
            let ip = format!("127.0.0.{}", n + 2);
            let zone = zones.iter().find(|zone| host.contains(*zone)).expect("a zone");
            Daemon::new(&record, host, zone, &ip, store.address)
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    daemons.iter().for_each(Daemon::wait_ready);
    thread::sleep(CONTACT);

    // Consumers: some thirty orders a second on each daemon.
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(AtomicU64::new(0));
    let consumers: Vec<_> = (0..12)
        .map(|lane| {
            let (to, stop, record) = (daemons[lane % 3].frontend, stop.clone(), record.clone());
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
    let before = arrivals.lock().expect("arrivals").len();

    // Planned: the runner leaves without `draining`; it serves on for many seconds.
    let removed_at = store.put("servers", &leaving.id, None);
    record.say("the entry of i-leaving is removed (acknowledged)");
    if review_rig::trouble() {
        thread::sleep(Duration::from_millis(300));
        record.say("all daemons are killed");
        daemons.iter_mut().for_each(Daemon::kill);
        thread::sleep(Duration::from_millis(500));
        daemons[0].start();
        daemons[1].start();
        thread::sleep(Duration::from_millis(250));
        // The third daemon's first list comes from a copy of the store that is seconds old.
        store.set_stale_lag(Duration::from_millis(2_000));
        daemons[2].start();
        thread::sleep(Duration::from_millis(500));
        store.set_stale_lag(Duration::ZERO);
    }
    let started_at = Instant::now();
    daemons.iter().for_each(Daemon::wait_ready);
    // It exits ten seconds after its entry was removed.
    let exits_at = removed_at + Duration::from_secs(10);
    thread::sleep(exits_at.saturating_duration_since(Instant::now()));
    let lost_before = lost.load(Ordering::Relaxed);
    leaving.exit();
    thread::sleep(Duration::from_secs(2));
    let lost = lost.load(Ordering::Relaxed) - lost_before;
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }

    let in_touch_at = started_at + CONTACT;
    let late_from = (removed_at + DRAIN).max(in_touch_at);
    let arrivals = arrivals.lock().expect("arrivals");
    let late: Vec<&Instant> = arrivals.iter().filter(|at| **at > late_from).collect();
    let longest = late.last().map_or(0, |at| (**at - removed_at).as_millis());
    record.say(format!(
        "served {}; requests at i-leaving: {before} before it left, {} later than drain_ms after it left \
         and from daemons in touch, the last {longest} ms after it left; orders lost \
         (502 or 504) as it exited: {lost}",
        served.load(Ordering::Relaxed),
        late.len(),
    ));
    if std::env::var("LOGS").is_ok() {
        for daemon in &daemons {
            println!("=== {}\n{}", daemon.host, daemon.log());
        }
    }
    if before == 0 {
        record.say("the runner got nothing before it left: the case couldn't run");
        daemon::exit(2);
    }
    drop(daemons);
    daemon::exit(if late.is_empty() { 0 } else { 1 });
}
