//! Right to run a non-idempotent request that carries a key, decided by the log.
//!
//! A holder appends a claim and reads the log until it meets that record: the claim has the
//! right to run if no other claim of the key stood then. Nobody else can end it, so a holder
//! that is paused and resumes can't run beside another. A claim that isn't decided by its
//! deadline is dead: its holder forgets it at once, never dispatches it, and appends that it is
//! abandoned until it reads that back. A holder that dies with an open claim leaves the key
//! taken until the log forgets it; whether the request ran is then unknown.
//!
//! What a refusal says of the outcome is about this request and all that the caller sent before
//! it with the key. An earlier one may still win after a later one gave up, so `not_run` is said
//! only to what the caller marked as its first attempt. Sending the key again is always safe.
//!
//! While the log is down, a route may let marked first attempts run under a claim that is
//! appended once the log is back. Until then a second attempt elsewhere doesn't see it, and it
//! may run as well: that is what such a route accepts.

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

/// Time after which a record that wasn't read back is appended again.
pub const APPEND_RETRY: Duration = Duration::from_secs(1);
/// Claims that an instance has in progress.
pub const MAX_OWN_CLAIMS: usize = 10_000;
/// How long the end of a claim is appended again, after which it stays unknown to the log.
pub const END_RETRY: Duration = Duration::from_secs(3_600);
/// When to come back for a key that is in use.
pub const IN_USE_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The log hasn't decided it.
    Pending,
    /// It may be dispatched.
    Won,
    /// It was dispatched.
    Dispatched,
    /// It ended, and the log hasn't shown that yet.
    Ending(ClaimOutcome),
}

#[derive(Clone, Debug)]
struct Own {
    request: ClaimRequest,
    stage: Stage,
    appended: bool,
    next_append: Timestamp,
    forget_at: Option<Timestamp>,
}

/// Claims of one instance, and the fold of those of all.
#[derive(Clone, Debug)]
pub struct Claims {
    instance: InstanceId,
    fold: ClaimFold,
    own: IndexMap<ClaimId, Own>,
    log_up: bool,
    outputs: Vec<ClaimOutput>,
}

impl Claims {
    /// Returns the claims of an instance that has read nothing of the log.
    #[must_use]
    pub fn new(instance: InstanceId, settings: &ClaimSettings) -> Self {
        Self {
            instance,
            fold: ClaimFold::new(settings),
            own: IndexMap::new(),
            log_up: true,
            outputs: Vec::new(),
        }
    }

    /// Takes whether the log can be reached.
    ///
    /// Marked first attempts of routes that allow it no longer wait for a log that is down.
    pub fn set_log_up(&mut self, log_up: bool) {
        self.log_up = log_up;
        if log_up {
            return;
        }
        for (id, own) in &mut self.own {
            if own.stage == Stage::Pending && runs_without_log(&own.request) {
                own.stage = Stage::Won;
                self.outputs.push(ClaimOutput::Won(id.clone()));
            }
        }
    }

    /// Starts a claim; the next [`Self::poll`] has it appended, or won.
    ///
    /// # Errors
    ///
    /// Returns the final answer if the key is taken, too old, or the log is needed and down, or
    /// if the id was used before: what is still under way for it could end this claim.
    pub fn begin(&mut self, now: Timestamp, request: ClaimRequest) -> Result<(), Refusal> {
        self.check_key(&request)?;
        if self.own.contains_key(&request.claim) || self.fold.state(&request.claim).is_some() {
            let refusal = refuse(RefusalReason::ClaimIdUsed, request.first_attempt);
            return Err(refusal);
        }
        if self.own.len() >= MAX_OWN_CLAIMS {
            let refusal = refuse(RefusalReason::QueueFull, request.first_attempt);
            return Err(refusal.with_retry_after(IN_USE_RETRY_AFTER));
        }
        let mut stage = Stage::Pending;
        if !self.log_up {
            if !runs_without_log(&request) {
                let refusal = refuse(RefusalReason::LogUnavailable, request.first_attempt);
                return Err(refusal.with_retry_after(IN_USE_RETRY_AFTER));
            }
            stage = Stage::Won;
            self.outputs.push(ClaimOutput::Won(request.claim.clone()));
        }
        let own = Own {
            stage,
            appended: false,
            next_append: now,
            forget_at: None,
            request,
        };
        self.own.insert(own.request.claim.clone(), own);
        Ok(())
    }

