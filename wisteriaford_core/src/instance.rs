//! State machine of one instance: consumes events and produces effects.
//!
//! A driver owns an [`Instance`], passes it each [`Event`] with the time at which it occurred, and
//! executes the returned [`Effect`]s. There is no other input or output, so two instances with the
//! same identity, options and events behave identically. [`Event::Tick`] is due at least every
//! [`TICK_INTERVAL`]; a driver in virtual time needs no other timer.

mod caches;
mod callers;
mod claims;
mod fleet;
mod log;
mod requests;
mod rollouts;
mod slots;
mod status;
mod steps;

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use indexmap::IndexMap;

use crate::budget::AppendBudget;
use crate::claim::ClaimSettings;
use crate::claim::Claims;
use crate::configuration::ConfigurationFold;
use crate::coordinator::Coordinator;
use crate::counters::Counters;
use crate::diagnostic::Diagnostic;
use crate::effect::Effect;
use crate::event::AppendId;
use crate::event::Event;
use crate::event::InstanceIdentity;
use crate::event::Ticket;
use crate::exchange::Exchange;
use crate::explain::DecisionLog;
use crate::id::AttemptId;
use crate::id::ClaimId;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::RequestId;
use crate::id::Revision;
use crate::instance::caches::TrackedCache;
use crate::lease::Leases;
use crate::leaving::LeavingEndpoints;
use crate::limits::Limits;
use crate::membership::Member;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::pause::Confirmation;
use crate::pause::PauseDetector;
use crate::placement::CoordinatorTable;
use crate::placement::Rendezvous;
use crate::quarantine::GOSSIP_POLICY;
use crate::quarantine::Quarantine;
use crate::reply::Reply;
use crate::request::ActiveRequest;
use crate::retry::RetryPolicy;
use crate::rollout::Rollout;
use crate::routing::Router;
use crate::settings::Settings;
use crate::shares::Shares;
use crate::step::Steps;
use crate::time::Timestamp;

/// Delay between the last answer and the exit, in which other instances take over.
pub const EXIT_DELAY: Duration = Duration::from_secs(1);
/// Time for which a request remains a crash suspect.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3_600);
/// Minimum time for which the log retains a claim record.
const MIN_CLAIM_RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum difference between the clocks of callers and the log.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);
/// Appends per second that the whole fleet may send to the log.
const FLEET_APPENDS_PER_S: u64 = 200;
/// Appends that one instance may send in a burst.
const APPEND_BURST: u64 = 50;
/// Window over which caller shares are measured.
const SHARES_WINDOW: Duration = Duration::from_secs(60);
/// Maximum number of claims, of the whole fleet, that are held in memory.
const MAX_CLAIMS: usize = 500_000;
/// Time after a pause during which nothing new is sent to endpoints, so that updates can arrive.
const RESUME_DELAY: Duration = Duration::from_secs(1);
/// Maximum time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Startup options of an instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// Peer addresses of other instances to join through.
    pub seeds: Vec<CompactString>,
    /// Timeout of a generation whose caller specifies none.
    pub default_timeout: Duration,
    /// Seed of all random number generators.
    pub seed: u64,
}

/// Reason why an instance does not accept requests.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotReady {
    /// It has no confirmed configuration.
    #[display("no configuration yet")]
    NoConfiguration,
    /// It is shutting down.
    #[display("shutting down")]
    Leaving,
}

impl NotReady {
    /// Returns the stable code of the reason.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Leaving => "shutting_down",
        }
    }
}

