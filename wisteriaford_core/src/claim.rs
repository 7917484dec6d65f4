//! Right to run a non-idempotent request that carries a key, decided by the log.
//!
//! A holder appends a claim and reads the log until it reaches that record. The claim wins the
//! right to run unless another claim of the key won earlier and was not abandoned. Only its holder
//! can end a winning claim, so a holder that is paused and resumes cannot run the request
//! concurrently with another one. A claim that is undecided at its deadline is given up: its holder
//! refuses the request, never dispatches it, and appends an abandoned result until it reads that
//! back. If a holder dies with an open claim, the key stays taken until the log drops the claim,
//! and whether the request ran is unknown.
//!
//! The outcome in a refusal covers this request and every request that the caller sent with the
//! key before. An earlier one can still win after a later one was given up, so `not_run` is only
//! returned for a request that the caller marked as its first attempt. Sending the key again is
//! always safe.
//!
//! While the log is down, a route can let marked first attempts run under a claim that is appended
//! once the log is back. Until then, another attempt on another instance does not see that claim
//! and may run as well; a route that enables this accepts the risk.

mod fold;
mod types;

use std::time::Duration;

use indexmap::IndexMap;
use wisteriaford_proto::record::Claim;
use wisteriaford_proto::record::ClaimOutcome;
use wisteriaford_proto::record::ClaimResult;
use wisteriaford_proto::record::record::Kind;
use wisteriaford_proto::settings::LogOutagePolicy;

use self::fold::ClaimFold;
use crate::id::ClaimId;
use crate::id::InstanceId;
use crate::id::Offset;
use crate::refusal::Outcome;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::time::Timestamp;

pub use self::fold::ClaimState;
pub use self::types::ClaimEnd;
pub use self::types::ClaimKey;
pub use self::types::ClaimOutput;
pub use self::types::ClaimRequest;
pub use self::types::ClaimSettings;

/// Interval at which a record is appended again until it is read back.
pub const APPEND_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of unsettled claims of one instance.
pub const MAX_LOCAL_CLAIMS: usize = 10_000;
/// Time for which the result of a claim is appended again; afterwards the log never learns it.
pub const RESULT_RETRY_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Retry delay that is returned for a key that is in use.
pub const IN_USE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Stage of a claim of this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The log has not decided the claim.
    Pending,
    /// The request may be dispatched.
    Won,
    /// The request was dispatched.
    Dispatched,
    /// The claim ended, and its result has not been read back from the log.
    Ending(ClaimOutcome),
}

/// Claim of this instance that is not settled in the log.
#[derive(Clone, Debug)]
struct LocalClaim {
    request: ClaimRequest,
    stage: Stage,
    /// Whether an append of the claim or its result was attempted.
    appended: bool,
    next_append: Timestamp,
    /// Time at which the instance stops appending the result.
    remove_at: Option<Timestamp>,
}

/// Claims of this instance, and the fold of the claims of all instances.
#[derive(Clone, Debug)]
pub struct Claims {
    instance: InstanceId,
    fold: ClaimFold,
    local: IndexMap<ClaimId, LocalClaim>,
    log_up: bool,
    outputs: Vec<ClaimOutput>,
}

impl Claims {
    /// Creates the claims of an instance that has not read the log.
    #[must_use]
    pub fn new(instance: InstanceId, settings: &ClaimSettings) -> Self {
        Self {
            instance,
            fold: ClaimFold::new(settings),
            local: IndexMap::new(),
            log_up: true,
            outputs: Vec::new(),
        }
    }

    /// Sets whether the log can be reached.
    ///
    /// While the log is down, marked first attempts win at once on routes that allow it.
    pub fn set_log_up(&mut self, log_up: bool) {
        self.log_up = log_up;
        if log_up {
            return;
        }
        for (id, local) in &mut self.local {
            if local.stage == Stage::Pending && runs_without_log(&local.request) {
                local.stage = Stage::Won;
                self.outputs.push(ClaimOutput::Won(id.clone()));
            }
        }
    }