    /// Takes the next record of the log, of whatever kind; `at_ms` is the log's own time.
    ///
    /// Records must come in order, from the first that the log still has: a start at a later one
    /// would miss claims that stand. A gap means that the log no longer has those between.
    pub fn observe(&mut self, now: Timestamp, offset: Offset, at_ms: u64, kind: Option<&Kind>) {
        let Some(claim) = self.fold.observe(offset, at_ms, kind) else {
            return;
        };
        let Some(state) = self.fold.state(&claim) else {
            return;
        };
        let Some(own) = self.own.get(&claim) else {
            return;
        };
        match (own.stage, state) {
            (Stage::Pending, ClaimState::Open) => self.win(now, &claim),
            (Stage::Pending | Stage::Won, ClaimState::Lost) => self.lose(&claim),
            (Stage::Ending(_), ClaimState::Lost)
            | (Stage::Ending(ClaimOutcome::Abandoned), ClaimState::Abandoned)
            | (Stage::Ending(ClaimOutcome::Answered), ClaimState::Answered)
            | (Stage::Ending(ClaimOutcome::Sent), ClaimState::Sent) => {
                self.own.swap_remove(&claim);
            }
            _ => {}
        }
    }

    /// Returns whether a claim may be dispatched now.
    #[must_use]
    pub fn may_dispatch(&self, now: Timestamp, claim: &ClaimId) -> bool {
        let own = self.own.get(claim);
        own.is_some_and(|own| own.stage == Stage::Won && now < own.request.deadline)
    }

    /// Takes the right to dispatch a claim once; call it right before the first byte is sent.
    #[must_use]
    pub fn dispatch(&mut self, now: Timestamp, claim: &ClaimId) -> bool {
        let allowed = self.may_dispatch(now, claim);
        if allowed && let Some(own) = self.own.get_mut(claim) {
            own.stage = Stage::Dispatched;
        }
        allowed
    }

    /// Gives the right back after the endpoint proved that a dispatched claim did not run.
    pub fn note_not_run(&mut self, claim: &ClaimId) {
        if let Some(own) = self.own.get_mut(claim)
            && own.stage == Stage::Dispatched
        {
            own.stage = Stage::Won;
        }
    }

