//! Scheduling of batch job items: which item starts next, and on which engine.
//!
//! Items of groups carried over from an earlier batch job start first; the submitter lists them
//! first. Within a batch job, items are started in order of expected output, longest first. An item
//! prefers the engine that already ran its group, unless that engine is overloaded; long items are
//! packed onto engines that run other long items. If a stream breaks, the item resumes on another
//! engine after its last complete event. An item with a scorer is finished once its complete output
//! has a score.

mod active;
mod events;
mod forecast;
mod overview;
mod packing;
mod progress;
mod run;
mod scoring;
mod starts;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::fingerprint::item_fingerprint;
use crate::gateway::job::FailureCounts;
use crate::gateway::job::ItemResult;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::ItemState;
use crate::gateway::job_fold::Job;
use crate::gateway::load_balancer::LoadBalancer;
use crate::gateway::route::RouteTable;
use crate::gateway::schedule::active::ActiveJob;
use crate::gateway::schedule::active::CarriedItem;
use crate::gateway::schedule::active::ItemPhase;
use crate::gateway::schedule::active::ItemRun;
use crate::gateway::schedule::active::bounded_remaining_events;
use crate::gateway::schedule::active::finish;
use crate::gateway::schedule::active::is_expired;
use crate::gateway::schedule::active::is_long;
use crate::gateway::schedule::active::is_same_request;
use crate::gateway::schedule::active::remaining_events;
use crate::gateway::schedule::active::start_order;
pub use crate::gateway::schedule::events::EventEffect;
use crate::gateway::schedule::forecast::ClosedGroups;
use crate::gateway::schedule::forecast::Forecast;
use crate::gateway::schedule::forecast::ItemPaces;
use crate::gateway::schedule::forecast::JobGroups;
pub use crate::gateway::schedule::forecast::MoveRule;
pub use crate::gateway::schedule::overview::DispatchState;
pub use crate::gateway::schedule::overview::ItemOverview;
pub use crate::gateway::schedule::overview::ItemPlace;
pub use crate::gateway::schedule::overview::ItemWait;
pub use crate::gateway::schedule::progress::Progress;
pub use crate::gateway::schedule::progress::ProgressPart;
pub use crate::gateway::schedule::run::Discarded;
pub use crate::gateway::schedule::run::DispatchContext;
pub use crate::gateway::schedule::run::FinishedItem;
pub use crate::gateway::schedule::run::RunEnd;
pub use crate::gateway::schedule::run::RunNumber;
pub use crate::gateway::schedule::run::RunOutcome;
pub use crate::gateway::schedule::run::RunStart;
pub use crate::gateway::schedule::run::may_start_items;
pub use crate::gateway::schedule::scoring::ScoreStart;
use crate::gateway::schedule::scoring::ScorerWindow;
use crate::gateway::weights::ModelDemand;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::ModelId;
use crate::id::OrganisationId;
use crate::id::PoolId;
use crate::id::SoftwareVersion;
use crate::scoring::ScorerBackOff;
use crate::time::Timestamp;

/// Delay before an item is retried after a failed run or a broken stream.
///
/// It gives the engine time to notice that the connection was closed.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Delay before an item is retried after an engine refused it; about the duration of one event.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(30);
/// Time per event, relative to the pool's usual one, from which an engine counts as slow and its
/// items may be moved.
const SLOW_PACE_RATIO: f64 = 1.2;
/// Highest time per event, relative to the pool's usual one, of an engine that may receive a moved
/// item.
const MAX_TARGET_PACE_RATIO: f64 = 1.1;
/// Minimum time that a move must save.
///
/// A move costs a new connection, and the new engine has to read the output generated so far.
const MIN_MOVE_GAIN: Duration = Duration::from_millis(600);
/// Minimum time that an item runs on an engine before it may be moved, so that the engine's pace is
/// known.
const MIN_RUN_TIME_BEFORE_MOVE: Duration = Duration::from_millis(400);
/// Maximum number of unfinished items of closed batch jobs whose progress is kept for a later batch
/// job.
const MAX_CARRIED_ITEMS: usize = 1_024;

