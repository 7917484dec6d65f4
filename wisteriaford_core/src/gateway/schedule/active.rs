//! Items of an open batch job, and what each of them needs.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::fleet::ChoiceReason;
use crate::gateway::fleet::ITEM_COSTS;
use crate::gateway::fleet::Query;
use crate::gateway::job::ItemResult;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::ItemState;
use crate::gateway::job::JobHead;
use crate::gateway::route::Route;
use crate::gateway::schedule::Finished;
use crate::gateway::schedule::Moment;
use crate::gateway::schedule::Progress;
use crate::gateway::schedule::RunEnd;
use crate::gateway::schedule::RunNumber;
use crate::gateway::schedule::Start;
use crate::id::EndpointId;
use crate::id::GroupId;
use crate::id::ItemId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::Version;
use crate::time::Timestamp;

/// Events that an item is expected to need beyond those that were expected, in percent of them.
const OVERRUN_PERCENT: usize = 40;

/// Time left from which an item counts as long: most of the time between two versions of a
/// trainer, so an engine that runs it can't be loaded for the next step without delaying it.
pub(super) const LONG_RUN: Duration = Duration::from_secs(3);

/// Tokens of one event until some were counted.
const DEFAULT_EVENT_TOKENS: u64 = 58;

/// Time that clocks of instances may be apart; items are given up that much later.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);

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
    Done,
}

#[derive(Clone, Debug)]
pub(super) struct ItemRun {
    pub(super) spec: Arc<ItemSpec>,
    pub(super) phase: ItemPhase,
    pub(super) progress: Progress,
    /// Events that were saved.
    pub(super) saved_events: usize,
    pub(super) failures: u32,
}

#[derive(Clone, Debug)]
pub(super) struct ActiveJob {
    pub(super) head: Arc<JobHead>,
    pub(super) items: IndexMap<ItemId, ItemRun>,
    /// Order in which items start.
    pub(super) order: Vec<ItemId>,
    pub(super) group_endpoints: IndexMap<GroupId, EndpointId>,
}

/// Item that could start now.
pub(super) struct Due<'a> {
    pub(super) pool: &'a PoolId,
    pub(super) affinity: Option<EndpointId>,
    pub(super) max_in_flight: Option<u32>,
    /// Memory of the pool's engines, in tokens.
    pub(super) cache_tokens: Option<u64>,
    pub(super) exact_version: Option<Version>,
    pub(super) time_left: Duration,
    pub(super) priority: u32,
}

impl ActiveJob {
    /// Returns what an item needs, if it waits and its time isn't over.
    pub(super) fn due<'a>(&self, id: &ItemId, moment: &Moment<'a>) -> Option<Due<'a>> {
        let item = self.items.get(id)?;
        let ItemPhase::Waiting { not_before } = item.phase else {
            return None;
        };
        if not_before > moment.now {
            return None;
        }
        let routes = moment.routes;
        let route = routes.find(&self.head.host, &item.spec.path)?;
        let pool = route.pool_for(item.spec.id.as_str())?;
        let settings = routes.pools.get(pool);
        let engine = settings.and_then(|settings| settings.engine.as_ref());
        let group = item.spec.group.as_ref();
        let affinity = group.and_then(|group| self.group_endpoints.get(group));
        Some(Due {
            pool,
            affinity: affinity.cloned(),
            max_in_flight: engine.map(|engine| engine.slots),
            cache_tokens: engine.map(|engine| engine.cache_tokens),
            exact_version: exact_version(route, item),
            time_left: time_left(&self.head, route, moment.unix_ms)?,
            priority: route.priority,
        })
    }

    /// Returns the model and the tokens of an item that is expected to run for long still.
    pub(super) fn long_item(
        &self,
        id: &ItemId,
        usual_pace: Option<Duration>,
    ) -> Option<(&ModelId, u64)> {
        let item = self
            .items
            .get(id)
            .filter(|item| is_long(item, usual_pace))?;
        let model = self.head.model.as_ref()?;
        Some((model, item.spec.tokens))
    }

    /// Marks an item as running, and returns its run.
    pub(super) fn start(
        &mut self,
        id: &ItemId,
        due: &Due<'_>,
        run: RunNumber,
        endpoint: &Endpoint,
        reason: ChoiceReason,
        now: Timestamp,
    ) -> Option<Start> {
        let item = self.items.get_mut(id)?;
        item.phase = ItemPhase::Running {
            run,
            endpoint: endpoint.id.clone(),
            since: now,
        };
        if let Some(group) = &item.spec.group {
            let kept = self.group_endpoints.entry(group.clone());
            kept.or_insert_with(|| endpoint.id.clone());
        }
        Some(Start {
            job: Arc::clone(&self.head),
            item: Arc::clone(&item.spec),
            run,
            endpoint: endpoint.clone(),
            after_event: item.progress.last_event,
            min_version: self.head.min_version,
            exact_version: due.exact_version,
            time_left: due.time_left,
            priority: due.priority,
            reason,
        })
    }
}

