//! Runs of items: how they start and end.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::gateway::fleet::ChoiceReason;
use crate::gateway::job::ItemResult;
use crate::gateway::job::ItemSpec;
use crate::gateway::job::JobHead;
use crate::gateway::route::RouteTable;
use crate::id::JobId;
use crate::id::Version;
use crate::time::Timestamp;

/// Age of the fold of batch jobs from which no item starts by it.
///
/// The end of a batch job must be known at its holder within 3 s of its acknowledgement.
const MAX_FOLD_AGE: Duration = Duration::from_secs(2);

/// Returns whether items may start by a fold of batch jobs of such an age.
///
/// While the log answers nobody, no end of a batch job is acknowledged either, and items go on.
#[must_use]
pub fn may_start(fold_age: Duration, log_answers: bool) -> bool {
    !log_answers || fold_age <= MAX_FOLD_AGE
}

/// Number of a run of an item, unique within this instance.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunNumber(pub u64);

/// Run of an item that is to be started.
#[derive(Clone, Debug)]
pub struct Start {
    /// Batch job of the item.
    pub job: Arc<JobHead>,
    /// The item.
    pub item: Arc<ItemSpec>,
    /// Number of the run.
    pub run: RunNumber,
    /// Engine that runs it.
    pub endpoint: Endpoint,
    /// Event after which it goes on.
    pub after_event: Option<u64>,
    /// Oldest version that may generate it.
    pub min_version: Version,
    /// Version that must generate it, if it must be the one that generated the events before.
    pub exact_version: Option<Version>,
    /// Time left until the item is given up.
    pub time_left: Duration,
    /// Rank of the item's route; 0 is the highest.
    pub priority: u32,
    /// Why the engine was chosen.
    pub reason: ChoiceReason,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The stream ended whole.
    Completed,
    /// The engine refused it as full; it did not run.
    Full,
    /// The engine refused it for another reason; it did not run.
    NotRun,
    /// The engine has another version of the weights than is allowed.
    WrongVersion,
    /// The engine failed it.
    Failed,
    /// The item can never be done.
    Impossible,
    /// The stream broke.
    Broken,
    /// The engine can't be reached.
    Unreachable,
    /// The stream was silent for too long.
    Silent,
}

/// What items are started by.
#[derive(Clone, Copy, Debug)]
pub struct Moment<'a> {
    /// Time.
    pub now: Timestamp,
    /// Time of day, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Routes in force.
    pub routes: &'a RouteTable,
    /// Endpoints that are known.
    pub endpoints: &'a EndpointTable,
}

/// Item that ended, to be listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finished {
    /// Batch job of the item.
    pub job: JobId,
    /// Its result.
    pub result: ItemResult,
}

/// What a run's end led to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The item has a result.
    Finished(Finished),
    /// The item waits for another run.
    Waits {
        /// Failures at engines so far.
        failures: u32,
    },
    /// The run was given up before.
    Stale,
}
