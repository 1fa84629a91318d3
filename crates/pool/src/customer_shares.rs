//! Divides a service that can't serve all of its customers among those that want it.
//!
//! While a service is asked for more than it can do, each customer has an account of engine time. It
//! is charged with what is placed for the customer, and paid off at the max-min fair level: the rate
//! that, granted to each customer who asks for as much, uses what the service can do. A customer
//! whose account is overdrawn is above its share: its requests rank behind those of others, and run
//! only where they leave room for these. What runs in such room isn't charged, so that using what
//! others leave idle has no consequences later.

use std::collections;

use model::ids;
use model::map;

use crate::job;
use crate::state;

/// Time over which demand and use are averaged, ms.
const AVERAGING_MS: f64 = 2_000.0;
/// Share of the engine time that can be used without responses being late.
const USABLE_SHARE: f64 = 0.85;
/// Share of the demand that is declined from which on a service is under pressure though it seems to
/// have the engine time, as with endpoints that name a limit.
const LIMITED_SHARE: f64 = 0.25;
/// Time for which a service stays under pressure without further signs of it, ms.
const PRESSURE_HOLD_MS: f64 = 1_000.0;
/// Interval between two computations of the level, ms: that of the placer's decisions.
const REFRESH_MS: f64 = 20.0;
/// Time of its share by which a customer may be ahead, ms: shares settle within a second or two.
const ADVANCE_MS: f64 = 500.0;
/// Time after its last request for which a customer counts as one that wants its share, ms: small
/// customers send a request every few seconds.
const ACTIVE_MS: f64 = 10_000.0;
/// Time after which an inactive customer is forgotten, ms.
const FORGET_MS: f64 = 60_000.0;
/// Most customers kept for one service.
const MAX_CUSTOMERS: usize = 2_048;
/// Time for which a customer stays above its share for operators, ms; bounds the log lines.
const REPORT_HOLD_MS: f64 = 5_000.0;
/// Most changes reported at a time.
const MAX_CHANGES: usize = 64;
/// Prefill time queued at an engine up to which a prompt that arrives next is on time, ms: a third
/// of the shortest objective.
const ROOM_BACKLOG_MS: f64 = 100.0;
/// Share of all slots, on endpoints without a backlog, that requests above the share of their
/// customer leave free.
const ROOM_SHARE: f64 = 0.5;

/// A rate of engine time, in ms per ms, averaged over [`AVERAGING_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct AveragedRate {
    value: f64,
    updated_at: f64,
}

impl AveragedRate {
    fn at(&self, now: f64) -> f64 {
        self.value * (-(now - self.updated_at).max(0.0) / AVERAGING_MS).exp()
    }

    fn add(&mut self, now: f64, work_ms: f64) {
        self.value = (self.at(now) + work_ms / AVERAGING_MS).max(0.0);
        self.updated_at = now;
    }
}

/// What one customer asked and got of a service.
#[derive(Clone, Debug, Default)]
struct CustomerAccount {
    demand: AveragedRate,
    usage: AveragedRate,
    /// Engine time that was charged and not paid off yet, ms.
    debt_ms: f64,
    asked_at: f64,
    /// Time until which operators see it as above its share, if it is.
    reported_until: Option<f64>,
    refused: u64,
    waited_ms: f64,
}

/// The customers of one service.
#[derive(Clone, Debug)]
struct ServiceShares {
    accounts: map::HashMap<ids::CustomerId, CustomerAccount>,
    /// Demand of requests without a customer.
    anonymous: AveragedRate,
    usage: AveragedRate,
    declined: AveragedRate,
    /// Engine time per ms that each customer may use; `None` without pressure.
    level: Option<f64>,
    pressed_until: f64,
    refreshed_at: f64,
}

impl Default for ServiceShares {
    fn default() -> Self {
        Self {
            accounts: map::HashMap::default(),
            anonymous: AveragedRate::default(),
            usage: AveragedRate::default(),
            declined: AveragedRate::default(),
            level: None,
            pressed_until: f64::NEG_INFINITY,
            refreshed_at: f64::NEG_INFINITY,
        }
    }
}

