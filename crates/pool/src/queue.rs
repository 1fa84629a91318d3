//! The requests that wait for placement: their order, how long they will wait, and which of them are
//! refused.
//!
//! The requests of one route form a lane. How fast a lane drains is measured, so that a prediction
//! for one kind of request holds whatever it is that others wait for.

use std::cmp;

use model::ids;
use model::map;

use crate::drain;
use crate::job;
use crate::state;
use crate::value;

/// Interval of the rounds in which waiting requests are decided on, ms.
pub(crate) const ROUND_MS: f64 = 20.0;
/// Plan searches in one round at most: searching for all waiting requests would take the time needed
/// to place them.
const MAX_SEARCHES: usize = 64;
/// Searches without a plan in one lane after which the rest of it isn't tried in the same round.
const MAX_LANE_FAILURES: usize = 16;
/// Requests ahead in its lane from which a request is decided on by the predicted wait: the drain of
/// fewer isn't measured well enough.
const MIN_PREDICTED: usize = 8;
/// Share of the placer's lag that is left after a round on time.
const LAG_DECAY: f64 = 0.5;
/// Longest lag that counts, ms: a daemon that stood still isn't as late again.
const MAX_LAG_MS: f64 = 100.0;
/// Least engine time per ms by which a wait is predicted.
const MIN_RATE: f64 = 1e-6;
/// Factor on the value density of a request whose client returns at the time that it was told.
const RETURN_FACTOR: f64 = 2.0;

/// Waiting requests of one lane.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingWork {
    count: usize,
    /// Their engine time, ms.
    work_ms: f64,
}

/// The place of a request in its lane.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueuePlace {
    ahead: WaitingWork,
    /// Number of requests behind it.
    behind: usize,
}

impl QueuePlace {
    /// Whether enough requests are ahead to predict how long they take.
    pub fn is_predictable(&self) -> bool {
        self.ahead.count >= MIN_PREDICTED
    }

    /// Returns the share of its value that a plan for the request must gain: if others want the place,
    /// it doesn't go to a request that would be late there.
    pub fn min_gain_share(&self, waiting: &state::WaitingRequest) -> f64 {
        match self.behind >= MIN_PREDICTED && !waiting.request.is_retry {
            true => value::LATE_VALUE_SHARE,
            false => 0.0,
        }
    }
}

/// Why a request is refused under load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadRefusal {
    /// The request.
    pub job: job::JobId,
    /// Its service.
    pub service: ids::ServiceId,
    /// Its route.
    pub route: String,
    /// Requests of its route that wait.
    pub waiting: usize,
    /// Engine time of its route that drains per ms.
    pub drain_rate: f64,
    /// Time since it was submitted, ms.
    pub age_ms: f64,
    /// Time until it could be placed, ms.
    pub predicted_wait_ms: f64,
    /// Time after which its client should return, ms.
    pub retry_after_ms: f64,
}

/// The queue of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceQueue {
    /// The service.
    pub service: ids::ServiceId,
    /// Requests that wait.
    pub waiting: usize,
    /// Engine time that drains per ms, or slots of a plain service.
    pub drain_rate: f64,
    /// Time until all that wait will have been placed, ms.
    pub predicted_wait_ms: f64,
}

#[derive(Clone, Debug)]
struct QueueLane {
    meter: drain::DrainMeter,
    slots: drain::ReturnSlots,
    waiting: WaitingWork,
    /// Value per ms of engine time, by the latest request.
    value_density: f64,
}

/// The requests that have been neither placed nor declined.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    requests: Vec<state::WaitingRequest>,
    lanes: Vec<QueueLane>,
    lane_indexes: map::HashMap<ids::ServiceId, map::HashMap<String, usize>>,
    refused: drain::RefusedTable,
    round: SearchRound,
}

/// The plan searches of one round.
#[derive(Clone, Debug, Default)]
struct SearchRound {
    started_at: f64,
    searches: usize,
    /// Time by which rounds come late, ms.
    lag_ms: f64,
    /// Since when requests wait for the next round.
    continued_at: Option<f64>,
}

