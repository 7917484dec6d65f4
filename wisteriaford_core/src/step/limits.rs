//! Limits and timeouts of training steps.

use std::time::Duration;

use crate::scoring::BackOffLimits;

/// Maximum number of samples in one answer.
pub const MAX_ANSWER_SAMPLES: usize = 64;
/// Maximum size of the text in one answer or peer message; a single longer sample is sent alone.
pub const MAX_ANSWER_BYTES: usize = 512 * 1024;
/// Maximum number of steps that an instance owns.
pub const MAX_OWNED_STEPS: usize = 64;
/// Maximum number of steps of one trainer that an instance owns.
pub const MAX_STEPS_PER_TRAINER: usize = 4;
/// Maximum number of steps of which an instance is the replica.
pub const MAX_REPLICATED_STEPS: usize = 64;
/// Maximum number of pulls that wait at an instance.
pub const MAX_WAITING_PULLS: usize = 1_024;
/// Attempts without progress that a step may always have, even if no slot is free.
pub const MIN_ATTEMPT_WINDOW: usize = 32;
/// Maximum number of attempts without progress of a step.
pub const MAX_ATTEMPT_WINDOW: usize = 256;
/// Maximum number of concurrent hedges of a step.
pub const MAX_HEDGES: usize = 8;
/// Maximum number of samples in one score request.
pub const MAX_SCORE_BATCH: usize = 32;
/// Maximum number of concurrent score requests of a step.
pub const MAX_SCORE_BATCHES: usize = 4;

/// Interval between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which ready samples are collected into one answer before it is sent.
pub const ANSWER_DELAY: Duration = Duration::from_millis(50);
/// Time after which an ingress forwards a pull again.
pub const FORWARD_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer after which an ingress considers an owner failed.
pub const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an instance is skipped after it didn't respond or refused to own a step.
pub const SKIP_DURATION: Duration = Duration::from_secs(10);
/// Time that a new owner waits for the replica's copy.
pub const REPLICA_FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unconfirmed copy is sent again.
pub const COPY_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a pull after which a step is dropped.
pub const STEP_TTL: Duration = Duration::from_secs(60);
/// Time without a pull after which a step is dropped if its trainer has a newer one.
pub const SUPERSEDED_STEP_TTL: Duration = Duration::from_secs(10);
/// Time without a pull after which a step is handed over to the owner that the view names.
pub const HAND_OVER_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a new owner waits for the running attempts of a previous owner.
pub const REMOTE_ATTEMPT_WAIT: Duration = Duration::from_secs(20);
/// Time after which a score request is considered lost.
pub const SCORE_TIMEOUT: Duration = Duration::from_secs(10);
/// Back-off after failed attempts and score requests.
pub const BACK_OFF: BackOffLimits = BackOffLimits {
    initial: Duration::from_millis(200),
    max: Duration::from_secs(10),
};
/// Time past the expected duration of an attempt after which a hedge may start.
pub const OVERDUE_GRACE: Duration = Duration::from_secs(2);
/// Age at which an attempt is overdue if no finished sample gives an expected duration.
pub const OVERDUE_WITHOUT_ESTIMATE: Duration = Duration::from_secs(30);
/// Time after which an owner refreshes the copy at its replica so that it doesn't expire.
pub const COPY_REFRESH_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum time that a pull waits.
pub const MAX_PULL_WAIT: Duration = Duration::from_secs(60);
/// Completed steps that an instance remembers, so that a late pull doesn't start them again.
pub const MAX_COMPLETED_STEPS: usize = 256;
/// Hedges start when the unfinished samples are at most the step's total divided by this number,
/// or at most as many as the limit of hedges.
pub const HEDGE_REMAINDER_DIVISOR: usize = 8;
/// Time without a pull after which a step starts no new attempts.
pub const START_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
