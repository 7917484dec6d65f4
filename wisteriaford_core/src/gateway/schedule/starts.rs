//! Selection of the items that start next.
//!
//! Batch jobs are served in the order in which they were opened. At a pool where items of several organisations
//! wait for more slots than are free, each organisation gets its share of them.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::fair_shares::ShareKey;
use crate::gateway::fair_shares::items::ItemTurns;
use crate::gateway::job::JobHead;
use crate::gateway::load_balancer::LoadBalancer;
use crate::gateway::load_balancer::Shortlist;
use crate::gateway::route::RouteTable;
use crate::gateway::schedule::Discarded;
use crate::gateway::schedule::DispatchContext;
use crate::gateway::schedule::MAX_TARGET_PACE_RATIO;
use crate::gateway::schedule::RunNumber;
use crate::gateway::schedule::RunStart;
use crate::gateway::schedule::Schedule;
use crate::gateway::schedule::active::ActiveJob;
use crate::gateway::schedule::active::ItemPhase;
use crate::gateway::schedule::median_pace_at;
use crate::gateway::schedule::packing::Packing;
use crate::gateway::suspects::Admission;
use crate::gateway::suspects::Suspects;
use crate::gateway::weights::VersionNeed;
use crate::id::EndpointId;
use crate::id::ItemId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::SoftwareVersion;
use crate::id::Version;

/// Maximum number of organisations whose last start is known; the oldest are forgotten first.
const MAX_LAST_STARTS: usize = 1_024;

/// What the engines on a shortlist have in common: pool, version of the weights and of the software.
type ShortlistKey<'a> = (&'a PoolId, Option<Version>, Option<SoftwareVersion>);

/// Engines for the items of a batch job. They are filtered once per pool and version instead of once per
/// item, since a pool can have thousands of them.
type Shortlists<'a> = IndexMap<ShortlistKey<'a>, Shortlist<'a>>;

/// Waiting items of the contended pools.
type PoolTurns<'a> = IndexMap<&'a PoolId, ItemTurns<ItemPlace>>;

/// Pools whose slots are shared between organisations.
#[derive(Default)]
struct Contention<'a> {
    pools: PoolTurns<'a>,
    /// Positions of the batch jobs with items that wait for other pools.
    jobs_elsewhere: IndexSet<usize>,
}

/// Place of an item in a schedule.
#[derive(Clone, Copy, Debug)]
struct ItemPlace {
    /// Position of its batch job.
    job: usize,
    /// Position in the order of the batch job.
    item: usize,
}

/// Where the items of a batch job with the same pool and priority wait.
#[derive(Clone, Copy)]
struct Lane<'a> {
    pool: &'a PoolId,
    priority: u32,
    pool_position: usize,
    /// Position of the organisation among those of the pool.
    position: usize,
}

/// Selection of items in progress.
struct StartPass<'p, 'a, I, A, P> {
    context: &'p DispatchContext<'a>,
    load_balancer: &'p mut LoadBalancer,
    suspects: &'p mut Suspects,
    idle_connections: I,
    accepts: A,
    take_permit: P,
    packing: Packing,
    last_run: u64,
    starts: Vec<RunStart>,
    discarded: Vec<Discarded>,
}

impl<'a, I, A, P> StartPass<'_, 'a, I, A, P>
where
    I: Fn(&EndpointId) -> usize,
    A: Fn(&Endpoint, &JobHead, VersionNeed) -> bool,
    P: FnMut(&Endpoint, u32) -> bool,
{
    /// Starts an item if it is ready and its pool isn't in `excluded`; returns whether it was started.
    fn try_start(
        &mut self,
        active: &mut ActiveJob,
        shortlists: &mut Shortlists<'a>,
        id: &ItemId,
        excluded: &PoolTurns<'_>,
    ) -> bool {
        let head = Arc::clone(&active.head);
        let context = self.context;
        let Some(ready) = active.ready_item(id, context) else {
            return false;
        };
        if excluded.contains_key(ready.pool) {
            return false;
        }
        let key = (ready.pool, ready.exact_version, ready.software.clone());
        let shortlist = shortlists.entry(key);
        let shortlist = shortlist.or_insert_with(|| {
            let admits =
                |endpoint: &Endpoint| (self.accepts)(endpoint, &head, ready.version_need());
            Shortlist::new(
                self.load_balancer,
                context.now,
                context.endpoints,
                &ready.query(),
                &self.idle_connections,
                admits,
            )
        });
        let median_pace = self.load_balancer.median_pace(ready.pool);
        let long_item = active.long_item(id, median_pace);
        let packed = long_item.and_then(|(model, tokens)| {
            let load_balancer = &self.load_balancer;
            let admits = |id: &EndpointId| shortlist.fits(load_balancer, id, MAX_TARGET_PACE_RATIO);
            let cache_tokens = ready.cache_tokens?;
            self.packing.choose(model, tokens, cache_tokens, admits)
        });
        let preferred = packed.as_ref().or(ready.affinity.as_ref());
        // Only the leader runs items, so that a trial needs no record in the log.
        let admission = self.suspects.admit_owed(context.now, ready.fingerprint);
        if matches!(admission, Admission::Refuse { .. }) {
            return false;
        }
        let alone = admission != Admission::Run;
        let selected = loop {
            let Some(selected) = shortlist.select(self.load_balancer, preferred) else {
                break None;
            };
            if (self.take_permit)(selected.0, ready.priority) {
                break Some(selected);
            }
            shortlist.exclude(self.load_balancer, &selected.0.id);
        };
        let Some((endpoint, reason)) = selected else {
            if alone {
                self.suspects.end_alone(ready.fingerprint);
            }
            let has_room = |endpoint: &Endpoint| {
                self.load_balancer.is_available(context.now, &endpoint.id)
                    && self.load_balancer.free_slots(context.now, endpoint) > 0
            };
            let accepts = |endpoint: &Endpoint, need| (self.accepts)(endpoint, &head, need);
            let discarded = active.on_unplaced(id, &ready, context, has_room, accepts);
            self.discarded.extend(discarded);
            return false;
        };
        if let Some((model, tokens)) = long_item {
            self.packing.add(model, &endpoint.id, tokens);
        }
        self.last_run += 1;
        let run = RunNumber(self.last_run);
        let start = active.start(id, &ready, run, endpoint, reason, context.now);
        let is_started = start.is_some();
        self.starts
            .extend(start.map(|start| RunStart { alone, ..start }));
        is_started
    }
}

