//! Permits for requests that are sent more than once.

use std::rc;

use model::ids;

use crate::state;

/// A retry taken from this daemon's budget. Given back on drop unless it was used.
pub(crate) struct RetryPermit {
    state: rc::Rc<state::DaemonState>,
    service: ids::ServiceId,
    used: bool,
}

impl RetryPermit {
    /// Takes a retry from the budget of a service, if one is left.
    pub fn acquire(state: &rc::Rc<state::DaemonState>, service: &ids::ServiceId) -> Option<Self> {
        let mut budget = state.retry_budget.borrow_mut();
        budget.try_reserve(state.now(), service).then(|| Self {
            state: state.clone(),
            service: service.clone(),
            used: false,
        })
    }

    /// Records that the request is sent now.
    pub fn record_sending(mut self) {
        self.used = true;
        let mut budget = self.state.retry_budget.borrow_mut();
        budget.record_retry(self.state.now(), &self.service);
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.used {
            let mut budget = self.state.retry_budget.borrow_mut();
            budget.release(&self.service);
        }
    }
}
