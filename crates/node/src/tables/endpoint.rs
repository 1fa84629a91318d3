//! Endpoint state as observed by a sender.

use model::ids;
use model::map;
use model::request;
use model::time;

/// Last known state of an endpoint. `free_slots` may be stale: only coordinators' replies update
/// it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointView {
    /// Free slots according to the last reply.
    pub free_slots: u32,
    /// Time of the last update of `free_slots`.
    pub updated_at: time::MonoTime,
    /// Time until which no grant is requested for the endpoint.
    pub backoff_until: time::MonoTime,
    /// Attempts of this daemon in flight on the endpoint.
    pub in_flight: u32,
}

/// Views of all endpoints for which a grant was requested or returned.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    views: map::HashMap<ids::EndpointId, EndpointView>,
    /// Round-robin counter of each service.
    pub round_robin_counters: map::HashMap<ids::ServiceId, usize>,
    /// Endpoints marked as leaving in the platform's host list.
    pub leaving: Vec<ids::EndpointId>,
}

impl EndpointTable {
    pub fn get(&self, endpoint: &ids::EndpointId) -> Option<&EndpointView> {
        self.views.get(endpoint)
    }

    /// Returns the view of an endpoint, inserting a default one if there is none.
    pub fn view_mut(&mut self, endpoint: &ids::EndpointId) -> &mut EndpointView {
        self.views
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointView {
                free_slots: 1,
                updated_at: time::MonoTime::default(),
                backoff_until: time::MonoTime::default(),
                in_flight: 0,
            })
    }

    pub fn retain(&mut self, mut keep: impl FnMut(&ids::EndpointId) -> bool) {
        self.views.retain(|endpoint, _| keep(endpoint));
    }
}

/// Returns the engine priority of a size class; the lowest value is served first.
pub(crate) fn engine_priority(class: request::SizeClass) -> u32 {
    match class {
        request::SizeClass::Short => 0,
        request::SizeClass::Medium => 1,
        request::SizeClass::Long => 2,
    }
}
