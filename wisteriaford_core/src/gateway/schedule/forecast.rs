//! Forecast of when the trainer has the groups of a batch job that it waits for.
//!
//! A move of an item costs a new connection, and its prompt is read again. It pays only if the time at
//! which the step has its groups may depend on the item.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::gateway::endpoint::EndpointTable;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::JobHead;
use crate::gateway::job::MAX_ITEMS;
use crate::gateway::job_fold::JobFold;
use crate::gateway::load_balancer::LoadBalancer;
use crate::gateway::route::RouteTable;
use crate::gateway::schedule::MIN_MOVE_GAIN;
use crate::gateway::schedule::Schedule;
use crate::gateway::schedule::active::ActiveJob;
use crate::gateway::schedule::active::ItemPhase;
use crate::gateway::schedule::active::ItemRun;
use crate::gateway::schedule::active::bounded_remaining_events;
use crate::gateway::schedule::active::max_remaining_events;
use crate::gateway::schedule::active::missing_events;
use crate::id::GroupId;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::ModelId;
use crate::id::OrganisationId;
use crate::time::Timestamp;

/// Maximum number of groups of closed batch jobs that are known; those of the largest batch job fit.
const MAX_CLOSED_GROUPS: usize = MAX_ITEMS;
/// Maximum number of closed batch jobs that are known, well above those that are open at a time.
const MAX_CLOSED_JOBS: usize = 256;

/// Which items are moved from slow engines.
#[derive(Clone, Copy, Debug)]
pub enum MoveRule<'a> {
    /// All whose own time a move shortens.
    AllItems,
    /// Those that the time at which a step has its groups may depend on; waiting items run in the pools
    /// of these routes.
    AwaitedItems(&'a RouteTable),
}

/// Trainer that submits batch jobs, as far as it can be told apart.
type Submitter = (Option<OrganisationId>, Option<ModelId>);

/// Groups of closed batch jobs. A group that appears again is carried over, so its trainer waits for it.
#[derive(Clone, Debug, Default)]
pub(super) struct ClosedGroups {
    /// Oldest first.
    groups: IndexSet<(Submitter, GroupId)>,
    /// Oldest first.
    jobs: IndexSet<JobId>,
}

impl ClosedGroups {
    /// Adds the groups of a batch job that is closed.
    pub(super) fn add(&mut self, head: &JobHead, groups: JobGroups) {
        let submitter = submitter(head);
        for group in groups.ids {
            let key = (submitter.clone(), group);
            self.groups.shift_remove(&key);
            self.groups.insert(key);
        }
        self.jobs.insert(head.id.clone());
        let excess = self.groups.len().saturating_sub(MAX_CLOSED_GROUPS);
        self.groups.drain(..excess);
        let excess = self.jobs.len().saturating_sub(MAX_CLOSED_JOBS);
        self.jobs.drain(..excess);
    }
}

/// Groups of an open batch job.
#[derive(Clone, Debug, Default)]
pub(super) struct JobGroups {
    ids: IndexSet<GroupId>,
    /// Number of groups that were listed completely when the batch job was opened.
    listed: usize,
    /// Whether its groups may be carried over from a batch job that was closed unseen.
    follows_unseen: bool,
}

impl JobGroups {
    /// Returns the groups of a batch job of which only `items` aren't listed.
    pub(super) fn new(specs: &[Arc<ItemSpec>], items: &IndexMap<ItemId, ItemRun>) -> Self {
        let all: IndexSet<GroupKey<'_>> = specs.iter().map(|spec| GroupKey::of(spec)).collect();
        let unlisted = items.values().map(|item| GroupKey::of(&item.spec));
        let unlisted: IndexSet<GroupKey<'_>> = unlisted.collect();
        Self {
            ids: specs.iter().filter_map(|spec| spec.group.clone()).collect(),
            listed: all.len().saturating_sub(unlisted.len()),
            follows_unseen: false,
        }
    }
}

