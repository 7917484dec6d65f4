//! Validation and acceptance of caller requests.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use wisteriaford_proto::settings::Priority;

use super::Instance;
use super::SHARES_WINDOW;
use crate::event::CallerRequest;
use crate::event::Ticket;
use crate::id::CallerId;
use crate::id::PoolId;
use crate::id::PullNumber;
use crate::id::RequestId;
use crate::id::RouteId;
use crate::id::StepKey;
use crate::id::StepNumber;
use crate::id::Version;
use crate::index_set::IndexSet;
use crate::refusal::Outcome;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::reply::Reply;
use crate::request::ActiveRequest;
use crate::request::Origin;
use crate::request::PartialAnswer;
use crate::request::Phase;
use crate::request::unsent_outcome;
use crate::step::Pull;
use crate::step::PullRefusal;
use crate::step::PullTicket;
use crate::step::StepSpec;
use crate::time::Timestamp;
use crate::work::Call;
use crate::work::Generation;
use crate::work::Request;
use crate::work::Work;

/// Delay after which a caller may retry elsewhere when this instance is shutting down.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Delay after which a caller may retry when this instance has no confirmed configuration.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request of a caller that is not yet accepted.
struct IncomingRequest {
    request: Option<RequestId>,
    caller: CallerId,
    pool: PoolId,
    work: Work,
    timeout: Duration,
    idempotent: bool,
}

/// Pull of a trainer that is not yet validated.
struct IncomingPull {
    trainer: CallerId,
    step: StepNumber,
    pool: PoolId,
    pull: PullNumber,
    current_version: Version,
    received: Vec<u8>,
    wait: Duration,
    spec: Option<Arc<StepSpec>>,
}

impl Instance {
    /// Handles a request of a caller.
    pub(super) fn on_caller_request(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: CallerRequest,
    ) {
        match request {
            CallerRequest::Generate {
                request,
                caller,
                pool,
                prompt,
                max_tokens,
                timeout,
            } => {
                let seed = crate::hash::hash_parts(&[prompt.as_bytes()]);
                let work = Work::Generate(Generation {
                    prompt,
                    seed,
                    max_tokens,
                });
                let incoming = IncomingRequest {
                    request,
                    caller,
                    pool,
                    work,
                    timeout: timeout.unwrap_or(self.options.default_timeout),
                    idempotent: true,
                };
                self.accept(now, ticket, incoming);
            }
            CallerRequest::Call {
                request,
                caller,
                route,
                body,
                content_type,
                key,
                first_attempt,
                timeout,
            } => {
                let call = Call {
                    route,
                    body,
                    content_type,
                    key,
                    first_attempt,
                };
                self.on_call(now, ticket, request, caller, call, timeout);
            }
            CallerRequest::Pull {
                trainer,
                step,
                pool,
                pull,
                current_version,
                received,
                wait,
                spec,
            } => {
                let incoming = IncomingPull {
                    trainer,
                    step,
                    pool,
                    pull,
                    current_version,
                    received,
                    wait,
                    spec,
                };
                self.on_pull(now, ticket, incoming);
            }
            CallerRequest::Explain(request) => {
                let decisions = self.decision_log.get(&request).map(<[_]>::to_vec);
                self.reply(ticket, Reply::Explained(decisions));
            }
            CallerRequest::Shares => {
                let callers = &self.settings.callers;
                let shares = self.shares.report(now, callers);
                let window = SHARES_WINDOW;
                self.reply(ticket, Reply::Shares { window, shares });
            }
            CallerRequest::Status => {
                let status = Box::new(self.status());
                self.reply(ticket, Reply::Status(status));
            }
            CallerRequest::Configuration => {
                let configuration = self.configuration_in_force();
                self.reply(ticket, Reply::Configuration(configuration));
            }
        }
    }

