//! Orders of engines for pools whose deployment lets the fleet choose their number.
//!
//! More engines are ordered as soon as the work needs them, as an engine earns far more than it costs
//! while there is work. Fewer are ordered only after the work has needed fewer for [`HOLD_TIME`] without
//! a gap in what is known of it, and never fewer than are needed then. Nothing is ordered while the work
//! can't be seen, and nothing that would change nothing.

pub mod allocation;
pub mod fleet;
pub mod work;

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use indexmap::IndexMap;

use crate::gateway::duties::DueCall;
use crate::gateway::duties::Duty;
use crate::gateway::duties::DutyContent;
use crate::gateway::duties::DutyKind;
use crate::gateway::duties::DutyOutcome;
use crate::gateway::scaling::allocation::ScalingPolicy;
use crate::gateway::scaling::allocation::ZoneEngines;
use crate::gateway::scaling::allocation::allocate;
use crate::id::AvailabilityZone;
use crate::id::PoolId;
use crate::time::Timestamp;

/// Time for which fewer engines must have been enough before fewer are ordered. Batch jobs come every
/// few seconds, and an engine that is ordered again boots for seconds.
pub const HOLD_TIME: Duration = Duration::from_secs(60);
/// Age up to which the observed work counts.
pub const MAX_DEMAND_AGE: Duration = Duration::from_secs(3);
/// Time from the boot of an engine until its entry is sure to be read; entries are written about every
/// second.
const ENTRY_TIME: Duration = Duration::from_secs(6);
/// Number of times that the delay of a repeated order without effect doubles.
const MAX_DOUBLINGS: u32 = 5;
/// Time for which no spot engines are ordered in a zone that had none.
const SPOT_RETRY_DELAY: Duration = Duration::from_secs(60);
/// Slots ordered for each 100 that the work occupies, so that callers find a free one.
const SLOTS_PERCENT: u64 = 125;
/// Time for which the answer to an order is awaited.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Order of engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScaleOrder {
    /// Pool of the engines.
    pub pool: PoolId,
    /// Availability zone of the engines.
    pub availability_zone: AvailabilityZone,
    /// Number of engines of the kind that the zone is to have.
    pub engines: u32,
    /// Whether the order is about spot engines.
    pub is_spot: bool,
}

impl ScaleOrder {
    /// Returns what the order is about; both kinds of engines are one subject.
    #[must_use]
    pub fn subject(&self) -> CompactString {
        format_compact!("{}/{}", self.pool, self.availability_zone)
    }
}

/// Work of a pool, in requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolWork {
    /// Requests that wait for an engine.
    pub waiting: u64,
    /// Requests that engines run.
    pub running: u64,
    /// Requests that are known to come within the boot time.
    pub due: u64,
}

/// What is known of a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolObservation {
    /// Work; `None` if any part of it isn't known, or if the list of engines may be out of date.
    pub work: Option<PoolWork>,
    /// Engines that serve and are not leaving, by zone.
    pub present: IndexMap<AvailabilityZone, ZoneEngines>,
}

/// Last order about one kind of engines of a zone.
#[derive(Clone, Copy, Debug)]
struct LastOrder {
    engines: u32,
    at: Timestamp,
    /// How often the same was ordered before.
    repeats: u32,
}

/// Decides on the engines of one pool.
#[derive(Clone, Debug)]
pub struct PoolScaling {
    pool: PoolId,
    policy: ScalingPolicy,
    /// Engines that the work needed, with the time of the observation, oldest first. One that is not
    /// above a later one is left out.
    needs: VecDeque<(Timestamp, u32)>,
    /// Time since which the work has been observed without a gap.
    seen_since: Option<Timestamp>,
    last_seen: Timestamp,
    present: IndexMap<AvailabilityZone, ZoneEngines>,
    orders: IndexMap<(AvailabilityZone, bool), LastOrder>,
    in_flight: bool,
    /// Zones without spot engines, with the time until which none are ordered.
    without_spot: IndexMap<AvailabilityZone, Timestamp>,
}

impl PoolScaling {
    /// Creates the decisions on a pool of which nothing was observed.
    #[must_use]
    pub fn new(pool: PoolId, policy: ScalingPolicy) -> Self {
        Self {
            pool,
            policy,
            needs: VecDeque::new(),
            seen_since: None,
            last_seen: Timestamp::default(),
            present: IndexMap::new(),
            orders: IndexMap::new(),
            in_flight: false,
            without_spot: IndexMap::new(),
        }
    }

    /// Records what is known of the pool now.
    pub fn observe(&mut self, now: Timestamp, observation: PoolObservation) {
        self.present = observation.present;
        let Some(work) = observation.work else {
            return;
        };
        if self.seen_since.is_none() || now.since(self.last_seen) > MAX_DEMAND_AGE {
            self.seen_since = Some(now);
            self.needs.clear();
        }
        self.last_seen = now;
        let need = self.engines_for(work);
        while self.needs.back().is_some_and(|(_, known)| *known <= need) {
            self.needs.pop_back();
        }
        self.needs.push_back((now, need));
        while self
            .needs
            .front()
            .is_some_and(|(at, _)| now.since(*at) > HOLD_TIME)
        {
            self.needs.pop_front();
        }
    }

    fn engines_for(&self, work: PoolWork) -> u32 {
        let requests = work.waiting + work.running + work.due;
        let slots = requests.saturating_mul(SLOTS_PERCENT).div_ceil(100);
        let engines = slots.div_ceil(u64::from(self.policy.slots.max(1)));
        u32::try_from(engines).unwrap_or(u32::MAX)
    }

