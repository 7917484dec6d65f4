//! Which instances there are, by probes and gossip.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, 2002) with the local health awareness of
//! Lifeguard (Dadgar, Phillips and Currey, 2018), and contacts to members held dead, so that
//! a fleet which was cut in two grows together again.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64;
use wisteriaford_proto::membership::Acknowledgement;
use wisteriaford_proto::membership::MembershipMessage;
use wisteriaford_proto::membership::Probe;
use wisteriaford_proto::membership::View;
use wisteriaford_proto::membership::ViewRequest;
use wisteriaford_proto::membership::membership_message::Body;

use self::byte_budget::Allowance;
pub use self::byte_budget::BURST_BYTES;
pub use self::byte_budget::BYTES_PER_S;
use self::local_health::Health;
pub use self::member::Member;
pub use self::member::MemberState;
pub use self::output::Cause;
pub use self::output::ListedInstance;
pub use self::output::ListedState;
pub use self::output::MembershipOutput;
pub use self::output::Sender;
use self::probe_order::Ring;
use crate::gossip::Gossip;
use crate::id::InstanceId;
use crate::time::Timestamp;

mod byte_budget;
mod local_health;
mod member;
mod output;
mod probe;
mod probe_order;
mod send;

/// Time from one probe to the next.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which other members are asked to probe too.
pub const INDIRECT_AFTER: Duration = Duration::from_millis(200);

/// Time that a member held dead is remembered.
pub const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// Longest time between two calls before the instance takes itself to have been frozen.
pub const FREEZE_THRESHOLD: Duration = Duration::from_secs(2);

const SUSPICION_INTERVALS: u32 = 5;
const CONTACT_INTERVAL: Duration = Duration::from_secs(2);
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
const VIEW_INTERVAL: Duration = Duration::from_secs(60);
const GROWING_VIEW_INTERVAL: Duration = Duration::from_secs(4);
const JOIN_FANOUT: usize = 3;
const LEAVE_FANOUT: usize = 4;

struct Entry {
    member: Member,
    since: Timestamp,
    suspected_at: Option<Timestamp>,
    listed_leaving: bool,
}

struct Probing {
    target: InstanceId,
    sequence: u64,
    sent_at: Timestamp,
    asked_others: bool,
}

struct Relay {
    sequence: u64,
    requester: Sender,
    requester_sequence: u64,
    at: Timestamp,
}

/// View of one instance on all others.
pub struct Membership {
    me: Member,
    entries: IndexMap<InstanceId, Entry>,
    contacts: IndexMap<CompactString, Option<InstanceId>>,
    random: Pcg64,
    gossip: Gossip<InstanceId>,
    health: Health,
    allowance: Allowance,
    in_zone: Ring,
    elsewhere: Ring,
    sequence: u64,
    probes: u64,
    probing: Option<Probing>,
    relays: Vec<Relay>,
    joined: bool,
    called_at: Option<Timestamp>,
    probe_at: Timestamp,
    contact_at: Timestamp,
    join_at: Timestamp,
    view_at: Timestamp,
}

impl Membership {
    /// Makes a view that holds only the instance itself.
    ///
    /// `me.incarnation` must be above that of an earlier run with the same id, such as the time
    /// of the start; `seeds` are addresses of peers to join by.
    #[must_use]
    pub fn new(me: Member, seeds: &[CompactString], seed: u64) -> Self {
        let mut gossip = Gossip::default();
        gossip.push(me.id.clone());
        let other = |seed: &&CompactString| **seed != me.address;
        let contacts = seeds.iter().filter(other).map(|seed| (seed.clone(), None));
        Self {
            contacts: contacts.collect(),
            me,
            entries: IndexMap::new(),
            random: Pcg64::seed_from_u64(seed),
            gossip,
            health: Health::default(),
            allowance: Allowance::new(),
            in_zone: Ring::default(),
            elsewhere: Ring::default(),
            sequence: 0,
            probes: 0,
            probing: None,
            relays: Vec::new(),
            joined: false,
            called_at: None,
            probe_at: Timestamp::default(),
            contact_at: Timestamp::default(),
            join_at: Timestamp::default(),
            view_at: Timestamp::default(),
        }
    }

