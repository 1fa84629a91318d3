//! A placer with equal engines, and prompts for it.

use std::sync;

use model::ids;
use model::map;
use model::serving;
use sardinepaddle_pool::job;
use sardinepaddle_pool::placer;

use crate::profiles;

/// Returns engines in one data centre.
pub fn engines(count: usize) -> Vec<serving::LiveEndpoint> {
    let engine = |index: usize| serving::LiveEndpoint {
        id: ids::EndpointId::new(&format!("e{index}")),
        service: ids::ServiceId::new("llm"),
        address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        centre: ids::CentreId::new("a"),
        slots: 16,
        leaving: false,
        started_ms: 0,
        sequence: 0,
    };
    (0..count).map(engine).collect()
}

/// Returns a placer for engines of a service with a cold rate, in requests per second.
pub fn placer_with_engines(count: usize, cold_rate: f64) -> placer::JobPlacer {
    let mut placer = placer::JobPlacer::new(placer::PlacerBounds {
        retry_ratio: 0.2,
        retry_extra: 3.0,
        retry_window_ms: 10_000.0,
        cold_factor: 1.5,
        cold_extra: 5.0,
    });
    let service = ids::ServiceId::new("llm");
    let profile = serving::ServiceProfile {
        service: service.clone(),
        cold_rate,
        engine: Some(profiles::profile(16, 51)),
    };
    let mut services = map::HashMap::default();
    services.insert(service, sync::Arc::new(profile));
    placer.set_services(&services);
    placer.set_endpoints(&engines(count), &[]);
    placer
}

/// Returns the request of a prompt that waits up to ten seconds.
pub fn prompt(route: &str, tokens: u64, objective_ms: f64) -> job::PlacementRequest {
    job::PlacementRequest {
        route: route.to_owned(),
        service: ids::ServiceId::new("llm"),
        kind: job::JobKind::Prompt {
            tokens,
            answer_tokens: 1_000,
        },
        centre: ids::CentreId::new("a"),
        objective_remaining_ms: objective_ms,
        full_objective_ms: objective_ms,
        gap_objective_ms: 250.0,
        // As the gateway sets it: four times the objective, at least two seconds.
        abandon_after_ms: (4.0 * objective_ms).max(2_000.0),
        remaining_ms: 10_000.0,
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