/// Items of all open batch jobs, and the output kept for items that may run again.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    jobs: IndexMap<JobId, ActiveJob>,
    /// Progress and failures of unfinished items of closed batch jobs, oldest first.
    carried: IndexMap<(Option<OrganisationId>, ItemId), CarriedItem>,
    /// Saved output of items whose batch job isn't open yet, by the instance that ran the item.
    restored: IndexMap<(JobId, ItemId), IndexMap<InstanceId, Progress>>,
    /// Number of items in the newest batch job of each model.
    item_counts: IndexMap<ModelId, u64>,
    /// Limits of the scorer calls in progress, by pool.
    scorer_windows: IndexMap<PoolId, ScorerWindow>,
    last_run: u64,
    /// Maximum size of the output of an item in a record of the log; unlimited if `None`.
    max_output_bytes: Option<usize>,
    /// Output that was discarded since it was last taken.
    discarded: Vec<Discarded>,
    /// Number of the last run that each organisation started at a contended pool, oldest first.
    last_starts: IndexMap<Option<OrganisationId>, RunNumber>,
    /// Items that started by the fair shares of organisations since they were last taken.
    shared_starts: u64,
    closed_groups: ClosedGroups,
    /// Items left at slow engines since they were last taken.
    unneeded_moves: u64,
}

impl Schedule {
    /// Opens a batch job, skipping items whose result is already listed.
    pub fn open(&mut self, job: &Job, specs: &[Arc<ItemSpec>]) {
        let head = &job.head;
        if self.jobs.contains_key(&head.id) {
            return;
        }
        let mut items = IndexMap::new();
        for spec in specs {
            if job.result_of(&spec.id).is_some() {
                continue;
            }
            let key = (head.organisation.clone(), spec.id.clone());
            let carried = self.carried.shift_remove(&key);
            let carried = carried.filter(|item| is_same_request(&item.spec, spec));
            let known = job.failures.get(&spec.id).copied().unwrap_or_default();
            let failures = carried
                .as_ref()
                .map_or(known, |item| known.max(item.failures));
            let carried = carried.map(|item| item.progress);
            let restored = self
                .restored
                .swap_remove(&(head.id.clone(), spec.id.clone()));
            let restored = restored.and_then(|by_runner| {
                by_runner
                    .into_values()
                    .max_by_key(|progress| progress.events.len())
            });
            let progress = restored.or(carried);
            let progress = progress.filter(|p| p.versions.iter().all(|v| *v >= head.min_version));
            let max_bytes = self.max_output_bytes.unwrap_or(usize::MAX);
            let progress = progress.filter(|p| p.is_whole() && p.size_bytes() <= max_bytes);
            let mut progress = progress.unwrap_or_default();
            progress.is_complete &= spec.scorer.is_some() && !progress.events.is_empty();
            if !progress.is_complete && progress.software.is_none() {
                // Nothing is known of the engines that could continue it.
                progress = Progress::default();
            }
            let phase = if progress.is_complete {
                ItemPhase::Unscored
            } else {
                ItemPhase::Waiting {
                    not_before: Timestamp::default(),
                }
            };
            let run = ItemRun {
                spec: Arc::clone(spec),
                fingerprint: item_fingerprint(head, spec),
                phase,
                progress,
                saved_events: 0,
                saved_complete: false,
                silent_runs: 0,
                unplaced_since: None,
                failures,
                scorer_back_off: ScorerBackOff::default(),
                last_scorer: None,
                unneeded_move: None,
            };
            items.insert(spec.id.clone(), run);
        }
        if let Some(model) = &head.model {
            let count = u64::try_from(specs.len()).unwrap_or(u64::MAX);
            self.item_counts.insert(model.clone(), count);
        }
        let order = start_order(specs, &items);
        let groups = JobGroups::new(specs, &items);
        let active = ActiveJob {
            head: Arc::clone(head),
            items,
            order,
            group_endpoints: IndexMap::new(),
            groups,
        };
        self.jobs.insert(head.id.clone(), active);
    }

