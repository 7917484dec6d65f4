//! Running the items of batch jobs: which starts next, and at which engine.
//!
//! Items of carried groups come first, as the submitter lists them first. Within a batch job, items
//! that are expected to take long start before short ones. An item goes to the
//! engine that ran its group, bounded by load; long items go to engines that run other long ones.
//! A stream that breaks goes on at another engine after its last whole event.

mod active;
mod packing;
mod progress;
mod run;

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::fleet::Fleet;
use crate::gateway::fleet::Shortlist;
use crate::gateway::job::ItemResult;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::ItemState;
use crate::gateway::job::JobHead;
use crate::gateway::job_fold::Job;
use crate::gateway::route::RouteTable;
use crate::gateway::schedule::active::ActiveJob;
use crate::gateway::schedule::active::ItemPhase;
use crate::gateway::schedule::active::ItemRun;
use crate::gateway::schedule::active::events_left;
use crate::gateway::schedule::active::finish;
use crate::gateway::schedule::active::is_long;
use crate::gateway::schedule::active::is_over;
use crate::gateway::schedule::active::is_same_work;
use crate::gateway::schedule::active::start_order;
use crate::gateway::schedule::packing::Packing;
pub use crate::gateway::schedule::progress::Progress;
pub use crate::gateway::schedule::progress::ProgressPart;
pub use crate::gateway::schedule::run::Finished;
pub use crate::gateway::schedule::run::Moment;
pub use crate::gateway::schedule::run::RunEnd;
pub use crate::gateway::schedule::run::RunNumber;
pub use crate::gateway::schedule::run::RunOutcome;
pub use crate::gateway::schedule::run::Start;
pub use crate::gateway::schedule::run::may_start;
use crate::gateway::weights::ModelDemand;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::Version;
use crate::time::Timestamp;

/// Wait before an item is sent again after a run that broke; the engine sees its connection close.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Wait before an item is sent again after an engine refused it as full: one event's time.
const FULL_BACKOFF: Duration = Duration::from_millis(30);
/// Pace of an engine, relative to the usual one, beyond which its items may be moved.
const SLOW_PACE: f64 = 1.2;
/// Pace, relative to the usual one, that an item may be moved to.
const SOUND_PACE: f64 = 1.1;
/// Least time that a move must save; it costs a connection and reading the output again.
const MIN_GAIN: Duration = Duration::from_millis(600);
/// Time that an item stays at an engine before it may be moved; a pace is known by then.
const MIN_STAY: Duration = Duration::from_millis(400);
/// Unfinished items of ended batch jobs whose progress is kept for a later batch job.
const MAX_CARRIED: usize = 1_024;

/// Items of all open batch jobs.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    jobs: IndexMap<JobId, ActiveJob>,
    carried: IndexMap<ItemId, (Arc<ItemSpec>, Progress)>,
    /// Saved output of items whose batch job isn't open yet.
    restored: IndexMap<(JobId, ItemId), IndexMap<InstanceId, Progress>>,
    /// Items of the newest batch job of each model.
    items_by_model: IndexMap<ModelId, u64>,
    last_run: u64,
}

