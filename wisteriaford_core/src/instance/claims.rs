//! Claims in the log, which grant the right to run non-idempotent requests.

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
use crate::request::ActiveRequest;
use crate::time::Timestamp;
use crate::work::Work;

impl Instance {
    /// Claims the right to run a request whose slot was granted.
    pub(super) fn begin_claim(&mut self, now: Timestamp, request: &RequestId) {
        if self.claim_by_request.contains_key(request) {
            // An earlier attempt provably did not run, so its claim is still valid.
            self.open_claimed_attempt(now, request);
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
        self.claim_by_request.insert(request.clone(), id.clone());
        self.request_by_claim.insert(id, request.clone());
        self.decision_log.add(now, request, Decision::Claimed);
        self.poll_claims(now);
    }

    fn claim_request(&self, active: &ActiveRequest) -> Option<ClaimRequest> {
        let Work::Call(call) = &active.request.work else {
            return None;
        };
        let route = self.settings.routes.get(route_of(&active.request.work)?)?;
        let identity = &self.identity;
        let id = format_compact!(
            "{}.{}.{}",
            identity.id,
            identity.incarnation,
            self.claim_sequence
        );
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

    /// Executes the pending outputs of the claim logic.
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
                    if let Some(request) = self.request_by_claim.get(&claim).cloned() {
                        self.open_claimed_attempt(now, &request);
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

    /// Sends a request whose claim won, if the claim still permits it now.
    fn open_claimed_attempt(&mut self, now: Timestamp, request: &RequestId) {
        let Some(claim) = self.claim_by_request.get(request) else {
            return;
        };
        if now < self.dispatch_resumes_at {
            self.restart(now, request);
            return;
        }
        if self.claims.dispatch(now, claim) {
            self.open_attempt(now, request);
            return;
        }
        let refusal = self.refusal_for(request, RefusalReason::ClaimUnresolved);
        self.refuse(now, request, refusal);
    }

    /// Records that the endpoint proved that a claimed request did not run.
    pub(super) fn record_claim_not_run(&mut self, request: &RequestId) {
        if let Some(claim) = self.claim_by_request.get(request) {
            self.claims.record_not_run(claim);
        }
    }

    /// Records that a claimed request was answered.
    pub(super) fn record_claim_answered(&mut self, now: Timestamp, request: &RequestId) {
        self.end_claim(now, request, ClaimEnd::Answered);
    }

    /// Records that a claimed request was refused as its final answer.
    pub(super) fn record_claim_refused(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        outcome: Outcome,
    ) {
        let end = match outcome {
            Outcome::NotRun => ClaimEnd::NotRun,
            Outcome::OutcomeUnknown => ClaimEnd::Unknown,
        };
        self.end_claim(now, request, end);
    }

    fn end_claim(&mut self, now: Timestamp, request: &RequestId, end: ClaimEnd) {
        let Some(claim) = self.claim_by_request.swap_remove(request) else {
            return;
        };
        self.request_by_claim.swap_remove(&claim);
        self.claims.finish(now, &claim, end);
        self.poll_claims(now);
    }

    fn forget_claim(&mut self, claim: &ClaimId) -> Option<RequestId> {
        let request = self.request_by_claim.swap_remove(claim)?;
        self.claim_by_request.swap_remove(&request);
        Some(request)
    }
}
