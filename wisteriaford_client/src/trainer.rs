//! Driver of training steps: pulls, waits and pulls again until the step is whole.

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
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);
const LOWEST_CLIENT_ERROR_STATUS: u16 = 400;
const LOWEST_SERVER_ERROR_STATUS: u16 = 500;
/// Request timeout, conflict and too many requests.
const REPEATABLE_STATUSES: [u16; 3] = [408, 409, 429];

/// Service that steps are pulled from.
pub trait StepService {
    /// Asks for samples of a step.
    ///
    /// # Errors
    ///
    /// Fails where no answer came or the pull was refused.
    fn pull(&mut self, step: u64, request: &PullRequest) -> Result<PullAnswer, ClientError>;

    /// Prefers another instance from now on.
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

/// Passing time.
pub trait Timer {
    /// Returns the time since the timer was made.
    fn elapsed(&self) -> Duration;

    /// Waits.
    fn sleep(&mut self, duration: Duration);
}

/// Time of the machine.
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

/// Why a step was left unfinished.
#[derive(Debug, Display, Error)]
pub enum TrainerError {
    /// The time for the step ran out.
    #[display("the step is not whole after {} s", deadline.as_secs_f64())]
    DeadlinePassed {
        /// Time that the step had.
        deadline: Duration,
        /// Last failure of a pull, if any failed since the last answer.
        #[error(not(source))]
        last: Option<Box<ClientError>>,
    },
    /// The pull will be refused however often it is sent.
    #[display("{source}")]
    Refused {
        /// Refusal.
        source: Box<ClientError>,
    },
}

/// Drives steps against a service.
pub struct Trainer<'a> {
    /// Service that steps are pulled from.
    pub service: &'a mut dyn StepService,
    /// Time.
    pub timer: &'a mut dyn Timer,
    /// Time that each step has.
    pub deadline: Duration,
}

impl Trainer<'_> {
    /// Pulls until the step is whole, then confirms it once so that no copies are kept for it.
    ///
    /// `current_version` is asked before each pull.
    ///
    /// # Errors
    ///
    /// Fails where the deadline passes or a pull is refused for good.
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
            let request = run.pull(current_version(run));
            match self.service.pull(run.plan().step, &request) {
                Ok(answer) => {
                    self.take(run, answer);
                    backoff = FIRST_BACKOFF;
                    last = None;
                }
                Err(error) if is_forgotten(&request, &error) => run.forgotten(),
                Err(error) if is_final(&error) => {
                    let source = Box::new(error);
                    return Err(TrainerError::Refused { source });
                }
                Err(error) => {
                    self.service.rotate();
                    self.timer.sleep(error.retry_after().unwrap_or(backoff));
                    backoff = (backoff * 2).min(LONGEST_BACKOFF);
                    last = Some(Box::new(error));
                }
            }
        }
        self.confirm(run, current_version(run));
        Ok(())
    }

    /// Tells the service that every sample arrived; a failure only leaves copies to expire.
    fn confirm(&mut self, run: &mut StepRun, current_version: u64) {
        let mut request = run.pull(current_version);
        request.wait_ms = 0;
        request.spec = None;
        if let Ok(answer) = self.service.pull(run.plan().step, &request) {
            let _late = run.take(answer).is_err();
        }
    }

    /// Takes an answer; one that brought nothing new is not followed by a pull at once.
    fn take(&mut self, run: &mut StepRun, answer: PullAnswer) {
        let taken = run.take(answer).unwrap_or(0);
        if taken == 0 {
            self.timer.sleep(FIRST_BACKOFF);
        }
    }
}

/// Returns whether the step must be described again; not so where the pull described it.
fn is_forgotten(request: &PullRequest, error: &ClientError) -> bool {
    request.spec.is_none() && error.code() == Some(code::STEP_UNKNOWN)
}

/// Returns whether a pull fails in the same way however often it is sent.
fn is_final(error: &ClientError) -> bool {
    match error {
        ClientError::NoAddress | ClientError::BadRequest { .. } => true,
        ClientError::Refused { status, .. } => {
            (LOWEST_CLIENT_ERROR_STATUS..LOWEST_SERVER_ERROR_STATUS).contains(status)
                && !REPEATABLE_STATUSES.contains(status)
        }
        ClientError::Transport { .. } | ClientError::BadAnswer { .. } => false,
    }
}
