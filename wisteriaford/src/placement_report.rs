//! Reports of where a request or the items of a batch job would go now.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;
use wisteriaford_client::placement::CandidatePlacement;
use wisteriaford_client::placement::ItemPlacement;
use wisteriaford_client::placement::JobPlacement;
use wisteriaford_client::placement::PlacementOutcome;
use wisteriaford_client::placement::RequestPlacement;

use crate::exit::ExitStatus;
use crate::report::Report;
use crate::table;

/// Result of `explain --request`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RequestPlacementReport(pub RequestPlacement);

impl Report for RequestPlacementReport {
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::Success
    }
}

impl fmt::Display for RequestPlacementReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let placement = &self.0;
        let (instance, version) = (&placement.instance, placement.configuration_version);
        writeln!(f, "as of {instance}, configuration {version}")?;
        write_uncertainties(f, &placement.uncertainties)?;
        if let Some(route) = &placement.route {
            let (id, pool, priority) = (&route.id, &route.pool, route.priority);
            write!(f, "route {id}, pool {pool}, priority {priority}")?;
            write!(f, ", {} attempts at most", route.max_attempts)?;
            match route.timeout_ms {
                Some(timeout_ms) => writeln!(f, ", {timeout_ms} ms")?,
                None => writeln!(f)?,
            }
        }
        if let Some(organisation) = &placement.organisation {
            writeln!(f, "organisation {organisation}")?;
        }
        write_outcome(f, &placement.outcome)?;
        if placement.candidates.is_empty() {
            return Ok(());
        }
        write!(f, "\n{}", candidates_table(&placement.candidates))
    }
}

fn write_outcome(f: &mut fmt::Formatter<'_>, outcome: &PlacementOutcome) -> fmt::Result {
    match outcome {
        PlacementOutcome::Sent {
            endpoint,
            is_last_resort: false,
        } => writeln!(f, "would be sent to {endpoint}"),
        PlacementOutcome::Sent { endpoint, .. } => {
            writeln!(
                f,
                "would be sent to {endpoint}, as no endpoint is available"
            )
        }
        PlacementOutcome::NeedsPermit { endpoint } => {
            writeln!(f, "would ask the leader for a permit for {endpoint}")
        }
        PlacementOutcome::Stored => {
            writeln!(
                f,
                "would be stored as a batch job, whose items the leader places"
            )
        }
        PlacementOutcome::Refused {
            status,
            reason,
            retry_after_ms,
        } => {
            write!(f, "would be refused with {status}, {reason}")?;
            match retry_after_ms {
                Some(delay_ms) => writeln!(f, ", to be repeated after {delay_ms} ms"),
                None => writeln!(f),
            }
        }
    }
}

fn candidates_table(candidates: &[CandidatePlacement]) -> String {
    let header = [
        "endpoint",
        "zone",
        "software",
        "against it",
        "in flight",
        "limit",
        "pace",
        "idle",
        "cost",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for candidate in candidates {
        let against = candidate.exclusion.as_ref().map(|reason| {
            if candidate.available_in_ms > 0 {
                format!("{reason}, {} ms", candidate.available_in_ms)
            } else {
                reason.clone()
            }
        });
        let warm_up = candidate.limit.map(|limit| format!("{limit} at once"));
        let announced = candidate
            .announced_limit
            .as_ref()
            .map(|rate| format!("{rate}/s"));
        let limits: Vec<String> = warm_up.into_iter().chain(announced).collect();
        rows.push(vec![
            candidate.endpoint.clone(),
            candidate.availability_zone.clone(),
            candidate.software.clone(),
            against.unwrap_or_else(|| "-".to_owned()),
            format!("{}/{}", candidate.in_flight, candidate.slots),
            limits.join(", "),
            format!("{:.2}", candidate.relative_pace),
            candidate.idle_connections.to_string(),
            format!("{:.2}", candidate.cost),
        ]);
    }
    table::format(&rows)
}

/// Result of `explain --job`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct JobPlacementReport(pub JobPlacement);

impl Report for JobPlacementReport {
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::Success
    }
}

impl fmt::Display for JobPlacementReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let placement = &self.0;
        let (instance, version) = (&placement.instance, placement.configuration_version);
        writeln!(f, "as of {instance}, configuration {version}")?;
        write_uncertainties(f, &placement.uncertainties)?;
        let (listed, total) = (placement.listed_items, placement.total_items);
        write!(
            f,
            "batch job {}: {listed} of {total} items listed",
            placement.job
        )?;
        if placement.is_ended {
            write!(f, ", ended")?;
        }
        writeln!(f)?;
        if let Some(organisation) = &placement.organisation {
            writeln!(f, "organisation {organisation}")?;
        }
        if placement.desired_groups > 0 {
            let groups = placement.desired_groups;
            writeln!(f, "the submitter waits for {groups} complete groups")?;
        }
        if let Some(leader) = &placement.leader {
            writeln!(f, "items are placed by {leader}")?;
        }
        for (state, count) in counts(&placement.items) {
            writeln!(f, "{count} {state}")?;
        }
        if placement.items.is_empty() {
            return Ok(());
        }
        write!(f, "\n{}", items_table(&placement.items))
    }
}

/// Returns the number of items in each state, with what they wait for.
fn counts(items: &[ItemPlacement]) -> IndexMap<String, usize> {
    let mut counts = IndexMap::new();
    for item in items {
        let state = match &item.waits_for {
            Some(reason) => format!("{}: {reason}", item.state),
            None => item.state.clone(),
        };
        *counts.entry(state).or_default() += 1;
    }
    counts
}

fn items_table(items: &[ItemPlacement]) -> String {
    let header = ["item", "group", "events", "state", "endpoint", "waits for"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for item in items {
        let state = match item.elapsed_ms {
            Some(elapsed_ms) => format!("{} {elapsed_ms} ms", item.state),
            None => item.state.clone(),
        };
        rows.push(vec![
            item.item.clone(),
            item.group.clone().unwrap_or_default(),
            item.events.to_string(),
            state,
            item.endpoint.clone().unwrap_or_default(),
            item.waits_for.clone().unwrap_or_default(),
        ]);
    }
    table::format(&rows)
}

fn write_uncertainties(f: &mut fmt::Formatter<'_>, uncertainties: &[String]) -> fmt::Result {
    for uncertainty in uncertainties {
        writeln!(f, "not certain: {uncertainty}")?;
    }
    Ok(())
}
