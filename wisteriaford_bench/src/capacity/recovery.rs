//! Times for changes to reach the whole fleet, and for the fleet to recover from losses.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Serialize;
use wisteriaford_core::diagnostic::Diagnostic;
use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Revision;
use wisteriaford_core::id::Version;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::time::Timestamp;
use wisteriaford_fakes::Fleet;
use wisteriaford_fakes::Layout;
use wisteriaford_fakes::NodeState;

/// Maximum time to wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Virtual time between two polls of the fleet's state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Duration of the network partition between the regions.
const PARTITION_DURATION: Duration = Duration::from_secs(120);
/// Availability zone that is lost.
const LOST_ZONE: &str = "b";

/// Times for changes to reach the whole fleet; `None` if one did not within [`MAX_WAIT`].
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Times {
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    /// A publication is in force on every instance, with the log up.
    pub(crate) in_force_ms: Option<u64>,
    /// The same, with the log reachable from one instance only.
    pub(crate) in_force_by_peers_ms: Option<u64>,
    /// Every surviving instance sees that another one died.
    pub(crate) death_ms: Option<u64>,
    /// Every engine runs new weights.
    pub(crate) weights_ms: Option<u64>,
}

/// Times of recovery from the loss of an availability zone and from a partition of the regions.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Recoveries {
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    /// Every surviving instance sees that the instances of the zone died.
    pub(crate) zone_deaths_ms: Option<u64>,
    /// The last coordinator role moved away from the zone.
    pub(crate) zone_duties_ms: Option<u64>,
    /// After a partition of two minutes, every instance sees all others alive again.
    pub(crate) regions_ms: Option<u64>,
}

/// Measures how long ordinary changes take: publications, new weights and the death of an instance.
pub(crate) fn propagation_times(layout: &Layout) -> Times {
    let (mut fleet, instances) = start_and_join(layout);
    let in_force_ms = publish_and_wait(&mut fleet, layout, &instances, "p-2");
    fleet.log_reachable_only_by = instances.first().cloned();
    fleet.run_for(Duration::from_secs(3));
    let in_force_by_peers_ms = publish_and_wait(&mut fleet, layout, &instances, "p-3");
    fleet.log_reachable_only_by = None;
    let weights_ms = announce_and_wait(&mut fleet);
    let victim = instances[instances.len() / 2].clone();
    let death_ms = kill_and_wait(&mut fleet, &instances, &[victim]);
    Times {
        instances: layout.instances,
        engines: layout.engines,
        in_force_ms,
        in_force_by_peers_ms,
        death_ms,
        weights_ms,
    }
}

/// Measures recovery from a partition of the regions and from the loss of an availability zone.
pub(crate) fn partition_and_zone_loss(layout: &Layout) -> Recoveries {
    let (mut fleet, instances) = start_and_join(layout);
    fleet.are_regions_partitioned = true;
    fleet.run_for(PARTITION_DURATION);
    fleet.are_regions_partitioned = false;
    let regions_ms = wait_for_full_membership(&mut fleet, &instances);
    let in_zone = |index: &usize| Layout::location(*index).0 == LOST_ZONE;
    let lost = (0..instances.len()).filter(in_zone);
    let lost: Vec<InstanceId> = lost.map(|index| instances[index].clone()).collect();
    let start = fleet.now();
    let zone_deaths_ms = kill_and_wait(&mut fleet, &instances, &lost);
    let coordinator_change_time = |diagnostic: &(Timestamp, InstanceId, Diagnostic)| {
        matches!(diagnostic.2, Diagnostic::StewardTaken { .. }).then_some(diagnostic.0)
    };
    let last_change = fleet
        .diagnostics
        .iter()
        .filter_map(coordinator_change_time)
        .max();
    Recoveries {
        instances: layout.instances,
        engines: layout.engines,
        zone_deaths_ms,
        zone_duties_ms: last_change.map(|at| at.as_millis() - start.as_millis()),
        regions_ms,
    }
}

fn start_and_join(layout: &Layout) -> (Fleet, Vec<InstanceId>) {
    let (mut fleet, instances) = layout.start();
    fleet.run_for(Layout::JOIN_TIME);
    fleet.diagnostics.clear();
    (fleet, instances)
}