    /// Returns the instance itself.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns whether the view of a peer has been taken in.
    #[must_use]
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Returns all members known, the instance itself first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.entries.values().map(|entry| &entry.member);
        std::iter::once(&self.me).chain(others)
    }

    /// Returns the members that may have duties; those under suspicion still have.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let me = Some(&self.me).filter(|me| me.state == MemberState::Alive);
        let others = self.entries.values().filter(|entry| is_usable(entry));
        me.into_iter().chain(others.map(|entry| &entry.member))
    }

    /// Returns the members that are not known to be gone, those that are leaving included.
    ///
    /// They keep their duties among them while nobody else is left to take them.
    pub fn remaining(&self) -> impl Iterator<Item = &Member> {
        let is_there = |member: &&Member| member.state != MemberState::Dead;
        self.members().filter(is_there)
    }

    /// Takes the platform's list as a hint of whom to contact and who is leaving.
    ///
    /// What the list does not say means nothing, since it lags.
    pub fn hint(&mut self, listed: &[ListedInstance]) {
        for instance in listed {
            if instance.id == self.me.id {
                continue;
            }
            let entry = self.entries.get_mut(&instance.id);
            match (instance.state, entry) {
                (ListedState::Leaving, Some(entry)) => entry.listed_leaving = true,
                (ListedState::Leaving, None) => {}
                (ListedState::Live, _) => {
                    let id = Some(instance.id.clone());
                    self.contacts.insert(instance.address.clone(), id);
                }
            }
        }
        let named = |id: &InstanceId| listed.iter().any(|instance| instance.id == *id);
        self.contacts.retain(|_, id| id.as_ref().is_none_or(named));
    }

    /// Announces that the instance is leaving: it takes no duties any more.
    pub fn leave(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        if self.me.state == MemberState::Leaving {
            return;
        }
        self.observe(now);
        self.me.state = MemberState::Leaving;
        self.me.incarnation = self.me.incarnation.next();
        self.gossip.push(self.me.id.clone());
        for target in self.choose(LEAVE_FANOUT, None) {
            let sequence = self.next_sequence();
            self.send_to(&target, Body::Probe(Probe { sequence }), out);
        }
    }

    /// Takes a message of a peer.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: &Sender,
        message: &MembershipMessage,
        out: &mut Vec<MembershipOutput>,
    ) {
        self.observe(now);
        let held_dead = self.state_of(&from.id) == Some(MemberState::Dead);
        self.merge_all(now, &message.updates, held_dead, out);
        match &message.body {
            Some(Body::Probe(probe)) => {
                let sequence = probe.sequence;
                let body = Body::Acknowledgement(Acknowledgement { sequence });
                self.reply(from, body, out);
            }
            Some(Body::Acknowledgement(answer)) => self.acknowledged(answer.sequence, out),
            Some(Body::IndirectProbe(request)) => self.relay(now, from, request, out),
            Some(Body::ViewRequest(ViewRequest {})) => self.answer_view(from, out),
            Some(Body::View(view)) => {
                self.take_view(now, view, held_dead, out);
            }
            None => {}
        }
    }

    /// Does what is due; to be called several times a second.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        self.observe(now);
        self.join(now, out);
        self.follow_probe(now, out);
        self.end_suspicions(now, out);
        self.forget(now, out);
        self.contact(now, out);
        self.refresh(now, out);
        if now >= self.probe_at && self.probing.is_none() {
            self.probe_at = now + PROBE_INTERVAL;
            self.probe(now, out);
        }
    }

    /// Notes the time; after a freeze, nothing that seemed to time out meanwhile counts.
    fn observe(&mut self, now: Timestamp) {
        self.allowance.fill(now);
        let gap = self.called_at.map_or(Duration::ZERO, |at| now.since(at));
        self.called_at = Some(now);
        if gap <= FREEZE_THRESHOLD {
            return;
        }
        self.health.distrust();
        self.probing = None;
        self.relays.clear();
        for entry in self.entries.values_mut() {
            entry.suspected_at = entry.suspected_at.map(|at| at + gap);
        }
        self.view_at = now;
    }

    fn state_of(&self, id: &InstanceId) -> Option<MemberState> {
        self.entries.get(id).map(|entry| entry.member.state)
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn suspicion_timeout(&self) -> Duration {
        let members = self.entries.len() + 1;
        let magnitude = f64::from(u32::try_from(members).unwrap_or(u32::MAX)).log10();
        let timeout = PROBE_INTERVAL * SUSPICION_INTERVALS;
        self.health.stretch(timeout.mul_f64(magnitude.max(1.0)))
    }

    /// Chooses members that answer, other than `except`.
    fn choose(&mut self, number: usize, except: Option<&InstanceId>) -> Vec<InstanceId> {
        let answers = |entry: &&Entry| {
            entry.member.state != MemberState::Dead && Some(&entry.member.id) != except
        };
        let ids = self.entries.values().filter(answers);
        let ids = ids.map(|entry| entry.member.id.clone());
        ids.sample(&mut self.random, number)
    }

    fn merge_all(
        &mut self,
        now: Timestamp,
        updates: &[wisteriaford_proto::membership::Member],
        from_dead: bool,
        out: &mut Vec<MembershipOutput>,
    ) {
        for update in updates {
            let Ok(update) = Member::try_from(update) else {
                continue;
            };
            let accuses = matches!(update.state, MemberState::Suspect | MemberState::Dead);
            if update.id == self.me.id {
                self.refute(&update);
            } else if !(from_dead && accuses) {
                self.merge(now, update, Cause::Reported, out);
            }
        }
    }

    /// Takes a view; while views still bring members, the next one is asked for soon.
    fn take_view(
        &mut self,
        now: Timestamp,
        view: &View,
        held_dead: bool,
        out: &mut Vec<MembershipOutput>,
    ) {
        let before = self.entries.len();
        self.merge_all(now, &view.members, held_dead, out);
        self.joined |= !view.partial;
        if self.entries.len() > before {
            self.view_at = self.view_at.min(now + GROWING_VIEW_INTERVAL);
        }
    }

    /// Raises the own incarnation above a report that is not true.
    fn refute(&mut self, report: &Member) {
        let accused = report.incarnation == self.me.incarnation && report.state != self.me.state;
        if report.incarnation < self.me.incarnation || (!accused && *report == self.me) {
            return;
        }
        self.me.incarnation = report.incarnation.next();
        self.gossip.push(self.me.id.clone());
        if accused {
            self.health.worsen();
        }
    }

    fn merge(
        &mut self,
        now: Timestamp,
        update: Member,
        cause: Cause,
        out: &mut Vec<MembershipOutput>,
    ) {
        let id = update.id.clone();
        let known = self.entries.get(&id);
        if known.is_some_and(|entry| !update.supersedes(&entry.member))
            || known.is_none() && update.state == MemberState::Dead
        {
            return;
        }
        let from = known.map(|entry| entry.member.state);
        let same_run = known.is_some_and(|e| e.member.incarnation == update.incarnation);
        let listed_leaving = known.is_some_and(|entry| entry.listed_leaving) && same_run;
        let to = update.state;
        let entry = Entry {
            member: update.clone(),
            since: now,
            suspected_at: (to == MemberState::Suspect).then_some(now),
            listed_leaving,
        };
        self.entries.insert(id.clone(), entry);
        self.gossip.push(id);
        if from != Some(to) {
            out.push(MembershipOutput::Changed {
                member: update,
                from,
                to: Some(to),
                cause,
            });
        }
    }

    fn end_suspicions(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        let timeout = self.suspicion_timeout();
        let over = |entry: &&Entry| {
            entry
                .suspected_at
                .is_some_and(|at| now.since(at) >= timeout)
        };
        let ended: Vec<Member> = self
            .entries
            .values()
            .filter(over)
            .map(|entry| Member {
                state: MemberState::Dead,
                ..entry.member.clone()
            })
            .collect();
        for dead in ended {
            self.merge(now, dead, Cause::SuspicionTimeout, out);
        }
    }

    fn forget(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        let old = |entry: &Entry| {
            entry.member.state == MemberState::Dead && now.since(entry.since) >= FORGET_AFTER
        };
        let Some(place) = self.entries.values().position(old) else {
            return;
        };
        if let Some((id, entry)) = self.entries.swap_remove_index(place) {
            self.gossip.remove(&id);
            out.push(MembershipOutput::Changed {
                member: entry.member,
                from: Some(MemberState::Dead),
                to: None,
                cause: Cause::Forgotten,
            });
        }
    }

    fn join(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        if self.joined || now < self.join_at {
            return;
        }
        self.join_at = now + JOIN_INTERVAL;
        let known = self
            .entries
            .values()
            .map(|entry| entry.member.address.clone());
        let addresses = self.contacts.keys().cloned().chain(known);
        for address in addresses.sample(&mut self.random, JOIN_FANOUT) {
            self.send(None, address, Body::ViewRequest(ViewRequest {}), out);
        }
    }

    /// Contacts a member held dead, or an address that no living member has.
    fn contact(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        if now < self.contact_at {
            return;
        }
        self.contact_at = now + CONTACT_INTERVAL;
        let (dead, living): (Vec<&Entry>, Vec<&Entry>) = self
            .entries
            .values()
            .partition(|entry| entry.member.state == MemberState::Dead);
        let lost = |address: &&CompactString| {
            !living.iter().any(|entry| entry.member.address == **address)
        };
        let dead = dead
            .iter()
            .map(|e| (Some(e.member.id.clone()), e.member.address.clone()));
        let contacts = self.contacts.keys().filter(lost);
        let contacts = contacts.map(|address| (None, address.clone()));
        let Some((id, address)) = dead.chain(contacts).choose(&mut self.random) else {
            return;
        };
        let sequence = self.next_sequence();
        self.send(id, address, Body::Probe(Probe { sequence }), out);
    }

    /// Asks a random member for its whole view now and then, against lost gossip.
    fn refresh(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        if !self.joined || now < self.view_at {
            return;
        }
        let spread = VIEW_INTERVAL.mul_f64(self.spread());
        self.view_at = now + VIEW_INTERVAL / 2 + spread;
        for target in self.choose(1, None) {
            self.send_to(&target, Body::ViewRequest(ViewRequest {}), out);
        }
    }

    fn spread(&mut self) -> f64 {
        (0..1_000u32)
            .choose(&mut self.random)
            .map_or(0.0, f64::from)
            / 1_000.0
    }
}

fn is_usable(entry: &Entry) -> bool {
    let state = entry.member.state;
    !entry.listed_leaving && matches!(state, MemberState::Alive | MemberState::Suspect)
}
