//! Calls of scorers: which complete text is scored next, and at which endpoint.
//!
//! Scorers run on services that also answer interactive callers, so calls in progress are limited
//! to a part of each endpoint's slots, and fewer if endpoints refuse or lose calls. Texts of the
//! groups nearest to completion are scored first, and those whose scorer failed before come last,
//! so that scorers that always fail delay no other item.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::fingerprint::call_fingerprint;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::ItemState;
use crate::gateway::job::JobHead;
use crate::gateway::job::Scorer;
use crate::gateway::load_balancer::CALL_COSTS;
use crate::gateway::load_balancer::LoadBalancer;
use crate::gateway::load_balancer::SelectionCriteria;
use crate::gateway::route::Route;
use crate::gateway::schedule::DispatchContext;
use crate::gateway::schedule::RunEnd;
use crate::gateway::schedule::RunNumber;
use crate::gateway::schedule::RunOutcome;
use crate::gateway::schedule::Schedule;
use crate::gateway::schedule::active::ActiveJob;
use crate::gateway::schedule::active::ItemPhase;
use crate::gateway::schedule::active::ItemRun;
use crate::gateway::schedule::active::finish;
use crate::gateway::suspects::Admission;
use crate::gateway::suspects::Suspects;
use crate::id::EndpointId;
use crate::id::Fingerprint;
use crate::id::GroupId;
use crate::id::PoolId;
use crate::scoring::BackOffLimits;
use crate::time::Timestamp;

/// Part of an endpoint's slots that scorer calls may use; the rest is left to interactive callers.
const SLOT_SHARE_PERCENT: u32 = 67;
/// Timeout of a scorer call, as a multiple of the pool's usual time for one.
const TIMEOUT_FACTOR: u32 = 8;
/// Minimum timeout of a scorer call.
const MIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum timeout of a scorer call; also that of the first ones, of unknown duration.
const MAX_TIMEOUT: Duration = Duration::from_secs(2);
/// Back-off of an item whose scorer gave no score.
const BACK_OFF: BackOffLimits = BackOffLimits {
    initial: Duration::from_millis(60),
    max: Duration::from_secs(1),
};
/// Minimum interval between reductions of a pool's window; the calls in progress at the first sign
/// of overload all end within it.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(250);

/// Limit of the scorer calls in progress at a pool.
///
/// It halves when the pool is overloaded, and grows by one with each window of scores. Endpoints that
/// are unavailable for a while don't reduce it: once they are back, their slots are used at once.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ScorerWindow {
    /// Reduced limit; `None` while only the slots of the pool limit its calls.
    limit: Option<f64>,
    /// Calls that the slots of the available endpoints allow.
    capacity: u32,
    reduced_at: Option<Timestamp>,
}

impl ScorerWindow {
    /// Returns the number of calls that may be in progress.
    fn calls(&mut self, capacity: u32) -> u32 {
        self.capacity = capacity;
        // The limit is at least 1, and less than the capacity was when it was reduced.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.limit.map_or(u32::MAX, |limit| limit as u32);
        limit.min(capacity)
    }

    fn grow(&mut self) {
        let limit = self.limit.map(|limit| limit + 1.0 / limit);
        self.limit = limit.filter(|limit| *limit < f64::from(self.capacity));
    }

    fn reduce(&mut self, now: Timestamp) {
        let is_recent = |at| now.since(at) < REDUCTION_INTERVAL;
        if !self.reduced_at.is_some_and(is_recent) {
            let capacity = f64::from(self.capacity);
            let limit = self.limit.unwrap_or(capacity).min(capacity);
            self.limit = Some((limit / 2.0).max(1.0));
            self.reduced_at = Some(now);
        }
    }
}

/// Scorer call to be started.
#[derive(Clone, Debug)]
pub struct ScoreStart {
    /// Batch job of the item.
    pub job: Arc<JobHead>,
    /// The item.
    pub item: Arc<ItemSpec>,
    /// The call.
    pub scorer: Scorer,
    /// Fingerprint of the call.
    pub fingerprint: Fingerprint,
    /// Whether no repeat of the call may run at the same time.
    pub alone: bool,
    /// Number of the call; unique among all runs of this instance.
    pub run: RunNumber,
    /// Endpoint that is called.
    pub endpoint: Endpoint,
    /// Time limit of the call.
    pub timeout: Duration,
    /// Failures that allow the item to be abandoned.
    pub max_failures: u32,
}

/// Text that can be scored now; the smallest is scored first.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ReadyText {
    scorer_failures: u32,
    /// Items of the group whose output isn't complete.
    incomplete_in_group: usize,
    /// Events generated so far; longer texts are worth more work.
    events: Reverse<usize>,
    job: usize,
    item: usize,
}

impl Schedule {
    /// Returns the number of complete texts without a score.
    #[must_use]
    pub fn unscored_count(&self) -> usize {
        let items = self.jobs.values().flat_map(|job| job.items.values());
        let is_unscored =
            |item: &&ItemRun| matches!(item.phase, ItemPhase::Unscored | ItemPhase::Scoring { .. });
        items.filter(is_unscored).count()
    }

