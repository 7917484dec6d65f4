//! Rights to run non-idempotent requests, by claims in the log.

use compact_str::format_compact;
use wisteriaford_proto::record::record::Kind;

use super::Instance;
use super::callers::route_of;
use crate::budget::AppendKind;
use crate::claim::ClaimEnd;
use crate::claim::ClaimKey;
use crate::claim::ClaimOutput;
use crate::claim::ClaimRequest;
use crate::explain::Decision;
use crate::id::ClaimId;
use crate::id::RequestId;
use crate::refusal::Outcome;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::request::Active;
use crate::time::Timestamp;
use crate::work::Work;

impl Instance {
    /// Asks the log for the right to run a request whose slot was granted.
    pub(super) fn claim(&mut self, now: Timestamp, request: &RequestId) {
        if self.claims_of.contains_key(request) {
            // An earlier attempt was proven not to have run, so its claim still stands.
            self.open_claimed(now, request);
            return;
        }
        self.claim_sequence += 1;
        let Some(active) = self.requests.get(request) else {
            return;
        };
        let Some(claim) = self.claim_request(active) else {
            let refusal = Refusal::not_run(RefusalReason::UnknownRoute);
            self.refuse(now, request, refusal);
            return;
        };
        let id = claim.claim.clone();
        if let Err(refusal) = self.claims.begin(now, claim) {
            self.refuse(now, request, refusal);
            return;
        }
        self.claims_of.insert(request.clone(), id.clone());
        self.claimants.insert(id, request.clone());
        self.explanations.add(now, request, Decision::Claimed);
        self.poll_claims(now);
    }

    fn claim_request(&self, active: &Active) -> Option<ClaimRequest> {
        let Work::Call(call) = &active.request.work else {
            return None;
        };
        let route = self.settings.routes.get(route_of(&active.request.work)?)?;
        let me = &self.identity;
        let id = format_compact!("{}.{}.{}", me.id, me.incarnation, self.claim_sequence);
        Some(ClaimRequest {
            claim: ClaimId::from(id.as_str()),
            key: ClaimKey {
                route: route.id.clone(),
                caller: active.request.caller.clone(),
                key: call.key.clone()?,
            },
            first_attempt: call.first_attempt,
            deadline: active.request.deadline,
            timeout: route.timeout,
            log_outage: route.log_outage,
        })
    }

    /// Carries out what the claims want done.
    pub(super) fn poll_claims(&mut self, now: Timestamp) {
        let mut outputs = Vec::new();
        self.claims.poll(now, &mut outputs);
        for output in outputs {
            match output {
                ClaimOutput::AppendClaim(claim) => {
                    self.append(now, AppendKind::Claim, Kind::Claim(claim));
                }
                ClaimOutput::AppendResult(result) => {
                    self.append(now, AppendKind::ClaimResult, Kind::ClaimResult(result));
                }
                ClaimOutput::Won(claim) => {
                    if let Some(request) = self.claimants.get(&claim).cloned() {
                        self.open_claimed(now, &request);
                    }
                }
                ClaimOutput::Refused(claim, refusal) => {
                    if let Some(request) = self.forget_claim(&claim) {
                        self.refuse(now, &request, refusal);
                    }
                }
            }
        }
    }

    /// Sends a request whose claim won, if the right to do so still holds at this moment.
    fn open_claimed(&mut self, now: Timestamp, request: &RequestId) {
        let Some(claim) = self.claims_of.get(request) else {
            return;
        };
        if now < self.rests_until {
            self.start_over(now, request);
            return;
        }
        if self.claims.dispatch(now, claim) {
            self.open(now, request);
            return;
        }
        let refusal = self.refusal_of(request, RefusalReason::ClaimUnresolved);
        self.refuse(now, request, refusal);
    }

    /// Notes that the endpoint proved that a claimed request did not run.
    pub(super) fn claim_not_run(&mut self, request: &RequestId) {
        if let Some(claim) = self.claims_of.get(request) {
            self.claims.note_not_run(claim);
        }
    }

    /// Notes that a claimed request was answered.
    pub(super) fn claim_answered(&mut self, now: Timestamp, request: &RequestId) {
        self.end_claim(now, request, ClaimEnd::Answered);
    }

    /// Notes that a claimed request got a refusal as its final answer.
    pub(super) fn claim_refused(&mut self, now: Timestamp, request: &RequestId, outcome: Outcome) {
        let end = match outcome {
            Outcome::NotRun => ClaimEnd::NotRun,
            Outcome::OutcomeUnknown => ClaimEnd::Unknown,
        };
        self.end_claim(now, request, end);
    }

    fn end_claim(&mut self, now: Timestamp, request: &RequestId, end: ClaimEnd) {
        let Some(claim) = self.claims_of.swap_remove(request) else {
            return;
        };
        self.claimants.swap_remove(&claim);
        self.claims.finish(now, &claim, end);
        self.poll_claims(now);
    }

    fn forget_claim(&mut self, claim: &ClaimId) -> Option<RequestId> {
        let request = self.claimants.swap_remove(claim)?;
        self.claims_of.swap_remove(&request);
        Some(request)
    }
}
