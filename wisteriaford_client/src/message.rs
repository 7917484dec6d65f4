//! Messages of the caller interface, in JSON.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use wisteriaford_core::id::MAX_ID_LEN_BYTES;
use wisteriaford_core::id::RequestId;
use wisteriaford_core::index_set::IndexSet;

/// Most samples that a step may have; every index is below it.
pub const MAX_SAMPLES: u32 = 8_192;
/// Most tokens that one answer may have.
pub const MAX_TOKENS: u32 = 1_000_000;
/// Longest prompt, in bytes.
pub const MAX_PROMPT_LEN_BYTES: usize = 1 << 20;
/// Longest name of a caller, pool, route or request, in bytes.
pub const MAX_NAME_LEN_BYTES: usize = MAX_ID_LEN_BYTES;
/// Longest time that a request may ask for, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Longest time that a pull may wait, in milliseconds.
pub const MAX_WAIT_MS: u64 = 60_000;

/// Stable codes of errors that a client acts on.
pub mod code {
    use wisteriaford_core::refusal::RefusalReason;

    /// The instance has no configuration yet.
    pub const NO_CONFIGURATION: &str = RefusalReason::NoConfiguration.code();
    /// The instance is shutting down.
    pub const SHUTTING_DOWN: &str = RefusalReason::ShuttingDown.code();
    /// No instance knows the step and the pull brought no spec.
    pub const STEP_UNKNOWN: &str = RefusalReason::StepUnknown.code();
    /// The instance does not know the request.
    pub const REQUEST_UNKNOWN: &str = "request_unknown";
    /// The service takes no more at this rate.
    pub const RATE_LIMITED: &str = "rate_limited";
}

/// Why a request cannot be meant as it was sent.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum MessageError {
    /// A name is empty, too long, or has a character outside letters, digits and `-_.:/`.
    #[display("`{field}` must be 1 to {MAX_NAME_LEN_BYTES} letters, digits or any of -_.:/")]
    BadName {
        /// Field that holds it.
        field: &'static str,
    },
    /// A number lies outside its range.
    #[display("`{field}` must be from {min} to {max}, not {value}")]
    OutOfRange {
        /// Field that holds it.
        field: &'static str,
        /// Number that was sent.
        value: u64,
        /// Lowest number accepted.
        min: u64,
        /// Highest number accepted.
        max: u64,
    },
    /// A prompt is longer than [`MAX_PROMPT_LEN_BYTES`].
    #[display("a prompt has at most {MAX_PROMPT_LEN_BYTES} bytes, this one has {len_bytes}")]
    PromptTooLong {
        /// Length of the prompt.
        len_bytes: usize,
    },
    /// A step has more than [`MAX_SAMPLES`] samples, or none.
    #[display("a step has 1 to {MAX_SAMPLES} samples, this one has {samples}")]
    BadStepSize {
        /// Samples of the step.
        samples: u64,
    },
    /// The received set holds an index that the step does not have.
    #[display("the received set holds index {index}, the step has {samples} samples")]
    ReceivedOutsideStep {
        /// First index outside the step.
        index: u32,
        /// Samples of the step.
        samples: u32,
    },
}

/// Asks for one answer of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateRequest {
    /// Who asks.
    pub caller: String,
    /// Pool of model engines.
    pub pool: String,
    /// Text to go on from.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Id that the caller chose, unique over the fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Time until the answer is of no use, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

impl GenerateRequest {
    /// Checks names, sizes and ranges.
    ///
    /// # Errors
    ///
    /// Fails on the first field that cannot be meant.
    pub fn check(&self) -> Result<(), MessageError> {
        check_name("caller", &self.caller)?;
        check_name("pool", &self.pool)?;
        check_prompt(&self.prompt)?;
        check_range(
            "max_tokens",
            u64::from(self.max_tokens),
            1,
            u64::from(MAX_TOKENS),
        )?;
        if let Some(request_id) = &self.request_id {
            check_name("request_id", request_id)?;
        }
        if let Some(timeout_ms) = self.timeout_ms {
            check_range("timeout_ms", timeout_ms, 1, MAX_TIMEOUT_MS)?;
        }
        Ok(())
    }
}

