//! Reports that the commands print.

use std::fmt;
use std::path::Path;

use serde::Serialize;
use wisteriaford_client::message::ExplainAnswer;
use wisteriaford_core::configuration::Rejection;
use wisteriaford_core::configuration::Verdict;
use wisteriaford_proto::settings::Configuration;

use crate::configuration_file::CheckedFile;
use crate::exit::ExitStatus;
use crate::fleet::FleetShares;
use crate::fleet::FleetStatus;
use crate::location::Location;
use crate::publish::DecidedPublication;
use crate::rollout::RolloutReport;

/// Result of a command.
pub trait Report: fmt::Display + erased::ToJson {
    /// Returns the exit status that corresponds to this result.
    fn exit_status(&self) -> ExitStatus;
}

/// Object-safe serialization of reports.
pub mod erased {
    use serde::Serialize;

    /// Type that can be serialized to JSON through a trait object.
    pub trait ToJson {
        /// Serializes the value to one line of JSON.
        ///
        /// # Errors
        ///
        /// Returns an error if serialization fails.
        fn to_json(&self) -> serde_json::Result<String>;
    }

    impl<T: Serialize> ToJson for T {
        fn to_json(&self) -> serde_json::Result<String> {
            serde_json::to_string(self)
        }
    }
}

/// Fault in a configuration file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FaultReport {
    /// Location of the fault.
    #[serde(flatten)]
    pub location: Location,
    /// Stable, machine-readable code.
    pub code: &'static str,
    /// Message for the operator.
    pub message: String,
}

/// Result of `check`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CheckReport {
    /// Path of the file.
    pub file: String,
    /// Faults, sorted by location.
    pub faults: Vec<FaultReport>,
}

impl CheckReport {
    /// Creates the report for a checked file.
    #[must_use]
    pub fn new(file: &Path, checked: &CheckedFile) -> Self {
        let faults = checked.faults.iter().map(|fault| FaultReport {
            location: fault.location,
            code: fault.kind.code(),
            message: fault.kind.to_string(),
        });
        Self {
            file: file.display().to_string(),
            faults: faults.collect(),
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = &self.file;
        for fault in &self.faults {
            writeln!(f, "{file}:{}: {}", fault.location, fault.message)?;
        }
        match self.faults.len() {
            0 => writeln!(f, "{file}: no faults"),
            1 => writeln!(f, "{file}: 1 fault"),
            n => writeln!(f, "{file}: {n} faults"),
        }
    }
}

impl Report for CheckReport {
    fn exit_status(&self) -> ExitStatus {
        if self.faults.is_empty() {
            ExitStatus::Success
        } else {
            ExitStatus::Failure
        }
    }
}

/// Outcome of a publication.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PublicationOutcome {
    /// It was accepted and came into force.
    Accepted,
    /// Its content was rejected.
    Rejected,
    /// The revision that it is based on is not the one in force.
    LostRace,
}

/// Publication that was accepted first.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WinnerReport {
    /// Id of the publication.
    pub publication_id: String,
    /// Name of its publisher.
    pub author: String,
    /// Revision that it created.
    pub revision: u64,
}

/// Result of `publish`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PublishReport {
    /// Id of the publication.
    pub publication_id: String,
    /// Revision that it is based on.
    pub base_revision: u64,
    /// Outcome of the publication.
    pub fate: PublicationOutcome,
    /// Revision that it created.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Reason why it was not accepted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Publication that was accepted first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub winner: Option<WinnerReport>,
}

impl From<DecidedPublication> for PublishReport {
    fn from(published: DecidedPublication) -> Self {
        let report = Self {
            publication_id: published.id.to_string(),
            base_revision: published.base_revision.0,
            fate: PublicationOutcome::Accepted,
            revision: None,
            reason: None,
            winner: None,
        };
        match resolve_verdict(published.verdict) {
            Ok(revision) => Self {
                revision: Some(revision),
                ..report
            },
            Err(reason) => Self {
                reason: Some(reason.to_string()),
                fate: outcome_of(&reason),
                winner: winner_of(reason),
                ..report
            },
        }
    }
}