    /// Starts a claim; the next [`Self::poll`] returns its append, or that it won.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is taken or too old, if too many claims are unsettled, or if
    /// the log is required and down. Also fails if the claim id was used before, because records
    /// of the earlier claim that are still in flight could end this one.
    pub fn begin(&mut self, now: Timestamp, request: ClaimRequest) -> Result<(), Refusal> {
        self.check_key(&request)?;
        if self.local.contains_key(&request.claim) || self.fold.state(&request.claim).is_some() {
            let refusal = unsent_refusal(RefusalReason::ClaimIdUsed, request.first_attempt);
            return Err(refusal);
        }
        if self.local.len() >= MAX_LOCAL_CLAIMS {
            let refusal = unsent_refusal(RefusalReason::QueueFull, request.first_attempt);
            return Err(refusal.with_retry_after(IN_USE_RETRY_AFTER));
        }
        let mut stage = Stage::Pending;
        if !self.log_up {
            if !runs_without_log(&request) {
                let refusal = unsent_refusal(RefusalReason::LogUnavailable, request.first_attempt);
                return Err(refusal.with_retry_after(IN_USE_RETRY_AFTER));
            }
            stage = Stage::Won;
            self.outputs.push(ClaimOutput::Won(request.claim.clone()));
        }
        let local = LocalClaim {
            stage,
            appended: false,
            next_append: now,
            remove_at: None,
            request,
        };
        self.local.insert(local.request.claim.clone(), local);
        Ok(())
    }

    /// Applies the next record of the log, of any kind; `at_ms` is its time on the log's clock.
    ///
    /// Records must be passed in order, starting with the first that the log still holds, because
    /// a later start would miss winning claims. A gap in the offsets means that the log has dropped
    /// the records in between.
    pub fn observe(&mut self, now: Timestamp, offset: Offset, at_ms: u64, kind: Option<&Kind>) {
        let Some(claim) = self.fold.observe(offset, at_ms, kind) else {
            return;
        };
        let Some(state) = self.fold.state(&claim) else {
            return;
        };
        let Some(local) = self.local.get(&claim) else {
            return;
        };
        match (local.stage, state) {
            (Stage::Pending, ClaimState::Open) => self.on_won(now, &claim),
            (Stage::Pending | Stage::Won, ClaimState::Lost) => self.on_lost(&claim),
            (Stage::Ending(_), ClaimState::Lost)
            | (Stage::Ending(ClaimOutcome::Abandoned), ClaimState::Abandoned)
            | (Stage::Ending(ClaimOutcome::Answered), ClaimState::Answered)
            | (Stage::Ending(ClaimOutcome::Sent), ClaimState::Sent) => {
                self.local.swap_remove(&claim);
            }
            _ => {}
        }
    }

    /// Returns whether the request of a claim may be dispatched now.
    #[must_use]
    pub fn may_dispatch(&self, now: Timestamp, claim: &ClaimId) -> bool {
        let local = self.local.get(claim);
        local.is_some_and(|local| local.stage == Stage::Won && now < local.request.deadline)
    }

    /// Marks a claim as dispatched and returns whether its request may be sent.
    ///
    /// Must be called immediately before the first byte is sent. Returns true at most once, unless
    /// [`Self::record_not_run`] resets the claim.
    #[must_use]
    pub fn dispatch(&mut self, now: Timestamp, claim: &ClaimId) -> bool {
        let allowed = self.may_dispatch(now, claim);
        if allowed && let Some(local) = self.local.get_mut(claim) {
            local.stage = Stage::Dispatched;
        }
        allowed
    }

    /// Allows a dispatched claim to be dispatched again, after the endpoint has proved that the
    /// request did not run.
    pub fn record_not_run(&mut self, claim: &ClaimId) {
        if let Some(local) = self.local.get_mut(claim)
            && local.stage == Stage::Dispatched
        {
            local.stage = Stage::Won;
        }
    }