/// A customer that came above its share of a service, or is within it again.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: ids::ServiceId,
    /// The customer.
    pub customer: ids::CustomerId,
    /// Whether it is above its share.
    pub is_above: bool,
    /// Engine time that it asks for, ms per ms.
    pub demand: f64,
    /// Engine time that each customer may use, ms per ms; `None` without pressure.
    pub level: Option<f64>,
}

/// What one customer asked and got of all services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerFigures {
    /// Engine time that it asks for, ms per ms.
    pub demand: f64,
    /// Engine time that is placed for it, ms per ms.
    pub used: f64,
    /// Engine time to which it is entitled while services are under pressure, ms per ms.
    pub share: f64,
    /// Requests declined so far.
    pub refused: u64,
    /// Time that its requests waited so far, ms.
    pub waited_ms: f64,
}

/// The accounts of the customers of all services.
#[derive(Clone, Debug)]
pub struct CustomerShares {
    services: map::HashMap<ids::ServiceId, ServiceShares>,
    capacity_share: f64,
    changes: Vec<ShareChange>,
}

impl Default for CustomerShares {
    fn default() -> Self {
        Self {
            services: map::HashMap::default(),
            capacity_share: 1.0,
            changes: Vec::new(),
        }
    }
}

impl CustomerShares {
    /// Sets the share of all services that is divided here; other placers divide the rest.
    pub(crate) fn set_capacity_share(&mut self, share: f64) {
        self.capacity_share = share;
    }

    /// Records that a request was submitted.
    pub(crate) fn record_demand(&mut self, now: f64, waiting: &state::WaitingRequest) {
        let shares = self.service_mut(&waiting.request.service);
        let Some(customer) = &waiting.request.customer else {
            shares.anonymous.add(now, waiting.work_ms);
            return;
        };
        let account = shares.account_mut(now, customer);
        account.demand.add(now, waiting.work_ms);
        account.asked_at = now;
    }

    /// Records that a request was placed, and returns the engine time that its customer was charged
    /// with, ms: none without pressure and for what runs in room that others leave.
    pub(crate) fn record_use(&mut self, now: f64, waiting: &state::WaitingRequest) -> f64 {
        let is_above = self.excess(now, &waiting.request) > 0.0;
        let shares = self.service_mut(&waiting.request.service);
        shares.usage.add(now, waiting.work_ms);
        let is_pressed = shares.level.is_some();
        let Some(customer) = &waiting.request.customer else {
            return 0.0;
        };
        let account = shares.account_mut(now, customer);
        account.usage.add(now, waiting.work_ms);
        if !is_pressed || is_above {
            return 0.0;
        }
        account.debt_ms += waiting.work_ms;
        waiting.work_ms
    }

    /// Takes back the use of a placed request that ended before an endpoint worked on it.
    pub(crate) fn refund(&mut self, now: f64, job: &state::PlacedJob) {
        let shares = self.service_mut(&job.service);
        shares.usage.add(now, -job.work_ms);
        let customer = job.customer.as_ref();
        if let Some(account) = customer.and_then(|customer| shares.accounts.get_mut(customer)) {
            account.usage.add(now, -job.work_ms);
            account.debt_ms = (account.debt_ms - job.charged_ms).max(0.0);
        }
    }

    /// Records that a request was declined for lack of engine time.
    pub(crate) fn record_decline(&mut self, now: f64, waiting: &state::WaitingRequest) {
        let request = &waiting.request;
        let shares = self.service_mut(&request.service);
        shares.declined.add(now, waiting.work_ms);
        if let Some(account) = shares.account_of(request) {
            account.refused += 1;
        }
    }

    /// Records for how long a request had waited when it was decided on, ms.
    pub(crate) fn record_wait(&mut self, waiting: &state::WaitingRequest, waited_ms: f64) {
        let request = &waiting.request;
        if let Some(account) = self.service_mut(&request.service).account_of(request) {
            account.waited_ms += waited_ms;
        }
    }

