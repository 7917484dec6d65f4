//! Running of batch job items, while this instance is the leader.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::FutureExt;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::task::AbortHandle;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::job::JobHead;
use wisteriaford_core::gateway::job_memory::open_bytes;
use wisteriaford_core::gateway::record;
use wisteriaford_core::gateway::schedule::DispatchContext;
use wisteriaford_core::gateway::schedule::MoveRule;
use wisteriaford_core::gateway::schedule::RunEnd;
use wisteriaford_core::gateway::schedule::RunNumber;
use wisteriaford_core::gateway::schedule::RunOutcome;
use wisteriaford_core::gateway::schedule::RunStart;
use wisteriaford_core::gateway::schedule::ScoreStart;
use wisteriaford_core::gateway::schedule::may_start_items;
use wisteriaford_core::gateway::suspects::Loss;
use wisteriaford_core::id::GroupId;
use wisteriaford_core::id::JobId;

use crate::adapter::Log;
use crate::adapter::Topic;
use crate::clock;
use crate::contents;
use crate::forward::InFlightGuard;
use crate::item_stream::stream_item;
use crate::permits;
use crate::progress;
use crate::reach;
use crate::run::Run;
use crate::run::RunPermit;
use crate::score;
use crate::state::Gateway;
use crate::state::lock;
use crate::state::stopped;
use crate::stream;

/// Interval between passes while items run or wait; an engine generates an event in about 40 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between passes while no item runs or waits; any change to that wakes the runner.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of runs that must be silent together before the links of this instance are checked.
const MIN_RUNS_TO_CHECK: usize = 2;
/// Delay before retrying to read the items of a batch job, some tens of the store's round trips.
const OPEN_BACKOFF: Duration = Duration::from_millis(150);

/// Runs in progress by run number.
type Runs = IndexMap<RunNumber, AbortHandle>;

/// Runs items until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let mut runs = Runs::new();
    let loads = LoadState::default();
    loop {
        let interval = if run_pass(&gateway, &mut runs, &loads) {
            POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        };
        tokio::select! {
            () = gateway.runner_wake.notified() => {}
            () = tokio::time::sleep(interval) => {}
            () = stopped(&mut stop) => return,
        }
    }
}

/// Opens and closes batch jobs and starts items; returns whether any item runs or waits.
fn run_pass(gateway: &Arc<Gateway>, runs: &mut Runs, loads: &LoadState) -> bool {
    runs.retain(|_, run| !run.is_finished());
    // Also notices pauses while there are no requests.
    let is_current = gateway.is_current();
    let is_leader = gateway
        .leadership()
        .may_run_items(clock::now(), gateway.log.is_isolated());
    if !is_leader {
        let stopped = gateway.schedule().close_all();
        stop_runs(runs, &stopped);
        loads.restored.store(NOT_RESTORED, Ordering::Release);
        return false;
    }
    if !loads.is_restored(gateway) {
        return true;
    }
    let max_record_bytes = gateway.log.limits().max_record_bytes;
    gateway.schedule().set_max_record_bytes(max_record_bytes);
    sync_jobs(gateway, runs, loads);
    for finished in abandon_expired(gateway) {
        log::info!(
            job:% = finished.job, item:% = finished.result.item; "item abandoned, deadline exceeded"
        );
        gateway.outbox.push(finished);
    }
    if !is_current || !loads.may_start(gateway) {
        return true;
    }
    stop_runs(runs, &move_from_slow_engines(gateway));
    if runs.len() >= MIN_RUNS_TO_CHECK {
        reach::check_after_silence(gateway, clock::now() - stream::CUT_SILENCE);
    }
    let starts = next_starts(gateway);
    let shared_starts = gateway.schedule().take_shared_starts();
    if shared_starts > 0 {
        let counter = &gateway.metrics.shared_item_starts;
        counter.add(shared_starts, &[]);
        log::debug!(items = shared_starts; "items started by the shares of their organisations");
    }
    for discarded in gateway.schedule().take_discarded() {
        log::info!(
            job:% = discarded.job, item:% = discarded.item, software:% = discarded.software,
            version = discarded.version.map(|version| version.0), events = discarded.events;
            "item begins anew, no engine can continue its output"
        );
    }
    for start in starts {
        let run = start.run;
        let task = tokio::spawn(run_item_to_end(Arc::clone(gateway), start));
        runs.insert(run, task.abort_handle());
    }
    for start in next_scores(gateway) {
        let run = start.run;
        let task = tokio::spawn(score::score_item(Arc::clone(gateway), start));
        runs.insert(run, task.abort_handle());
    }
    let schedule = gateway.schedule();
    !runs.is_empty() || schedule.waiting_count() > 0 || schedule.unscored_count() > 0
}

