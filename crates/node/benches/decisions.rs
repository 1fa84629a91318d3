//! CPU time of whole requests and of ticks, by fleet size.

mod common;

use criterion::{BenchmarkId, Criterion, Throughput};
use sardinepaddle_node::event;

/// Number of chunks in each answer.
const CHUNKS: u64 = 20;
/// Number of other daemons in the benchmarks that don't vary it.
const MEMBERS: usize = 54;

fn size(members: usize, endpoints: usize, coordinated: usize) -> common::FleetSize {
    common::FleetSize {
        members,
        endpoints,
        coordinated,
    }
}

fn requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request_life");
    group.throughput(Throughput::Elements(1));
    for endpoints in [10, 100, 670] {
        let mut node = common::BenchNode::new(size(MEMBERS, endpoints, 0));
        group.bench_function(BenchmarkId::new("endpoints", endpoints), |bencher| {
            bencher.iter(|| {
                let spec = node.start_request();
                node.finish_request(&spec, CHUNKS);
            });
        });
    }
    for members in [3, 54, 379] {
        let mut node = common::BenchNode::new(size(members, 100, 0));
        group.bench_function(BenchmarkId::new("members", members), |bencher| {
            bencher.iter(|| {
                let spec = node.start_request();
                node.finish_request(&spec, CHUNKS);
            });
        });
    }
    group.finish();
}

fn ticks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    for members in [3, 54, 379] {
        let mut node = common::BenchNode::new(size(members, 100, 0));
        group.bench_function(BenchmarkId::new("members", members), |bencher| {
            bencher.iter(|| node.tick());
        });
    }
    for coordinated in [1, 2, 10] {
        let mut node = common::BenchNode::new(size(MEMBERS, 100, coordinated));
        group.bench_function(BenchmarkId::new("kept", coordinated), |bencher| {
            bencher.iter(|| node.tick());
        });
    }
    for in_flight in [10, 100, 1_000] {
        let mut node = common::BenchNode::new(size(MEMBERS, 100, 0));
        for _ in 0..in_flight {
            node.start_request();
        }
        group.bench_function(BenchmarkId::new("in_flight", in_flight), |bencher| {
            // The time is constant, so no request times out.
            bencher.iter(|| node.machine.step(node.now, event::NodeEvent::Tick));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    requests(&mut criterion);
    ticks(&mut criterion);
    criterion.final_summary();
}