impl WaitingQueue {
    /// Adds a request.
    pub fn push(&mut self, now: f64, waiting: state::WaitingRequest) {
        let lane = &mut self.lanes[waiting.lane];
        lane.waiting.count += 1;
        lane.waiting.work_ms += waiting.work_ms;
        lane.meter.set_waiting(now, true);
        self.round.continued_at.get_or_insert(now);
        self.requests.push(waiting);
    }

    /// Removes a request if it waits.
    pub fn remove(&mut self, now: f64, job: job::JobId) {
        let position = self.requests.iter().position(|other| other.job == job);
        if let Some(position) = position {
            let removed = self.requests.remove(position);
            self.leave_lane(now, &removed);
        }
    }

    /// Returns and removes all requests in the order of their rank.
    pub fn take(&mut self, now: f64) -> Vec<state::WaitingRequest> {
        let mut requests = std::mem::take(&mut self.requests);
        requests.sort_by_cached_key(|waiting| QueueRank::new(waiting, &self.lanes[waiting.lane]));
        for lane in &mut self.lanes {
            lane.waiting = WaitingWork::default();
            lane.meter.set_waiting(now, lane.meter.has_waiting());
        }
        requests
    }

    fn leave_lane(&mut self, now: f64, removed: &state::WaitingRequest) {
        let lane = &mut self.lanes[removed.lane];
        lane.waiting.count -= 1;
        lane.waiting.work_ms -= removed.work_ms;
        lane.meter.set_waiting(now, lane.waiting.count > 0);
    }

    /// Records which lanes still have requests after a round.
    pub fn finish_round(&mut self, now: f64) {
        for lane in &mut self.lanes {
            lane.meter.set_waiting(now, lane.waiting.count > 0);
        }
        self.round.continued_at = (!self.requests.is_empty()).then_some(now);
    }

    /// Begins a round, and measures by how much it is late.
    pub fn begin_round(&mut self, now: f64) {
        let late_ms = match self.round.continued_at {
            Some(previous_at) => (now - previous_at - ROUND_MS).max(0.0),
            None => 0.0,
        };
        let decayed_ms = LAG_DECAY * self.round.lag_ms;
        self.round.lag_ms = late_ms.max(decayed_ms).min(MAX_LAG_MS);
        self.round.started_at = now;
        self.round.searches = 0;
    }

    /// Returns the number of plan searches in the current round.
    pub fn searches(&self) -> usize {
        self.round.searches
    }

    /// Returns the time by which rounds come late, ms.
    pub fn lag_ms(&self) -> f64 {
        self.round.lag_ms
    }

    /// Takes one of the plan searches of a round; returns `false` if none is left.
    pub fn try_search(&mut self, now: f64) -> bool {
        if now - self.round.started_at >= ROUND_MS {
            self.round.started_at = now;
            self.round.searches = 0;
        }
        let is_left = self.round.searches < MAX_SEARCHES;
        self.round.searches += usize::from(is_left);
        is_left
    }

    /// Returns the lane of a route, whose requests have a value per ms of engine time.
    pub fn lane(&mut self, service: &ids::ServiceId, route: &str, value_density: f64) -> usize {
        let lane = self.lane_index(service, route);
        self.lanes[lane].value_density = value_density;
        lane
    }

    fn lane_index(&mut self, service: &ids::ServiceId, route: &str) -> usize {
        if let Some(lane) = self.lane_indexes.get(service).and_then(|by| by.get(route)) {
            return *lane;
        }
        let by_route = self.lane_indexes.entry(service.clone()).or_default();
        by_route.insert(route.to_owned(), self.lanes.len());
        self.lanes.push(QueueLane {
            meter: drain::DrainMeter::default(),
            slots: drain::ReturnSlots::default(),
            waiting: WaitingWork::default(),
            value_density: 0.0,
        });
        self.lanes.len() - 1
    }

