//! Bounds and times of training steps.

use std::time::Duration;

/// Samples that one answer holds at most.
pub const MAX_ANSWER_SAMPLES: usize = 64;
/// Text that one answer or peer message holds at most, but for a single longer sample.
pub const MAX_ANSWER_BYTES: usize = 512 * 1024;
/// Steps that an instance owns at once.
pub const MAX_OWNED_STEPS: usize = 64;
/// Steps of one trainer that an instance owns at once.
pub const MAX_STEPS_PER_TRAINER: usize = 4;
/// Steps that an instance keeps a second copy of at once.
pub const MAX_KEPT_STEPS: usize = 64;
/// Pulls that wait at an instance at once.
pub const MAX_WAITING_PULLS: usize = 1_024;
/// Starts without progress that a step may have, whatever the free slots.
pub const MIN_START_WINDOW: usize = 32;
/// Starts without progress that a step may have at most.
pub const MAX_START_WINDOW: usize = 256;
/// Second attempts that a step may have at once.
pub const MAX_SECOND_ATTEMPTS: usize = 8;
/// Samples that one score request holds.
pub const MAX_SCORE_BATCH: usize = 32;
/// Score requests that a step may have at once.
pub const MAX_SCORE_BATCHES: usize = 4;

/// Time between two looks at the state.
pub const TICK: Duration = Duration::from_millis(50);
/// Time for which ready samples are gathered before they are delivered.
pub const GATHER: Duration = Duration::from_millis(50);
/// Time after which an entry forwards a pull again.
pub const FORWARD_RETRY: Duration = Duration::from_millis(500);
/// Silence after which an entry takes an owner as failed.
pub const OWNER_SILENCE: Duration = Duration::from_secs(2);
/// Time for which a silent instance is passed over.
pub const SILENT_FOR: Duration = Duration::from_secs(10);
/// Time that a new owner waits for the keeper's copy.
pub const KEEPER_SILENCE: Duration = Duration::from_millis(500);
/// Time after which an unconfirmed copy is sent again.
pub const KEEP_RETRY: Duration = Duration::from_millis(500);
/// Time without a pull after which a step is dropped.
pub const STEP_TTL: Duration = Duration::from_secs(60);
/// Time without a pull after which a step is dropped if its trainer has a newer one.
pub const OLD_STEP_TTL: Duration = Duration::from_secs(10);
/// Time without a pull after which a step goes to the owner that the view names.
pub const HAND_OVER_IDLE: Duration = Duration::from_secs(2);
/// Time for which a previous owner's running attempts are waited for.
pub const RUNNING_ELSEWHERE: Duration = Duration::from_secs(20);
/// Time after which a score request is taken as lost.
pub const SCORE_TIMEOUT: Duration = Duration::from_secs(10);
/// First back-off after a failure.
pub const BACK_OFF_BASE: Duration = Duration::from_millis(200);
/// Longest back-off after a failure.
pub const BACK_OFF_MAX: Duration = Duration::from_secs(10);
/// Time past the expected one after which a second attempt may start.
pub const OVERDUE: Duration = Duration::from_secs(2);
/// Time without any finished sample to compare with after which an attempt is overdue.
pub const OVERDUE_UNKNOWN: Duration = Duration::from_secs(30);
/// Time after which an owner tells its keeper again that the step lives.
pub const KEEP_REFRESH: Duration = Duration::from_secs(20);
/// Longest wait of a pull.
pub const MAX_WAIT: Duration = Duration::from_secs(60);
/// Whole steps that an instance remembers, so that a late pull doesn't start them again.
pub const MAX_WHOLE_STEPS: usize = 256;
/// Part of a step, as a divisor, that may be missing when second attempts start.
pub const SECOND_ATTEMPT_DIVISOR: usize = 8;
/// Time without a pull after which a step starts no more attempts.
pub const START_IDLE: Duration = Duration::from_secs(15);
