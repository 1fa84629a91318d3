//! Keeps endpoints closed that the store lists as open because it came back from an older copy.
//!
//! A leaving endpoint stays so, and one that is gone stays gone, until its entry shows that it was
//! written after the return: by a later start, a higher sequence, or content that differs from the
//! copy's. The reverse needs no hold: an entry that closes an endpoint is followed at once, whether
//! it is from the copy or not.

use model::ids;
use model::map;
use model::serving;

use crate::replica;

/// Time for which an entry without such evidence is held, ms. Endpoints write their entries every
/// few hundred ms and entries that are not written expire within seconds, so an entry that is
/// still listed afterwards was written by a running endpoint.
pub const HOLD_MS: f64 = 15_000.0;
/// Time for which a closed endpoint is remembered, ms; the copies are some seconds old.
const REMEMBER_MS: f64 = 600_000.0;

/// An endpoint's entry in the store.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint<'a> {
    /// The entry.
    pub live: &'a serving::LiveEndpoint,
    /// Its last change.
    pub stamp: replica::ObjectStamp,
}

/// An incarnation that was leaving or gone.
#[derive(Clone, Copy, Debug)]
struct ClosedIncarnation {
    /// Era of the entry, or of its removal.
    era: u64,
    started_ms: u64,
    /// Sequence of the last entry; `None` if it was removed, as the store may have changed it
    /// without an event.
    sequence: Option<u64>,
    seen_at: f64,
}

/// The first entry of a closed incarnation that a later era lists as open.
#[derive(Clone, Debug)]
struct HeldEntry {
    live: serving::LiveEndpoint,
    stamp: replica::ObjectStamp,
    until: f64,
}

/// The endpoints that are held closed, and what has to be remembered for it.
#[derive(Clone, Debug, Default)]
pub struct EndpointHolds {
    closed: map::HashMap<ids::EndpointId, ClosedIncarnation>,
    held: map::HashMap<ids::EndpointId, HeldEntry>,
    /// Start times of the endpoints listed last.
    listed: map::HashMap<ids::EndpointId, u64>,
}

impl EndpointHolds {
    /// Updates the holds to a new list of endpoints. `removal_era` returns the era to which the
    /// removal of an endpoint belongs that was listed before.
    ///
    /// ```
    /// use model::{ids, serving};
    /// use sardinepaddle_pool::{holds, replica};
    /// let entry = |leaving| serving::LiveEndpoint {
    ///     id: ids::EndpointId::new("e1"), service: ids::ServiceId::new("s"),
    ///     address: "127.0.0.1:80".parse().unwrap(), centre: ids::CentreId::new("a"),
    ///     slots: 1, leaving, started_ms: 5, sequence: 1,
    /// };
    /// let mut holds = holds::EndpointHolds::default();
    /// let mut list = |now, era, leaving| {
    ///     let stamp = replica::ObjectStamp { era, revision: 10 - era };
    ///     let live = entry(leaving);
    ///     holds.update(now, &[holds::ListedEndpoint { live: &live, stamp }], |_| era);
    ///     holds.is_held(&live.id)
    /// };
    /// assert!(!list(0.0, 1, true));
    /// assert!(list(1.0, 2, false));
    /// ```
    pub fn update(
        &mut self,
        now: f64,
        endpoints: &[ListedEndpoint<'_>],
        removal_era: impl Fn(&ids::EndpointId) -> u64,
    ) {
        let listed = endpoints.iter();
        let listed = listed.map(|endpoint| (endpoint.live.id.clone(), endpoint.live.started_ms));
        let previous = std::mem::replace(&mut self.listed, listed.collect());
        for (id, started_ms) in previous {
            if !self.listed.contains_key(&id) {
                self.held.remove(&id);
                let closed = ClosedIncarnation {
                    era: removal_era(&id),
                    started_ms,
                    sequence: None,
                    seen_at: now,
                };
                self.closed.insert(id, closed);
            }
        }
        for endpoint in endpoints {
            self.review(now, endpoint);
        }
        let held = &self.held;
        self.closed
            .retain(|id, closed| held.contains_key(id) || now - closed.seen_at < REMEMBER_MS);
    }

    fn review(&mut self, now: f64, endpoint: &ListedEndpoint<'_>) {
        let ListedEndpoint { live, stamp } = *endpoint;
        if live.leaving {
            self.held.remove(&live.id);
            let closed = ClosedIncarnation {
                era: stamp.era,
                started_ms: live.started_ms,
                sequence: Some(live.sequence),
                seen_at: now,
            };
            self.closed.insert(live.id.clone(), closed);
            return;
        }
        let Some(closed) = self.closed.get(&live.id) else {
            return;
        };
        let is_rewritten = live.started_ms > closed.started_ms
            || stamp.era <= closed.era
            || closed.sequence.is_some_and(|known| live.sequence > known);
        let held = self.held.get(&live.id);
        let is_changed = held.is_some_and(|held| {
            held.stamp.era == stamp.era && held.stamp < stamp && held.live != *live
        });
        let is_expired = held.is_some_and(|held| held.stamp.era == stamp.era && now >= held.until);
        if is_rewritten || is_changed || is_expired {
            self.held.remove(&live.id);
            self.closed.remove(&live.id);
            return;
        }
        if held.is_none_or(|held| held.stamp.era < stamp.era) {
            let held = HeldEntry {
                live: live.clone(),
                stamp,
                until: now + HOLD_MS,
            };
            self.held.insert(live.id.clone(), held);
        }
    }

    /// Returns whether an endpoint is held closed though its entry is open.
    pub fn is_held(&self, id: &ids::EndpointId) -> bool {
        self.held.contains_key(id)
    }

    /// Restarts the hold times, as endpoints could not write their entries until now.
    pub fn restart(&mut self, now: f64) {
        for held in self.held.values_mut() {
            held.until = now + HOLD_MS;
        }
    }

    /// Returns whether a hold has run out, so that the list has to be reviewed.
    pub fn has_expired(&self, now: f64) -> bool {
        self.held.values().any(|held| now >= held.until)
    }
}