impl fmt::Display for PublishReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = &self.publication_id;
        if let Some(revision) = self.revision {
            return writeln!(f, "accepted: publication {id} is revision {revision}");
        }
        let reason = self.reason.as_deref().unwrap_or_default();
        match &self.winner {
            Some(winner) => writeln!(
                f,
                "lost a race: publication {id} is based on revision {}, but revision {} by {} \
                 (publication {}) was accepted first; reapply the change on top of it",
                self.base_revision, winner.revision, winner.author, winner.publication_id
            ),
            None => writeln!(f, "rejected: publication {id}: {reason}"),
        }
    }
}

impl Report for PublishReport {
    fn exit_status(&self) -> ExitStatus {
        match self.fate {
            PublicationOutcome::Accepted => ExitStatus::Success,
            PublicationOutcome::Rejected => ExitStatus::Rejected,
            PublicationOutcome::LostRace => ExitStatus::LostRace,
        }
    }
}

fn resolve_verdict(verdict: Verdict) -> Result<u64, Rejection> {
    match verdict {
        Verdict::Accepted { revision } => Ok(revision.0),
        Verdict::Rejected { reason } => Err(reason),
        Verdict::Duplicate { first } => resolve_verdict(*first),
    }
}

fn outcome_of(reason: &Rejection) -> PublicationOutcome {
    match reason {
        Rejection::Superseded { .. } | Rejection::NoBase { .. } => PublicationOutcome::LostRace,
        _ => PublicationOutcome::Rejected,
    }
}

fn winner_of(reason: Rejection) -> Option<WinnerReport> {
    match reason {
        Rejection::Superseded { winner, .. } => Some(WinnerReport {
            publication_id: winner.publication_id.to_string(),
            author: winner.author,
            revision: winner.revision.0,
        }),
        _ => None,
    }
}

/// Result of `show`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShowReport {
    /// Revision of the configuration.
    pub revision: u64,
    /// Id of the publication that created it.
    pub publication_id: String,
    /// Name of its publisher, if the source reports it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub author: Option<String>,
    /// Configuration.
    pub configuration: Configuration,
}

impl fmt::Display for ShowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "# revision {}", self.revision)?;
        writeln!(f, "# publication {}", self.publication_id)?;
        if let Some(author) = &self.author {
            writeln!(f, "# author {author:?}")?;
        }
        let text = toml::to_string(&self.configuration).map_err(|_| fmt::Error)?;
        write!(f, "\n{text}")
    }
}

impl Report for ShowReport {
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::Success
    }
}

impl Report for FleetStatus {
    fn exit_status(&self) -> ExitStatus {
        exit_status_for(self.missing.is_empty())
    }
}

impl Report for FleetShares {
    fn exit_status(&self) -> ExitStatus {
        exit_status_for(self.missing.is_empty())
    }
}

/// Result of `explain`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ExplainReport(pub ExplainAnswer);

impl fmt::Display for ExplainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answer = &self.0;
        writeln!(f, "request {} at {}", answer.request_id, answer.instance)?;
        for decision in &answer.decisions {
            let seconds = decision.at_ms / 1_000;
            let millis = decision.at_ms % 1_000;
            let kind = &decision.kind;
            writeln!(f, "{seconds}.{millis:03}  {kind}: {}", decision.detail)?;
        }
        Ok(())
    }
}

impl Report for ExplainReport {
    fn exit_status(&self) -> ExitStatus {
        ExitStatus::Success
    }
}

impl Report for RolloutReport {
    fn exit_status(&self) -> ExitStatus {
        if self.is_clean() {
            ExitStatus::Success
        } else {
            ExitStatus::Failure
        }
    }
}

fn exit_status_for(all_answered: bool) -> ExitStatus {
    if all_answered {
        ExitStatus::Success
    } else {
        ExitStatus::Unavailable
    }
}
