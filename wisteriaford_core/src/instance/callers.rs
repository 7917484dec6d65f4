//! Requests of callers, as they arrive.

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
use crate::request::Active;
use crate::request::Origin;
use crate::request::Partial;
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

/// Time after which a caller may try another instance than one that shuts down.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after which an instance may have a configuration.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the settings say about a request, once it is known to be valid.
struct Terms {
    request: Option<RequestId>,
    caller: CallerId,
    pool: PoolId,
    work: Work,
    timeout: Duration,
    idempotent: bool,
}

/// Pull of a trainer, as it arrived.
struct PullTerms {
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
    /// Takes what a caller asks for.
    pub(super) fn caller(&mut self, now: Timestamp, ticket: Ticket, request: CallerRequest) {
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
                let terms = Terms {
                    request,
                    caller,
                    pool,
                    work,
                    timeout: timeout.unwrap_or(self.options.default_timeout),
                    idempotent: true,
                };
                self.take_in(now, ticket, terms);
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
                self.call(now, ticket, request, caller, call, timeout);
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
                let terms = PullTerms {
                    trainer,
                    step,
                    pool,
                    pull,
                    current_version,
                    received,
                    wait,
                    spec,
                };
                self.pull(now, ticket, terms);
            }
            CallerRequest::Explain(request) => {
                let decisions = self.explanations.of(&request).map(<[_]>::to_vec);
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

    /// Forgets a caller that went away.
    pub(super) fn caller_gone(&mut self, now: Timestamp, ticket: Ticket) {
        self.steps.pull_closed(PullTicket(ticket.0));
        let waiting = self
            .requests
            .iter()
            .find(|(_, active)| active.origin == Origin::Caller(ticket));
        // A non-idempotent request that was sent goes on, so that its result gets into the log.
        let Some((request, active)) = waiting else {
            return;
        };
        if active.idempotent || !active.may_have_run {
            let request = request.clone();
            self.cancel(now, &request);
        }
    }

    fn call(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: Option<RequestId>,
        caller: CallerId,
        call: Call,
        timeout: Option<Duration>,
    ) {
        let Some(route) = self.settings.routes.get(&call.route) else {
            let mut refusal = self.unknown(RefusalReason::UnknownRoute);
            // Without the route, nothing says that the call may be repeated.
            refusal.outcome = unsent_outcome(&Work::Call(call), false);
            self.turn_away(ticket, request, refusal);
            return;
        };
        let terms = Terms {
            request,
            caller,
            pool: route.pool.clone(),
            timeout: timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout)),
            idempotent: route.idempotent,
            work: Work::Call(call),
        };
        self.take_in(now, ticket, terms);
    }

    /// Checks a request against the settings and the limits, then begins it.
    fn take_in(&mut self, now: Timestamp, ticket: Ticket, terms: Terms) {
        if let Err(refusal) = self.check_terms(now, &terms) {
            let refusal = self.unsent(&terms, refusal);
            self.turn_away(ticket, terms.request, refusal);
            return;
        }
        let id = terms.request.unwrap_or_else(|| self.new_request_id());
        let priority = self.priority_of(&terms.caller);
        let fingerprint = terms.work.fingerprint();
        let request = Request {
            id,
            caller: terms.caller,
            pool: terms.pool,
            work: terms.work,
            deadline: now + terms.timeout,
        };
        let active = Active {
            request,
            origin: Origin::Caller(ticket),
            priority,
            rank: 0,
            oldest_version: Version(0),
            idempotent: terms.idempotent,
            fingerprint,
            accepted_at: now,
            phase: Phase::Asking(Vec::new()),
            partial: Partial::default(),
            avoid: Vec::new(),
            second: None,
            failures: 0,
            may_have_run: false,
            alone: false,
        };
        self.begin(now, active);
    }

    /// Lets a refusal of what was not taken in speak truly of what was sent before.
    fn unsent(&self, terms: &Terms, refusal: Refusal) -> Refusal {
        let is_taken = |id| self.requests.contains_key(id);
        let is_in_progress = terms.request.as_ref().is_some_and(is_taken);
        let outcome = if is_in_progress {
            Outcome::OutcomeUnknown
        } else {
            unsent_outcome(&terms.work, terms.idempotent)
        };
        Refusal { outcome, ..refusal }
    }

    fn check_terms(&mut self, now: Timestamp, terms: &Terms) -> Result<(), Refusal> {
        self.check_open()?;
        if !self.settings.callers.contains_key(&terms.caller) {
            return Err(Refusal::not_run(RefusalReason::UnknownCaller));
        }
        let Some(pool) = self.settings.pools.get(&terms.pool) else {
            return Err(Refusal::not_run(RefusalReason::UnknownPool));
        };
        let is_generation = matches!(terms.work, Work::Generate(_));
        if is_generation != pool.model.is_some() {
            return Err(Refusal::not_run(RefusalReason::UnknownPool));
        }
        let is_taken = |id| self.requests.contains_key(id);
        if terms.request.as_ref().is_some_and(is_taken) {
            return Err(Refusal::not_run(RefusalReason::KeyInUse));
        }
        self.limits.admit(now, &terms.caller)
    }

    /// Checks that this instance takes requests at all.
    fn check_open(&self) -> Result<(), Refusal> {
        if self.is_leaving {
            let refusal = Refusal::not_run(RefusalReason::ShuttingDown);
            return Err(refusal.with_retry_after(SHUTDOWN_RETRY_AFTER));
        }
        if !self.may_serve() {
            let refusal = Refusal::not_run(RefusalReason::NoConfiguration);
            return Err(refusal.with_retry_after(CONFIGURATION_RETRY_AFTER));
        }
        Ok(())
    }

    fn unknown(&self, reason: RefusalReason) -> Refusal {
        match self.check_open() {
            Ok(()) => Refusal::not_run(reason),
            Err(refusal) => refusal,
        }
    }

    fn pull(&mut self, now: Timestamp, ticket: Ticket, terms: PullTerms) {
        if let Err(refusal) = self.check_pull(&terms) {
            self.turn_away(ticket, None, refusal);
            return;
        }
        let Ok(received) = IndexSet::try_from(terms.received.as_slice()) else {
            let refusal = Refusal::not_run(RefusalReason::BadRequest);
            self.turn_away(ticket, None, refusal);
            return;
        };
        let pull = Pull {
            ticket: PullTicket(ticket.0),
            key: StepKey {
                trainer: terms.trainer,
                number: terms.step,
            },
            pool: terms.pool,
            number: terms.pull,
            received,
            current_version: terms.current_version,
            wait: terms.wait,
            spec: terms.spec,
        };
        self.with_steps(now, |steps, view, out| steps.pull(now, pull, view, out));
    }

    fn check_pull(&self, terms: &PullTerms) -> Result<(), Refusal> {
        self.check_open()?;
        if !self.settings.callers.contains_key(&terms.trainer) {
            return Err(Refusal::not_run(RefusalReason::UnknownCaller));
        }
        let pool = self.settings.pools.get(&terms.pool);
        if pool.is_none_or(|pool| pool.model.is_none()) {
            return Err(Refusal::not_run(RefusalReason::UnknownPool));
        }
        Ok(())
    }

    /// Refuses a pull for a reason of the step logic.
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
        self.turn_away(Ticket(ticket.0), None, Refusal::not_run(reason));
    }

    /// Refuses what was never begun.
    fn turn_away(&mut self, ticket: Ticket, request: Option<RequestId>, refusal: Refusal) {
        self.counters.refused(refusal.reason);
        self.reply(ticket, Reply::Refused(request, refusal));
    }

    fn priority_of(&self, caller: &CallerId) -> Priority {
        let caller = self.settings.callers.get(caller);
        caller.map_or(Priority::Batch, |caller| caller.priority)
    }

    pub(super) fn new_request_id(&mut self) -> RequestId {
        self.request_sequence += 1;
        let me = &self.identity;
        let text: CompactString =
            format_compact!("{}.{}-{}", me.id, me.incarnation, self.request_sequence);
        RequestId::from(text.as_str())
    }
}

/// Route whose policy a claim follows.
pub(super) fn route_of(work: &Work) -> Option<&RouteId> {
    match work {
        Work::Call(call) => Some(&call.route),
        Work::Generate(_) => None,
    }
}