impl<'a> Due<'a> {
    /// Returns what to look for among the engines; an engine that is left out isn't forced.
    pub(super) fn query(&self) -> Query<'a> {
        Query {
            pool: self.pool,
            tried: &[],
            affinity: None,
            max_in_flight: self.max_in_flight,
            may_force: false,
            costs: ITEM_COSTS,
        }
    }
}

pub(super) fn finish(start: &Start, item: &mut ItemRun, state: ItemState) -> RunEnd {
    item.phase = ItemPhase::Done;
    let progress = std::mem::take(&mut item.progress);
    let is_complete = state == ItemState::Completed;
    let text = if is_complete {
        progress.text()
    } else {
        String::new()
    };
    let versions = if is_complete {
        progress.versions
    } else {
        Vec::new()
    };
    RunEnd::Finished(Finished {
        job: start.job.id.clone(),
        result: ItemResult {
            item: start.item.id.clone(),
            state,
            text,
            versions,
        },
    })
}

/// Returns the events that an item is expected to need still.
pub(super) fn events_left(item: &ItemRun) -> usize {
    let done = item.progress.events.len();
    let expected = item.spec.expected_output_tokens / DEFAULT_EVENT_TOKENS;
    let expected = usize::try_from(expected).unwrap_or(usize::MAX);
    let overrun = done.max(expected) * OVERRUN_PERCENT / 100;
    expected.saturating_sub(done) + overrun
}

/// Returns whether an item is expected to run for long still, at so much time an event.
pub(super) fn is_long(item: &ItemRun, usual: Option<Duration>) -> bool {
    let left = u32::try_from(events_left(item)).unwrap_or(u32::MAX);
    usual.is_some_and(|usual| usual.saturating_mul(left) >= LONG_RUN)
}

/// Returns whether an item of another batch job asks for the same output.
pub(super) fn is_same_work(before: &ItemSpec, now: &ItemSpec) -> bool {
    before.path == now.path && before.body == now.body && before.headers == now.headers
}

/// Returns the time until an item is given up, or `None` if it is over.
pub(super) fn time_left(job: &JobHead, route: &Route, unix_ms: u64) -> Option<Duration> {
    let retention = route.retention.unwrap_or(Duration::MAX);
    let age = Duration::from_millis(unix_ms.saturating_sub(job.submitted_unix_ms));
    retention.checked_sub(age).filter(|left| !left.is_zero())
}

/// Returns whether an item's time is over by every clock of the fleet.
pub(super) fn is_over(job: &JobHead, route: &Route, unix_ms: u64) -> bool {
    let age = Duration::from_millis(unix_ms.saturating_sub(job.submitted_unix_ms));
    let retention = route.retention.unwrap_or(Duration::MAX);
    age > retention.saturating_add(CLOCK_MARGIN)
}

/// Returns the version that must go on with an item, where all events must have the same one.
pub(super) fn exact_version(route: &Route, item: &ItemRun) -> Option<Version> {
    let single = route.single_version && item.progress.last_event.is_some();
    item.progress.versions.first().copied().filter(|_| single)
}

/// Orders items by their expected output, longest first; those with output from an earlier run keep
/// their place in front.
///
/// While slots are short, only items that are soon done wait. Groups don't stay together: most of
/// them have a long item, and the others would wait behind its short ones.
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
