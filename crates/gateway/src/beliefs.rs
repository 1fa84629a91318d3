//! Reports which endpoints do less than they are configured to, as the placer has seen.

use std::cell;
use std::collections;

use model::ids;
use pool::capacity;

/// Remembers the endpoints that were reported, so that each change is logged once.
#[derive(Debug, Default)]
pub(crate) struct BeliefReporter {
    reduced: cell::RefCell<collections::BTreeSet<ids::EndpointId>>,
}

impl BeliefReporter {
    /// Logs which endpoints do less than configured, or do as configured again, since the last call.
    pub fn report(&self, beliefs: &[capacity::EndpointBelief]) {
        let mut reduced = self.reduced.borrow_mut();
        for belief in beliefs {
            if reduced.insert(belief.endpoint.clone()) {
                log::info!(target: "sardinepaddle", endpoint:% = belief.endpoint,
                    slowdown = belief.slowdown, places:? = belief.places,
                    data_age_ms:? = belief.evidence_age_ms;
                    "endpoint does less than configured");
            }
        }
        reduced.retain(|endpoint| {
            let is_reduced = beliefs.iter().any(|belief| belief.endpoint == *endpoint);
            if !is_reduced {
                log::info!(target: "sardinepaddle", endpoint:% = endpoint;
                    "endpoint does as configured again");
            }
            is_reduced
        });
    }

    /// Returns the number of endpoints that do less than configured.
    pub fn reduced_count(&self) -> usize {
        self.reduced.borrow().len()
    }
}
