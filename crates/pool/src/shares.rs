//! Share of a rate limit that one placer may use, so that any number of placers at the same time
//! stay within the limit together.
//!
//! Each daemon counts for one placer: the one that it follows, or itself. The group of a placer is
//! itself and the followers from which it has heard lately; it stops counting a silent follower
//! before that one selects another placer.

use std::collections;

/// Share of which settled groups use a part by their size. The three shares leave a rest, as the time
/// from a placement to its arrival differs between daemons.
pub const SETTLED_SHARE: f64 = 0.45;
/// Share for daemons that joined a group within the last second: what the previous placer sent for
/// them still counts.
const JOINED_SHARE: f64 = 0.35;
/// Share of which each daemon uses a part for its own requests, on which its placer is late to
/// decide.
const REROUTED_SHARE: f64 = 0.15;
/// Time after which a daemon counts as settled in a group, ms: the span of the limits.
const SETTLE_MS: f64 = 1_000.0;
/// Assumed number of daemons while their list is not known.
pub(crate) const UNKNOWN_DAEMONS: usize = 400;

/// The recent sizes of the group of one placer.
#[derive(Clone, Debug, Default)]
pub struct GroupHistory {
    /// Times and numbers of members; a size holds until the next one.
    sizes: collections::VecDeque<(f64, usize)>,
}

impl GroupHistory {
    /// Records the size of the group and returns its share of the limits that all listed daemons
    /// share. The size includes the placer; it is zero for a daemon that follows another one.
    /// `daemons` is zero if there is no list.
    ///
    /// ```
    /// use sardinepaddle_pool::shares;
    /// let mut history = shares::GroupHistory::default();
    /// let following = history.update(0.0, 0, 10);
    /// let joined = history.update(100.0, 10, 10);
    /// let settled = history.update(1_200.0, 10, 10);
    /// assert!(following < joined && joined < settled && settled < 1.0);
    /// ```
    pub fn update(&mut self, now: f64, members: usize, daemons: usize) -> f64 {
        if self.sizes.back().is_none_or(|(_, size)| *size != members) {
            self.sizes.push_back((now, members));
        }
        let is_over = |at: f64| at <= now - SETTLE_MS;
        while self.sizes.get(1).is_some_and(|(at, _)| is_over(*at)) {
            self.sizes.pop_front();
        }
        let sizes = self.sizes.iter().map(|(_, size)| *size);
        let settled = sizes.min().unwrap_or(members);
        let daemons = match daemons {
            0 => UNKNOWN_DAEMONS,
            daemons => daemons.max(members),
        } as f64;
        let joined = members - settled;
        let shares = SETTLED_SHARE * settled as f64 + JOINED_SHARE * joined as f64 + REROUTED_SHARE;
        shares / daemons
    }
}