/// State of one instance of the fleet.
pub struct Instance {
    identity: InstanceIdentity,
    options: Options,
    fold: ConfigurationFold,
    settings: Arc<Settings>,
    revision_in_force: Revision,
    membership: Membership,
    placement: Rendezvous,
    coordinator_table: CoordinatorTable,
    /// Revision whose endpoints the coordinator table contains.
    placement_revision: Revision,
    is_placement_current: bool,
    /// Revisions reported by peers, collected until the fold is released.
    peer_revisions: IndexMap<InstanceId, Revision>,
    exchange: Exchange,
    leases: Leases,
    /// Whether the stream of leases was read to its end.
    leases_caught_up: bool,
    lease_appends: IndexMap<AppendId, String>,
    rollouts: IndexMap<PoolId, Rollout>,
    budget: AppendBudget,
    log_up: Option<bool>,
    coordinator: Coordinator,
    requests: IndexMap<RequestId, ActiveRequest>,
    attempts: IndexMap<AttemptId, RequestId>,
    router: Router,
    tracked_caches: IndexMap<EndpointId, TrackedCache>,
    retries: RetryPolicy,
    quarantine: Quarantine,
    limits: Limits,
    shares: Shares,
    claims: Claims,
    claim_by_request: IndexMap<RequestId, ClaimId>,
    request_by_claim: IndexMap<ClaimId, RequestId>,
    steps: Steps,
    leaving: LeavingEndpoints,
    decision_log: DecisionLog,
    counters: Counters,
    effects: Vec<Effect>,
    timers: Timers,
    attempt_sequence: u64,
    request_sequence: u64,
    append_sequence: u64,
    claim_sequence: u64,
    is_leaving: bool,
    pauses: PauseDetector,
    /// Time from which new work may be sent to endpoints again after a pause of the process.
    dispatch_resumes_at: Timestamp,
    /// Configuration check that must complete before callers are served after a pause.
    confirmation: Confirmation,
}

/// Due times of periodic tasks and of the exit.
#[derive(Clone, Copy, Debug, Default)]
struct Timers {
    next_heartbeat: Timestamp,
    next_instance_poll: Timestamp,
    next_model_poll: Timestamp,
    exit_at: Option<Timestamp>,
}

impl Instance {
    /// Creates an instance that has not handled any event.
    #[must_use]
    pub fn new(identity: InstanceIdentity, options: Options) -> Self {
        let seed = options.seed;
        let local_member = Member {
            id: identity.id.clone(),
            address: identity.address.clone(),
            availability_zone: identity.availability_zone.clone(),
            region: identity.region.clone(),
            incarnation: identity.incarnation,
            state: MemberState::Alive,
        };
        Self {
            fold: ConfigurationFold::new(seed),
            settings: Arc::default(),
            revision_in_force: Revision(0),
            membership: Membership::new(local_member, &options.seeds, seed),
            placement: Rendezvous::default(),
            coordinator_table: CoordinatorTable::default(),
            placement_revision: Revision(0),
            is_placement_current: false,
            peer_revisions: IndexMap::new(),
            exchange: Exchange::new(identity.id.clone(), identity.incarnation, seed),
            leases: Leases::new(identity.id.clone(), identity.incarnation.0),
            leases_caught_up: false,
            lease_appends: IndexMap::new(),
            rollouts: IndexMap::new(),
            budget: AppendBudget::new(FLEET_APPENDS_PER_S, APPEND_BURST, Timestamp::default()),
            log_up: None,
            coordinator: Coordinator::new(seed),
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            tracked_caches: IndexMap::new(),
            router: Router::new(identity.availability_zone.clone()),
            retries: RetryPolicy::new(seed),
            quarantine: Quarantine::new(GOSSIP_POLICY, SUSPECT_RETENTION),
            limits: Limits::new(seed),
            shares: Shares::new(SHARES_WINDOW),
            claims: Claims::new(identity.id.clone(), &claim_settings()),
            claim_by_request: IndexMap::new(),
            request_by_claim: IndexMap::new(),
            steps: Steps::default(),
            leaving: LeavingEndpoints::default(),
            decision_log: DecisionLog::default(),
            counters: Counters::default(),
            effects: Vec::new(),
            timers: Timers::default(),
            attempt_sequence: 0,
            request_sequence: 0,
            append_sequence: 0,
            claim_sequence: 0,
            is_leaving: false,
            pauses: PauseDetector::default(),
            dispatch_resumes_at: Timestamp::default(),
            confirmation: Confirmation::default(),
            identity,
            options,
        }
    }

