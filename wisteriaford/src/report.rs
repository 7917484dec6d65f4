//! What the commands print.

use std::fmt;
use std::path::Path;

use serde::Serialize;
use wisteriaford_client::message::ExplainAnswer;
use wisteriaford_core::configuration::Rejection;
use wisteriaford_core::configuration::Verdict;
use wisteriaford_proto::settings::Configuration;

use crate::configuration_file::CheckedFile;
use crate::exit::Exit;
use crate::fleet::FleetShares;
use crate::fleet::FleetStatus;
use crate::place::Place;
use crate::publish::Published;
use crate::rollout::RolloutReport;

/// Result of a command.
pub trait Report: fmt::Display + erased::ToJson {
    /// Returns the exit code that it stands for.
    fn exit(&self) -> Exit;
}

/// Serialisation of a report behind a reference.
pub mod erased {
    use serde::Serialize;

    /// Report that can be written as JSON.
    pub trait ToJson {
        /// Returns one line of JSON.
        ///
        /// # Errors
        ///
        /// Fails where the serializer does.
        fn to_json(&self) -> serde_json::Result<String>;
    }

    impl<T: Serialize> ToJson for T {
        fn to_json(&self) -> serde_json::Result<String> {
            serde_json::to_string(self)
        }
    }
}

/// Fault of a file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FaultReport {
    /// Where it is.
    #[serde(flatten)]
    pub place: Place,
    /// Stable code.
    pub code: &'static str,
    /// Explanation.
    pub message: String,
}

/// Result of `check`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CheckReport {
    /// File.
    pub file: String,
    /// Faults, in the order of the file.
    pub faults: Vec<FaultReport>,
}

impl CheckReport {
    /// Returns the report of a file that was checked.
    #[must_use]
    pub fn new(file: &Path, checked: &CheckedFile) -> Self {
        let faults = checked.faults.iter().map(|fault| FaultReport {
            place: fault.place,
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
            writeln!(f, "{file}:{}: {}", fault.place, fault.message)?;
        }
        match self.faults.len() {
            0 => writeln!(f, "{file}: no faults"),
            1 => writeln!(f, "{file}: 1 fault"),
            n => writeln!(f, "{file}: {n} faults"),
        }
    }
}

impl Report for CheckReport {
    fn exit(&self) -> Exit {
        if self.faults.is_empty() {
            Exit::Done
        } else {
            Exit::Failed
        }
    }
}

/// What became of a publication.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// It is in force, or was until a later one.
    Accepted,
    /// Its content is not valid.
    Rejected,
    /// Another publication came first.
    LostRace,
}

/// Publication that came first.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WinnerReport {
    /// Publication.
    pub publication_id: String,
    /// Who published it.
    pub author: String,
    /// Revision that it made.
    pub revision: u64,
}

/// Result of `publish`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PublishReport {
    /// Publication.
    pub publication_id: String,
    /// Revision that it is based on.
    pub base_revision: u64,
    /// What became of it.
    pub fate: Fate,
    /// Revision that it made.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Why it was not accepted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Publication that came first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub winner: Option<WinnerReport>,
}

impl From<Published> for PublishReport {
    fn from(published: Published) -> Self {
        let report = Self {
            publication_id: published.id.to_string(),
            base_revision: published.base_revision.0,
            fate: Fate::Accepted,
            revision: None,
            reason: None,
            winner: None,
        };
        match first_verdict(published.verdict) {
            Ok(revision) => Self {
                revision: Some(revision),
                ..report
            },
            Err(reason) => Self {
                reason: Some(reason.to_string()),
                fate: fate_of(&reason),
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
                 (publication {}) came first; make the change again on top of it",
                self.base_revision, winner.revision, winner.author, winner.publication_id
            ),
            None => writeln!(f, "rejected: publication {id}: {reason}"),
        }
    }
}

impl Report for PublishReport {
    fn exit(&self) -> Exit {
        match self.fate {
            Fate::Accepted => Exit::Done,
            Fate::Rejected => Exit::Rejected,
            Fate::LostRace => Exit::LostRace,
        }
    }
}

fn first_verdict(verdict: Verdict) -> Result<u64, Rejection> {
    match verdict {
        Verdict::Accepted { revision } => Ok(revision.0),
        Verdict::Rejected { reason } => Err(reason),
        Verdict::Repeated { first } => first_verdict(*first),
    }
}

fn fate_of(reason: &Rejection) -> Fate {
    match reason {
        Rejection::Superseded { .. } | Rejection::NoBase { .. } => Fate::LostRace,
        _ => Fate::Rejected,
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
    /// Revision.
    pub revision: u64,
    /// Publication that made it.
    pub publication_id: String,
    /// Who published it, where the source tells.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub author: Option<String>,
    /// Content.
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
    fn exit(&self) -> Exit {
        Exit::Done
    }
}

impl Report for FleetStatus {
    fn exit(&self) -> Exit {
        exit_of_answers(self.missing.is_empty())
    }
}

impl Report for FleetShares {
    fn exit(&self) -> Exit {
        exit_of_answers(self.missing.is_empty())
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
    fn exit(&self) -> Exit {
        Exit::Done
    }
}

impl Report for RolloutReport {
    fn exit(&self) -> Exit {
        if self.is_clean() {
            Exit::Done
        } else {
            Exit::Failed
        }
    }
}

fn exit_of_answers(all_answered: bool) -> Exit {
    if all_answered {
        Exit::Done
    } else {
        Exit::Unanswered
    }
}
