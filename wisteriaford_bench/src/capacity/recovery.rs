//! How long a fleet takes until all its instances know something.

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

/// Time that is waited for something at most.
const PATIENCE: Duration = Duration::from_secs(60);
/// Virtual time between two looks at the engines.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which regions are apart.
const APART: Duration = Duration::from_secs(120);
/// Availability zone that is lost.
const LOST_ZONE: &str = "b";

/// Times until all instances know something; none if some never did.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Times {
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    /// A publication is in force everywhere, with the log up.
    pub(crate) in_force_ms: Option<u64>,
    /// The same, with the log down for all instances but one.
    pub(crate) in_force_by_peers_ms: Option<u64>,
    /// All know that an instance died.
    pub(crate) death_ms: Option<u64>,
    /// All engines run new weights.
    pub(crate) weights_ms: Option<u64>,
}

/// Times of recovery from what is lost by places.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Recoveries {
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    /// All know that the instances of a zone died.
    pub(crate) zone_deaths_ms: Option<u64>,
    /// The last duty moved away from the zone.
    pub(crate) zone_duties_ms: Option<u64>,
    /// After regions were apart for two minutes, all see all again.
    pub(crate) regions_ms: Option<u64>,
}

/// Measures what happens on ordinary days.
pub(crate) fn times(layout: &Layout) -> Times {
    let (mut fleet, instances) = joined(layout);
    let in_force_ms = in_force(&mut fleet, layout, &instances, "p-2");
    fleet.log_answers_only = instances.first().cloned();
    fleet.run_for(Duration::from_secs(3));
    let in_force_by_peers_ms = in_force(&mut fleet, layout, &instances, "p-3");
    fleet.log_answers_only = None;
    let weights_ms = weights(&mut fleet);
    let victim = instances[instances.len() / 2].clone();
    let death_ms = deaths(&mut fleet, &instances, &[victim]);
    Times {
        instances: layout.instances,
        engines: layout.engines,
        in_force_ms,
        in_force_by_peers_ms,
        death_ms,
        weights_ms,
    }
}

/// Measures what happens when zones and regions are lost.
pub(crate) fn lost_places(layout: &Layout) -> Recoveries {
    let (mut fleet, instances) = joined(layout);
    fleet.are_regions_apart = true;
    fleet.run_for(APART);
    fleet.are_regions_apart = false;
    let regions_ms = whole_again(&mut fleet, &instances);
    let in_zone = |index: &usize| Layout::place(*index).0 == LOST_ZONE;
    let lost = (0..instances.len()).filter(in_zone);
    let lost: Vec<InstanceId> = lost.map(|index| instances[index].clone()).collect();
    let start = fleet.now();
    let zone_deaths_ms = deaths(&mut fleet, &instances, &lost);
    let moved = |note: &(Timestamp, InstanceId, Diagnostic)| {
        matches!(note.2, Diagnostic::StewardTaken { .. }).then_some(note.0)
    };
    let last_move = fleet.notes.iter().filter_map(moved).max();
    Recoveries {
        instances: layout.instances,
        engines: layout.engines,
        zone_deaths_ms,
        zone_duties_ms: last_move.map(|at| at.as_millis() - start.as_millis()),
        regions_ms,
    }
}

fn joined(layout: &Layout) -> (Fleet, Vec<InstanceId>) {
    let (mut fleet, instances) = layout.start();
    fleet.run_for(Layout::JOIN_TIME);
    fleet.notes.clear();
    (fleet, instances)
}

/// Publishes a change and returns when it is in force at the last instance.
fn in_force(fleet: &mut Fleet, layout: &Layout, instances: &[InstanceId], id: &str) -> Option<u64> {
    let base = revision(fleet, instances.first()?)?;
    let mut configuration = layout.configuration();
    for caller in &mut configuration.callers {
        caller.share_weight += 1 + u32::try_from(base.0).unwrap_or_default();
    }
    let start = fleet.now();
    fleet.notes.clear();
    Layout::publish(fleet, id, base, configuration);
    await_notes(
        fleet,
        start,
        instances.len(),
        |note| matches!(note, Diagnostic::RevisionInForce { revision, .. } if *revision > base),
    )
}

