//! Counters of an instance's activity.

use indexmap::IndexMap;

use crate::refusal::RefusalReason;
use crate::refusal::RetryReason;

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident = $code:literal, $description:literal;)+) => {
        /// Counter of an instance's activity.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Counter {
            $($(#[$doc])* $variant,)+
        }

        impl Counter {
            /// All counters.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the stable name of the metric.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Returns the description of the metric.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self {
                    $(Self::$variant => $description,)+
                }
            }
        }
    };
}

counters! {
    /// Requests accepted.
    Requests = "wisteriaford_requests", "Requests of callers.";
    /// Requests answered completely.
    Answers = "wisteriaford_answers", "Requests answered whole.";
    /// Attempts sent to endpoints.
    Attempts = "wisteriaford_attempts", "Attempts sent to endpoints.";
    /// Streams resumed after their first token.
    Resumes = "wisteriaford_resumes", "Streams resumed at an offset.";
    /// Tokens received.
    Tokens = "wisteriaford_tokens", "Tokens received from endpoints.";
    /// Tokens received twice or discarded.
    WastedTokens = "wisteriaford_tokens_wasted", "Tokens that no caller received.";
    /// Samples delivered.
    Samples = "wisteriaford_samples", "Samples handed to trainers.";
    /// Samples discarded because they were too old.
    SamplesTooOld = "wisteriaford_samples_too_old", "Samples too old to be handed over.";
    /// Hedges started for slow samples.
    Hedges = "wisteriaford_second_attempts", "Second attempts of slow samples.";
    /// Messages received from peers.
    PeerMessages = "wisteriaford_peer_messages", "Messages received from peers.";
    /// Records appended to the log.
    Appends = "wisteriaford_log_appends", "Records appended to the log.";
    /// Appends rejected by the append budget.
    AppendsShed = "wisteriaford_log_appends_shed", "Appends that the budget held back.";
    /// Orders sent to endpoints.
    Orders = "wisteriaford_orders", "Orders given to endpoints.";
    /// Orders that an endpoint rejected because of their fencing number.
    OrdersFenced = "wisteriaford_orders_fenced", "Orders refused for their fencing number.";
    /// Detected crashes of endpoints.
    EndpointCrashes = "wisteriaford_endpoint_crashes", "Crashes of endpoints seen.";
}

/// Counters of an instance's activity.
#[derive(Clone, Debug)]
pub struct Counters {
    refusals: IndexMap<RefusalReason, u64>,
    retries: IndexMap<RetryReason, u64>,
    totals: IndexMap<Counter, u64>,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            refusals: RefusalReason::ALL
                .iter()
                .map(|&reason| (reason, 0))
                .collect(),
            retries: RetryReason::ALL.iter().map(|&reason| (reason, 0)).collect(),
            totals: Counter::ALL.iter().map(|&counter| (counter, 0)).collect(),
        }
    }
}

impl Counters {
    /// Counts a refusal.
    pub fn record_refusal(&mut self, reason: RefusalReason) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, reason: RetryReason) {
        self.add_retries(reason, 1);
    }

    /// Counts several retries.
    pub fn add_retries(&mut self, reason: RetryReason, count: u64) {
        *self.retries.entry(reason).or_default() += count;
    }

    /// Adds to a counter.
    pub fn add(&mut self, counter: Counter, count: u64) {
        *self.totals.entry(counter).or_default() += count;
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.totals.get(&counter).copied().unwrap_or_default()
    }

    /// Returns the number of refusals for every reason, including those with none.
    pub fn refusals(&self) -> impl Iterator<Item = (RefusalReason, u64)> {
        self.refusals
            .iter()
            .map(|(&reason, &count)| (reason, count))
    }

    /// Returns the number of retries for every reason, including those with none.
    pub fn retries(&self) -> impl Iterator<Item = (RetryReason, u64)> {
        self.retries.iter().map(|(&reason, &count)| (reason, count))
    }
}