    /// Closes a batch job, keeping the progress of its unfinished items, and returns the runs to
    /// stop.
    pub fn close(&mut self, job: &JobId) -> Vec<RunNumber> {
        let Some(active) = self.jobs.shift_remove(job) else {
            return Vec::new();
        };
        self.closed_groups.add(&active.head, active.groups);
        let mut running = Vec::new();
        for (id, item) in active.items {
            running.extend(item.phase.run());
            let has_failed = item.failures != FailureCounts::default();
            let is_known = item.progress.last_event.is_some() || has_failed;
            if item.phase != ItemPhase::Done && is_known {
                if self.carried.len() >= MAX_CARRIED_ITEMS {
                    self.carried.shift_remove_index(0);
                }
                let carried = CarriedItem {
                    spec: item.spec,
                    progress: item.progress,
                    failures: item.failures,
                };
                let key = (active.head.organisation.clone(), id);
                self.carried.insert(key, carried);
            }
        }
        running
    }

    /// Closes all batch jobs and returns the runs to stop.
    ///
    /// Another instance goes on with them, and may close them.
    pub fn close_all(&mut self) -> Vec<RunNumber> {
        let jobs: Vec<_> = self.jobs.keys().cloned().collect();
        let running = jobs.iter().flat_map(|job| self.close(job)).collect();
        self.closed_groups = ClosedGroups::default();
        running
    }

    /// Marks an item as done since its result is listed; returns the run to stop if it is still
    /// running.
    pub fn mark_listed(&mut self, job: &JobId, item: &ItemId) -> Option<RunNumber> {
        let run = self.jobs.get_mut(job)?.items.get_mut(item)?;
        let running = run.phase.run();
        run.phase = ItemPhase::Done;
        run.progress = Progress::default();
        running
    }

    /// Returns whether a batch job is open.
    #[must_use]
    pub fn is_open(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns the ids of the open batch jobs.
    pub fn open_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Returns the number of items that are waiting for an engine.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        let items = self.jobs.values().flat_map(|job| job.items.values());
        let waiting = items.filter(|item| matches!(item.phase, ItemPhase::Waiting { .. }));
        waiting.count()
    }

    /// Returns the number of waiting and running items of each model.
    #[must_use]
    pub fn demand(
        &self,
        endpoints: &EndpointTable,
        load_balancer: &LoadBalancer,
    ) -> IndexMap<ModelId, ModelDemand> {
        let mut demand: IndexMap<ModelId, ModelDemand> = IndexMap::new();
        for (model, count) in &self.item_counts {
            demand.entry(model.clone()).or_default().items = *count;
        }
        for active in self.jobs.values() {
            let Some(model) = &active.head.model else {
                continue;
            };
            let demand = demand.entry(model.clone()).or_default();
            for item in active.items.values() {
                match &item.phase {
                    ItemPhase::Waiting { .. } => {
                        demand.waiting += 1;
                        demand.min_version = demand.min_version.max(active.head.min_version);
                    }
                    ItemPhase::Running { endpoint, .. } => {
                        let running = demand.running.entry(endpoint.clone()).or_default();
                        running.items += 1;
                        let median_pace = median_pace_at(endpoint, endpoints, load_balancer);
                        running.long_items += u32::from(is_long(item, median_pace));
                    }
                    ItemPhase::Unscored | ItemPhase::Scoring { .. } | ItemPhase::Done => {}
                }
            }
        }
        demand
    }

    /// Returns the output that was discarded since the last call, as no endpoint could continue it.
    pub fn take_discarded(&mut self) -> Vec<Discarded> {
        std::mem::take(&mut self.discarded)
    }