    /// Cancels the work of a caller that disconnected, where that is safe.
    pub(super) fn on_caller_disconnected(&mut self, now: Timestamp, ticket: Ticket) {
        self.steps.pull_closed(PullTicket(ticket.0));
        let requested = self
            .requests
            .iter()
            .find(|(_, active)| active.origin == Origin::Caller(ticket));
        // A non-idempotent request that was sent continues, so that its result reaches the log.
        let Some((request, active)) = requested else {
            return;
        };
        if active.idempotent || !active.may_have_run {
            let request = request.clone();
            self.cancel(now, &request);
        }
    }

    fn on_call(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: Option<RequestId>,
        caller: CallerId,
        call: Call,
        timeout: Option<Duration>,
    ) {
        let Some(route) = self.settings.routes.get(&call.route) else {
            let mut refusal = self.not_run_refusal(RefusalReason::UnknownRoute);
            // Without the route it is unknown whether the call may be repeated.
            refusal.outcome = unsent_outcome(&Work::Call(call), false);
            self.refuse_unaccepted(ticket, request, refusal);
            return;
        };
        let incoming = IncomingRequest {
            request,
            caller,
            pool: route.pool.clone(),
            timeout: timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout)),
            idempotent: route.idempotent,
            work: Work::Call(call),
        };
        self.accept(now, ticket, incoming);
    }

    /// Checks a request against the settings and the limits, then starts it.
    fn accept(&mut self, now: Timestamp, ticket: Ticket, incoming: IncomingRequest) {
        if let Err(refusal) = self.check_request(now, &incoming) {
            let refusal = self.unsent_refusal(&incoming, refusal);
            self.refuse_unaccepted(ticket, incoming.request, refusal);
            return;
        }
        let id = incoming.request.unwrap_or_else(|| self.new_request_id());
        let priority = self.priority_of(&incoming.caller);
        let fingerprint = incoming.work.fingerprint();
        let request = Request {
            id,
            caller: incoming.caller,
            pool: incoming.pool,
            work: incoming.work,
            deadline: now + incoming.timeout,
        };
        let active = ActiveRequest {
            request,
            origin: Origin::Caller(ticket),
            priority,
            rank: 0,
            oldest_version: Version(0),
            idempotent: incoming.idempotent,
            fingerprint,
            accepted_at: now,
            phase: Phase::RequestingSlot(Vec::new()),
            partial: PartialAnswer::default(),
            excluded_endpoints: Vec::new(),
            second_choice: None,
            failures: 0,
            may_have_run: false,
            alone: false,
        };
        self.start(now, active);
    }

    /// Sets the outcome of a refusal according to what may have been sent under the same request
    /// ID or key before.
    fn unsent_refusal(&self, incoming: &IncomingRequest, refusal: Refusal) -> Refusal {
        let is_id_in_use = |id| self.requests.contains_key(id);
        let is_in_progress = incoming.request.as_ref().is_some_and(is_id_in_use);
        let outcome = if is_in_progress {
            Outcome::OutcomeUnknown
        } else {
            unsent_outcome(&incoming.work, incoming.idempotent)
        };
        Refusal { outcome, ..refusal }
    }

    fn check_request(&mut self, now: Timestamp, incoming: &IncomingRequest) -> Result<(), Refusal> {
        self.check_accepting()?;
        if !self.settings.callers.contains_key(&incoming.caller) {
            return Err(Refusal::not_run(RefusalReason::UnknownCaller));
        }
        let Some(pool) = self.settings.pools.get(&incoming.pool) else {
            return Err(Refusal::not_run(RefusalReason::UnknownPool));
        };
        let is_generation = matches!(incoming.work, Work::Generate(_));
        if is_generation != pool.model.is_some() {
            return Err(Refusal::not_run(RefusalReason::UnknownPool));
        }
        let is_id_in_use = |id| self.requests.contains_key(id);
        if incoming.request.as_ref().is_some_and(is_id_in_use) {
            return Err(Refusal::not_run(RefusalReason::KeyInUse));
        }
        self.limits.admit(now, &incoming.caller)
    }

    /// Checks that this instance accepts requests.
    fn check_accepting(&self) -> Result<(), Refusal> {
        if self.is_leaving {
            let refusal = Refusal::not_run(RefusalReason::ShuttingDown);
            return Err(refusal.with_retry_after(SHUTDOWN_RETRY_AFTER));
        }
        if !self.has_confirmed_configuration() {
            let refusal = Refusal::not_run(RefusalReason::NoConfiguration);
            return Err(refusal.with_retry_after(CONFIGURATION_RETRY_AFTER));
        }
        Ok(())
    }

    /// Returns a refusal for `reason`, or the refusal of an instance that accepts no requests.
    fn not_run_refusal(&self, reason: RefusalReason) -> Refusal {
        match self.check_accepting() {
            Ok(()) => Refusal::not_run(reason),
            Err(refusal) => refusal,
        }
    }

    fn on_pull(&mut self, now: Timestamp, ticket: Ticket, incoming: IncomingPull) {
        if let Err(refusal) = self.check_pull(&incoming) {
            self.refuse_unaccepted(ticket, None, refusal);
            return;
        }
        let Ok(received) = IndexSet::try_from(incoming.received.as_slice()) else {
            let refusal = Refusal::not_run(RefusalReason::BadRequest);
            self.refuse_unaccepted(ticket, None, refusal);
            return;
        };
        let pull = Pull {
            ticket: PullTicket(ticket.0),
            key: StepKey {
                trainer: incoming.trainer,
                number: incoming.step,
            },
            pool: incoming.pool,
            number: incoming.pull,
            received,
            current_version: incoming.current_version,
            wait: incoming.wait,
            spec: incoming.spec,
        };
        self.with_steps(now, |steps, view, out| steps.pull(now, pull, view, out));
    }

    fn check_pull(&self, incoming: &IncomingPull) -> Result<(), Refusal> {
        self.check_accepting()?;
        if !self.settings.callers.contains_key(&incoming.trainer) {
            return Err(Refusal::not_run(RefusalReason::UnknownCaller));
        }
        let pool = self.settings.pools.get(&incoming.pool);
        if pool.is_none_or(|pool| pool.model.is_none()) {
            return Err(Refusal::not_run(RefusalReason::UnknownPool));
        }
        Ok(())
    }

    /// Refuses a pull that the step logic rejected.
    pub(super) fn refuse_pull(&mut self, ticket: PullTicket, reason: PullRefusal) {
        let reason = match reason {
            PullRefusal::StepUnknown => RefusalReason::StepUnknown,
            PullRefusal::PoolUnknown => RefusalReason::UnknownPool,
            PullRefusal::Superseded => RefusalReason::Superseded,
            PullRefusal::BadSpec(_) | PullRefusal::BadReceived | PullRefusal::SpecChanged => {
                RefusalReason::BadRequest
            }
            PullRefusal::Overloaded => RefusalReason::QueueFull,
        };
        self.refuse_unaccepted(Ticket(ticket.0), None, Refusal::not_run(reason));
    }

    /// Refuses a request that was not accepted.
    fn refuse_unaccepted(&mut self, ticket: Ticket, request: Option<RequestId>, refusal: Refusal) {
        self.counters.record_refusal(refusal.reason);
        self.reply(ticket, Reply::Refused(request, refusal));
    }

    fn priority_of(&self, caller: &CallerId) -> Priority {
        let caller = self.settings.callers.get(caller);
        caller.map_or(Priority::Batch, |caller| caller.priority)
    }

    pub(super) fn new_request_id(&mut self) -> RequestId {
        self.request_sequence += 1;
        let identity = &self.identity;
        let text: CompactString = format_compact!(
            "{}.{}-{}",
            identity.id,
            identity.incarnation,
            self.request_sequence
        );
        RequestId::from(text.as_str())
    }
}

/// Returns the route whose policy applies to a claim; generations have none.
pub(super) fn route_of(work: &Work) -> Option<&RouteId> {
    match work {
        Work::Call(call) => Some(&call.route),
        Work::Generate(_) => None,
    }
}