/// Tokens that one version of the weights made.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionSpan {
    /// First token.
    pub from_token: u32,
    /// Token after the last.
    pub to_token: u32,
    /// Version that made them, as the endpoint named it.
    pub version: u64,
}

/// Whole answer of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateAnswer {
    /// Request that it answers.
    pub request_id: String,
    /// Text.
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Versions that made it, in the order of the tokens.
    pub spans: Vec<VersionSpan>,
    /// Endpoint that served it.
    pub endpoint: String,
    /// Instance that served it.
    pub instance: String,
}

/// What a step is made of.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// Samples of each group.
    pub group_size: u32,
    /// Most tokens of each sample.
    pub max_tokens: u32,
    /// Prompt of each group.
    pub prompts: Vec<String>,
}

impl StepSpec {
    /// Returns the number of samples, whether the step may have so many or not.
    #[must_use]
    pub fn samples(&self) -> u64 {
        (self.prompts.len() as u64).saturating_mul(u64::from(self.group_size))
    }

    /// Checks sizes and ranges.
    ///
    /// # Errors
    ///
    /// Fails on the first field that cannot be meant.
    pub fn check(&self) -> Result<(), MessageError> {
        let samples = self.samples();
        if samples == 0 || samples > u64::from(MAX_SAMPLES) {
            return Err(MessageError::BadStepSize { samples });
        }
        check_range(
            "max_tokens",
            u64::from(self.max_tokens),
            1,
            u64::from(MAX_TOKENS),
        )?;
        self.prompts
            .iter()
            .try_for_each(|prompt| check_prompt(prompt))
    }
}

/// Asks for samples of a step that the trainer does not have; the step's number is in the path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PullRequest {
    /// Caller that trains.
    pub trainer: String,
    /// Pool of model engines.
    pub pool: String,
    /// Number of this pull, higher than that of every earlier one.
    pub pull: u64,
    /// Version of the weights that the trainer is at.
    pub current_version: u64,
    /// Indices that the trainer has.
    pub received: IndexSet,
    /// Longest time to wait for a sample, in milliseconds.
    pub wait_ms: u64,
    /// What the step is made of; needed where no instance knows the step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<StepSpec>,
}

impl PullRequest {
    /// Checks names, sizes and ranges.
    ///
    /// # Errors
    ///
    /// Fails on the first field that cannot be meant.
    pub fn check(&self) -> Result<(), MessageError> {
        check_name("trainer", &self.trainer)?;
        check_name("pool", &self.pool)?;
        check_range("wait_ms", self.wait_ms, 0, MAX_WAIT_MS)?;
        let mut samples = MAX_SAMPLES;
        if let Some(spec) = &self.spec {
            spec.check()?;
            samples = u32::try_from(spec.samples()).unwrap_or(MAX_SAMPLES);
        }
        match self.received.iter().find(|&index| index >= samples) {
            Some(index) => Err(MessageError::ReceivedOutsideStep { index, samples }),
            None => Ok(()),
        }
    }
}

/// One finished sample.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SampleAnswer {
    /// Index within the step: group times group size plus the place in the group.
    pub index: u32,
    /// Group it belongs to.
    pub group: u32,
    /// Text.
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Versions that made it, in the order of the tokens.
    pub spans: Vec<VersionSpan>,
    /// Score in thousandths; absent where no scorer is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score_milli: Option<i64>,
    /// Instance that served it.
    pub instance: String,
    /// Endpoint that served it.
    pub endpoint: String,
}

impl SampleAnswer {
    /// Returns whether the spans cover every token, in order and without gaps, each with a version.
    #[must_use]
    pub fn is_labelled(&self) -> bool {
        let mut next_token = 0;
        for span in &self.spans {
            let follows = span.from_token == next_token && span.to_token > span.from_token;
            if !follows || span.version == 0 {
                return false;
            }
            next_token = span.to_token;
        }
        next_token == self.tokens && !self.spans.is_empty()
    }

    /// Returns the oldest version that made a part of it.
    #[must_use]
    pub fn oldest_version(&self) -> Option<u64> {
        self.spans.iter().map(|span| span.version).min()
    }
}

/// Answers a pull.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PullAnswer {
    /// Pull that it answers.
    pub pull: u64,
    /// Samples outside the received set.
    pub samples: Vec<SampleAnswer>,
    /// Whether the received set and these samples are the whole step.
    pub complete: bool,
}