    /// Requeues items of slow engines that `rule` allows to move, while other engines have free slots;
    /// returns the runs to stop.
    ///
    /// `accepts` returns whether an engine may receive moved items. The next engine reads the output
    /// generated so far much faster than it was generated.
    pub fn move_from_slow_engines(
        &mut self,
        now: Timestamp,
        endpoints: &EndpointTable,
        load_balancer: &LoadBalancer,
        rule: MoveRule<'_>,
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> Vec<RunNumber> {
        let mut free_slots = None;
        let mut moved = Vec::new();
        for active in self.jobs.values_mut() {
            // Only made for batch jobs with items that a move would speed up, once for all of them.
            let mut forecast = None;
            for position in 0..active.items.len() {
                let item = &active.items[position];
                let ItemPhase::Running {
                    run,
                    endpoint,
                    since,
                } = &item.phase
                else {
                    continue;
                };
                let run = *run;
                let pace = load_balancer.relative_pace(now, endpoint);
                if pace < SLOW_PACE_RATIO || now.since(*since) < MIN_RUN_TIME_BEFORE_MOVE {
                    continue;
                }
                let listed = endpoints.get(endpoint);
                let pool = listed.map(|endpoint| &endpoint.pool);
                let free_slots = free_slots.get_or_insert_with(|| {
                    free_target_slots(now, endpoints, load_balancer, &accepts)
                });
                let key = listed.map(|endpoint| (endpoint.pool.clone(), endpoint.software.clone()));
                let free = key.and_then(|key| free_slots.get_mut(&key));
                let median_pace = pool.and_then(|pool| load_balancer.median_pace(pool));
                let (Some(free), Some(median_pace)) = (free, median_pace) else {
                    continue;
                };
                let remaining = match rule {
                    MoveRule::AllItems => remaining_events(item),
                    MoveRule::AwaitedItems(_) => bounded_remaining_events(item),
                };
                let remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
                let remaining = median_pace.saturating_mul(remaining);
                if *free == 0 || remaining.mul_f64(pace - MAX_TARGET_PACE_RATIO) < MIN_MOVE_GAIN {
                    continue;
                }
                let forecast = forecast.get_or_insert_with(|| match rule {
                    MoveRule::AllItems => None,
                    MoveRule::AwaitedItems(routes) => {
                        let paces = ItemPaces {
                            now,
                            routes,
                            endpoints,
                            load_balancer,
                        };
                        Forecast::new(active, &self.closed_groups, &paces)
                    }
                });
                let event_time = median_pace.mul_f64(pace);
                let is_unneeded = forecast
                    .as_ref()
                    .is_some_and(|forecast| !forecast.may_depend_on(item, event_time));
                let item = &mut active.items[position];
                if is_unneeded {
                    if item.unneeded_move.replace(run) != Some(run) {
                        self.unneeded_moves += 1;
                    }
                    continue;
                }
                *free -= 1;
                moved.push(run);
                item.phase = ItemPhase::Waiting { not_before: now };
                if let Some(group) = &item.spec.group {
                    active.group_endpoints.shift_remove(group);
                }
            }
        }
        moved
    }

    /// Handles the end of a run and returns what happens to the item.
    ///
    /// An item is abandoned after `max_failures` failures on engines, to which output over the size that
    /// the log can store counts. Refusals and broken streams don't count as failures.
    pub fn on_run_ended(
        &mut self,
        now: Timestamp,
        start: &RunStart,
        outcome: RunOutcome,
        max_failures: u32,
    ) -> RunEnd {
        let job = &start.job.id;
        let Some(item) = self.current_item(start) else {
            return RunEnd::Stale;
        };
        let backoff = match outcome {
            // An answer without an event isn't that of an item.
            RunOutcome::Completed if item.progress.last_event.is_none() => RETRY_BACKOFF,
            RunOutcome::Completed if item.spec.scorer.is_some() => {
                item.progress.is_complete = true;
                item.phase = ItemPhase::Unscored;
                return RunEnd::Unscored;
            }
            RunOutcome::Completed => return finish(job, item, ItemState::Completed, None),
            RunOutcome::Impossible => return finish(job, item, ItemState::Abandoned, None),
            RunOutcome::Failed | RunOutcome::TooLarge => {
                if outcome == RunOutcome::TooLarge {
                    // The engine may have been faulty.
                    item.discard_output();
                }
                item.failures.runs += 1;
                if item.failures.runs >= max_failures {
                    return finish(job, item, ItemState::Abandoned, None);
                }
                RETRY_BACKOFF
            }
            RunOutcome::Full | RunOutcome::NotRun | RunOutcome::WrongVersion => REFUSAL_BACKOFF,
            RunOutcome::Silent => {
                item.silent_runs = item.silent_runs.saturating_add(1);
                RETRY_BACKOFF
            }
            RunOutcome::Broken | RunOutcome::Unreachable => RETRY_BACKOFF,
        };
        item.phase = ItemPhase::Waiting {
            not_before: now + backoff,
        };
        let failures = item.failures;
        if let (Some(group), Some(active)) =
            (start.item.group.as_ref(), self.jobs.get_mut(&start.job.id))
        {
            let preferred = active.group_endpoints.get(group);
            if preferred == Some(&start.endpoint.id) {
                active.group_endpoints.shift_remove(group);
            }
        }
        RunEnd::Requeued { failures }
    }

    /// Abandons expired items and returns their results.
    ///
    /// Items without a route keep waiting: the route may not have been read yet, or may be added
    /// back later.
    pub fn abandon_expired(&mut self, unix_ms: u64, routes: &RouteTable) -> Vec<FinishedItem> {
        let mut finished = Vec::new();
        for active in self.jobs.values_mut() {
            let head = &active.head;
            for item in active.items.values_mut() {
                if item.phase == ItemPhase::Done {
                    continue;
                }
                let route = routes.find(&head.host, &item.spec.path);
                if route.is_none_or(|route| !is_expired(head, route, unix_ms)) {
                    continue;
                }
                item.phase = ItemPhase::Done;
                finished.push(FinishedItem {
                    job: head.id.clone(),
                    result: ItemResult {
                        item: item.spec.id.clone(),
                        state: ItemState::Abandoned,
                        text: String::new(),
                        versions: Vec::new(),
                        score: None,
                    },
                });
            }
        }
        finished
    }

    /// Returns the item of a run, if that run is still current.
    fn current_item(&mut self, start: &RunStart) -> Option<&mut ItemRun> {
        let item = self.jobs.get_mut(&start.job.id)?;
        let item = item.items.get_mut(&start.item.id)?;
        let is_current = matches!(item.phase, ItemPhase::Running { run, .. } if run == start.run);
        is_current.then_some(item)
    }
}

/// Returns the usual time per event in an engine's pool.
fn median_pace_at(
    endpoint: &EndpointId,
    endpoints: &EndpointTable,
    load_balancer: &LoadBalancer,
) -> Option<Duration> {
    let pool = endpoints.get(endpoint).map(|endpoint| &endpoint.pool)?;
    load_balancer.median_pace(pool)
}

/// Returns the free slots of engines that may receive moved items, by pool and version of the software.
fn free_target_slots(
    now: Timestamp,
    endpoints: &EndpointTable,
    load_balancer: &LoadBalancer,
    accepts: impl Fn(&Endpoint) -> bool,
) -> IndexMap<(PoolId, SoftwareVersion), u32> {
    let mut free_slots: IndexMap<_, u32> = IndexMap::new();
    let serving = endpoints.iter().filter(|endpoint| !endpoint.leaving);
    for endpoint in serving.filter(|endpoint| accepts(endpoint)) {
        if load_balancer.is_available(now, &endpoint.id)
            && load_balancer.relative_pace(now, &endpoint.id) <= MAX_TARGET_PACE_RATIO
        {
            let free = endpoint
                .slots
                .saturating_sub(load_balancer.in_flight(&endpoint.id));
            let key = (endpoint.pool.clone(), endpoint.software.clone());
            *free_slots.entry(key).or_default() += free;
        }
    }
    free_slots
}