impl Schedule {
    /// Selects the items to start now and marks them as running.
    ///
    /// `idle_connections` returns the number of open connections to an engine that are idle.
    /// `accepts` returns whether an engine has, or will have, the version of the weights that an item
    /// of the batch job needs.
    /// `take_permit` takes the permit for a request of a priority that an engine with a limit on its
    /// requests needs. Items under which engines crashed wait for as long as `suspects` delays
    /// them.
    pub fn next_starts(
        &mut self,
        context: &DispatchContext<'_>,
        load_balancer: &mut LoadBalancer,
        suspects: &mut Suspects,
        idle_connections: impl Fn(&EndpointId) -> usize,
        accepts: impl Fn(&Endpoint, &JobHead, VersionNeed) -> bool,
        take_permit: impl FnMut(&Endpoint, u32) -> bool,
    ) -> Vec<RunStart> {
        let mut contention = self.contention(context, load_balancer, &accepts);
        let mut pass = StartPass {
            packing: self.packing(context.endpoints, load_balancer),
            context,
            load_balancer,
            suspects,
            idle_connections,
            accepts,
            take_permit,
            last_run: self.last_run,
            starts: Vec::new(),
            discarded: Vec::new(),
        };
        for (position, active) in self.jobs.values_mut().enumerate() {
            let is_elsewhere = contention.jobs_elsewhere.contains(&position);
            if !contention.pools.is_empty() && !is_elsewhere {
                continue;
            }
            let order = std::mem::take(&mut active.order);
            let mut shortlists = Shortlists::new();
            for id in &order {
                pass.try_start(active, &mut shortlists, id, &contention.pools);
            }
            active.order = order;
        }
        let none = PoolTurns::new();
        for turns in contention.pools.values_mut() {
            let mut shortlists: IndexMap<usize, Shortlists<'_>> = IndexMap::new();
            while let Some(place) = turns.take_next() {
                let shortlists = shortlists.entry(place.job).or_default();
                let active = &mut self.jobs[place.job];
                let order = std::mem::take(&mut active.order);
                if pass.try_start(active, shortlists, &order[place.item], &none) {
                    turns.record_start(pass.last_run);
                    self.shared_starts += 1;
                    let organisation = active.head.organisation.clone();
                    self.last_starts.shift_remove(&organisation);
                    let run = RunNumber(pass.last_run);
                    self.last_starts.insert(organisation, run);
                }
                active.order = order;
            }
        }
        if self.last_starts.len() > MAX_LAST_STARTS {
            let excess = self.last_starts.len() - MAX_LAST_STARTS;
            self.last_starts.drain(..excess);
        }
        self.last_run = pass.last_run;
        self.discarded.extend(pass.discarded);
        pass.starts
    }

    /// Returns the number of items that wait for an engine of each pool.
    #[must_use]
    pub fn waiting_by_pool(&self, routes: &RouteTable) -> IndexMap<PoolId, u64> {
        let mut waiting = IndexMap::new();
        for active in self.jobs.values() {
            for item in active.items.values() {
                if !matches!(item.phase, ItemPhase::Waiting { .. }) {
                    continue;
                }
                let route = routes.find(&active.head.host, &item.spec.path);
                let pool = route.and_then(|route| route.pool_for(item.spec.id.as_str()));
                if let Some(pool) = pool {
                    *waiting.entry(pool.clone()).or_default() += 1;
                }
            }
        }
        waiting
    }

    /// Returns the number of items that started by the fair shares of organisations since the last call.
    pub fn take_shared_starts(&mut self) -> u64 {
        std::mem::take(&mut self.shared_starts)
    }