/// Requeues items of slow engines and returns the runs to stop.
fn move_from_slow_engines(gateway: &Gateway) -> Vec<RunNumber> {
    let view = gateway.view.load();
    let rule = if gateway.settings.load().moves_only_awaited_items {
        MoveRule::AwaitedItems(&view.routes)
    } else {
        MoveRule::AllItems
    };
    let (moved, unneeded) = {
        let mut schedule = gateway.schedule();
        let load_balancer = gateway.load_balancer();
        let limits = gateway.announced_limits();
        let accepts = |endpoint: &Endpoint| limits.get(endpoint).is_none();
        let (now, endpoints) = (clock::now(), &view.endpoints);
        let moved = schedule.move_from_slow_engines(now, endpoints, &load_balancer, rule, accepts);
        (moved, schedule.take_unneeded_moves())
    };
    if !moved.is_empty() {
        gateway.metrics.moved_items.add(moved.len() as u64, &[]);
        log::info!(items = moved.len(); "items moved from slow engines");
    }
    if unneeded > 0 {
        gateway.metrics.unneeded_moves.add(unneeded, &[]);
        log::debug!(items = unneeded; "items left at slow engines, no step depends on them");
    }
    moved
}

fn stop_runs(runs: &mut Runs, stopped: &[RunNumber]) {
    for number in stopped {
        if let Some(run) = runs.swap_remove(number) {
            run.abort();
        }
    }
}

/// Closes batch jobs that have ended and starts reading the items of new ones.
fn sync_jobs(gateway: &Arc<Gateway>, runs: &mut Runs, loads: &LoadState) {
    let jobs = gateway.jobs();
    let mut schedule = gateway.schedule();
    let closed: Vec<JobId> = schedule
        .open_jobs()
        .filter(|id| {
            jobs.get(id)
                .is_none_or(|job| job.ended || job.is_complete())
        })
        .cloned()
        .collect();
    for id in closed {
        stop_runs(runs, &schedule.close(&id));
    }
    let unfinished = || jobs.iter().filter(|job| !job.ended && !job.is_complete());
    let is_open = |id: &JobId| schedule.is_open(id) || loads.is_begun(id);
    let open = unfinished().filter(|job| is_open(&job.head.id));
    let mut held_bytes: u64 = open.map(|job| open_bytes(&job.head)).sum();
    let limits = gateway.settings.load().job_limits();
    for job in unfinished() {
        if is_open(&job.head.id) {
            continue;
        }
        let job_bytes = open_bytes(&job.head);
        if !limits.may_open(held_bytes, job_bytes) {
            // Later ones wait as well, so that small ones don't keep a large one from being opened.
            break;
        }
        held_bytes += job_bytes;
        loads.begin(&job.head.id);
        let head = Arc::clone(&job.head);
        tokio::spawn(open_job(Arc::clone(gateway), head, loads.clone()));
    }
}

/// Saved output has not been read since this instance became the leader.
const NOT_RESTORED: u8 = 0;
/// Saved output is being read.
const RESTORING: u8 = 1;
/// Saved output has been read.
const RESTORED: u8 = 2;

/// State of the reads from the log that precede running items.
#[derive(Clone, Default)]
struct LoadState {
    jobs: Arc<Mutex<IndexSet<JobId>>>,
    restored: Arc<AtomicU8>,
    /// Whether the fold of batch jobs is too old to start items.
    is_stale: Arc<AtomicBool>,
}

impl LoadState {
    fn begin(&self, job: &JobId) {
        lock(&self.jobs).insert(job.clone());
    }

    fn is_begun(&self, job: &JobId) -> bool {
        lock(&self.jobs).contains(job)
    }

    fn end(&self, job: &JobId) {
        lock(&self.jobs).swap_remove(job);
    }