fn revision(fleet: &mut Fleet, instance: &InstanceId) -> Option<Revision> {
    fleet.call(instance, CallerRequest::Status)?;
    fleet.run_for(LOOK_INTERVAL);
    let status = fleet.take_answers().pop()?;
    match status.reply {
        Reply::Status(status) => Some(status.revision),
        _ => None,
    }
}

/// Waits until this many instances wrote a note; returns when the last one did.
fn await_notes(
    fleet: &mut Fleet,
    start: Timestamp,
    wanted: usize,
    is_wanted: impl Fn(&Diagnostic) -> bool,
) -> Option<u64> {
    let mut first: IndexMap<InstanceId, Timestamp> = IndexMap::new();
    while fleet.now() < start + PATIENCE {
        fleet.run_for(LOOK_INTERVAL);
        for (at, instance, note) in fleet.notes.drain(..) {
            if is_wanted(&note) {
                first.entry(instance).or_insert(at);
            }
        }
        if first.len() >= wanted {
            let last = first.values().max()?;
            return Some(last.as_millis() - start.as_millis());
        }
    }
    None
}

/// Kills instances and returns when the last survivor knows of the last of them.
fn deaths(fleet: &mut Fleet, instances: &[InstanceId], lost: &[InstanceId]) -> Option<u64> {
    let start = fleet.now();
    fleet.notes.clear();
    for instance in lost {
        fleet.kill(instance);
    }
    let survivors = instances
        .iter()
        .filter(|id| fleet.state(id) == NodeState::Running);
    let wanted = survivors.count() * lost.len();
    let mut known: IndexSet<(InstanceId, InstanceId)> = IndexSet::new();
    let mut seen = 0;
    while fleet.now() < start + PATIENCE {
        fleet.run_for(LOOK_INTERVAL);
        for (at, instance, note) in &fleet.notes[seen..] {
            if let Diagnostic::MemberChanged { member, to, .. } = note
                && *to == "dead"
                && lost.contains(member)
            {
                known.insert((instance.clone(), member.clone()));
                if known.len() == wanted {
                    return Some(at.as_millis() - start.as_millis());
                }
            }
        }
        seen = fleet.notes.len();
    }
    None
}

/// Announces new weights and returns when the last engine runs them.
fn weights(fleet: &mut Fleet) -> Option<u64> {
    let start = fleet.now();
    let version = Version(2);
    fleet.models.insert(ModelId::from(Layout::MODEL), version);
    while fleet.now() < start + PATIENCE {
        fleet.run_for(LOOK_INTERVAL);
        if fleet.engines.values().all(|e| e.version() == version) {
            return Some(fleet.now().as_millis() - start.as_millis());
        }
    }
    None
}

/// Waits until all instances see all others alive.
fn whole_again(fleet: &mut Fleet, instances: &[InstanceId]) -> Option<u64> {
    let start = fleet.now();
    while fleet.now() < start + PATIENCE {
        fleet.run_for(Duration::from_secs(1));
        fleet.take_answers();
        for instance in instances {
            fleet.call(instance, CallerRequest::Status);
        }
        fleet.run_for(LOOK_INTERVAL);
        let answers = fleet.take_answers();
        let is_whole = |reply: &Reply| match reply {
            Reply::Status(status) => {
                let alive = status.members.iter().filter(|m| m.state == "alive");
                alive.count() == instances.len()
            }
            _ => false,
        };
        if answers.iter().filter(|a| is_whole(&a.reply)).count() == instances.len() {
            return Some(fleet.now().as_millis() - start.as_millis());
        }
    }
    None
}