    /// Ends a claim; its result is appended until it is read back.
    ///
    /// A claim that was not dispatched is abandoned regardless of `end`.
    pub fn finish(&mut self, now: Timestamp, claim: &ClaimId, end: ClaimEnd) {
        let stage = self.local.get(claim).map(|local| local.stage);
        let outcome = match (stage, end) {
            (Some(Stage::Ending(_)) | None, _) => return,
            (Some(Stage::Pending | Stage::Won), _) | (_, ClaimEnd::NotRun) => {
                ClaimOutcome::Abandoned
            }
            (Some(Stage::Dispatched), ClaimEnd::Answered) => ClaimOutcome::Answered,
            (Some(Stage::Dispatched), ClaimEnd::Unknown) => ClaimOutcome::Sent,
        };
        self.end(now, claim, outcome);
    }

    /// Returns the outcome to report for a claim that is given up and whose request never ran.
    #[must_use]
    pub fn unsent_outcome(&self, claim: &ClaimId) -> Outcome {
        let local = self.local.get(claim);
        unsent_outcome(local.is_some_and(|local| local.request.first_attempt))
    }

    /// Ends claims past their deadline and adds the actions for the driver to `outputs`.
    pub fn poll(&mut self, now: Timestamp, outputs: &mut Vec<ClaimOutput>) {
        self.end_overdue(now);
        self.local
            .retain(|_, local| local.remove_at.is_none_or(|remove_at| now < remove_at));
        if self.log_up {
            self.push_due_appends(now);
        }
        outputs.append(&mut self.outputs);
    }

