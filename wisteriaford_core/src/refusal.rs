//! Reasons for refusing or retrying a request, with their stable codes.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

macro_rules! coded {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $code:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $name {
            $($(#[$variant_doc])* #[display($code)] $variant,)+
        }

        impl $name {
            /// All values, in the order of their counters.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the stable code that callers and counters see.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }
        }
    };
}

coded! {
    /// Why a request is refused.
    RefusalReason {
        /// The caller is not configured.
        UnknownCaller = "unknown_caller",
        /// The pool is not configured.
        UnknownPool = "unknown_pool",
        /// The route is not configured.
        UnknownRoute = "unknown_route",
        /// The request is malformed.
        BadRequest = "bad_request",
        /// The body is longer than allowed.
        TooLarge = "too_large",
        /// The queue or the caller's share of it is full.
        QueueFull = "queue_full",
        /// The caller exceeds its limit of requests per second.
        CallerRateLimit = "caller_rate_limit",
        /// The caller exceeds its limit of requests in progress.
        CallerInFlightLimit = "caller_in_flight_limit",
        /// No endpoint of the pool is eligible for the request.
        NoEndpoint = "no_endpoint",
        /// The endpoint is leaving.
        EndpointLeaving = "endpoint_leaving",
        /// The endpoint does not answer.
        EndpointDown = "endpoint_down",
        /// The endpoint's weights are older than the staleness bound.
        EndpointStale = "endpoint_stale",
        /// The receiver is not the coordinator of the endpoint.
        NotCoordinator = "not_steward",
        /// The deadline passed or would pass before the request runs.
        Deadline = "deadline",
        /// The request crashed several endpoints.
        Quarantined = "quarantined",
        /// The instance is shutting down.
        ShuttingDown = "shutting_down",
        /// The instance has no configuration yet.
        NoConfiguration = "no_configuration",
        /// The log is unreachable and the route requires it.
        LogUnavailable = "log_unavailable",
        /// Another request with the same key is in progress.
        KeyInUse = "key_in_use",
        /// The key is older than the log's retention.
        KeyExpired = "key_expired",
        /// A request with the same key ran and was answered.
        KeyAlreadyRun = "key_already_run",
        /// The claim of the key was not resolved before the deadline.
        ClaimUnresolved = "claim_unresolved",
        /// The request's id was already used by an earlier claim.
        ClaimIdUsed = "claim_id_used",
        /// The endpoint failed while running the request.
        EndpointFailed = "endpoint_failed",
        /// The retry budget of the pool is exhausted.
        RetryBudget = "retry_budget",
        /// The stream was lost and could not be resumed.
        StreamLost = "stream_lost",
        /// The sample was made by weights older than the bound.
        SampleTooOld = "sample_too_old",
        /// No instance has the step.
        StepUnknown = "step_unknown",
        /// A later pull of the step has been received.
        Superseded = "superseded",
    }
}

coded! {
    /// Why a request is retried.
    RetryReason {
        /// The endpoint proved that it did not run the request.
        EndpointOverloaded = "endpoint_overloaded",
        /// The endpoint was loading weights.
        EndpointSwapping = "endpoint_swapping",
        /// The endpoint was leaving.
        EndpointLeaving = "endpoint_leaving",
        /// No connection to the endpoint could be opened.
        ConnectFailed = "connect_failed",
        /// The connection was lost while the endpoint ran the request.
        ConnectionLost = "connection_lost",
        /// No data arrived within the silence timeout.
        Silence = "silence",
        /// The coordinator refused the slot or lost it.
        SlotLost = "slot_lost",
        /// The sample was made by weights older than the bound.
        SampleTooOld = "sample_too_old",
        /// The sample was slow, so a hedge was started.
        Straggler = "straggler",
        /// The scorer failed.
        ScorerFailed = "scorer_failed",
    }
}

coded! {
    /// What a refusal states about the execution of the request.
    Outcome {
        /// The request did not run and never will.
        NotRun = "not_run",
        /// The request may have run.
        OutcomeUnknown = "outcome_unknown",
    }
}

/// Final answer to a request that is refused or failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{reason} ({outcome})")]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Delay before a retry by the caller, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub const fn outcome_unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: Outcome::OutcomeUnknown,
            retry_after: None,
        }
    }

    /// Returns the same refusal with a delay before a retry.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