    /// Selects the scorer calls to start now and marks them as in progress.
    ///
    /// `load_balancer` counts scorer calls only. `accepts` returns whether an endpoint may be called
    /// at all. `take_permit` takes the permit for a request of a priority that an endpoint with a limit
    /// on its requests needs.
    pub fn next_scores(
        &mut self,
        context: &DispatchContext<'_>,
        load_balancer: &mut LoadBalancer,
        suspects: &mut Suspects,
        idle_connections: impl Fn(&EndpointId) -> usize,
        accepts: impl Fn(&Endpoint) -> bool,
        mut take_permit: impl FnMut(&Endpoint, u32) -> bool,
    ) -> Vec<ScoreStart> {
        let mut starts = Vec::new();
        let mut without_permit: Vec<EndpointId> = Vec::new();
        let mut free: IndexMap<PoolId, FreeCalls> = IndexMap::new();
        for text in self.ready_texts(context.now) {
            let Some((_, active)) = self.jobs.get_index_mut(text.job) else {
                continue;
            };
            let head = Arc::clone(&active.head);
            let Some((_, item)) = active.items.get_index_mut(text.item) else {
                continue;
            };
            let Some(scorer) = item.spec.scorer.clone() else {
                continue;
            };
            // Without a route the text waits: a later configuration may have one again.
            let Some(route) = context.routes.find(&scorer.host, &scorer.path) else {
                continue;
            };
            let Some(pool) = route.pool_for(scorer.request.as_str()) else {
                continue;
            };
            let calls = free.entry(pool.clone()).or_insert_with(|| {
                let window = self.scorer_windows.entry(pool.clone());
                let window = window.or_default();
                FreeCalls::new(pool, window, context, load_balancer, &accepts)
            });
            if calls.count == 0 {
                continue;
            }
            let fingerprint = scorer_fingerprint(&scorer);
            let admission = suspects.admit_owed(context.now, fingerprint);
            if matches!(admission, Admission::Refuse { .. }) {
                continue;
            }
            let alone = admission != Admission::Run;
            let endpoint = loop {
                let selected = select(
                    pool,
                    item.last_scorer.as_ref(),
                    calls,
                    context,
                    load_balancer,
                    &idle_connections,
                    |endpoint| accepts(endpoint) && !without_permit.contains(&endpoint.id),
                );
                match selected {
                    Some(endpoint) if !take_permit(endpoint, route.priority) => {
                        without_permit.push(endpoint.id.clone());
                    }
                    selected => break selected,
                }
            };
            let Some(endpoint) = endpoint else {
                if alone {
                    suspects.end_alone(fingerprint);
                }
                calls.count = 0;
                continue;
            };
            calls.count -= 1;
            load_balancer.record_start(&endpoint.id);
            self.last_run += 1;
            let run = RunNumber(self.last_run);
            item.phase = ItemPhase::Scoring { run };
            let timeout = timeout(
                route,
                load_balancer.median_pace(pool),
                item.scorer_back_off.failures(),
            );
            let item_route = context.routes.find(&head.host, &item.spec.path);
            let item_attempts = item_route.map_or(0, |route| route.max_attempts);
            starts.push(ScoreStart {
                job: head,
                item: Arc::clone(&item.spec),
                scorer,
                fingerprint,
                alone,
                run,
                endpoint: endpoint.clone(),
                timeout,
                max_failures: route.max_attempts.max(item_attempts).max(1),
            });
        }
        starts
    }

    /// Handles the end of a scorer call and returns what happens to the item.
    ///
    /// An item is abandoned after as many reported failures as [`ScoreStart::max_failures`]. All
    /// other calls without a score are repeated until the batch job ends.
    pub fn on_score_ended(
        &mut self,
        now: Timestamp,
        start: &ScoreStart,
        result: Result<CompactString, RunOutcome>,
    ) -> RunEnd {
        if let Some(window) = self.scorer_windows.get_mut(&start.endpoint.pool) {
            match &result {
                Ok(_) => window.grow(),
                Err(RunOutcome::Full | RunOutcome::Silent) => window.reduce(now),
                Err(_) => {}
            }
        }
        let item = self.jobs.get_mut(&start.job.id);
        let item = item.and_then(|active| active.items.get_mut(&start.item.id));
        let is_current = |item: &&mut ItemRun| item.phase == ItemPhase::Scoring { run: start.run };
        let Some(item) = item.filter(is_current) else {
            return RunEnd::Stale;
        };
        let outcome = match result {
            Ok(score) => return finish(&start.job.id, item, ItemState::Completed, Some(score)),
            Err(outcome) => outcome,
        };
        if outcome == RunOutcome::Failed {
            item.failures.scores += 1;
            if item.failures.scores >= start.max_failures {
                return finish(&start.job.id, item, ItemState::Abandoned, None);
            }
        }
        item.phase = ItemPhase::Unscored;
        item.last_scorer = Some(start.endpoint.id.clone());
        let seed = start.item.id.as_str().as_bytes();
        item.scorer_back_off.record_failure(now, BACK_OFF, &[seed]);
        RunEnd::Requeued {
            failures: item.failures,
        }
    }