impl Schedule {
    /// Takes a batch job that is open, and leaves out the items that are listed already.
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
            let kept = self.carried.shift_remove(&spec.id);
            let kept = kept.filter(|(before, _)| is_same_work(before, spec));
            let kept = kept.map(|(_, progress)| progress);
            let restored = self
                .restored
                .swap_remove(&(head.id.clone(), spec.id.clone()));
            let restored = restored.and_then(|by_runner| {
                by_runner
                    .into_values()
                    .max_by_key(|progress| progress.events.len())
            });
            let progress = restored.or(kept);
            let progress = progress.filter(|p| p.versions.iter().all(|v| *v >= head.min_version));
            let run = ItemRun {
                spec: Arc::clone(spec),
                phase: ItemPhase::Waiting {
                    not_before: Timestamp::default(),
                },
                progress: progress.unwrap_or_default(),
                saved_events: 0,
                failures: job.failures.get(&spec.id).copied().unwrap_or(0),
            };
            items.insert(spec.id.clone(), run);
        }
        if let Some(model) = &head.model {
            let count = u64::try_from(specs.len()).unwrap_or(u64::MAX);
            self.items_by_model.insert(model.clone(), count);
        }
        let order = start_order(specs, &items);
        let active = ActiveJob {
            head: Arc::clone(head),
            items,
            order,
            group_endpoints: IndexMap::new(),
        };
        self.jobs.insert(head.id.clone(), active);
    }

    /// Closes a batch job and keeps the progress of its unfinished items; returns the runs to stop.
    pub fn close(&mut self, job: &JobId) -> Vec<RunNumber> {
        let Some(active) = self.jobs.shift_remove(job) else {
            return Vec::new();
        };
        let mut running = Vec::new();
        for (id, item) in active.items {
            if let ItemPhase::Running { run, .. } = item.phase {
                running.push(run);
            }
            if item.phase != ItemPhase::Done && item.progress.last_event.is_some() {
                if self.carried.len() >= MAX_CARRIED {
                    self.carried.shift_remove_index(0);
                }
                self.carried.insert(id, (item.spec, item.progress));
            }
        }
        running
    }

    /// Closes all batch jobs; returns the runs to stop.
    pub fn close_all(&mut self) -> Vec<RunNumber> {
        let jobs: Vec<_> = self.jobs.keys().cloned().collect();
        jobs.iter().flat_map(|job| self.close(job)).collect()
    }

    /// Takes an item that is listed; returns the run to stop, if it still runs.
    pub fn listed(&mut self, job: &JobId, item: &ItemId) -> Option<RunNumber> {
        let run = self.jobs.get_mut(job)?.items.get_mut(item)?;
        let running = match run.phase {
            ItemPhase::Running { run, .. } => Some(run),
            ItemPhase::Waiting { .. } | ItemPhase::Done => None,
        };
        run.phase = ItemPhase::Done;
        run.progress = Progress::default();
        running
    }

    /// Returns the output of items that was not saved yet, and counts it as saved.
    ///
    /// Items with less than `min_events` events are left out; they are soon generated again.
    pub fn unsaved(&mut self, min_events: usize) -> Vec<ProgressPart> {
        let mut parts = Vec::new();
        for active in self.jobs.values_mut() {
            for item in active.items.values_mut() {
                let events = &item.progress.events;
                let is_open = item.phase != ItemPhase::Done;
                let is_new = events.len() > item.saved_events;
                let Some(last_event) = item.progress.last_event else {
                    continue;
                };
                if !is_open || !is_new || events.len() < min_events {
                    continue;
                }
                parts.push(ProgressPart {
                    job: active.head.id.clone(),
                    item: item.spec.id.clone(),
                    first_index: item.saved_events,
                    events: events[item.saved_events..].to_vec(),
                    last_event,
                    versions: item.progress.versions.clone(),
                });
                item.saved_events = events.len();
            }
        }
        parts
    }

    /// Counts nothing as saved any more, since a part may be lost.
    pub fn forget_saved(&mut self) {
        let items = self
            .jobs
            .values_mut()
            .flat_map(|job| job.items.values_mut());
        for item in items {
            item.saved_events = 0;
        }
    }

    /// Takes a part that a runner saved; one that doesn't follow its parts before changes nothing.
    pub fn restore(&mut self, runner: &InstanceId, part: ProgressPart) {
        let key = (part.job, part.item);
        let by_runner = self.restored.entry(key).or_default();
        let progress = by_runner.entry(runner.clone()).or_default();
        if part.first_index > progress.events.len() {
            return;
        }
        progress.events.truncate(part.first_index);
        progress.events.extend(part.events);
        progress.last_event = Some(part.last_event);
        progress.versions = part.versions;
    }

    /// Forgets the saved output of all items.
    pub fn forget_restored(&mut self) {
        self.restored.clear();
    }

    /// Returns whether a batch job is open here.
    #[must_use]
    pub fn is_open(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns the names of the open batch jobs.
    pub fn open_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Returns the number of items that wait for an engine.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let items = self.jobs.values().flat_map(|job| job.items.values());
        let waiting = items.filter(|item| matches!(item.phase, ItemPhase::Waiting { .. }));
        waiting.count()
    }

    /// Returns what the items of each model need.
    #[must_use]
    pub fn demand(
        &self,
        endpoints: &EndpointTable,
        fleet: &Fleet,
    ) -> IndexMap<ModelId, ModelDemand> {
        let mut demand: IndexMap<ModelId, ModelDemand> = IndexMap::new();
        for (model, items) in &self.items_by_model {
            demand.entry(model.clone()).or_default().items = *items;
        }
        for active in self.jobs.values() {
            let Some(model) = &active.head.model else {
                continue;
            };
            let demand = demand.entry(model.clone()).or_default();
            for item in active.items.values() {
                match &item.phase {
                    ItemPhase::Waiting { .. } => demand.waiting += 1,
                    ItemPhase::Running { endpoint, .. } => {
                        let running = demand.running.entry(endpoint.clone()).or_default();
                        running.items += 1;
                        let usual = usual_pace_at(endpoint, endpoints, fleet);
                        running.long_items += u32::from(is_long(item, usual));
                    }
                    ItemPhase::Done => {}
                }
            }
        }
        demand
    }

    /// Chooses the items to start now and marks them as running.
    ///
    /// `idle_connections` tells how many open connections to an engine are free, `accepts` whether
    /// an engine has a version of the weights that a batch job takes.
    pub fn next_starts(
        &mut self,
        moment: &Moment<'_>,
        fleet: &mut Fleet,
        idle_connections: impl Fn(&EndpointId) -> usize,
        accepts: impl Fn(&Endpoint, &JobHead, Option<Version>) -> bool,
    ) -> Vec<Start> {
        let mut starts = Vec::new();
        let mut packing = self.packing(moment.endpoints, fleet);
        for active in self.jobs.values_mut() {
            let order = std::mem::take(&mut active.order);
            let head = Arc::clone(&active.head);
            // Engines for the batch job's items; thousands are looked at once, not for each item.
            let mut shortlists: IndexMap<(&PoolId, Option<Version>), Shortlist<'_>> =
                IndexMap::new();
            for id in &order {
                let Some(due) = active.due(id, moment) else {
                    continue;
                };
                let shortlist = shortlists.entry((due.pool, due.exact_version));
                let shortlist = shortlist.or_insert_with(|| {
                    let admits = |endpoint: &Endpoint| accepts(endpoint, &head, due.exact_version);
                    let (now, endpoints) = (moment.now, moment.endpoints);
                    Shortlist::new(
                        fleet,
                        now,
                        endpoints,
                        &due.query(),
                        &idle_connections,
                        admits,
                    )
                });
                let long_of = active.long_item(id, fleet.usual_pace(due.pool));
                let joined = long_of.and_then(|(model, tokens)| {
                    let is_fit = |id: &EndpointId| shortlist.fits(fleet, id, SOUND_PACE);
                    packing.choose(model, tokens, due.cache_tokens?, is_fit)
                });
                let preferred = joined.as_ref().or(due.affinity.as_ref());
                let Some((endpoint, reason)) = shortlist.choose(fleet, preferred) else {
                    continue;
                };
                if let Some((model, tokens)) = long_of {
                    packing.add(model, &endpoint.id, tokens);
                }
                self.last_run += 1;
                let run = RunNumber(self.last_run);
                starts.extend(active.start(id, &due, run, endpoint, reason, moment.now));
            }
            active.order = order;
        }
        starts
    }

    /// Takes an event of a run; returns whether the run still counts.
    pub fn event(
        &mut self,
        start: &Start,
        event_id: u64,
        data: CompactString,
        version: Option<Version>,
    ) -> bool {
        let Some(item) = self.running(start) else {
            return false;
        };
        if item
            .progress
            .last_event
            .is_some_and(|last| event_id <= last)
        {
            return true;
        }
        item.progress.events.push(data);
        item.progress.last_event = Some(event_id);
        if let Some(version) = version {
            item.progress.note_version(version);
        }
        true
    }

    /// Takes items away from slow engines while others have room; returns the runs to stop.
    ///
    /// What an item has generated is read by the next engine far faster than it was generated, so
    /// a move costs little.
    pub fn move_from_slow(
        &mut self,
        now: Timestamp,
        endpoints: &EndpointTable,
        fleet: &Fleet,
    ) -> Vec<RunNumber> {
        let mut room = None;
        let mut moved = Vec::new();
        for active in self.jobs.values_mut() {
            for item in active.items.values_mut() {
                let ItemPhase::Running {
                    run,
                    endpoint,
                    since,
                } = &item.phase
                else {
                    continue;
                };
                let pace = fleet.relative_pace(now, endpoint);
                if pace < SLOW_PACE || now.since(*since) < MIN_STAY {
                    continue;
                }
                let pool = endpoints.get(endpoint).map(|endpoint| &endpoint.pool);
                let room = room.get_or_insert_with(|| free_sound_slots(now, endpoints, fleet));
                let free = pool.and_then(|pool| room.get_mut(pool));
                let usual = pool.and_then(|pool| fleet.usual_pace(pool));
                let (Some(free), Some(usual)) = (free, usual) else {
                    continue;
                };
                let left = u32::try_from(events_left(item)).unwrap_or(u32::MAX);
                let gain = (usual * left).mul_f64(pace - SOUND_PACE);
                if *free == 0 || gain < MIN_GAIN {
                    continue;
                }
                *free -= 1;
                moved.push(*run);
                item.phase = ItemPhase::Waiting { not_before: now };
                if let Some(group) = &item.spec.group {
                    active.group_endpoints.shift_remove(group);
                }
            }
        }
        moved
    }

    /// Returns the number of whole events of an item whose run still counts.
    pub fn events_of(&mut self, start: &Start) -> usize {
        let item = self.running(start);
        item.map_or(0, |item| item.progress.events.len())
    }

    /// Takes the end of a run.
    pub fn ended(
        &mut self,
        now: Timestamp,
        start: &Start,
        outcome: RunOutcome,
        max_failures: u32,
    ) -> RunEnd {
        let Some(item) = self.running(start) else {
            return RunEnd::Stale;
        };
        let backoff = match outcome {
            RunOutcome::Completed => return finish(start, item, ItemState::Completed),
            RunOutcome::Impossible => return finish(start, item, ItemState::Abandoned),
            RunOutcome::Failed => {
                item.failures += 1;
                if item.failures >= max_failures {
                    return finish(start, item, ItemState::Abandoned);
                }
                RETRY_BACKOFF
            }
            RunOutcome::Full | RunOutcome::NotRun | RunOutcome::WrongVersion => FULL_BACKOFF,
            RunOutcome::Broken | RunOutcome::Unreachable | RunOutcome::Silent => RETRY_BACKOFF,
        };
        item.phase = ItemPhase::Waiting {
            not_before: now + backoff,
        };
        let failures = item.failures;
        if let (Some(group), Some(active)) =
            (start.item.group.as_ref(), self.jobs.get_mut(&start.job.id))
        {
            let kept = active.group_endpoints.get(group);
            if kept == Some(&start.endpoint.id) {
                active.group_endpoints.shift_remove(group);
            }
        }
        RunEnd::Waits { failures }
    }

    /// Gives up the items whose time is over.
    ///
    /// Items without a route wait: it may only not have been read yet, or be back later.
    pub fn give_up(&mut self, unix_ms: u64, routes: &RouteTable) -> Vec<Finished> {
        let mut finished = Vec::new();
        for active in self.jobs.values_mut() {
            let head = &active.head;
            for item in active.items.values_mut() {
                if item.phase == ItemPhase::Done {
                    continue;
                }
                let route = routes.find(&head.host, &item.spec.path);
                if route.is_none_or(|route| !is_over(head, route, unix_ms)) {
                    continue;
                }
                item.phase = ItemPhase::Done;
                finished.push(Finished {
                    job: head.id.clone(),
                    result: ItemResult {
                        item: item.spec.id.clone(),
                        state: ItemState::Abandoned,
                        text: String::new(),
                        versions: Vec::new(),
                    },
                });
            }
        }
        finished
    }

    /// Returns where long items run now.
    fn packing(&self, endpoints: &EndpointTable, fleet: &Fleet) -> Packing {
        let mut packing = Packing::default();
        for active in self.jobs.values() {
            for (id, item) in &active.items {
                let ItemPhase::Running { endpoint, .. } = &item.phase else {
                    continue;
                };
                let usual = usual_pace_at(endpoint, endpoints, fleet);
                if let Some((model, tokens)) = active.long_item(id, usual) {
                    packing.add(model, endpoint, tokens);
                }
            }
        }
        packing
    }

    fn running(&mut self, start: &Start) -> Option<&mut ItemRun> {
        let item = self.jobs.get_mut(&start.job.id)?;
        let item = item.items.get_mut(&start.item.id)?;
        let is_current = matches!(item.phase, ItemPhase::Running { run, .. } if run == start.run);
        is_current.then_some(item)
    }
}

/// Returns the usual time of an event in an engine's pool.
fn usual_pace_at(
    endpoint: &EndpointId,
    endpoints: &EndpointTable,
    fleet: &Fleet,
) -> Option<Duration> {
    let pool = endpoints.get(endpoint).map(|endpoint| &endpoint.pool)?;
    fleet.usual_pace(pool)
}

/// Returns the free slots of engines that aren't slow, by pool.
fn free_sound_slots(
    now: Timestamp,
    endpoints: &EndpointTable,
    fleet: &Fleet,
) -> IndexMap<PoolId, u32> {
    let mut room: IndexMap<PoolId, u32> = IndexMap::new();
    for endpoint in endpoints.iter().filter(|endpoint| !endpoint.leaving) {
        if fleet.is_sound(now, &endpoint.id) && fleet.relative_pace(now, &endpoint.id) <= SOUND_PACE
        {
            let free = endpoint.slots.saturating_sub(fleet.in_flight(&endpoint.id));
            *room.entry(endpoint.pool.clone()).or_default() += free;
        }
    }
    room
}