/// Publishes a change and returns the time until it is in force on every instance.
fn publish_and_wait(
    fleet: &mut Fleet,
    layout: &Layout,
    instances: &[InstanceId],
    id: &str,
) -> Option<u64> {
    let base = current_revision(fleet, instances.first()?)?;
    let mut configuration = layout.configuration();
    for caller in &mut configuration.callers {
        caller.share_weight += 1 + u32::try_from(base.0).unwrap_or_default();
    }
    let start = fleet.now();
    fleet.diagnostics.clear();
    Layout::publish(fleet, id, base, configuration);
    wait_for_diagnostics(
        fleet,
        start,
        instances.len(),
        |d| matches!(d, Diagnostic::RevisionInForce { revision, .. } if *revision > base),
    )
}

fn current_revision(fleet: &mut Fleet, instance: &InstanceId) -> Option<Revision> {
    fleet.call(instance, CallerRequest::Status)?;
    fleet.run_for(POLL_INTERVAL);
    let status = fleet.take_answers().pop()?;
    match status.reply {
        Reply::Status(status) => Some(status.revision),
        _ => None,
    }
}

/// Waits until this many instances wrote a matching diagnostic; returns the time until the last
/// did.
fn wait_for_diagnostics(
    fleet: &mut Fleet,
    start: Timestamp,
    required: usize,
    is_match: impl Fn(&Diagnostic) -> bool,
) -> Option<u64> {
    let mut first: IndexMap<InstanceId, Timestamp> = IndexMap::new();
    while fleet.now() < start + MAX_WAIT {
        fleet.run_for(POLL_INTERVAL);
        for (at, instance, diagnostic) in fleet.diagnostics.drain(..) {
            if is_match(&diagnostic) {
                first.entry(instance).or_insert(at);
            }
        }
        if first.len() >= required {
            let last = first.values().max()?;
            return Some(last.as_millis() - start.as_millis());
        }
    }
    None
}

/// Kills instances and returns the time until every survivor sees all of them dead.
fn kill_and_wait(fleet: &mut Fleet, instances: &[InstanceId], lost: &[InstanceId]) -> Option<u64> {
    let start = fleet.now();
    fleet.diagnostics.clear();
    for instance in lost {
        fleet.kill(instance);
    }
    let survivors = instances
        .iter()
        .filter(|id| fleet.state(id) == NodeState::Running);
    let required = survivors.count() * lost.len();
    let mut observed_deaths: IndexSet<(InstanceId, InstanceId)> = IndexSet::new();
    let mut next_unread = 0;
    while fleet.now() < start + MAX_WAIT {
        fleet.run_for(POLL_INTERVAL);
        for (at, instance, diagnostic) in &fleet.diagnostics[next_unread..] {
            if let Diagnostic::MemberChanged { member, to, .. } = diagnostic
                && *to == "dead"
                && lost.contains(member)
            {
                observed_deaths.insert((instance.clone(), member.clone()));
                if observed_deaths.len() == required {
                    return Some(at.as_millis() - start.as_millis());
                }
            }
        }
        next_unread = fleet.diagnostics.len();
    }
    None
}

/// Announces new weights and returns the time until every engine runs them.
fn announce_and_wait(fleet: &mut Fleet) -> Option<u64> {
    let start = fleet.now();
    let version = Version(2);
    fleet.models.insert(ModelId::from(Layout::MODEL), version);
    while fleet.now() < start + MAX_WAIT {
        fleet.run_for(POLL_INTERVAL);
        if fleet.engines.values().all(|e| e.version() == version) {
            return Some(fleet.now().as_millis() - start.as_millis());
        }
    }
    None
}

/// Returns the time until every instance sees all others alive.
fn wait_for_full_membership(fleet: &mut Fleet, instances: &[InstanceId]) -> Option<u64> {
    let start = fleet.now();
    while fleet.now() < start + MAX_WAIT {
        fleet.run_for(Duration::from_secs(1));
        fleet.take_answers();
        for instance in instances {
            fleet.call(instance, CallerRequest::Status);
        }
        fleet.run_for(POLL_INTERVAL);
        let answers = fleet.take_answers();
        let sees_all_alive = |reply: &Reply| match reply {
            Reply::Status(status) => {
                let alive = status.members.iter().filter(|m| m.state == "alive");
                alive.count() == instances.len()
            }
            _ => false,
        };
        if answers.iter().filter(|a| sees_all_alive(&a.reply)).count() == instances.len() {
            return Some(fleet.now().as_millis() - start.as_millis());
        }
    }
    None
}