    /// Returns the texts that can be scored now, in the order in which they are.
    fn ready_texts(&self, now: Timestamp) -> Vec<ReadyText> {
        let mut texts = Vec::new();
        for (job, active) in self.jobs.values().enumerate() {
            let mut incomplete = None;
            for (index, item) in active.items.values().enumerate() {
                if item.phase != ItemPhase::Unscored || !item.scorer_back_off.may_call(now) {
                    continue;
                }
                let incomplete = incomplete.get_or_insert_with(|| incomplete_by_group(active));
                let group = item.spec.group.as_ref();
                texts.push(ReadyText {
                    scorer_failures: item.scorer_back_off.failures(),
                    incomplete_in_group: group
                        .and_then(|group| incomplete.get(group).copied())
                        .unwrap_or(0),
                    events: Reverse(item.progress.events.len()),
                    job,
                    item: index,
                });
            }
        }
        texts.sort_unstable();
        texts
    }
}

/// Scorer calls that may start at a pool.
struct FreeCalls {
    count: u32,
    max_per_endpoint: u32,
}

impl FreeCalls {
    fn new(
        pool: &PoolId,
        window: &mut ScorerWindow,
        context: &DispatchContext<'_>,
        load_balancer: &LoadBalancer,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> Self {
        let endpoints = pool_endpoints(context.endpoints, pool);
        let endpoints =
            endpoints.filter(|e| load_balancer.is_available(context.now, &e.id) && accepts(e));
        let (mut capacity, mut in_progress, mut min_slots) = (0, 0, u32::MAX);
        for endpoint in endpoints {
            capacity += slot_share(endpoint.slots);
            in_progress += load_balancer.in_flight(&endpoint.id);
            min_slots = min_slots.min(endpoint.slots);
        }
        Self {
            count: window.calls(capacity).saturating_sub(in_progress),
            max_per_endpoint: slot_share(min_slots),
        }
    }
}

fn pool_endpoints<'a>(
    endpoints: &'a EndpointTable,
    pool: &PoolId,
) -> impl Iterator<Item = &'a Endpoint> {
    let endpoints = endpoints.iter();
    endpoints.filter(move |endpoint| endpoint.pool == *pool && !endpoint.leaving)
}

fn slot_share(slots: u32) -> u32 {
    (slots.saturating_mul(SLOT_SHARE_PERCENT) / 100).max(1)
}

/// Returns the endpoint to call; preferably not the one whose last call gave no score.
fn select<'a>(
    pool: &PoolId,
    last: Option<&EndpointId>,
    calls: &FreeCalls,
    context: &DispatchContext<'a>,
    load_balancer: &LoadBalancer,
    idle_connections: impl Fn(&EndpointId) -> usize,
    accepts: impl Fn(&Endpoint) -> bool,
) -> Option<&'a Endpoint> {
    let last: Vec<EndpointId> = last.into_iter().cloned().collect();
    [&last[..], &[]].into_iter().find_map(|excluded| {
        let query = SelectionCriteria {
            pool,
            tried: excluded,
            software: None,
            affinity: None,
            max_in_flight: Some(calls.max_per_endpoint),
            allow_unavailable: false,
            prefer_proven: false,
            costs: CALL_COSTS,
        };
        let selected = load_balancer.select(
            context.now,
            context.endpoints,
            &query,
            &idle_connections,
            &accepts,
        );
        selected.map(|(endpoint, _)| endpoint)
    })
}

fn scorer_fingerprint(scorer: &Scorer) -> Fingerprint {
    call_fingerprint("POST", &scorer.host, &scorer.path, &scorer.body)
}

/// Returns the time limit of a call, which doubles with each call of the item without a score.
fn timeout(route: &Route, usual: Option<Duration>, failures: u32) -> Duration {
    let timeout = usual.map_or(MAX_TIMEOUT, |usual| {
        let timeout = (usual * TIMEOUT_FACTOR).max(MIN_TIMEOUT);
        timeout.saturating_mul(1 << failures.min(4))
    });
    let max = route
        .timeout
        .map_or(MAX_TIMEOUT, |max| max.min(MAX_TIMEOUT));
    timeout.min(max)
}

/// Returns the number of items whose output isn't complete, by group.
fn incomplete_by_group(active: &ActiveJob) -> IndexMap<GroupId, usize> {
    let mut incomplete: IndexMap<GroupId, usize> = IndexMap::new();
    for item in active.items.values() {
        let is_incomplete = matches!(
            item.phase,
            ItemPhase::Waiting { .. } | ItemPhase::Running { .. }
        );
        if let (Some(group), true) = (&item.spec.group, is_incomplete) {
            *incomplete.entry(group.clone()).or_default() += 1;
        }
    }
    incomplete
}