    /// Returns whether the fold of batch jobs is fresh enough to start items.
    fn may_start(&self, gateway: &Gateway) -> bool {
        let freshness = gateway.freshness(Topic::Jobs);
        let age = clock::now().since(freshness.as_of());
        let may_start = may_start_items(age, freshness.is_answering());
        if self.is_stale.swap(!may_start, Ordering::AcqRel) == may_start {
            log::warn!(
                fold_age_ms = age.as_millis(), may_start = may_start;
                "item starts paused or resumed by the age of the batch job fold"
            );
        }
        may_start
    }

    /// Returns whether saved output has been read; starts reading it if needed.
    fn is_restored(&self, gateway: &Arc<Gateway>) -> bool {
        let begun = self.restored.compare_exchange(
            NOT_RESTORED,
            RESTORING,
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        if begun.is_ok() {
            let gateway = Arc::clone(gateway);
            let restored = Arc::clone(&self.restored);
            tokio::spawn(async move {
                progress::restore(&gateway).await;
                restored.store(RESTORED, Ordering::Release);
                gateway.runner_wake.notify_one();
            });
        }
        self.restored.load(Ordering::Acquire) == RESTORED
    }
}

async fn open_job(gateway: Arc<Gateway>, head: Arc<JobHead>, loads: LoadState) {
    match contents::items(&gateway, &head).await {
        Ok(items) => {
            let jobs = gateway.jobs();
            if let Some(job) = jobs.get(&head.id).filter(|job| !job.ended) {
                let mut schedule = gateway.schedule();
                schedule.open(job, &items);
                schedule.note_predecessor(&head.id, &jobs);
                drop(schedule);
                log::info!(
                    job:% = head.id, items = items.len(), desired_groups = head.desired_groups,
                    listed = job.result_count(),
                    min_version = head.min_version.0;
                    "batch job opened"
                );
            }
        }
        Err(error) => {
            log::warn!(job:% = head.id, error:% = error; "failed to read items of a batch job");
            tokio::time::sleep(OPEN_BACKOFF).await;
        }
    }
    loads.end(&head.id);
    gateway.runner_wake.notify_one();
}

fn abandon_expired(gateway: &Gateway) -> Vec<wisteriaford_core::gateway::schedule::FinishedItem> {
    let view = gateway.view.load();
    gateway
        .schedule()
        .abandon_expired(clock::unix_ms(), &view.routes)
}

fn next_starts(gateway: &Gateway) -> Vec<RunStart> {
    let view = gateway.view.load();
    let plan = gateway.plan();
    let mut schedule = gateway.schedule();
    let mut load_balancer = gateway.load_balancer();
    let context = DispatchContext {
        now: clock::now(),
        unix_ms: clock::unix_ms(),
        routes: &view.routes,
        endpoints: &view.endpoints,
    };
    schedule.next_starts(
        &context,
        &mut load_balancer,
        &mut gateway.suspects(),
        |id| gateway.idle_connections(&view, id),
        |endpoint, job, need| plan.satisfies(endpoint, job, need),
        |endpoint, priority| permits::take_own(gateway, context.now, endpoint, priority),
    )
}

fn next_scores(gateway: &Gateway) -> Vec<ScoreStart> {
    let view = gateway.view.load();
    let context = DispatchContext {
        now: clock::now(),
        unix_ms: clock::unix_ms(),
        routes: &view.routes,
        endpoints: &view.endpoints,
    };
    let mut schedule = gateway.schedule();
    let load_balancer = gateway.load_balancer();
    schedule.next_scores(
        &context,
        &mut gateway.scorer_balancer(),
        &mut gateway.suspects(),
        |id| gateway.idle_connections(&view, id),
        |endpoint| load_balancer.is_available(context.now, &endpoint.id),
        |endpoint, priority| permits::take_own(gateway, context.now, endpoint, priority),
    )
}

/// Runs an item; one whose run panics counts as broken and runs again.
async fn run_item_to_end(gateway: Arc<Gateway>, start: RunStart) {
    let run = run_item(Arc::clone(&gateway), start.clone());
    if AssertUnwindSafe(run).catch_unwind().await.is_ok() {
        return;
    }
    log::error!(job:% = start.job.id, item:% = start.item.id; "item run panicked");
    let (now, outcome) = (clock::now(), RunOutcome::Broken);
    gateway
        .schedule()
        .on_run_ended(now, &start, outcome, u32::MAX);
    gateway.runner_wake.notify_one();
}

/// Runs an item on the engine that was chosen for it.
async fn run_item(gateway: Arc<Gateway>, start: RunStart) {
    let in_flight = InFlightGuard::from_counted(&gateway, &start.endpoint.id);
    let started = clock::now();
    let permit = RunPermit::admitted(&gateway, start.fingerprint, start.alone);
    let mut run = Run::begin(&start.endpoint, start.fingerprint, permit);
    // Items are also stopped when their batch job ends or they move to another engine.
    run.ignore_drop();
    let began_at = run.began_at();
    let (outcome, cause) = match stream_item(&gateway, &start, &mut run).await {
        Ok(()) => (RunOutcome::Completed, None),
        Err((outcome, cause)) => (outcome, Some(cause)),
    };
    drop(in_flight);
    end_run(run, outcome);
    let now = clock::now();
    if outcome == RunOutcome::Completed || !gateway.is_excused(began_at) {
        record_outcome(&gateway, &start, outcome);
    }
    let route = {
        let view = gateway.view.load();
        view.routes.find(&start.job.host, &start.item.path).cloned()
    };
    let max_failures = route.map_or(u32::MAX, |route| route.max_attempts.max(1));
    let events = gateway.schedule().event_count(&start);
    let end = gateway
        .schedule()
        .on_run_ended(now, &start, outcome, max_failures);
    let group = start.item.group.as_ref().map(GroupId::as_str);
    log::info!(
        job:% = start.job.id, item:% = start.item.id, group = group, fingerprint:% = start.fingerprint,
        endpoint:% = start.endpoint.id, software:% = start.endpoint.software,
        outcome:? = outcome, cause:% = cause.unwrap_or_default(),
        after_event = start.after_event, events = events,
        expected_tokens = start.item.expected_output_tokens, tokens = start.item.tokens,
        in_flight = start.reason.in_flight, relative_pace = start.reason.relative_pace,
        took_ms = now.since(started).as_millis();
        "item run ended"
    );
    gateway.metrics.record_item_time(now.since(started));
    match end {
        RunEnd::Finished(finished) => {
            if outcome == RunOutcome::TooLarge {
                log::warn!(
                    job:% = start.job.id, item:% = start.item.id;
                    "item abandoned, its output exceeds the record size of the log"
                );
            }
            gateway.outbox.push(finished);
        }
        RunEnd::Requeued { failures }
            if matches!(outcome, RunOutcome::Failed | RunOutcome::TooLarge) =>
        {
            let failed = record::failed_record(&start.job.id, &start.item.id, failures);
            gateway.outbox.push_best_effort(failed);
        }
        RunEnd::Requeued { .. } | RunEnd::Unscored | RunEnd::Stale => {}
    }
    gateway.runner_wake.notify_one();
}

fn end_run(mut run: Run, outcome: RunOutcome) {
    match outcome {
        RunOutcome::Completed
        | RunOutcome::Failed
        | RunOutcome::TooLarge
        | RunOutcome::Impossible => run.complete(),
        RunOutcome::Broken => run.lose(Loss::Broken),
        RunOutcome::Silent => run.lose(Loss::Silent),
        RunOutcome::Full
        | RunOutcome::NotRun
        | RunOutcome::WrongVersion
        | RunOutcome::Unreachable => run.dismiss(),
    }
}

fn record_outcome(gateway: &Gateway, start: &RunStart, outcome: RunOutcome) {
    let now = clock::now();
    let mut load_balancer = gateway.load_balancer();
    let id = &start.endpoint.id;
    match outcome {
        RunOutcome::Completed => load_balancer.record_success(id),
        RunOutcome::Full | RunOutcome::NotRun => load_balancer.record_full(now, id),
        RunOutcome::Unreachable => load_balancer.record_unreachable(now, id),
        RunOutcome::Failed | RunOutcome::TooLarge | RunOutcome::Broken | RunOutcome::Silent => {
            load_balancer.record_failure(now, id);
        }
        RunOutcome::Impossible | RunOutcome::WrongVersion => {}
    }
}