/// Whether a refused or failed request may have run.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It did not run.
    #[display("not run")]
    NotRun,
    /// It may have run.
    #[display("outcome unknown")]
    OutcomeUnknown,
}

/// Answers a request that was refused or failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorAnswer {
    /// What went wrong.
    pub error: ErrorBody,
}

/// What went wrong with a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Stable code, for programs.
    pub code: String,
    /// Explanation, for people.
    pub message: String,
    /// Whether the request may have run; absent where nothing could have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Request, to ask for an explanation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
}

/// What an instance decided about a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainAnswer {
    /// Request.
    pub request_id: String,
    /// Instance that answers.
    pub instance: String,
    /// Decisions, oldest first.
    pub decisions: Vec<DecisionAnswer>,
}

/// One decision about a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DecisionAnswer {
    /// When it was made, in milliseconds since 1970.
    pub at_ms: u64,
    /// Stable name of its kind.
    pub kind: String,
    /// Explanation, for people.
    pub detail: String,
}

/// What the callers got of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharesAnswer {
    /// Instance that answers.
    pub instance: String,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Callers.
    pub callers: Vec<CallerShare>,
}

/// What one caller got.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerShare {
    /// Caller.
    pub caller: String,
    /// Priority, by name.
    pub priority: String,
    /// Tokens that it was entitled to.
    pub entitled_tokens: u64,
    /// Tokens that it received.
    pub received_tokens: u64,
    /// Why it received less than it was entitled to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shortfall_reason: Option<String>,
}

/// Whether an instance reaches the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogState {
    /// The last read was answered.
    #[display("up")]
    Up,
    /// The last read failed.
    #[display("down")]
    Down,
    /// No read has ended yet.
    #[default]
    #[display("unknown")]
    Unknown,
}

/// State of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusAnswer {
    /// Instance that answers.
    pub instance: String,
    /// Availability zone it runs in.
    pub availability_zone: String,
    /// Region it runs in.
    pub region: String,
    /// Run of the instance; a restart has a higher one.
    pub incarnation: u64,
    /// Revision of the configuration in force; 0 is none.
    pub revision: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it reaches the log.
    pub log: LogState,
    /// Members that it knows.
    pub members: Vec<MemberStatus>,
    /// Endpoints that it knows.
    pub endpoints: Vec<EndpointStatus>,
}

/// State of a member as an instance sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Instance.
    pub id: String,
    /// Address that it listens at for peers.
    pub address: String,
    /// Availability zone it runs in.
    pub availability_zone: String,
    /// State, by name.
    pub state: String,
    /// Run of the instance.
    pub incarnation: u64,
}

/// State of an endpoint as an instance sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointStatus {
    /// Endpoint.
    pub endpoint: String,
    /// Pool it belongs to.
    pub pool: String,
    /// Version of its weights; 0 is none.
    pub version: u64,
    /// Requests that it runs.
    pub in_flight: u64,
    /// Requests that wait for it.
    pub queued: u64,
    /// Whether it takes requests, by name.
    pub availability: String,
    /// Instance that looks after it.
    pub steward: String,
}

/// Configuration in force at an instance; `C` is the type of its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationAnswer<C> {
    /// Revision; 0 is none.
    pub revision: u64,
    /// Publication that made it.
    pub publication_id: String,
    /// Content.
    pub configuration: C,
}

/// Checks a name of a caller, pool, route or request.
pub(crate) fn check_name(field: &'static str, name: &str) -> Result<(), MessageError> {
    match name.parse::<RequestId>() {
        Ok(_) => Ok(()),
        Err(_) => Err(MessageError::BadName { field }),
    }
}

fn check_prompt(prompt: &str) -> Result<(), MessageError> {
    if prompt.len() <= MAX_PROMPT_LEN_BYTES {
        return Ok(());
    }
    Err(MessageError::PromptTooLong {
        len_bytes: prompt.len(),
    })
}

fn check_range(field: &'static str, value: u64, min: u64, max: u64) -> Result<(), MessageError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(MessageError::OutOfRange {
        field,
        value,
        min,
        max,
    })
}