/// Identifies a group; an item without one is a group of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum GroupKey<'a> {
    Group(&'a GroupId),
    Item(&'a ItemId),
}

impl<'a> GroupKey<'a> {
    fn of(spec: &'a ItemSpec) -> Self {
        spec.group
            .as_ref()
            .map_or(Self::Item(&spec.id), Self::Group)
    }
}

/// Forecast for a group that wasn't listed completely when its batch job was opened.
#[derive(Clone, Copy, Debug, Default)]
struct GroupForecast {
    /// Time until it is complete if no item is moved.
    end: Duration,
    /// Time until it is complete if all its items run at the pool's pace and none exceeds its estimate.
    earliest_end: Duration,
    is_carried: bool,
}

/// Forecast of when the trainer has the groups of a batch job that it waits for.
#[derive(Clone, Debug)]
pub(super) struct Forecast {
    /// Time until then if no item is moved.
    end: Duration,
    /// Items of groups that aren't among those that the trainer waits for, whatever engines they run at.
    superfluous: IndexSet<ItemId>,
}

impl Forecast {
    /// Returns the forecast for a batch job, or `None` if there is none: while no pace is known for a pool
    /// of its items, or if it isn't known which of its groups are carried over.
    pub(super) fn new(
        active: &ActiveJob,
        closed: &ClosedGroups,
        paces: &ItemPaces<'_>,
    ) -> Option<Self> {
        if active.groups.follows_unseen {
            return None;
        }
        let submitter = submitter(&active.head);
        let mut groups: IndexMap<GroupKey<'_>, GroupForecast> = IndexMap::new();
        for item in active.items.values() {
            let (end, earliest_end) = paces.remaining_times(&active.head, item)?;
            let group = groups.entry(GroupKey::of(&item.spec)).or_insert_with(|| {
                let id = item.spec.group.clone();
                GroupForecast {
                    is_carried: id
                        .is_some_and(|id| closed.groups.contains(&(submitter.clone(), id))),
                    ..GroupForecast::default()
                }
            });
            group.end = group.end.max(end);
            group.earliest_end = group.earliest_end.max(earliest_end);
        }
        let desired = usize::try_from(active.head.desired_groups).unwrap_or(usize::MAX);
        let end = awaited_end(groups.values(), active.groups.listed, desired);
        let is_waiting = |item: &ItemRun| matches!(item.phase, ItemPhase::Waiting { .. });
        // It isn't known how long items wait, so that later groups may be needed instead of theirs.
        let superfluous = if active.items.values().any(is_waiting) {
            IndexSet::new()
        } else {
            let is_superfluous = |item: &&ItemRun| {
                let group = groups.get(&GroupKey::of(&item.spec));
                group.is_some_and(|g| !g.is_carried && g.earliest_end > end + MIN_MOVE_GAIN)
            };
            let items = active.items.values().filter(is_superfluous);
            items.map(|item| item.spec.id.clone()).collect()
        };
        Some(Self { end, superfluous })
    }

    /// Returns whether the forecast time may depend on an item that takes `event_time` for each event if it
    /// isn't moved.
    ///
    /// Once an item has exceeded its estimate, it counts as early only if even its maximum output is.
    pub(super) fn may_depend_on(&self, item: &ItemRun, event_time: Duration) -> bool {
        let events = if missing_events(item) > 0 {
            Some(bounded_remaining_events(item))
        } else {
            max_remaining_events(item)
        };
        let is_early = events.is_some_and(|events| {
            let events = u32::try_from(events).unwrap_or(u32::MAX);
            event_time.saturating_mul(events) + MIN_MOVE_GAIN < self.end
        });
        !is_early && !self.superfluous.contains(&item.spec.id)
    }
}

/// Returns the time until all carried groups and, with these and the `listed` ones, `desired` groups are
/// complete; until all are, if `desired` is zero.
fn awaited_end<'a>(
    groups: impl ExactSizeIterator<Item = &'a GroupForecast>,
    listed: usize,
    desired: usize,
) -> Duration {
    let total = groups.len();
    let desired = if desired == 0 { usize::MAX } else { desired };
    let (carried, mut others): (Vec<&GroupForecast>, Vec<&GroupForecast>) =
        groups.partition(|group| group.is_carried);
    let missing = desired.saturating_sub(listed + carried.len());
    let missing = missing.min(total - carried.len());
    others.sort_unstable_by_key(|group| group.end);
    let awaited = carried.iter().chain(others.iter().take(missing));
    awaited.map(|group| group.end).max().unwrap_or_default()
}

/// Paces at which items run.
pub(super) struct ItemPaces<'a> {
    pub(super) now: Timestamp,
    pub(super) routes: &'a RouteTable,
    pub(super) endpoints: &'a EndpointTable,
    pub(super) load_balancer: &'a LoadBalancer,
}

impl ItemPaces<'_> {
    /// Returns the expected time until an item ends, and the shortest: at the pool's pace, and without more
    /// events than estimated. Returns `None` while no pace is known for its pool.
    fn remaining_times(&self, head: &JobHead, item: &ItemRun) -> Option<(Duration, Duration)> {
        let endpoint = match &item.phase {
            ItemPhase::Running { endpoint, .. } => Some(endpoint),
            ItemPhase::Waiting { .. } => None,
            ItemPhase::Unscored | ItemPhase::Scoring { .. } | ItemPhase::Done => {
                return Some((Duration::ZERO, Duration::ZERO));
            }
        };
        let listed = endpoint.and_then(|endpoint| self.endpoints.get(endpoint));
        let pool = listed.map(|endpoint| &endpoint.pool).or_else(|| {
            let route = self.routes.find(&head.host, &item.spec.path)?;
            route.pool_for(item.spec.id.as_str())
        });
        let median_pace = self.load_balancer.median_pace(pool?)?;
        let ratio = endpoint.map_or(1.0, |id| self.load_balancer.relative_pace(self.now, id));
        let remaining = u32::try_from(bounded_remaining_events(item)).unwrap_or(u32::MAX);
        let missing = u32::try_from(missing_events(item)).unwrap_or(u32::MAX);
        let expected = median_pace.saturating_mul(remaining).mul_f64(ratio);
        Some((expected, median_pace.saturating_mul(missing)))
    }
}

fn submitter(head: &JobHead) -> Submitter {
    (head.organisation.clone(), head.model.clone())
}

impl Schedule {
    /// Notes whether groups of an open batch job may be carried over from one that this schedule didn't
    /// close: the newest ended one of the same submitter before it, as that is where carried groups were.
    pub fn note_predecessor(&mut self, id: &JobId, jobs: &JobFold) {
        let Some(active) = self.jobs.get_mut(id) else {
            return;
        };
        let earlier = jobs.iter().take_while(|job| job.head.id != *id);
        let ended = earlier.filter(|job| {
            (job.ended || job.is_complete()) && submitter(&job.head) == submitter(&active.head)
        });
        let predecessor = ended.last();
        active.groups.follows_unseen =
            predecessor.is_some_and(|job| !self.closed_groups.jobs.contains(&job.head.id));
    }

    /// Returns the number of items that were left at slow engines since the last call, as no step depends
    /// on them. An item counts once for each of its runs.
    pub fn take_unneeded_moves(&mut self) -> u64 {
        std::mem::take(&mut self.unneeded_moves)
    }
}
