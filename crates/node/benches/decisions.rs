//! Processor time of decisions: a request's life, and ticks, by the size of the fleet.

mod common;

use criterion::{BenchmarkId, Criterion, Throughput};
use sardinepaddle_node::event;

/// Pieces of each answer.
const PIECES: u64 = 20;
/// Daemons in the benches over endpoints.
const MEMBERS: usize = 54;

fn size(members: usize, endpoints: usize, kept: usize) -> common::FleetSize {
    common::FleetSize {
        members,
        endpoints,
        kept,
    }
}

fn requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request_life");
    group.throughput(Throughput::Elements(1));
    for endpoints in [10, 100, 670] {
        let mut node = common::BenchNode::new(size(MEMBERS, endpoints, 0));
        group.bench_function(BenchmarkId::new("endpoints", endpoints), |bencher| {
            bencher.iter(|| {
                let order = node.begin();
                node.finish(&order, PIECES);
            });
        });
    }
    for members in [3, 54, 379] {
        let mut node = common::BenchNode::new(size(members, 100, 0));
        group.bench_function(BenchmarkId::new("members", members), |bencher| {
            bencher.iter(|| {
                let order = node.begin();
                node.finish(&order, PIECES);
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
            bencher.iter(|| node.pass_time());
        });
    }
    for kept in [1, 2, 10] {
        let mut node = common::BenchNode::new(size(MEMBERS, 100, kept));
        group.bench_function(BenchmarkId::new("kept", kept), |bencher| {
            bencher.iter(|| node.pass_time());
        });
    }
    for in_flight in [10, 100, 1_000] {
        let mut node = common::BenchNode::new(size(MEMBERS, 100, 0));
        for _ in 0..in_flight {
            node.begin();
        }
        group.bench_function(BenchmarkId::new("in_flight", in_flight), |bencher| {
            // The clock stands still, so that no request times out.
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
