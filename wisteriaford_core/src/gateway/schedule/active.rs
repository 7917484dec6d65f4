//! Items of an open batch job: their state and what each of them requires of an engine.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::job::FailureCounts;
use crate::gateway::job::ItemResult;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::ItemState;
use crate::gateway::job::JobHead;
use crate::gateway::load_balancer::ITEM_COSTS;
use crate::gateway::load_balancer::SelectionCriteria;
use crate::gateway::load_balancer::SelectionReason;
use crate::gateway::route::Route;
use crate::gateway::route::RouteTable;
use crate::gateway::schedule::Discarded;
use crate::gateway::schedule::DispatchContext;
use crate::gateway::schedule::FinishedItem;
use crate::gateway::schedule::Progress;
use crate::gateway::schedule::RunEnd;
use crate::gateway::schedule::RunNumber;
use crate::gateway::schedule::RunStart;
use crate::gateway::schedule::forecast::JobGroups;
use crate::gateway::weights::VersionNeed;
use crate::id::EndpointId;
use crate::id::Fingerprint;
use crate::id::GroupId;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::SoftwareVersion;
use crate::id::Version;
use crate::scoring::ScorerBackOff;
use crate::time::Timestamp;

/// Margin added to the estimate of an item's remaining events, in percent of the larger of its
/// expected and its generated events.
const OVERRUN_PERCENT: usize = 40;

/// Remaining time from which an item counts as long.
///
/// This is most of the time between two versions of a trainer, so loading an engine that runs such
/// an item for the next step would delay the item.
pub(super) const LONG_RUN: Duration = Duration::from_secs(3);

/// Assumed number of tokens per event, used to estimate the number of events of an item.
const DEFAULT_EVENT_TOKENS: u64 = 58;

/// Time for which an item waits for an engine that can continue its output.
const RESUME_PATIENCE: Duration = Duration::from_secs(2);

/// Maximum clock skew between instances; items are abandoned this much after they expire.
const CLOCK_SKEW_MARGIN: Duration = Duration::from_secs(5);

/// State of an item in an open batch job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ItemPhase {
    Waiting {
        not_before: Timestamp,
    },
    Running {
        run: RunNumber,
        endpoint: EndpointId,
        since: Timestamp,
    },
    /// The output is complete and waits for a call of the scorer.
    Unscored,
    /// A call of the scorer is in progress.
    Scoring {
        run: RunNumber,
    },
    Done,
}

impl ItemPhase {
    /// Returns the run or the call of the scorer that is in progress.
    pub(super) fn run(&self) -> Option<RunNumber> {
        match self {
            Self::Running { run, .. } | Self::Scoring { run } => Some(*run),
            Self::Waiting { .. } | Self::Unscored | Self::Done => None,
        }
    }
}

/// Item of an open batch job with its state and its output so far.
#[derive(Clone, Debug)]
pub(super) struct ItemRun {
    pub(super) spec: Arc<ItemSpec>,
    pub(super) fingerprint: Fingerprint,
    pub(super) phase: ItemPhase,
    pub(super) progress: Progress,
    /// Number of events that were saved.
    pub(super) saved_events: usize,
    /// Whether it was saved that the output is complete.
    pub(super) saved_complete: bool,
    /// Number of runs that ended silently since the last event.
    pub(super) silent_runs: u32,
    /// Time since which no engine could continue the output; a run without an event doesn't count.
    pub(super) unplaced_since: Option<Timestamp>,
    /// Failures that endpoints reported.
    pub(super) failures: FailureCounts,
    /// Back-off after calls of the scorer without a score.
    pub(super) scorer_back_off: ScorerBackOff,
    /// Endpoint that the last call of the scorer without a score went to.
    pub(super) last_scorer: Option<EndpointId>,
    /// Last run that was left at a slow engine, as no step depends on it.
    pub(super) unneeded_move: Option<RunNumber>,
}

impl ItemRun {
    /// Discards the output, so that the next run begins anew.
    pub(super) fn discard_output(&mut self) {
        self.progress = Progress::default();
        self.saved_events = 0;
        self.saved_complete = false;
        self.unplaced_since = None;
    }
}

