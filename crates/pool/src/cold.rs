//! Rate of the requests that one placer sends to endpoints that may be cold.

use model::ids;
use xxhash_rust::xxh3;

use crate::shares;

/// Span over which requests are counted, ms.
const SPAN_MS: f64 = 1_000.0;

/// The share of the rate of a cold endpoint that this placer uses.
///
/// Below one request per second, a request may be sent in each period of the rate. The periods of
/// an endpoint begin at different times for different placers, so that many of them that place at
/// the same time don't send their requests within the same second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdRate {
    share: f64,
    seed: u64,
    /// Time of the last decrease of the share, ms.
    decreased_at: f64,
}

impl Default for ColdRate {
    fn default() -> Self {
        Self {
            share: shares::SETTLED_SHARE,
            seed: 0,
            decreased_at: f64::NEG_INFINITY,
        }
    }
}

impl ColdRate {
    /// Sets the share, and the seed that differs between placers.
    pub fn set_share(&mut self, now: f64, share: f64, seed: u64) {
        if share < self.share {
            self.decreased_at = now;
        }
        self.share = share;
        self.seed = seed;
    }

    /// Returns whether an endpoint may get another request. `limit_per_s` is the rate that all
    /// placers share; `sent_at` yields the times of the requests sent to it, newest first, ms.
    pub fn accepts(
        &self,
        now: f64,
        id: &ids::EndpointId,
        limit_per_s: f64,
        mut sent_at: impl Iterator<Item = f64>,
    ) -> bool {
        let rate_per_s = limit_per_s * self.share;
        if rate_per_s >= 1.0 {
            let sent = sent_at.take_while(|at| *at > now - SPAN_MS).count();
            return sent as f64 + 1.0 <= rate_per_s;
        }
        let period_ms = SPAN_MS / rate_per_s;
        let hash = xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), self.seed);
        let phase = hash as f64 / u64::MAX as f64;
        let period_start = ((now / period_ms - phase).floor() + phase) * period_ms;
        period_start > self.decreased_at && sent_at.next().is_none_or(|at| at < period_start)
    }
}
