//! Messages that tell where a request or a batch job would go now, and why.

use serde::Deserialize;
use serde::Serialize;

/// Path of the question about a request.
pub const REQUEST_PATH: &str = "/v1/placement/request";
/// Path of the question about a batch job.
pub const JOB_PATH: &str = "/v1/placement/job";
/// Parameter with the host of the request.
pub const HOST: &str = "host";
/// Parameter with the path of the request.
pub const PATH: &str = "path";
/// Parameter with the name of the organisation that sends the request.
pub const ORGANISATION: &str = "organisation";
/// Parameter with the id of the request or of the batch job.
pub const ID: &str = "id";

/// Where a request would go now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestPlacement {
    /// Instance that answers.
    pub instance: String,
    /// Version of the configuration that decides; 0 if there is none.
    pub configuration_version: u64,
    /// Reasons for which the answer may be wrong.
    pub uncertainties: Vec<String>,
    /// Route of the request, if there is one.
    pub route: Option<RoutePlacement>,
    /// Organisation that sends the request.
    pub organisation: Option<String>,
    /// What would happen.
    pub outcome: PlacementOutcome,
    /// Endpoints of the pool.
    pub candidates: Vec<CandidatePlacement>,
}

/// Route of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutePlacement {
    /// Name of the route.
    pub id: String,
    /// Pool that serves the request.
    pub pool: String,
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
    /// Maximum number of endpoints that the request may be sent to.
    pub max_attempts: u32,
    /// Maximum time until the request is answered, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// What would happen to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PlacementOutcome {
    /// It would be sent to an endpoint.
    Sent {
        /// The endpoint.
        endpoint: String,
        /// Whether it is unavailable, and only chosen as there is no other.
        is_last_resort: bool,
    },
    /// It would first need a permit of the leader for an endpoint that limits its requests.
    NeedsPermit {
        /// The endpoint.
        endpoint: String,
    },
    /// It would be stored as a batch job, whose items the leader places.
    Stored,
    /// It would be refused.
    Refused {
        /// Status of the answer.
        status: u16,
        /// Stable reason.
        reason: String,
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

/// State of an endpoint from the view of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CandidatePlacement {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Availability zone that it runs in.
    pub availability_zone: String,
    /// Version of its software.
    pub software: String,
    /// Reason against it; `None` if it could be selected.
    pub exclusion: Option<String>,
    /// Time until it is available again, in milliseconds.
    pub available_in_ms: u64,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Maximum number of requests in flight while it warms up.
    pub limit: Option<u32>,
    /// Requests per second that it announced to take from all instances.
    pub announced_limit: Option<String>,
    /// Time per unit of work relative to the median of the pool.
    pub relative_pace: f64,
    /// Idle connections to it.
    pub idle_connections: usize,
    /// Cost by which endpoints are compared.
    pub cost: f64,
}

/// Where the items of a batch job are, and would go now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobPlacement {
    /// Instance that answers.
    pub instance: String,
    /// Version of the configuration that decides; 0 if there is none.
    pub configuration_version: u64,
    /// Reasons for which the answer may be wrong or incomplete.
    pub uncertainties: Vec<String>,
    /// The batch job.
    pub job: String,
    /// Organisation that it belongs to.
    pub organisation: Option<String>,
    /// Instance that runs its items.
    pub leader: Option<String>,
    /// Whether its submitter ended it.
    pub is_ended: bool,
    /// Number of its items.
    pub total_items: usize,
    /// Number of its items with a result.
    pub listed_items: usize,
    /// Number of complete groups that the trainer waits for; 0 if it waits for all.
    pub desired_groups: u32,
    /// Unfinished items; empty at an instance that doesn't run items.
    pub items: Vec<ItemPlacement>,
}

/// Place of an unfinished item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemPlacement {
    /// The item.
    pub item: String,
    /// Its group.
    pub group: Option<String>,
    /// Number of events of its output so far.
    pub events: usize,
    /// Its state: `starting`, `waiting`, `running` or `unscored`.
    pub state: String,
    /// Engine that runs it or would run it.
    pub endpoint: Option<String>,
    /// Time since its run started, in milliseconds.
    pub elapsed_ms: Option<u64>,
    /// What it waits for.
    pub waits_for: Option<String>,
}