    /// Returns how far a customer is above its share of a service: the time in which its share pays
    /// for what was placed in advance, s. Zero within the share, without pressure, and without a
    /// customer.
    pub(crate) fn excess(&self, now: f64, request: &job::PlacementRequest) -> f64 {
        let shares = self.services.get(&request.service);
        let Some((shares, customer)) = shares.zip(request.customer.as_ref()) else {
            return 0.0;
        };
        let account = shares.accounts.get(customer);
        let Some((account, level)) = account.zip(shares.level) else {
            return 0.0;
        };
        let paid_ms = level * (now - shares.refreshed_at).max(0.0);
        let advance_ms = (account.debt_ms - paid_ms).max(0.0) / level.max(f64::MIN_POSITIVE);
        (advance_ms - ADVANCE_MS).max(0.0) / 1_000.0
    }

    /// Whether the level of a service has to be computed again.
    pub(crate) fn is_due(&self, now: f64, service: &ids::ServiceId) -> bool {
        let shares = self.services.get(service);
        shares.is_some_and(|shares| {
            !shares.accounts.is_empty() && now - shares.refreshed_at >= REFRESH_MS
        })
    }

    /// Computes the level of a service that has `capacity` of engine time, ms per ms.
    pub(crate) fn refresh(&mut self, now: f64, service: &ids::ServiceId, capacity: f64) {
        let share = self.capacity_share;
        let Some(shares) = self.services.get_mut(service) else {
            return;
        };
        shares.pay_off(now);
        shares.update_level(now, share * capacity);
        shares.forget_inactive(now);
        shares.report(now, service, &mut self.changes);
    }

    /// Returns and clears which customers came above their share, or are within it again.
    pub fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns what the `count` customers with the highest demand asked and got, and all others as
    /// one, which is named by `None`.
    pub fn figures(
        &self,
        now: f64,
        count: usize,
    ) -> Vec<(Option<ids::CustomerId>, CustomerFigures)> {
        let mut by_customer = collections::BTreeMap::<&ids::CustomerId, CustomerFigures>::new();
        for shares in self.services.values() {
            for (customer, account) in &shares.accounts {
                let figures = by_customer.entry(customer).or_default();
                figures.merge(&account.figures(now, shares.level));
            }
        }
        let mut largest: Vec<_> = by_customer.into_iter().collect();
        largest.sort_by(|(_, a), (_, b)| b.demand.total_cmp(&a.demand));
        let rest = largest.split_off(count.min(largest.len()));
        let named = largest.into_iter();
        let mut listed: Vec<_> = named
            .map(|(customer, figures)| (Some(customer.clone()), figures))
            .collect();
        let mut others = CustomerFigures::default();
        for (_, figures) in &rest {
            others.merge(figures);
        }
        if !rest.is_empty() {
            listed.push((None, others));
        }
        listed
    }

    fn service_mut(&mut self, service: &ids::ServiceId) -> &mut ServiceShares {
        self.services.entry(service.clone()).or_default()
    }
}

impl CustomerAccount {
    fn figures(&self, now: f64, level: Option<f64>) -> CustomerFigures {
        let demand = self.demand.at(now);
        CustomerFigures {
            demand,
            used: self.usage.at(now),
            share: level.map_or(demand, |level| level.min(demand)),
            refused: self.refused,
            waited_ms: self.waited_ms,
        }
    }
}

impl CustomerFigures {
    /// Adds what another customer asked and got.
    pub fn merge(&mut self, other: &Self) {
        self.demand += other.demand;
        self.used += other.used;
        self.share += other.share;
        self.refused += other.refused;
        self.waited_ms += other.waited_ms;
    }
}

impl ServiceShares {
    fn account_mut(&mut self, now: f64, customer: &ids::CustomerId) -> &mut CustomerAccount {
        if self.accounts.len() >= MAX_CUSTOMERS && !self.accounts.contains_key(customer) {
            self.forget_oldest();
        }
        let account = self.accounts.entry(customer.clone());
        account.or_insert_with(|| CustomerAccount {
            asked_at: now,
            ..CustomerAccount::default()
        })
    }

    fn account_of(&mut self, request: &job::PlacementRequest) -> Option<&mut CustomerAccount> {
        let customer = request.customer.as_ref()?;
        self.accounts.get_mut(customer)
    }

    fn forget_oldest(&mut self) {
        let accounts = self.accounts.iter();
        let oldest = accounts.min_by(|(_, a), (_, b)| a.asked_at.total_cmp(&b.asked_at));
        if let Some(customer) = oldest.map(|(customer, _)| customer.clone()) {
            self.accounts.remove(&customer);
        }
    }