/// Unfinished item of a closed batch job.
#[derive(Clone, Debug)]
pub(super) struct CarriedItem {
    pub(super) spec: Arc<ItemSpec>,
    pub(super) progress: Progress,
    pub(super) failures: FailureCounts,
}

/// Open batch job with the items that weren't listed when it was opened.
#[derive(Clone, Debug)]
pub(super) struct ActiveJob {
    pub(super) head: Arc<JobHead>,
    pub(super) items: IndexMap<ItemId, ItemRun>,
    /// Items in the order in which they start.
    pub(super) order: Vec<ItemId>,
    /// Preferred engine of each group, which is the one that ran an item of the group first.
    pub(super) group_endpoints: IndexMap<GroupId, EndpointId>,
    pub(super) groups: JobGroups,
}

/// Requirements of an item that can start now.
pub(super) struct ReadyItem<'a> {
    pub(super) fingerprint: Fingerprint,
    pub(super) pool: &'a PoolId,
    /// Preferred engine of the item's group.
    pub(super) affinity: Option<EndpointId>,
    pub(super) max_in_flight: Option<u32>,
    /// KV cache size of each engine in the pool, in tokens.
    pub(super) cache_tokens: Option<u64>,
    pub(super) exact_version: Option<Version>,
    /// Version of the software that made the output so far.
    pub(super) software: Option<SoftwareVersion>,
    pub(super) time_left: Duration,
    pub(super) priority: u32,
}