    /// Returns the pools at which more items of several organisations wait than there are free slots.
    fn contention<'a>(
        &self,
        context: &DispatchContext<'a>,
        load_balancer: &LoadBalancer,
        accepts: impl Fn(&Endpoint, &JobHead, VersionNeed) -> bool,
    ) -> Contention<'a> {
        let mut pools = PoolTurns::new();
        let mut lanes = IndexSet::new();
        let owners = self.jobs.values().map(|active| &active.head.organisation);
        let owners: IndexSet<_> = owners.collect();
        if context.routes.organisations.is_none() || owners.len() < 2 {
            return Contention::default();
        }
        let mut heads: IndexMap<&PoolId, IndexMap<(&Option<ModelId>, Version), &JobHead>> =
            IndexMap::new();
        for (job, active) in self.jobs.values().enumerate() {
            let head = &active.head;
            let last_start = self.last_starts.get(&head.organisation);
            let last_start = last_start.map_or(0, |run| run.0);
            // Nearly always the same for all items of a batch job.
            let mut last: Option<Lane<'_>> = None;
            for (item, id) in active.order.iter().enumerate() {
                let Some((pool, priority)) = active.ready_pool(id, context) else {
                    continue;
                };
                let known = last.filter(|lane| lane.pool == pool && lane.priority == priority);
                let lane = known.unwrap_or_else(|| {
                    lanes.insert((job, pool));
                    let of_pool = heads.entry(pool).or_default();
                    of_pool.insert((&head.model, head.min_version), head);
                    let entry = pools.entry(pool);
                    let pool_position = entry.index();
                    let key = ShareKey {
                        priority,
                        organisation: head.organisation.clone(),
                    };
                    Lane {
                        pool,
                        priority,
                        pool_position,
                        position: entry.or_default().position(key, last_start),
                    }
                });
                last = Some(lane);
                let turns = &mut pools[lane.pool_position];
                turns.add_waiting(lane.position, ItemPlace { job, item });
            }
        }
        pools.retain(|pool, turns| {
            let is_usable = |endpoint: &Endpoint| {
                let mut heads = heads[*pool].values();
                heads.any(|head| accepts(endpoint, head, VersionNeed::Accepted))
            };
            let free = free_slots(context, load_balancer, pool, is_usable);
            if !turns.is_shared() || turns.waiting_count() <= free {
                return false;
            }
            let running = self.add_running(context, pool, turns);
            turns.divide(running + free);
            true
        });
        lanes.retain(|(_, pool)| !pools.contains_key(pool));
        let jobs_elsewhere = lanes.into_iter().map(|(job, _)| job);
        Contention {
            jobs_elsewhere: jobs_elsewhere.collect(),
            pools,
        }
    }

    /// Adds the items that run at a pool, and returns their number.
    fn add_running(
        &self,
        context: &DispatchContext<'_>,
        pool: &PoolId,
        turns: &mut ItemTurns<ItemPlace>,
    ) -> u64 {
        let mut running = 0;
        for active in self.jobs.values() {
            for item in active.items.values() {
                let ItemPhase::Running { endpoint, .. } = &item.phase else {
                    continue;
                };
                let endpoint = context.endpoints.get(endpoint);
                if endpoint.is_some_and(|endpoint| endpoint.pool == *pool) {
                    running += 1;
                    turns.add_running(ShareKey {
                        priority: active.priority(&item.spec, context.routes),
                        organisation: active.head.organisation.clone(),
                    });
                }
            }
        }
        running
    }

    /// Returns the engines that currently run long items.
    fn packing(&self, endpoints: &EndpointTable, load_balancer: &LoadBalancer) -> Packing {
        let mut packing = Packing::default();
        for active in self.jobs.values() {
            for (id, item) in &active.items {
                let ItemPhase::Running { endpoint, .. } = &item.phase else {
                    continue;
                };
                let median_pace = median_pace_at(endpoint, endpoints, load_balancer);
                if let Some((model, tokens)) = active.long_item(id, median_pace) {
                    packing.add(model, endpoint, tokens);
                }
            }
        }
        packing
    }
}

/// Returns the free slots of a pool's available engines for which `is_usable` holds.
fn free_slots(
    context: &DispatchContext<'_>,
    load_balancer: &LoadBalancer,
    pool: &PoolId,
    is_usable: impl Fn(&Endpoint) -> bool,
) -> u64 {
    let settings = context.routes.pools.get(pool);
    let engine = settings.and_then(|settings| settings.engine.as_ref());
    let max_in_flight = engine.map_or(u32::MAX, |engine| engine.slots);
    let free = context.endpoints.serving(pool).map(|endpoint| {
        let free = load_balancer.free_slots(context.now, endpoint);
        let in_flight = load_balancer.in_flight(&endpoint.id);
        let free = free.min(max_in_flight.saturating_sub(in_flight));
        let is_free = free > 0
            && load_balancer.is_available(context.now, &endpoint.id)
            && is_usable(endpoint);
        if is_free { u64::from(free) } else { 0 }
    });
    free.sum()
}
