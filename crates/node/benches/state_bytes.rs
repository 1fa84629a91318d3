//! Bytes of state for each request in flight, member and endpoint, counted by the allocator.

mod common;

use std::alloc;

use sardinepaddle_node::action;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<alloc::System> = &INSTRUMENTED_SYSTEM;

fn held(work: impl FnOnce() -> common::BenchNode) -> (common::BenchNode, isize) {
    let region = Region::new(ALLOCATOR);
    let node = work();
    (node, held_since(&region))
}

fn report(what: &str, counts: [usize; 3], make: impl Fn(usize) -> common::FleetSize) {
    for count in counts {
        let (_node, bytes) = held(|| common::BenchNode::new(make(count)));
        println!("{what:<12} {count:>6} {bytes:>10} bytes");
    }
}

fn main() {
    report("members", [10, 100, 379], |members| common::FleetSize {
        members,
        endpoints: 10,
        kept: 0,
    });
    report("endpoints", [10, 100, 670], |endpoints| common::FleetSize {
        members: 54,
        endpoints,
        kept: 0,
    });
    report("kept", [1, 10, 100], |kept| common::FleetSize {
        members: 54,
        endpoints: 10,
        kept,
    });
    for endpoints in [10, 100, 670] {
        let fleet = common::fleet_config(common::FleetSize {
            members: 0,
            endpoints,
            kept: 0,
        });
        let text = serde_json::to_string(&fleet).expect("a configuration is JSON");
        println!(
            "{:<12} {endpoints:>6} {:>10} bytes",
            "config_json",
            text.len()
        );
    }
    for count in [100, 1_000, 10_000] {
        report_requests(count);
    }
}

/// Bytes held while requests are in flight, and after they have ended.
fn report_requests(count: usize) {
    let mut node = common::BenchNode::new(common::FleetSize {
        members: 54,
        endpoints: 100,
        kept: 0,
    });
    let region = Region::new(ALLOCATOR);
    let orders = (0..count).map(|_| node.begin()).collect::<Vec<_>>();
    let order_bytes = orders.capacity() * size_of::<action::AttemptSpec>();
    let in_flight = held_since(&region) - order_bytes as isize;
    println!("{:<12} {count:>6} {in_flight:>10} bytes", "in_flight");
    for order in &orders {
        node.finish(order, 1);
    }
    drop(orders);
    let ended = held_since(&region);
    println!("{:<12} {count:>6} {ended:>10} bytes", "ended");
}

fn held_since(region: &Region<'_, alloc::System>) -> isize {
    let change = region.change();
    change.bytes_allocated as isize - change.bytes_deallocated as isize
}