    /// Returns the next time at which [`Self::poll`] must run even if no other call was made.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let times = self.local.values().map(|local| match local.stage {
            Stage::Pending | Stage::Won => local.next_append.min(local.request.deadline),
            Stage::Dispatched | Stage::Ending(_) => local.next_append,
        });
        times.min()
    }

    /// Returns the number of claims of this instance that are not settled in the log.
    #[must_use]
    pub fn unsettled_len(&self) -> usize {
        self.local.len()
    }

    /// Returns the number of claims of all instances that are retained from the log.
    #[must_use]
    pub fn retained_len(&self) -> usize {
        self.fold.len()
    }

    fn check_key(&self, request: &ClaimRequest) -> Result<(), Refusal> {
        if let Some(refusal) = self.refusal_if_taken(request) {
            return Err(refusal);
        }
        if self.fold.is_expired(&request.key) {
            return Err(unsent_refusal(
                RefusalReason::KeyExpired,
                request.first_attempt,
            ));
        }
        Ok(())
    }

    /// Returns the refusal of a request whose key already has a winning claim, if it has one.
    fn refusal_if_taken(&self, request: &ClaimRequest) -> Option<Refusal> {
        let (_, state, age_ms) = self.fold.winner(&request.key)?;
        let may_be_running = u128::from(age_ms) < request.timeout.as_millis();
        Some(match state {
            ClaimState::Answered => Refusal::outcome_unknown(RefusalReason::KeyAlreadyRun),
            ClaimState::Open if may_be_running => Refusal::outcome_unknown(RefusalReason::KeyInUse)
                .with_retry_after(IN_USE_RETRY_AFTER),
            ClaimState::Open | ClaimState::Sent | ClaimState::Abandoned | ClaimState::Lost => {
                Refusal::outcome_unknown(RefusalReason::ClaimUnresolved)
            }
        })
    }

    fn on_won(&mut self, now: Timestamp, claim: &ClaimId) {
        let Some(local) = self.local.get_mut(claim) else {
            return;
        };
        if self.fold.is_expired(&local.request.key) {
            let refusal = unsent_refusal(RefusalReason::KeyExpired, local.request.first_attempt);
            self.end(now, claim, ClaimOutcome::Abandoned);
            self.push_refusal(claim, refusal);
            return;
        }
        if now < local.request.deadline {
            local.stage = Stage::Won;
            self.outputs.push(ClaimOutput::Won(claim.clone()));
        }
    }

    fn on_lost(&mut self, claim: &ClaimId) {
        let Some(local) = self.local.swap_remove(claim) else {
            return;
        };
        let first_attempt = local.request.first_attempt;
        let unresolved = unsent_refusal(RefusalReason::ClaimUnresolved, first_attempt);
        let refusal = self.refusal_if_taken(&local.request).unwrap_or(unresolved);
        self.push_refusal(claim, refusal);
    }

    fn end_overdue(&mut self, now: Timestamp) {
        let overdue = self.local.iter().filter(|(_, local)| {
            let is_undispatched = matches!(local.stage, Stage::Pending | Stage::Won);
            is_undispatched && local.request.deadline <= now
        });
        let overdue: Vec<_> = overdue
            .map(|(id, local)| (id.clone(), local.stage))
            .collect();
        for (claim, stage) in overdue {
            let reason = if stage == Stage::Won {
                RefusalReason::Deadline
            } else {
                RefusalReason::ClaimUnresolved
            };
            let refusal = unsent_refusal(reason, self.local[&claim].request.first_attempt);
            self.end(now, &claim, ClaimOutcome::Abandoned);
            self.push_refusal(&claim, refusal);
        }
    }

    fn end(&mut self, now: Timestamp, claim: &ClaimId, outcome: ClaimOutcome) {
        let Some(local) = self.local.get_mut(claim) else {
            return;
        };
        let is_unknown_to_log = outcome == ClaimOutcome::Abandoned && !local.appended;
        if is_unknown_to_log {
            self.local.swap_remove(claim);
            return;
        }
        local.stage = Stage::Ending(outcome);
        local.next_append = now;
        local.remove_at = Some(now + RESULT_RETRY_TIMEOUT);
    }

    fn push_refusal(&mut self, claim: &ClaimId, refusal: Refusal) {
        let output = ClaimOutput::Refused(claim.clone(), refusal);
        self.outputs.push(output);
    }

    fn push_due_appends(&mut self, now: Timestamp) {
        for (id, local) in &mut self.local {
            if now < local.next_append {
                continue;
            }
            local.next_append = now + APPEND_RETRY_INTERVAL;
            let is_in_log = self.fold.state(id).is_some();
            let output = match local.stage {
                Stage::Ending(outcome) if is_in_log || outcome == ClaimOutcome::Abandoned => {
                    ClaimOutput::AppendResult(ClaimResult {
                        claim_id: String::from(id),
                        outcome: outcome.into(),
                    })
                }
                _ if is_in_log => continue,
                _ => ClaimOutput::AppendClaim(claim_record(&self.instance, &local.request)),
            };
            local.appended = true;
            self.outputs.push(output);
        }
    }
}

fn claim_record(instance: &InstanceId, request: &ClaimRequest) -> Claim {
    Claim {
        route: String::from(&request.key.route),
        caller: String::from(&request.key.caller),
        key: request.key.key.to_string(),
        claim_id: String::from(&request.claim),
        holder: String::from(instance),
    }
}

fn runs_without_log(request: &ClaimRequest) -> bool {
    request.first_attempt && request.log_outage == LogOutagePolicy::FirstAttemptOnly
}

/// Returns the refusal of a request that was not sent.
fn unsent_refusal(reason: RefusalReason, first_attempt: bool) -> Refusal {
    Refusal {
        reason,
        outcome: unsent_outcome(first_attempt),
        retry_after: None,
    }
}

/// Returns the outcome of a request that was not sent.
///
/// The outcome is unknown unless it was the first attempt, because an earlier attempt may still
/// run.
#[must_use]
pub fn unsent_outcome(first_attempt: bool) -> Outcome {
    if first_attempt {
        Outcome::NotRun
    } else {
        Outcome::OutcomeUnknown
    }
}
