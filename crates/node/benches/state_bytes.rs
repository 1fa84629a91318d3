//! Memory used per request in flight, member and endpoint, as measured by the allocator.

mod common;

use std::alloc;

use sardinepaddle_node::action;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<alloc::System> = &INSTRUMENTED_SYSTEM;

fn measure(build: impl FnOnce() -> common::BenchNode) -> (common::BenchNode, isize) {
    let region = Region::new(ALLOCATOR);
    let node = build();
    (node, net_allocated(&region))
}

fn report(label: &str, counts: [usize; 3], size: impl Fn(usize) -> common::FleetSize) {
    for count in counts {
        let (_node, bytes) = measure(|| common::BenchNode::new(size(count)));
        println!("{label:<12} {count:>6} {bytes:>10} bytes");
    }
}

fn main() {
    report("members", [10, 100, 379], |members| common::FleetSize {
        members,
        endpoints: 10,
        coordinated: 0,
    });
    report("endpoints", [10, 100, 670], |endpoints| common::FleetSize {
        members: 54,
        endpoints,
        coordinated: 0,
    });
    report("kept", [1, 10, 100], |coordinated| common::FleetSize {
        members: 54,
        endpoints: 10,
        coordinated,
    });
    for endpoints in [10, 100, 670] {
        let fleet = common::fleet_config(common::FleetSize {
            members: 0,
            endpoints,
            coordinated: 0,
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

/// Prints the bytes allocated while requests are in flight, and after they have ended.
fn report_requests(count: usize) {
    let mut node = common::BenchNode::new(common::FleetSize {
        members: 54,
        endpoints: 100,
        coordinated: 0,
    });
    let region = Region::new(ALLOCATOR);
    let specs = (0..count).map(|_| node.start_request()).collect::<Vec<_>>();
    let spec_bytes = specs.capacity() * size_of::<action::AttemptSpec>();
    let in_flight = net_allocated(&region) - spec_bytes as isize;
    println!("{:<12} {count:>6} {in_flight:>10} bytes", "in_flight");
    for spec in &specs {
        node.finish_request(spec, 1);
    }
    drop(specs);
    let ended = net_allocated(&region);
    println!("{:<12} {count:>6} {ended:>10} bytes", "ended");
}

/// Returns the allocated minus the freed bytes of a region.
fn net_allocated(region: &Region<'_, alloc::System>) -> isize {
    let change = region.change();
    change.bytes_allocated as isize - change.bytes_deallocated as isize
}