impl ActiveJob {
    /// Returns the requirements of an item that can start now, or `None` if it isn't waiting, is
    /// backing off, has no route or has expired.
    pub(super) fn ready_item<'a>(
        &self,
        id: &ItemId,
        context: &DispatchContext<'a>,
    ) -> Option<ReadyItem<'a>> {
        let item = self.items.get(id)?;
        let ItemPhase::Waiting { not_before } = item.phase else {
            return None;
        };
        if not_before > context.now {
            return None;
        }
        let routes = context.routes;
        let route = routes.find(&self.head.host, &item.spec.path)?;
        let pool = route.pool_for(item.spec.id.as_str())?;
        let settings = routes.pools.get(pool);
        let engine = settings.and_then(|settings| settings.engine.as_ref());
        let group = item.spec.group.as_ref();
        let affinity = group.and_then(|group| self.group_endpoints.get(group));
        Some(ReadyItem {
            fingerprint: item.fingerprint,
            pool,
            affinity: affinity.cloned(),
            max_in_flight: engine.map(|engine| engine.slots),
            cache_tokens: engine.map(|engine| engine.cache_tokens),
            exact_version: exact_version(route, item),
            software: item.progress.software.clone(),
            time_left: time_left(&self.head, route, context.unix_ms)?,
            priority: routes.priority(route, self.head.organisation.as_ref()),
        })
    }

    /// Returns the pool and the priority of an item that can start now, as [`Self::ready_item`] does.
    pub(super) fn ready_pool<'a>(
        &self,
        id: &ItemId,
        context: &DispatchContext<'a>,
    ) -> Option<(&'a PoolId, u32)> {
        let item = self.items.get(id)?;
        let ItemPhase::Waiting { not_before } = item.phase else {
            return None;
        };
        if not_before > context.now {
            return None;
        }
        let routes = context.routes;
        let route = routes.find(&self.head.host, &item.spec.path)?;
        time_left(&self.head, route, context.unix_ms)?;
        let pool = route.pool_for(item.spec.id.as_str())?;
        let priority = routes.priority(route, self.head.organisation.as_ref());
        Some((pool, priority))
    }

    /// Returns the priority of an item; the lowest if it has no route any more.
    pub(super) fn priority(&self, spec: &ItemSpec, routes: &RouteTable) -> u32 {
        let route = routes.find(&self.head.host, &spec.path);
        route.map_or(u32::MAX, |route| {
            routes.priority(route, self.head.organisation.as_ref())
        })
    }

    /// Returns the model and the tokens of an item, if it is expected to run for a long time.
    pub(super) fn long_item(
        &self,
        id: &ItemId,
        median_pace: Option<Duration>,
    ) -> Option<(&ModelId, u64)> {
        let item = self
            .items
            .get(id)
            .filter(|item| is_long(item, median_pace))?;
        let model = self.head.model.as_ref()?;
        Some((model, item.spec.tokens))
    }

    /// Handles that no engine could take an item now. If no engine can continue its output and one that
    /// `accepts` it from the beginning has room, as `has_room` tells, the output is discarded and the
    /// item begins anew there: at once if no engine serves, or will serve, the versions of the software
    /// and of the weights that the output needs, else after [`RESUME_PATIENCE`].
    pub(super) fn on_unplaced(
        &mut self,
        id: &ItemId,
        ready: &ReadyItem<'_>,
        context: &DispatchContext<'_>,
        has_room: impl Fn(&Endpoint) -> bool,
        accepts: impl Fn(&Endpoint, VersionNeed) -> bool,
    ) -> Option<Discarded> {
        let item = self.items.get_mut(id)?;
        let software = item.progress.software.clone()?;
        let since = *item.unplaced_since.get_or_insert(context.now);
        let serving = || context.endpoints.serving(ready.pool);
        let may_continue = |endpoint: &Endpoint| {
            let exact = ready.exact_version;
            endpoint.software == software
                && exact.is_none_or(|exact| accepts(endpoint, VersionNeed::Eventually(exact)))
        };
        if context.now.since(since) < RESUME_PATIENCE && serving().any(may_continue) {
            return None;
        }
        let mut others = serving().filter(|endpoint| {
            let is_same = endpoint.software == software && accepts(endpoint, ready.version_need());
            !is_same && accepts(endpoint, VersionNeed::Accepted)
        });
        if !others.any(has_room) {
            return None;
        }
        let discarded = Discarded {
            job: self.head.id.clone(),
            item: id.clone(),
            software,
            version: ready.exact_version,
            events: item.progress.events.len(),
        };
        item.discard_output();
        Some(discarded)
    }

    /// Marks an item as running and returns the run to start.
    pub(super) fn start(
        &mut self,
        id: &ItemId,
        ready: &ReadyItem<'_>,
        run: RunNumber,
        endpoint: &Endpoint,
        reason: SelectionReason,
        now: Timestamp,
    ) -> Option<RunStart> {
        let item = self.items.get_mut(id)?;
        item.phase = ItemPhase::Running {
            run,
            endpoint: endpoint.id.clone(),
            since: now,
        };
        if let Some(group) = &item.spec.group {
            let preferred = self.group_endpoints.entry(group.clone());
            preferred.or_insert_with(|| endpoint.id.clone());
        }
        Some(RunStart {
            job: Arc::clone(&self.head),
            item: Arc::clone(&item.spec),
            fingerprint: item.fingerprint,
            alone: false,
            run,
            endpoint: endpoint.clone(),
            after_event: item.progress.last_event,
            silent_runs: item.silent_runs,
            min_version: self.head.min_version,
            exact_version: ready.exact_version,
            time_left: ready.time_left,
            priority: ready.priority,
            reason,
        })
    }
}

impl ReadyItem<'_> {
    /// Returns the version of the weights that an engine must have now.
    pub(super) fn version_need(&self) -> VersionNeed {
        self.exact_version
            .map_or(VersionNeed::Accepted, VersionNeed::Exact)
    }

    /// Returns the query for a suitable engine; engines that are excluded for now are never forced.
    pub(super) fn query(&self) -> SelectionCriteria<'_> {
        SelectionCriteria {
            pool: self.pool,
            tried: &[],
            software: self.software.as_ref(),
            affinity: None,
            max_in_flight: self.max_in_flight,
            allow_unavailable: false,
            prefer_proven: false,
            costs: ITEM_COSTS,
        }
    }
}

/// Marks an item as done and returns its result; only a completed item keeps its output.
pub(super) fn finish(
    job: &JobId,
    item: &mut ItemRun,
    state: ItemState,
    score: Option<CompactString>,
) -> RunEnd {
    item.phase = ItemPhase::Done;
    let progress = std::mem::take(&mut item.progress);
    let (text, versions) = match state {
        ItemState::Completed => (progress.text(), progress.versions),
        ItemState::Abandoned => (String::new(), Vec::new()),
    };
    RunEnd::Finished(FinishedItem {
        job: job.clone(),
        result: ItemResult {
            item: item.spec.id.clone(),
            state,
            text,
            versions,
            score,
        },
    })
}

