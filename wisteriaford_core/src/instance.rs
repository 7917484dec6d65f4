//! One instance: all decisions, driven by events, answering with effects.
//!
//! A driver owns an [`Instance`], hands it each [`Event`] with the time at which it happened, and
//! carries out the [`Effect`]s that come back. Nothing else goes in or out: two instances with the
//! same identity, options and events do the same things. [`Event::Tick`] is due at least every
//! [`TICK_INTERVAL`]; a driver in virtual time needs no other timer.

mod caches;
mod callers;
mod claims;
mod confirmation;
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
use crate::configuration::Fold;
use crate::counters::Counters;
use crate::effect::Effect;
use crate::event::AppendId;
use crate::event::Event;
use crate::event::Identity;
use crate::event::Ticket;
use crate::exchange::Exchange;
use crate::explain::Explanations;
use crate::id::AttemptId;
use crate::id::ClaimId;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::PoolId;
use crate::id::RequestId;
use crate::id::Revision;
use crate::instance::caches::Followed;
use crate::instance::confirmation::Confirmation;
use crate::lease::Leases;
use crate::leaving::Leaving;
use crate::limits::Limits;
use crate::membership::Member;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::note::Note;
use crate::placement::Rendezvous;
use crate::placement::StewardTable;
use crate::quarantine::Quarantine;
use crate::reply::Reply;
use crate::request::Active;
use crate::retry::RetryPolicy;
use crate::rollout::Rollout;
use crate::routing::Router;
use crate::settings::Settings;
use crate::shares::Shares;
use crate::step::Steps;
use crate::steward::Stewards;
use crate::time::Timestamp;

/// Pause between the last answer and the exit, in which others take over.
pub const EXIT_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a request stays under suspicion.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3_600);
/// Shortest time that the log keeps a record of a claim.
const CLAIM_RETENTION: Duration = Duration::from_secs(3_600);
/// Largest difference between the clocks of callers and of the log.
const CLOCK_SKEW: Duration = Duration::from_secs(30);
/// Appends a second that the whole fleet may send to the log.
const APPENDS_PER_S: u64 = 200;
/// Appends that one instance may send at once.
const APPEND_BURST: u64 = 50;
/// Window over which the shares of the callers are counted.
const SHARES_WINDOW: Duration = Duration::from_secs(60);
/// Claims of the whole fleet that are remembered.
const MAX_CLAIMS: usize = 500_000;
/// Time without an event after which the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time in which an instance that was paused hears what changed.
const REST: Duration = Duration::from_secs(1);
/// Longest time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What an instance is started with, besides its identity.
#[derive(Clone, Debug)]
pub struct Options {
    /// Peer addresses of some other instances.
    pub seeds: Vec<CompactString>,
    /// Time that a generation has if its caller names none.
    pub default_timeout: Duration,
    /// Seed of all that is drawn at random.
    pub seed: u64,
}

/// Why an instance takes no requests.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotReady {
    /// It knows no configuration.
    #[display("no configuration yet")]
    NoConfiguration,
    /// It is shutting down.
    #[display("shutting down")]
    Leaving,
}

impl NotReady {
    /// Returns the stable code.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Leaving => "shutting_down",
        }
    }
}

/// One instance of the fleet.
pub struct Instance {
    identity: Identity,
    options: Options,
    fold: Fold,
    settings: Arc<Settings>,
    in_force: Revision,
    membership: Membership,
    placement: Rendezvous,
    stewards_of: StewardTable,
    placed_revision: Revision,
    is_placed: bool,
    /// Revisions that peers named, until there is a configuration in force.
    heard: IndexMap<InstanceId, Revision>,
    exchange: Exchange,
    leases: Leases,
    leases_read: bool,
    lease_appends: IndexMap<AppendId, String>,
    rollouts: IndexMap<PoolId, Rollout>,
    budget: AppendBudget,
    log_up: Option<bool>,
    stewards: Stewards,
    requests: IndexMap<RequestId, Active>,
    attempts: IndexMap<AttemptId, RequestId>,
    router: Router,
    caches: IndexMap<EndpointId, Followed>,
    retries: RetryPolicy,
    quarantine: Quarantine,
    limits: Limits,
    shares: Shares,
    claims: Claims,
    claims_of: IndexMap<RequestId, ClaimId>,
    claimants: IndexMap<ClaimId, RequestId>,
    steps: Steps,
    leaving: Leaving,
    explanations: Explanations,
    counters: Counters,
    effects: Vec<Effect>,
    timers: Timers,
    attempt_sequence: u64,
    request_sequence: u64,
    append_sequence: u64,
    claim_sequence: u64,
    is_leaving: bool,
    /// When the last event was handled.
    handled_at: Option<Timestamp>,
    /// Until when nothing new is sent to endpoints, as the process was paused.
    rests_until: Timestamp,
    /// What is still waited for before callers are served, as the process was paused.
    confirmation: Option<Confirmation>,
}

/// When things that are done at an interval are due next.
#[derive(Clone, Copy, Debug, Default)]
struct Timers {
    next_heartbeat: Timestamp,
    next_listing: Timestamp,
    next_models: Timestamp,
    exit: Option<Timestamp>,
}