    /// Gives a request that returns at the time that it was told its rank, and its objective from
    /// now on: its place was kept.
    pub fn recognize(&self, now: f64, waiting: &mut state::WaitingRequest) {
        let request = &waiting.request;
        let digest = request.digest.filter(|_| !request.is_retry);
        if digest.is_some_and(|digest| self.refused.is_return(now, digest)) {
            let is_too_late = waiting.objective_at < now + waiting.min_latency_ms;
            if is_too_late {
                waiting.objective_at = now + request.full_objective_ms;
            }
            waiting.is_late |= is_too_late;
            waiting.returned = true;
        }
    }

    /// Records a placement.
    pub fn record_placement(&mut self, now: f64, waiting: &state::WaitingRequest) {
        let lane = &mut self.lanes[waiting.lane];
        lane.meter.record_placement(now, waiting.work_ms);
    }

    /// Returns the place that a new request has.
    pub fn place_of(&self, waiting: &state::WaitingRequest) -> QueuePlace {
        let mut ahead = self.lanes[waiting.lane].waiting;
        if ahead.count < MIN_PREDICTED {
            return QueuePlace { ahead, behind: 0 };
        }
        let lane = &self.lanes[waiting.lane];
        let rank = QueueRank::new(waiting, lane);
        let others = self
            .requests
            .iter()
            .filter(|other| other.lane == waiting.lane);
        let behind = others.filter(|other| QueueRank::new(other, lane) > rank);
        let mut behind_count = 0;
        for other in behind {
            behind_count += 1;
            ahead.count -= 1;
            ahead.work_ms -= other.work_ms;
        }
        QueuePlace {
            ahead,
            behind: behind_count,
        }
    }

    /// Returns the predicted time until what is ahead of a request is placed, ms; zero if that is
    /// little.
    pub fn predicted_wait_ms(&self, lane: usize, place: QueuePlace, configured: f64) -> f64 {
        if !place.is_predictable() {
            return 0.0;
        }
        let rate = self.lanes[lane].meter.rate(configured).max(MIN_RATE);
        place.ahead.work_ms / rate
    }

    /// Refuses a request: returns the reason with the time after which its client should return.
    /// `least_ms` is the time that its endpoints need at least before they take more.
    pub fn refuse(
        &mut self,
        now: f64,
        waiting: &state::WaitingRequest,
        place: QueuePlace,
        configured: f64,
        least_ms: f64,
    ) -> LoadRefusal {
        let lane = &mut self.lanes[waiting.lane];
        let rate = lane.meter.rate(configured);
        let work_ms = lane.waiting.work_ms.max(place.ahead.work_ms);
        let drained_ms = (work_ms / rate.max(MIN_RATE)).max(least_ms);
        let remaining_ms = waiting.deadline_at - now;
        let slots = &mut lane.slots;
        let (delay_ms, is_kept) =
            slots.assign(now, drained_ms, waiting.work_ms, rate, remaining_ms);
        let request = &waiting.request;
        if let Some(digest) = request.digest.filter(|_| is_kept) {
            self.refused.insert(digest, now + delay_ms);
        }
        LoadRefusal {
            job: waiting.job,
            service: request.service.clone(),
            route: request.route.clone(),
            waiting: lane.waiting.count.max(place.ahead.count + place.behind),
            drain_rate: rate,
            age_ms: now - waiting.submitted_at,
            predicted_wait_ms: place.ahead.work_ms / rate.max(MIN_RATE),
            retry_after_ms: delay_ms,
        }
    }

    /// Returns the queues of the services; `configured` returns the rate of a service without other
    /// work.
    pub fn service_queues(&self, configured: impl Fn(&ids::ServiceId) -> f64) -> Vec<ServiceQueue> {
        let services = self.lane_indexes.iter();
        let queues = services.map(|(service, by_route)| {
            let lanes = by_route.values().map(|lane| &self.lanes[*lane]);
            let configured = configured(service);
            let rates = lanes
                .clone()
                .map(|lane| (lane, lane.meter.rate(configured)));
            let busy = rates.filter(|(lane, _)| lane.waiting.count > 0);
            let waits = busy
                .clone()
                .map(|(lane, rate)| lane.waiting.work_ms / rate.max(MIN_RATE));
            let waiting = lanes.map(|lane| lane.waiting.count).sum();
            let drain_rate = match waiting {
                0 => configured,
                _ => busy.map(|(_, rate)| rate).sum::<f64>().min(configured),
            };
            ServiceQueue {
                service: service.clone(),
                waiting,
                drain_rate,
                predicted_wait_ms: waits.fold(0.0, f64::max),
            }
        });
        queues.collect()
    }