    fn forget_inactive(&mut self, now: f64) {
        self.accounts
            .retain(|_, account| now - account.asked_at < FORGET_MS);
    }

    /// Pays the debts off that the shares of the customers have covered since the last time.
    fn pay_off(&mut self, now: f64) {
        let paid_ms = self
            .level
            .map_or(f64::INFINITY, |level| level * (now - self.refreshed_at));
        for account in self.accounts.values_mut() {
            account.debt_ms = (account.debt_ms - paid_ms).max(0.0);
        }
        self.refreshed_at = now;
    }

    fn update_level(&mut self, now: f64, capacity: f64) {
        let accounts = self.accounts.values();
        let active = accounts.filter(|account| now - account.asked_at < ACTIVE_MS);
        let mut demands: Vec<f64> = active.map(|account| account.demand.at(now)).collect();
        let anonymous = self.anonymous.at(now);
        let total = demands.iter().sum::<f64>() + anonymous;
        let usable = USABLE_SHARE * capacity;
        let is_limited = self.declined.at(now) > LIMITED_SHARE * total;
        if total > usable || is_limited {
            self.pressed_until = now + PRESSURE_HOLD_MS;
        }
        // A customer that nobody competes with has all that there is.
        if now >= self.pressed_until || demands.len() < 2 {
            self.level = None;
            return;
        }
        let divided = match is_limited && total <= capacity {
            true => self.usage.at(now).min(usable),
            false => usable,
        };
        self.level = Some(fair_level(
            &mut demands,
            divided - anonymous.min(divided / 2.0),
        ));
    }

    fn report(&mut self, now: f64, service: &ids::ServiceId, changes: &mut Vec<ShareChange>) {
        let level = self.level;
        for (customer, account) in &mut self.accounts {
            let demand = account.demand.at(now);
            let is_above = level.is_some_and(|level| demand > level);
            let was_above = account.reported_until.is_some();
            if is_above {
                account.reported_until = Some(now + REPORT_HOLD_MS);
            } else if account.reported_until.is_some_and(|until| now >= until) {
                account.reported_until = None;
            }
            let is_changed = account.reported_until.is_some() != was_above;
            if is_changed && changes.len() < MAX_CHANGES {
                changes.push(ShareChange {
                    service: service.clone(),
                    customer: customer.clone(),
                    is_above,
                    demand,
                    level,
                });
            }
        }
    }
}

/// Returns the level that divides a capacity among demands by max-min fairness: granted to each
/// demand that is as high, and the others in full, it uses the capacity. All are in ms per ms.
///
/// ```
/// use sardinepaddle_pool::customer_shares;
/// assert_eq!(customer_shares::fair_level(&mut [1.0, 9.0, 8.0], 11.0), 5.0);
/// assert_eq!(customer_shares::fair_level(&mut [1.0, 2.0], 11.0), 10.0);
/// ```
pub fn fair_level(demands: &mut [f64], capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    let count = demands.len();
    for (position, demand) in demands.iter().enumerate() {
        let level = left / (count - position) as f64;
        // The last one may have all that is left.
        if *demand >= level || position + 1 == count {
            return level;
        }
        left -= demand;
    }
    capacity
}

/// Returns whether endpoints keep enough room for requests of customers within their share if a
/// request is placed on `members`. `is_engine` tells whether the endpoints are model engines.
pub(crate) fn leaves_room<'a>(
    now: f64,
    endpoints: impl Iterator<Item = &'a state::EndpointState>,
    members: &[state::MemberUsage],
    is_engine: bool,
) -> bool {
    let (mut free, mut all) = (0.0, 0.0);
    for state in endpoints {
        let slots = f64::from(state.live.slots);
        let is_member = members.iter().any(|usage| usage.endpoint == state.live.id);
        let taken = state.jobs.len() as f64 + f64::from(u8::from(is_member));
        all += slots;
        let has_room = match is_engine {
            true => !is_member && state.pass_model.backlog_ms(now) < ROOM_BACKLOG_MS,
            false => true,
        };
        if has_room {
            free += (slots - taken).max(0.0);
        }
    }
    free >= ROOM_SHARE * all
}