    /// Ends a claim; its end is appended until it is read back.
    ///
    /// A claim that wasn't dispatched is abandoned, whatever `end` says.
    pub fn finish(&mut self, now: Timestamp, claim: &ClaimId, end: ClaimEnd) {
        let stage = self.own.get(claim).map(|own| own.stage);
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

    /// Returns what may be said of a claim that is given up and whose request never ran.
    #[must_use]
    pub fn unsent_outcome(&self, claim: &ClaimId) -> Outcome {
        let own = self.own.get(claim);
        unsent_outcome(own.is_some_and(|own| own.request.first_attempt))
    }

    /// Ends claims past their deadline and appends what is to be done to `outputs`.
    pub fn poll(&mut self, now: Timestamp, outputs: &mut Vec<ClaimOutput>) {
        self.end_late(now);
        self.own
            .retain(|_, own| own.forget_at.is_none_or(|forget_at| now < forget_at));
        if self.log_up {
            self.append_due(now);
        }
        outputs.append(&mut self.outputs);
    }

    /// Returns when [`Self::poll`] has something to do by the clock alone.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let times = self.own.values().map(|own| match own.stage {
            Stage::Pending | Stage::Won => own.next_append.min(own.request.deadline),
            Stage::Dispatched | Stage::Ending(_) => own.next_append,
        });
        times.min()
    }

    /// Returns the claims of this instance that aren't settled in the log.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.own.len()
    }

    /// Returns the claims remembered from the log, of the whole fleet.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.fold.len()
    }

    fn check_key(&self, request: &ClaimRequest) -> Result<(), Refusal> {
        if let Some(refusal) = self.taken(request) {
            return Err(refusal);
        }
        if self.fold.is_expired(&request.key) {
            return Err(refuse(RefusalReason::KeyExpired, request.first_attempt));
        }
        Ok(())
    }

    /// Returns what a second sender is told while another claim of the key stands.
    fn taken(&self, request: &ClaimRequest) -> Option<Refusal> {
        let (_, state, age_ms) = self.fold.standing(&request.key)?;
        let waits_ms = u128::from(age_ms) < request.timeout.as_millis();
        Some(match state {
            ClaimState::Answered => Refusal::outcome_unknown(RefusalReason::KeyAlreadyRun),
            ClaimState::Open if waits_ms => Refusal::outcome_unknown(RefusalReason::KeyInUse)
                .with_retry_after(IN_USE_RETRY_AFTER),
            ClaimState::Open | ClaimState::Sent | ClaimState::Abandoned | ClaimState::Lost => {
                Refusal::outcome_unknown(RefusalReason::ClaimUnresolved)
            }
        })
    }

    fn win(&mut self, now: Timestamp, claim: &ClaimId) {
        let Some(own) = self.own.get_mut(claim) else {
            return;
        };
        if self.fold.is_expired(&own.request.key) {
            let refusal = refuse(RefusalReason::KeyExpired, own.request.first_attempt);
            self.end(now, claim, ClaimOutcome::Abandoned);
            self.refused(claim, refusal);
            return;
        }
        if now < own.request.deadline {
            own.stage = Stage::Won;
            self.outputs.push(ClaimOutput::Won(claim.clone()));
        }
    }

    fn lose(&mut self, claim: &ClaimId) {
        let Some(own) = self.own.swap_remove(claim) else {
            return;
        };
        let first_attempt = own.request.first_attempt;
        let unresolved = refuse(RefusalReason::ClaimUnresolved, first_attempt);
        let refusal = self.taken(&own.request).unwrap_or(unresolved);
        self.refused(claim, refusal);
    }

    fn end_late(&mut self, now: Timestamp) {
        let late = self.own.iter().filter(|(_, own)| {
            let waits = matches!(own.stage, Stage::Pending | Stage::Won);
            waits && own.request.deadline <= now
        });
        let late: Vec<_> = late.map(|(id, own)| (id.clone(), own.stage)).collect();
        for (claim, stage) in late {
            let reason = if stage == Stage::Won {
                RefusalReason::Deadline
            } else {
                RefusalReason::ClaimUnresolved
            };
            let refusal = refuse(reason, self.own[&claim].request.first_attempt);
            self.end(now, &claim, ClaimOutcome::Abandoned);
            self.refused(&claim, refusal);
        }
    }

    fn end(&mut self, now: Timestamp, claim: &ClaimId, outcome: ClaimOutcome) {
        let Some(own) = self.own.get_mut(claim) else {
            return;
        };
        let nothing_to_say = outcome == ClaimOutcome::Abandoned && !own.appended;
        if nothing_to_say {
            self.own.swap_remove(claim);
            return;
        }
        own.stage = Stage::Ending(outcome);
        own.next_append = now;
        own.forget_at = Some(now + END_RETRY);
    }

    fn refused(&mut self, claim: &ClaimId, refusal: Refusal) {
        let output = ClaimOutput::Refused(claim.clone(), refusal);
        self.outputs.push(output);
    }

    fn append_due(&mut self, now: Timestamp) {
        for (id, own) in &mut self.own {
            if now < own.next_append {
                continue;
            }
            own.next_append = now + APPEND_RETRY;
            let recorded = self.fold.state(id).is_some();
            let output = match own.stage {
                Stage::Ending(outcome) if recorded || outcome == ClaimOutcome::Abandoned => {
                    ClaimOutput::AppendResult(ClaimResult {
                        claim_id: String::from(id),
                        outcome: outcome.into(),
                    })
                }
                _ if recorded => continue,
                _ => ClaimOutput::AppendClaim(record(&self.instance, &own.request)),
            };
            own.appended = true;
            self.outputs.push(output);
        }
    }
}

fn record(instance: &InstanceId, request: &ClaimRequest) -> Claim {
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

/// Returns a refusal of a request that was not sent.
fn refuse(reason: RefusalReason, first_attempt: bool) -> Refusal {
    Refusal {
        reason,
        outcome: unsent_outcome(first_attempt),
        retry_after: None,
    }
}

/// Returns the outcome of a request that was not sent: an earlier attempt may run, if there is
/// one.
#[must_use]
pub fn unsent_outcome(first_attempt: bool) -> Outcome {
    if first_attempt {
        Outcome::NotRun
    } else {
        Outcome::OutcomeUnknown
    }
}