    /// Returns the ids of all requests.
    pub fn jobs(&self) -> impl Iterator<Item = &job::JobId> {
        self.requests.iter().map(|waiting| &waiting.job)
    }

    /// Returns the requests, for changes of their rank.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut state::WaitingRequest> {
        self.requests.iter_mut()
    }

    /// Whether a request for a service waits whose customer is within its share.
    pub fn has_within_share(&self, service: &ids::ServiceId) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|waiting| waiting.excess == 0.0 && waiting.request.service == *service)
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}

/// The walk of one round over the waiting requests in the order of their rank.
#[derive(Debug)]
pub(crate) struct RoundWalk {
    lanes: Vec<LaneWalk>,
    is_crowded: bool,
}

/// The walk over one lane.
#[derive(Clone, Debug, Default)]
struct LaneWalk {
    /// Requests that were kept so far.
    kept: WaitingWork,
    /// Searches without a plan.
    failures: usize,
    /// Requests that the walk hasn't reached.
    left: usize,
}

impl RoundWalk {
    /// Begins the walk over all requests.
    pub fn new(requests: &[state::WaitingRequest]) -> Self {
        let last_lane = requests.iter().map(|request| request.lane).max();
        let mut lanes = vec![LaneWalk::default(); last_lane.map_or(0, |lane| lane + 1)];
        for request in requests {
            lanes[request.lane].left += 1;
        }
        Self {
            lanes,
            is_crowded: requests.len() > MAX_SEARCHES,
        }
    }

    /// Goes on to the next request and returns its place.
    pub fn reach(&mut self, waiting: &state::WaitingRequest) -> QueuePlace {
        let lane = &mut self.lanes[waiting.lane];
        lane.left -= 1;
        QueuePlace {
            ahead: lane.kept,
            behind: lane.left,
        }
    }

    /// Whether a search may find a plan, by what was found in its lane so far.
    pub fn is_promising(&self, waiting: &state::WaitingRequest) -> bool {
        !self.is_crowded || self.lanes[waiting.lane].failures < MAX_LANE_FAILURES
    }

    /// Records that a request stays in the queue, after a search without a plan or without a search.
    pub fn keep(&mut self, waiting: &state::WaitingRequest, is_searched: bool) {
        let lane = &mut self.lanes[waiting.lane];
        lane.kept.count += 1;
        lane.kept.work_ms += waiting.work_ms;
        lane.failures += usize::from(is_searched);
    }
}

/// The rank of a waiting request: lower ones come first.
#[derive(Clone, Copy, Debug)]
struct QueueRank {
    excess: f64,
    /// Value per engine time of the requests of its route, weighed by whether it returns or is late.
    density: f64,
    lot: u64,
}

impl QueueRank {
    fn new(waiting: &state::WaitingRequest, lane: &QueueLane) -> Self {
        let factor = match waiting {
            waiting if waiting.returned => RETURN_FACTOR,
            waiting if waiting.is_late && !waiting.request.is_retry => value::LATE_VALUE_SHARE,
            _ => 1.0,
        };
        let job = waiting.job;
        Self {
            excess: waiting.excess,
            density: factor * lane.value_density,
            // By size, the same requests of a route would always be served. By age, all would have
            // waited as long as they can once they are placed.
            lot: (job.number ^ job.incarnation).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        }
    }
}

impl Ord for QueueRank {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let by_excess = self.excess.total_cmp(&other.excess);
        let by_density = other.density.total_cmp(&self.density);
        by_excess.then(by_density).then(self.lot.cmp(&other.lot))
    }
}

impl PartialOrd for QueueRank {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for QueueRank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for QueueRank {}
