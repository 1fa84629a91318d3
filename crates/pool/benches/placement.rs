//! CPU time of placing a request, by the number of engines.

#[path = "../tests/support/profiles.rs"]
mod profiles;

use criterion::{BatchSize, BenchmarkId, Criterion};
use model::ids;
use model::map;
use model::serving;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use sardinepaddle_pool::job;
use sardinepaddle_pool::placer;

/// Time over which the running requests were submitted, ms.
const LOAD_SPAN_MS: f64 = 2_000.0;
/// Running requests per engine in the load.
const SHORT_PER_ENGINE: f64 = 1.5;
const LONG_PER_ENGINE: f64 = 0.12;

/// Interval of the ticks, ms.
const TICK_MS: f64 = 20.0;

fn request(tokens: u64, answer_tokens: u64, objective_ms: f64) -> job::PlacementRequest {
    job::PlacementRequest {
        route: format!("route-{objective_ms}"),
        service: ids::ServiceId::new("llm"),
        kind: job::JobKind::Prompt {
            tokens,
            answer_tokens,
        },
        centre: ids::CentreId::new("a"),
        objective_remaining_ms: objective_ms,
        full_objective_ms: objective_ms,
        gap_objective_ms: 250.0 + objective_ms / 5.0,
        abandon_after_ms: (4.0 * objective_ms).max(2_000.0),
        remaining_ms: 15_000.0,
        priority: 1,
        excluded: Vec::new(),
        shared_parts: Vec::new(),
        digest: None,
        customer: None,
        is_hedge: false,
        is_retry: false,
        is_budgeted: false,
    }
}

fn short() -> job::PlacementRequest {
    request(5_000, 1_600, 300.0)
}

fn medium() -> job::PlacementRequest {
    request(45_000, 1_000, 1_500.0)
}

fn long() -> job::PlacementRequest {
    request(220_000, 900, 4_000.0)
}

/// A placer of a loaded deployment.
#[derive(Clone)]
struct LoadedPlacer {
    placer: placer::JobPlacer,
    now: f64,
    last_number: u64,
}

impl LoadedPlacer {
    fn new(engines: usize) -> Self {
        let bounds = placer::PlacerBounds {
            retry_ratio: 0.2,
            retry_extra: 100.0,
            retry_window_ms: 10_000.0,
            cold_factor: 1.5,
            cold_extra: 5.0,
        };
        let mut placer = placer::JobPlacer::new(bounds);
        let service = ids::ServiceId::new("llm");
        let profile = serving::ServiceProfile {
            service: service.clone(),
            cold_rate: 26.0,
            engine: Some(profiles::profile(10, 80)),
        };
        let mut services = map::HashMap::default();
        services.insert(service.clone(), std::sync::Arc::new(profile));
        placer.set_services(&services);
        let listed = (0..engines).map(|index| serving::LiveEndpoint {
            id: ids::EndpointId::new(&format!("e{index:03}")),
            service: service.clone(),
            address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
            centre: ids::CentreId::new(["a", "b", "c"][index % 3]),
            slots: 10,
            leaving: false,
            started_ms: 0,
            sequence: 0,
        });
        placer.set_endpoints(&listed.collect::<Vec<_>>(), &[]);
        let mut loaded = Self {
            placer,
            now: 1_000.0,
            last_number: 0,
        };
        loaded.load(engines);
        loaded
    }

    fn load(&mut self, engines: usize) {
        let shorts = (SHORT_PER_ENGINE * engines as f64) as usize;
        let longs = (LONG_PER_ENGINE * engines as f64) as usize;
        let mut rng = rngs::SmallRng::seed_from_u64(1);
        for index in 0..shorts + longs {
            self.now += LOAD_SPAN_MS / (shorts + longs) as f64;
            let is_long = index % (shorts / longs.max(1) + 1) == 0;
            let size = 0.5 + rng.random::<f64>();
            let request = match is_long {
                true => request((220_000.0 * size) as u64, 900, 4_000.0),
                false => request((5_000.0 * size) as u64, 1_600, 300.0),
            };
            let job = self.submit(request);
            if !is_long {
                self.placer.first_event(self.now, job);
            }
        }
        self.placer.take_decisions();
    }

    fn submit(&mut self, request: job::PlacementRequest) -> job::JobId {
        self.last_number += 1;
        let job = job::JobId {
            incarnation: 1,
            number: self.last_number,
        };
        self.placer.submit(self.now, job, request);
        job
    }
}

fn submits(criterion: &mut Criterion) {
    for (name, request) in [("short", short()), ("medium", medium()), ("long", long())] {
        let mut group = criterion.benchmark_group(format!("submit_{name}"));
        for engines in [57, 172, 670] {
            let loaded = LoadedPlacer::new(engines);
            group.bench_function(BenchmarkId::new("engines", engines), |bencher| {
                bencher.iter_batched(
                    || loaded.clone(),
                    |mut loaded| {
                        loaded.submit(request.clone());
                        loaded
                    },
                    BatchSize::LargeInput,
                );
            });
        }
        group.finish();
    }
}

/// A tick in which 64 long prompts are evaluated for which there is no room.
fn waiting(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick_waiting_64");
    for engines in [57, 172, 670] {
        let mut loaded = LoadedPlacer::new(engines);
        while loaded.placer.waiting_count() < 64 {
            loaded.submit(long());
        }
        loaded.placer.take_decisions();
        group.bench_function(BenchmarkId::new("engines", engines), |bencher| {
            bencher.iter_batched(
                || loaded.clone(),
                |mut loaded| {
                    loaded.placer.tick(loaded.now + TICK_MS);
                    loaded
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .measurement_time(std::time::Duration::from_secs(2))
        .warm_up_time(std::time::Duration::from_millis(500))
        .configure_from_args();
    submits(&mut criterion);
    waiting(&mut criterion);
    criterion.final_summary();
}
