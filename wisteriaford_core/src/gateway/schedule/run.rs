//! Runs of items: how they start and end.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::job::FailureCounts;
use crate::gateway::job::ItemResult;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::JobHead;
use crate::gateway::load_balancer::SelectionReason;
use crate::gateway::route::RouteTable;
use crate::id::Fingerprint;
use crate::id::ItemId;
use crate::id::JobId;
use crate::id::SoftwareVersion;
use crate::id::Version;
use crate::time::Timestamp;

/// Maximum age of the fold of batch jobs for starting items.
///
/// The leader must know of the end of a batch job within 3 s of its acknowledgement.
const MAX_FOLD_AGE: Duration = Duration::from_secs(2);

/// Returns whether items may start, given the age of the fold of batch jobs.
///
/// While the log answers no instance, no end of a batch job can be acknowledged either, so items
/// continue to start.
#[must_use]
pub fn may_start_items(fold_age: Duration, log_answers: bool) -> bool {
    !log_answers || fold_age <= MAX_FOLD_AGE
}

/// Number of an item's run, unique within this instance.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunNumber(pub u64);

/// Run of an item to be started.
#[derive(Clone, Debug)]
pub struct RunStart {
    /// Batch job of the item.
    pub job: Arc<JobHead>,
    /// The item.
    pub item: Arc<ItemSpec>,
    /// Fingerprint of the item's request.
    pub fingerprint: Fingerprint,
    /// Whether no repeat of the request may run at the same time.
    pub alone: bool,
    /// Number of the run.
    pub run: RunNumber,
    /// Engine that runs the item.
    pub endpoint: Endpoint,
    /// Id of the event after which the stream resumes.
    pub after_event: Option<u64>,
    /// Oldest version of the weights that may generate the output.
    pub min_version: Version,
    /// Version that must generate the output, if it has to match that of the earlier events.
    pub exact_version: Option<Version>,
    /// Number of runs that ended silently since the item's last event.
    pub silent_runs: u32,
    /// Time until the item expires.
    pub time_left: Duration,
    /// Priority of the item's route; 0 is the highest.
    pub priority: u32,
    /// Why the engine was chosen.
    pub reason: SelectionReason,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The stream ended normally.
    Completed,
    /// The engine was full and refused the item without running it.
    Full,
    /// The engine refused the item for another reason without running it.
    NotRun,
    /// The engine has a version of the weights that isn't allowed.
    WrongVersion,
    /// The engine reported a failure.
    Failed,
    /// The output exceeds the size that the log can store.
    TooLarge,
    /// The request can't succeed on any engine.
    Impossible,
    /// The connection or the stream broke, or the answer was unusable.
    Broken,
    /// The engine couldn't be reached.
    Unreachable,
    /// The engine sent nothing for too long.
    Silent,
}

/// Time, routes and endpoints that scheduling decisions are based on.
#[derive(Clone, Copy, Debug)]
pub struct DispatchContext<'a> {
    /// Current time.
    pub now: Timestamp,
    /// Current wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Routes of the configuration in force.
    pub routes: &'a RouteTable,
    /// Known endpoints.
    pub endpoints: &'a EndpointTable,
}

/// Finished item whose result is to be listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedItem {
    /// Batch job of the item.
    pub job: JobId,
    /// Result of the item.
    pub result: ItemResult,
}

/// Output of an item that no endpoint can continue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Discarded {
    /// Batch job of the item.
    pub job: JobId,
    /// The item.
    pub item: ItemId,
    /// Version of the software that made the output.
    pub software: SoftwareVersion,
    /// Version of the weights that had to make the rest of the output, if only one could.
    pub version: Option<Version>,
    /// Number of events.
    pub events: usize,
}

/// State of an item after one of its runs ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The item has a result.
    Finished(FinishedItem),
    /// The output is complete and waits for its score.
    Unscored,
    /// The item is waiting for another run, or for another call of its scorer.
    Requeued {
        /// Failures that endpoints reported so far.
        failures: FailureCounts,
    },
    /// The run was no longer current when it ended.
    Stale,
}