/// Returns the estimated number of events that an item still has to generate.
pub(super) fn remaining_events(item: &ItemRun) -> usize {
    let generated = item.progress.events.len();
    let overrun = generated.max(expected_events(item)) * OVERRUN_PERCENT / 100;
    missing_events(item) + overrun
}

/// Returns the number of events by which an item is below the expected number; 0 if that is unknown.
pub(super) fn missing_events(item: &ItemRun) -> usize {
    expected_events(item).saturating_sub(item.progress.events.len())
}

/// Returns the largest number of events that an item may still generate, if its maximum output is known.
pub(super) fn max_remaining_events(item: &ItemRun) -> Option<usize> {
    let max_events = item.spec.max_output_tokens.div_ceil(DEFAULT_EVENT_TOKENS);
    let max_events = usize::try_from(max_events).ok().filter(|max| *max > 0)?;
    Some(max_events.saturating_sub(item.progress.events.len()).max(1))
}

/// Returns the estimated number of events that an item still has to generate, within its maximum output.
pub(super) fn bounded_remaining_events(item: &ItemRun) -> usize {
    let remaining = remaining_events(item);
    max_remaining_events(item).map_or(remaining, |max| remaining.min(max))
}

fn expected_events(item: &ItemRun) -> usize {
    let expected = item.spec.expected_output_tokens / DEFAULT_EVENT_TOKENS;
    usize::try_from(expected).unwrap_or(usize::MAX)
}

/// Returns whether an item is expected to run for at least [`LONG_RUN`], given the time per event.
pub(super) fn is_long(item: &ItemRun, median_pace: Option<Duration>) -> bool {
    let remaining = u32::try_from(remaining_events(item)).unwrap_or(u32::MAX);
    median_pace.is_some_and(|pace| pace.saturating_mul(remaining) >= LONG_RUN)
}

/// Returns whether two items send the same request, so that one can use the other's output.
pub(super) fn is_same_request(before: &ItemSpec, now: &ItemSpec) -> bool {
    before.path == now.path && before.body == now.body && before.headers == now.headers
}

/// Returns the time until an item expires, or `None` if it has expired.
pub(super) fn time_left(job: &JobHead, route: &Route, unix_ms: u64) -> Option<Duration> {
    let retention = route.retention.unwrap_or(Duration::MAX);
    let age = Duration::from_millis(unix_ms.saturating_sub(job.submitted_unix_ms));
    retention
        .checked_sub(age)
        .filter(|remaining| !remaining.is_zero())
}

/// Returns whether an item has expired, allowing for clock skew between instances.
pub(super) fn is_expired(job: &JobHead, route: &Route, unix_ms: u64) -> bool {
    let age = Duration::from_millis(unix_ms.saturating_sub(job.submitted_unix_ms));
    let retention = route.retention.unwrap_or(Duration::MAX);
    age > retention.saturating_add(CLOCK_SKEW_MARGIN)
}

/// Returns the version that must generate the rest of an item, if the route requires a single
/// version for the whole output.
pub(super) fn exact_version(route: &Route, item: &ItemRun) -> Option<Version> {
    let single = route.single_version && item.progress.last_event.is_some();
    item.progress.versions.first().copied().filter(|_| single)
}

/// Returns the order in which items start: items with output from an earlier run first, then by
/// expected output, longest first.
///
/// When slots are scarce, this leaves only short items waiting. Items aren't ordered by group: most
/// groups have a long item, which would have to wait for the short items of the groups before it.
pub(super) fn start_order(
    specs: &[Arc<ItemSpec>],
    items: &IndexMap<ItemId, ItemRun>,
) -> Vec<ItemId> {
    let mut order: Vec<&Arc<ItemSpec>> = specs.iter().collect();
    order.retain(|spec| items.contains_key(&spec.id));
    order.sort_by_key(|spec| {
        let is_carried = items
            .get(&spec.id)
            .is_some_and(|i| i.progress.last_event.is_some());
        (!is_carried, std::cmp::Reverse(spec.expected_output_tokens))
    });
    order.into_iter().map(|spec| spec.id.clone()).collect()
}