    /// Returns the order that is due, if any.
    fn due_order(
        &self,
        now: Timestamp,
        is_fenced_off: &dyn Fn(&str) -> bool,
    ) -> Option<ScaleOrder> {
        let is_seen = now.since(self.last_seen) <= MAX_DEMAND_AGE;
        let seen_since = self.seen_since.filter(|_| is_seen)?;
        let (_, need) = *self.needs.front()?;
        let total: u32 = self.present.values().map(|zone| zone.total()).sum();
        let is_short = total < need;
        let is_settled = now.since(seen_since) >= HOLD_TIME && !self.is_changing(now);
        if !is_short && !is_settled {
            return None;
        }
        let may_use_spot = |zone: &AvailabilityZone| {
            let until = self.without_spot.get(zone);
            until.is_none_or(|until| now >= *until)
        };
        let target = allocate(&self.policy, need, may_use_spot);
        let may_order =
            |order: &ScaleOrder| !is_fenced_off(&order.subject()) && !self.is_recent(now, order);
        let increases = target
            .iter()
            .flat_map(|(zone, engines)| self.increases(zone, *engines));
        if let Some(order) = increases.into_iter().find(may_order) {
            return Some(order);
        }
        if !is_settled {
            return None;
        }
        // What is left must be enough for the work of the whole hold time.
        let spare = total.saturating_sub(need);
        let reductions = target
            .iter()
            .flat_map(|(zone, engines)| self.reductions(zone, *engines, spare));
        reductions.into_iter().find(may_order)
    }

    /// Returns the orders of more engines for a zone, within its maximum.
    fn increases(&self, zone: &AvailabilityZone, target: ZoneEngines) -> Vec<ScaleOrder> {
        let present = self.present.get(zone).copied().unwrap_or_default();
        let room = self.policy.maximum.saturating_sub(present.total());
        let regular = target.regular.min(present.regular + room);
        let mut orders = Vec::new();
        if regular > present.regular {
            orders.push(self.order(zone, regular, false));
        }
        // Never more than the regular engines that are there: spot engines may all be taken back.
        let spot = target.spot.min(present.spot + room).min(present.regular);
        if spot > present.spot {
            orders.push(self.order(zone, spot, true));
        }
        orders
    }

    /// Returns the orders of fewer engines for a zone, by at most `spare`.
    fn reductions(
        &self,
        zone: &AvailabilityZone,
        target: ZoneEngines,
        spare: u32,
    ) -> Vec<ScaleOrder> {
        let present = self.present.get(zone).copied().unwrap_or_default();
        let lowest = |present: u32, target: u32| target.max(present.saturating_sub(spare));
        let regular = lowest(present.regular, target.regular).max(present.spot);
        let spot = lowest(present.spot, target.spot);
        let mut orders = Vec::new();
        if regular < present.regular {
            orders.push(self.order(zone, regular, false));
        }
        if spot < present.spot {
            orders.push(self.order(zone, spot, true));
        }
        orders
    }

    fn order(&self, zone: &AvailabilityZone, engines: u32, is_spot: bool) -> ScaleOrder {
        ScaleOrder {
            pool: self.pool.clone(),
            availability_zone: zone.clone(),
            engines,
            is_spot,
        }
    }

    /// Returns whether the same was ordered so recently that engines may still be booting.
    fn is_recent(&self, now: Timestamp, order: &ScaleOrder) -> bool {
        let key = (order.availability_zone.clone(), order.is_spot);
        let last = self.orders.get(&key);
        last.is_some_and(|last| {
            let delay = self.effect_time() * 2_u32.pow(last.repeats.min(MAX_DOUBLINGS));
            last.engines == order.engines && now.since(last.at) < delay
        })
    }

    /// Returns whether the effect of any order is still to be seen.
    fn is_changing(&self, now: Timestamp) -> bool {
        let mut orders = self.orders.values();
        orders.any(|last| now.since(last.at) < self.effect_time())
    }

    /// Returns the time within which the effect of an order is seen.
    fn effect_time(&self) -> Duration {
        self.policy.boot + ENTRY_TIME
    }
}

impl Duty for PoolScaling {
    fn kind(&self) -> DutyKind {
        DutyKind::Scaling
    }

    fn next_call(
        &mut self,
        now: Timestamp,
        is_fenced_off: &dyn Fn(&str) -> bool,
    ) -> Option<DueCall> {
        if self.in_flight {
            return None;
        }
        let order = self.due_order(now, is_fenced_off)?;
        let key = (order.availability_zone.clone(), order.is_spot);
        let before = self.orders.get(&key);
        let before = before.filter(|before| before.engines == order.engines);
        let last = LastOrder {
            engines: order.engines,
            at: now,
            repeats: before.map_or(0, |before| before.repeats + 1),
        };
        self.orders.insert(key, last);
        self.in_flight = true;
        Some(DueCall {
            content: DutyContent::Scaling(order),
            timeout: ORDER_TIMEOUT,
        })
    }

    fn on_outcome(&mut self, now: Timestamp, content: &DutyContent, outcome: DutyOutcome) {
        let DutyContent::Scaling(order) = content else {
            return;
        };
        self.in_flight = false;
        match outcome {
            DutyOutcome::Conflict if order.is_spot => {
                let until = now + SPOT_RETRY_DELAY;
                self.without_spot
                    .insert(order.availability_zone.clone(), until);
            }
            // Nothing was ordered, so that it may be ordered again as soon as calls are made again.
            DutyOutcome::Limited { .. } | DutyOutcome::Unreachable => {
                let key = (order.availability_zone.clone(), order.is_spot);
                self.orders.swap_remove(&key);
            }
            DutyOutcome::Accepted
            | DutyOutcome::Conflict
            | DutyOutcome::Refused
            | DutyOutcome::Unknown => {}
        }
    }
}
