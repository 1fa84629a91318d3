//! What a sender has learnt of endpoints.

use model::ids;
use model::map;
use model::request;
use model::time;

/// An endpoint as a sender sees it. Late, and only as good as the last reply.
#[derive(Clone, Debug)]
pub(crate) struct EndpointView {
    /// Free slots by the last reply, less what was sent since.
    pub free_slots: u32,
    /// When the view was last brought up to date.
    pub updated_at: time::MonoTime,
    /// Until when nothing is asked of it.
    pub backoff_until: time::MonoTime,
    /// Attempts of this daemon in flight there.
    pub in_flight: u32,
}

/// Views of all endpoints asked so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    views: map::HashMap<ids::EndpointId, EndpointView>,
    /// Next endpoint for turns, by service.
    pub round_robin_counters: map::HashMap<ids::ServiceId, usize>,
    /// Endpoints that the host list calls leaving.
    pub leaving: Vec<ids::EndpointId>,
}

impl EndpointTable {
    pub fn get(&self, endpoint: &ids::EndpointId) -> Option<&EndpointView> {
        self.views.get(endpoint)
    }

    /// The view of an endpoint, made new if there is none.
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

/// Priority given to an engine for a size class; lower goes first.
pub(crate) fn engine_priority(class: request::SizeClass) -> u32 {
    match class {
        request::SizeClass::Short => 0,
        request::SizeClass::Medium => 1,
        request::SizeClass::Long => 2,
    }
}