    /// Handles an event that occurred at `now` and appends the resulting effects to `effects`.
    ///
    /// `now` must not decrease from one call to the next.
    pub fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        self.detect_pause(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Peer(message) => self.on_peer_message(now, &message),
            Event::Caller(ticket, request) => self.on_caller_request(now, ticket, request),
            Event::CallerDisconnected(ticket) => self.on_caller_disconnected(now, ticket),
            Event::Attempt(attempt, event) => self.on_attempt_event(now, &attempt, event),
            Event::Polled(endpoint, result) => self.on_endpoint_polled(now, &endpoint, result),
            Event::CacheRead(endpoint, result) => self.on_cache_read(&endpoint, result),
            Event::OrderAnswered(endpoint, answer) => self.on_order_answer(now, &endpoint, answer),
            Event::LogRead(stream, result) => self.on_log_read(now, stream, result),
            Event::Appended(append, result) => self.on_append_result(append, result),
            Event::InstancesListed(instances) => self.on_instance_list(now, &instances),
            Event::VersionAnnounced(model, version) => self.on_version(now, &model, version),
            Event::Scored(ticket, result) => {
                self.with_steps(now, |steps, view, out| {
                    steps.apply_scores(now, ticket, result, view, out);
                });
            }
            Event::Shutdown => self.begin_shutdown(now),
        }
        self.poll_components(now);
        effects.append(&mut self.effects);
    }

    /// Detects that the process was paused and invalidates what it knew before.
    ///
    /// Endpoints and the platform's instance list are polled again before new work is sent.
    fn detect_pause(&mut self, now: Timestamp) {
        let Some(gap) = self.pauses.observe(now) else {
            return;
        };
        self.dispatch_resumes_at = now + RESUME_DELAY;
        self.confirmation.require(now);
        self.timers.next_instance_poll = now + RESUME_DELAY;
        self.effects.push(Effect::PollInstances);
        self.coordinator.invalidate_reports(now);
        let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
        self.emit_diagnostic(Diagnostic::Paused { gap_ms });
    }

    /// Returns whether there is a configuration under which requests may be served.
    fn has_confirmed_configuration(&self) -> bool {
        self.fold.current().is_some() && !self.confirmation.is_pending()
    }

    /// Lets claims and slot queues act on the changes made by an event.
    fn poll_components(&mut self, now: Timestamp) {
        self.poll_claims(now);
        self.poll_coordinator(now);
    }

    fn tick(&mut self, now: Timestamp) {
        self.confirmation.tick(now, self.log_up == Some(false));
        self.tick_fleet(now);
        self.tick_requests(now);
        self.tick_caches(now);
        self.with_steps(now, |steps, view, out| steps.tick(now, view, out));
        self.finish_shutdown(now);
    }

    fn begin_shutdown(&mut self, now: Timestamp) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        let in_progress = self.requests.len();
        self.emit_diagnostic(Diagnostic::ShutdownBegun { in_progress });
        self.leave_fleet(now);
        self.with_steps(now, |steps, view, out| steps.hand_over(now, view, out));
    }

    /// Exits once nothing is in progress, after a delay in which other instances take over.
    fn finish_shutdown(&mut self, now: Timestamp) {
        if !self.is_leaving {
            return;
        }
        if !self.requests.is_empty() || !self.steps.is_idle() {
            self.timers.exit_at = None;
            return;
        }
        let exit_at = *self.timers.exit_at.get_or_insert(now + EXIT_DELAY);
        if now >= exit_at {
            self.emit_diagnostic(Diagnostic::ShutdownDone);
            self.effects.push(Effect::Exit);
        }
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.effects.push(Effect::Reply(ticket, reply));
    }

    fn emit_diagnostic(&mut self, diagnostic: Diagnostic) {
        self.effects.push(Effect::Diagnostic(diagnostic));
    }
}

fn claim_settings() -> ClaimSettings {
    ClaimSettings {
        retention: MIN_CLAIM_RETENTION,
        clock_skew: MAX_CLOCK_SKEW,
        max_claims: MAX_CLAIMS,
    }
}