impl Instance {
    /// Returns an instance that has handled nothing yet.
    #[must_use]
    pub fn new(identity: Identity, options: Options) -> Self {
        let seed = options.seed;
        let me = Member {
            id: identity.id.clone(),
            address: identity.address.clone(),
            availability_zone: identity.availability_zone.clone(),
            region: identity.region.clone(),
            incarnation: identity.incarnation,
            state: MemberState::Alive,
        };
        Self {
            fold: Fold::new(seed),
            settings: Arc::default(),
            in_force: Revision(0),
            membership: Membership::new(me, &options.seeds, seed),
            placement: Rendezvous::default(),
            stewards_of: StewardTable::default(),
            placed_revision: Revision(0),
            is_placed: false,
            heard: IndexMap::new(),
            exchange: Exchange::new(identity.id.clone(), identity.incarnation, seed),
            leases: Leases::new(identity.id.clone(), identity.incarnation.0),
            leases_read: false,
            lease_appends: IndexMap::new(),
            rollouts: IndexMap::new(),
            budget: AppendBudget::new(APPENDS_PER_S, APPEND_BURST, Timestamp::default()),
            log_up: None,
            stewards: Stewards::new(seed),
            requests: IndexMap::new(),
            attempts: IndexMap::new(),
            caches: IndexMap::new(),
            router: Router::new(identity.availability_zone.clone()),
            retries: RetryPolicy::new(seed),
            quarantine: Quarantine::new(SUSPECT_RETENTION),
            limits: Limits::new(seed),
            shares: Shares::new(SHARES_WINDOW),
            claims: Claims::new(identity.id.clone(), &claim_settings()),
            claims_of: IndexMap::new(),
            claimants: IndexMap::new(),
            steps: Steps::default(),
            leaving: Leaving::default(),
            explanations: Explanations::default(),
            counters: Counters::default(),
            effects: Vec::new(),
            timers: Timers::default(),
            attempt_sequence: 0,
            request_sequence: 0,
            append_sequence: 0,
            claim_sequence: 0,
            is_leaving: false,
            handled_at: None,
            rests_until: Timestamp::default(),
            confirmation: None,
            identity,
            options,
        }
    }

    /// Handles an event that happened at `now` and appends what is to be done to `effects`.
    ///
    /// Times must not go back from one call to the next.
    pub fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        self.note_pause(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Peer(message) => self.peer(now, &message),
            Event::Caller(ticket, request) => self.caller(now, ticket, request),
            Event::CallerGone(ticket) => self.caller_gone(now, ticket),
            Event::Attempt(attempt, event) => self.attempt_event(now, &attempt, event),
            Event::Polled(endpoint, result) => self.polled(now, &endpoint, result),
            Event::CacheRead(endpoint, result) => self.cache_read(&endpoint, result),
            Event::Ordered(endpoint, answer) => self.ordered(now, &endpoint, answer),
            Event::LogRead(stream, result) => self.log_read(now, stream, result),
            Event::Appended(append, result) => self.appended(append, result),
            Event::Listed(instances) => self.listed(now, &instances),
            Event::Announced(model, version) => self.announced(now, &model, version),
            Event::Scored(ticket, result) => {
                self.with_steps(now, |steps, view, out| {
                    steps.scored(now, ticket, result, view, out);
                });
            }
            Event::Shutdown => self.shut_down(now),
        }
        self.settle(now);
        effects.append(&mut self.effects);
    }

    /// Notes whether the process was paused, so that what it knows of endpoints is old.
    ///
    /// It looks at endpoints and at the platform's list again before it sends them anything new.
    fn note_pause(&mut self, now: Timestamp) {
        let handled_at = self.handled_at.replace(now);
        let gap = handled_at.map_or(Duration::ZERO, |at| now.since(at));
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.rests_until = now + REST;
        self.doubt_configuration(now);
        self.timers.next_listing = now + REST;
        self.effects.push(Effect::PollInstances);
        self.stewards.distrust_reports(now);
        let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
        self.note(Note::Paused { gap_ms });
    }

    /// Lets queues, claims and steps act on what an event changed.
    fn settle(&mut self, now: Timestamp) {
        self.poll_claims(now);
        self.poll_stewards(now);
    }

    fn tick(&mut self, now: Timestamp) {
        self.tick_confirmation(now);
        self.tick_fleet(now);
        self.tick_requests(now);
        self.tick_caches(now);
        self.with_steps(now, |steps, view, out| steps.tick(now, view, out));
        self.finish_shutdown(now);
    }

    fn shut_down(&mut self, now: Timestamp) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        let in_progress = self.requests.len();
        self.note(Note::ShutdownBegun { in_progress });
        self.leave_fleet(now);
        self.with_steps(now, |steps, view, out| steps.hand_over(now, view, out));
    }

    /// Exits once nothing is in progress, after a pause in which others take over.
    fn finish_shutdown(&mut self, now: Timestamp) {
        if !self.is_leaving {
            return;
        }
        if !self.requests.is_empty() || !self.steps.is_idle() {
            self.timers.exit = None;
            return;
        }
        let exit_at = *self.timers.exit.get_or_insert(now + EXIT_PAUSE);
        if now >= exit_at {
            self.note(Note::ShutdownDone);
            self.effects.push(Effect::Exit);
        }
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.effects.push(Effect::Reply(ticket, reply));
    }

    fn note(&mut self, note: Note) {
        self.effects.push(Effect::Note(note));
    }
}

fn claim_settings() -> ClaimSettings {
    ClaimSettings {
        retention: CLAIM_RETENTION,
        clock_skew: CLOCK_SKEW,
        max_claims: MAX_CLAIMS,
    }
}
