//! Runs training steps by pulling samples until each step is complete.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;

use crate::client::Client;
use crate::client::ClientError;
use crate::message::PullAnswer;
use crate::message::PullRequest;
use crate::message::code;
use crate::step::StepRun;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const LOWEST_CLIENT_ERROR_STATUS: u16 = 400;
const LOWEST_SERVER_ERROR_STATUS: u16 = 500;
/// Client errors that a retry may resolve: request timeout, conflict and too many requests.
const RETRYABLE_STATUSES: [u16; 3] = [408, 409, 429];

/// Service from which samples of steps are pulled.
pub trait StepService {
    /// Requests samples of a step.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer was received or the pull was refused.
    fn pull(&mut self, step: u64, request: &PullRequest) -> Result<PullAnswer, ClientError>;

    /// Switches to another instance for subsequent pulls.
    fn rotate(&mut self);
}

impl StepService for Client {
    fn pull(&mut self, step: u64, request: &PullRequest) -> Result<PullAnswer, ClientError> {
        Client::pull(self, step, request)
    }

    fn rotate(&mut self) {
        Client::rotate(self);
    }
}

/// Clock that measures elapsed time and sleeps.
pub trait Timer {
    /// Returns the time since the timer was created.
    fn elapsed(&self) -> Duration;

    /// Blocks for `duration`.
    fn sleep(&mut self, duration: Duration);
}

/// Timer based on the system's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct SystemTimer {
    start: Instant,
}

impl Default for SystemTimer {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Timer for SystemTimer {
    fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    fn sleep(&mut self, duration: Duration) {
        thread::sleep(duration);
    }
}

/// Reason why a step was not completed.
#[derive(Debug, Display, Error)]
pub enum TrainerError {
    /// The step was not complete at its deadline.
    #[display("the step is not complete after {} s", deadline.as_secs_f64())]
    DeadlinePassed {
        /// Time allowed for the step.
        deadline: Duration,
        /// Most recent pull failure since the last answer, if any.
        #[error(not(source))]
        last: Option<Box<ClientError>>,
    },
    /// The pull was refused, and a retry would be refused as well.
    #[display("{source}")]
    Refused {
        /// Refusal returned by the service.
        source: Box<ClientError>,
    },
}

/// Runs steps against a service.
pub struct Trainer<'a> {
    /// Service from which samples are pulled.
    pub service: &'a mut dyn StepService,
    /// Timer for the deadline and for backoff.
    pub timer: &'a mut dyn Timer,
    /// Time allowed for each step.
    pub deadline: Duration,
}

impl Trainer<'_> {
    /// Pulls until the step is complete, then confirms receipt so that the service can discard its
    /// copies of the samples.
    ///
    /// `current_version` is called before each pull.
    ///
    /// # Errors
    ///
    /// Returns an error if the deadline passes or a pull is refused permanently.
    pub fn run(
        &mut self,
        run: &mut StepRun,
        current_version: &mut dyn FnMut(&StepRun) -> u64,
    ) -> Result<(), TrainerError> {
        let started = self.timer.elapsed();
        let mut backoff = FIRST_BACKOFF;
        let mut last = None;
        while !run.is_complete() {
            if self.timer.elapsed().saturating_sub(started) >= self.deadline {
                return Err(TrainerError::DeadlinePassed {
                    deadline: self.deadline,
                    last,
                });
            }
            let request = run.next_pull_request(current_version(run));
            match self.service.pull(run.plan().step, &request) {
                Ok(answer) => {
                    self.apply_answer(run, answer);
                    backoff = FIRST_BACKOFF;
                    last = None;
                }
                Err(error) if needs_spec(&request, &error) => run.on_step_unknown(),
                Err(error) if is_permanent(&error) => {
                    let source = Box::new(error);
                    return Err(TrainerError::Refused { source });
                }
                Err(error) => {
                    self.service.rotate();
                    self.timer.sleep(error.retry_after().unwrap_or(backoff));
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    last = Some(Box::new(error));
                }
            }
        }
        self.confirm(run, current_version(run));
        Ok(())
    }

    /// Tells the service that all samples were received. A failure is ignored: the copies that the
    /// service holds then expire.
    fn confirm(&mut self, run: &mut StepRun, current_version: u64) {
        let mut request = run.next_pull_request(current_version);
        request.wait_ms = 0;
        request.spec = None;
        if let Ok(answer) = self.service.pull(run.plan().step, &request) {
            let _is_late = run.apply_answer(answer).is_err();
        }
    }

    /// Applies an answer, and sleeps before the next pull if it contained no new samples.
    fn apply_answer(&mut self, run: &mut StepRun, answer: PullAnswer) {
        let accepted = run.apply_answer(answer).unwrap_or(0);
        if accepted == 0 {
            self.timer.sleep(FIRST_BACKOFF);
        }
    }
}

/// Returns whether the next pull must include the spec because the service does not know the step.
/// A pull that already included the spec is retried with backoff instead.
fn needs_spec(request: &PullRequest, error: &ClientError) -> bool {
    request.spec.is_none() && error.code() == Some(code::STEP_UNKNOWN)
}

/// Returns whether a retry of the pull would fail in the same way.
fn is_permanent(error: &ClientError) -> bool {
    match error {
        ClientError::NoAddress | ClientError::BadRequest { .. } => true,
        ClientError::Refused { status, .. } => {
            (LOWEST_CLIENT_ERROR_STATUS..LOWEST_SERVER_ERROR_STATUS).contains(status)
                && !RETRYABLE_STATUSES.contains(status)
        }
        ClientError::Transport { .. } | ClientError::BadAnswer { .. } => false,
    }
}
