//! Membership of the fleet, kept by probes and gossip.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, 2002) with the local health awareness of
//! Lifeguard (Dadgar, Phillips and Currey, 2018). Members considered dead are still probed now
//! and then, so that the two sides of a network partition rejoin once it heals.

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

pub use self::byte_budget::BURST_BYTES;
pub use self::byte_budget::BYTES_PER_S;
use self::byte_budget::ByteBudget;
use self::local_health::LocalHealth;
pub use self::member::Member;
pub use self::member::MemberState;
pub use self::output::Cause;
pub use self::output::ListedInstance;
pub use self::output::ListedState;
pub use self::output::MembershipOutput;
pub use self::output::Sender;
use self::probe_order::ProbeOrder;
use crate::gossip::GossipQueue;
use crate::id::InstanceId;
use crate::time::Timestamp;

mod byte_budget;
mod local_health;
mod member;
mod output;
mod probe;
mod probe_order;
mod send;

/// Interval between probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an acknowledgement after which other members are asked to probe the target.
pub const INDIRECT_PROBE_DELAY: Duration = Duration::from_millis(200);

/// Time for which a dead member is remembered.
pub const DEAD_RETENTION: Duration = Duration::from_secs(3_600);

/// Time between two calls above which the instance assumes that its process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

const SUSPICION_INTERVALS: u32 = 5;
const RECONNECT_INTERVAL: Duration = Duration::from_secs(2);
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
const VIEW_SYNC_INTERVAL: Duration = Duration::from_secs(60);
const GROWING_VIEW_SYNC_INTERVAL: Duration = Duration::from_secs(4);
const JOIN_FANOUT: usize = 3;
const LEAVE_FANOUT: usize = 4;

struct Entry {
    member: Member,
    updated_at: Timestamp,
    suspected_at: Option<Timestamp>,
    listed_leaving: bool,
}

struct PendingProbe {
    target: InstanceId,
    sequence: u64,
    sent_at: Timestamp,
    indirect_sent: bool,
}

struct RelayedProbe {
    sequence: u64,
    requester: Sender,
    requester_sequence: u64,
    requested_at: Timestamp,
}

/// Membership of the fleet as one instance sees it.
pub struct Membership {
    me: Member,
    entries: IndexMap<InstanceId, Entry>,
    join_addresses: IndexMap<CompactString, Option<InstanceId>>,
    random: Pcg64,
    gossip: GossipQueue<InstanceId>,
    local_health: LocalHealth,
    byte_budget: ByteBudget,
    zone_probe_order: ProbeOrder,
    remote_probe_order: ProbeOrder,
    sequence: u64,
    probe_count: u64,
    pending_probe: Option<PendingProbe>,
    relayed_probes: Vec<RelayedProbe>,
    joined: bool,
    last_called_at: Option<Timestamp>,
    next_probe_at: Timestamp,
    next_reconnect_at: Timestamp,
    next_join_at: Timestamp,
    next_view_sync_at: Timestamp,
}

impl Membership {
    /// Creates a view that contains only the instance itself.
    ///
    /// `me.incarnation` must be higher than that of any earlier run with the same id; the start
    /// time, for instance, is suitable. `seeds` are addresses of peers to join through.
    #[must_use]
    pub fn new(me: Member, seeds: &[CompactString], seed: u64) -> Self {
        let mut gossip = GossipQueue::default();
        gossip.push(me.id.clone());
        let is_peer = |seed: &&CompactString| **seed != me.address;
        let join_addresses = seeds
            .iter()
            .filter(is_peer)
            .map(|seed| (seed.clone(), None));
        Self {
            join_addresses: join_addresses.collect(),
            me,
            entries: IndexMap::new(),
            random: Pcg64::seed_from_u64(seed),
            gossip,
            local_health: LocalHealth::default(),
            byte_budget: ByteBudget::new(),
            zone_probe_order: ProbeOrder::default(),
            remote_probe_order: ProbeOrder::default(),
            sequence: 0,
            probe_count: 0,
            pending_probe: None,
            relayed_probes: Vec::new(),
            joined: false,
            last_called_at: None,
            next_probe_at: Timestamp::default(),
            next_reconnect_at: Timestamp::default(),
            next_join_at: Timestamp::default(),
            next_view_sync_at: Timestamp::default(),
        }
    }

    /// Returns the instance itself.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns whether the complete view of a peer has been merged.
    #[must_use]
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Returns all known members, starting with the instance itself.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.entries.values().map(|entry| &entry.member);
        std::iter::once(&self.me).chain(others)
    }

    /// Returns the members that may coordinate endpoints and own steps, suspected ones included.
    pub fn eligible(&self) -> impl Iterator<Item = &Member> {
        let me = Some(&self.me).filter(|me| me.state == MemberState::Alive);
        let others = self.entries.values().filter(|entry| is_eligible(entry));
        me.into_iter().chain(others.map(|entry| &entry.member))
    }

    /// Returns the members that are not dead, leaving ones included.
    ///
    /// They share coordination and ownership when no other member is left to take over.
    pub fn not_dead(&self) -> impl Iterator<Item = &Member> {
        let is_not_dead = |member: &&Member| member.state != MemberState::Dead;
        self.members().filter(is_not_dead)
    }

    /// Applies the platform's list of instances, as hints about join addresses and leaving members.
    ///
    /// The list lags, so the absence of an instance says nothing about its state.
    pub fn apply_instance_list(&mut self, listed: &[ListedInstance]) {
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
                    self.join_addresses.insert(instance.address.clone(), id);
                }
            }
        }
        let is_listed = |id: &InstanceId| listed.iter().any(|instance| instance.id == *id);
        self.join_addresses
            .retain(|_, id| id.as_ref().is_none_or(is_listed));
    }

    /// Announces that the instance is leaving, which makes it ineligible as coordinator and owner.
    pub fn leave(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        if self.me.state == MemberState::Leaving {
            return;
        }
        self.update_clock(now);
        self.me.state = MemberState::Leaving;
        self.me.incarnation = self.me.incarnation.next();
        self.gossip.push(self.me.id.clone());
        for target in self.sample_members(LEAVE_FANOUT, None) {
            let sequence = self.next_sequence();
            self.send_to(&target, Body::Probe(Probe { sequence }), out);
        }
    }

    /// Handles a message from a peer.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: &Sender,
        message: &MembershipMessage,
        out: &mut Vec<MembershipOutput>,
    ) {
        self.update_clock(now);
        let sender_is_dead = self.state_of(&from.id) == Some(MemberState::Dead);
        self.merge_updates(now, &message.updates, sender_is_dead, out);
        match &message.body {
            Some(Body::Probe(probe)) => {
                let sequence = probe.sequence;
                let body = Body::Acknowledgement(Acknowledgement { sequence });
                self.reply(from, body, out);
            }
            Some(Body::Acknowledgement(answer)) => self.handle_ack(answer.sequence, out),
            Some(Body::IndirectProbe(request)) => self.relay_probe(now, from, request, out),
            Some(Body::ViewRequest(ViewRequest {})) => self.reply_with_view(from, out),
            Some(Body::View(view)) => {
                self.apply_view(now, view, sender_is_dead, out);
            }
            None => {}
        }
    }

    /// Runs the tasks that are due; must be called several times a second.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        self.update_clock(now);
        self.join(now, out);
        self.check_pending_probe(now, out);
        self.expire_suspicions(now, out);
        self.remove_expired(now, out);
        self.reconnect(now, out);
        self.sync_view(now, out);
        if now >= self.next_probe_at && self.pending_probe.is_none() {
            self.next_probe_at = now + PROBE_INTERVAL;
            self.send_probe(now, out);
        }
    }

    /// Advances the clock and detects a pause of the process.
    ///
    /// Timeouts that elapsed during a pause are no evidence against other members, so pending
    /// probes are dropped and running suspicions are extended by its length.
    fn update_clock(&mut self, now: Timestamp) {
        self.byte_budget.refill(now);
        let gap = self
            .last_called_at
            .map_or(Duration::ZERO, |at| now.since(at));
        self.last_called_at = Some(now);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.local_health.on_pause();
        self.pending_probe = None;
        self.relayed_probes.clear();
        for entry in self.entries.values_mut() {
            entry.suspected_at = entry.suspected_at.map(|at| at + gap);
        }
        self.next_view_sync_at = now;
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
        let log_members = f64::from(u32::try_from(members).unwrap_or(u32::MAX)).log10();
        let timeout = PROBE_INTERVAL * SUSPICION_INTERVALS;
        self.local_health
            .scale_timeout(timeout.mul_f64(log_members.max(1.0)))
    }

    /// Returns up to `count` random members that are not dead, other than `except`.
    fn sample_members(&mut self, count: usize, except: Option<&InstanceId>) -> Vec<InstanceId> {
        let is_candidate = |entry: &&Entry| {
            entry.member.state != MemberState::Dead && Some(&entry.member.id) != except
        };
        let ids = self.entries.values().filter(is_candidate);
        let ids = ids.map(|entry| entry.member.id.clone());
        ids.sample(&mut self.random, count)
    }

    fn merge_updates(
        &mut self,
        now: Timestamp,
        updates: &[wisteriaford_proto::membership::Member],
        sender_is_dead: bool,
        out: &mut Vec<MembershipOutput>,
    ) {
        for update in updates {
            let Ok(update) = Member::try_from(update) else {
                continue;
            };
            let is_accusation = matches!(update.state, MemberState::Suspect | MemberState::Dead);
            if update.id == self.me.id {
                self.refute(&update);
            } else if !(sender_is_dead && is_accusation) {
                self.merge(now, update, Cause::Reported, out);
            }
        }
    }

    /// Merges a view; if it added members, the next view is requested sooner.
    fn apply_view(
        &mut self,
        now: Timestamp,
        view: &View,
        sender_is_dead: bool,
        out: &mut Vec<MembershipOutput>,
    ) {
        let before = self.entries.len();
        self.merge_updates(now, &view.members, sender_is_dead, out);
        self.joined |= !view.partial;
        if self.entries.len() > before {
            self.next_view_sync_at = self.next_view_sync_at.min(now + GROWING_VIEW_SYNC_INTERVAL);
        }
    }

    /// Raises the instance's own incarnation above that of an incorrect report about it.
    fn refute(&mut self, report: &Member) {
        let accused = report.incarnation == self.me.incarnation && report.state != self.me.state;
        if report.incarnation < self.me.incarnation || (!accused && *report == self.me) {
            return;
        }
        self.me.incarnation = report.incarnation.next();
        self.gossip.push(self.me.id.clone());
        if accused {
            self.local_health.on_failure();
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
            updated_at: now,
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

    fn expire_suspicions(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        let timeout = self.suspicion_timeout();
        let is_expired = |entry: &&Entry| {
            entry
                .suspected_at
                .is_some_and(|at| now.since(at) >= timeout)
        };
        let expired: Vec<Member> = self
            .entries
            .values()
            .filter(is_expired)
            .map(|entry| Member {
                state: MemberState::Dead,
                ..entry.member.clone()
            })
            .collect();
        for dead in expired {
            self.merge(now, dead, Cause::SuspicionTimeout, out);
        }
    }

    /// Removes one member that has been dead for [`DEAD_RETENTION`].
    fn remove_expired(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        let is_expired = |entry: &Entry| {
            entry.member.state == MemberState::Dead && now.since(entry.updated_at) >= DEAD_RETENTION
        };
        let Some(index) = self.entries.values().position(is_expired) else {
            return;
        };
        if let Some((id, entry)) = self.entries.swap_remove_index(index) {
            self.gossip.remove(&id);
            out.push(MembershipOutput::Changed {
                member: entry.member,
                from: Some(MemberState::Dead),
                to: None,
                cause: Cause::Expired,
            });
        }
    }

    fn join(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        if self.joined || now < self.next_join_at {
            return;
        }
        self.next_join_at = now + JOIN_INTERVAL;
        let member_addresses = self
            .entries
            .values()
            .map(|entry| entry.member.address.clone());
        let addresses = self.join_addresses.keys().cloned().chain(member_addresses);
        for address in addresses.sample(&mut self.random, JOIN_FANOUT) {
            self.send(None, address, Body::ViewRequest(ViewRequest {}), out);
        }
    }

    /// Probes a dead member, or a join address that belongs to no member that is still there.
    fn reconnect(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        if now < self.next_reconnect_at {
            return;
        }
        self.next_reconnect_at = now + RECONNECT_INTERVAL;
        let (dead, others): (Vec<&Entry>, Vec<&Entry>) = self
            .entries
            .values()
            .partition(|entry| entry.member.state == MemberState::Dead);
        let is_unused = |address: &&CompactString| {
            !others.iter().any(|entry| entry.member.address == **address)
        };
        let dead = dead
            .iter()
            .map(|e| (Some(e.member.id.clone()), e.member.address.clone()));
        let unused = self.join_addresses.keys().filter(is_unused);
        let unused = unused.map(|address| (None, address.clone()));
        let Some((id, address)) = dead.chain(unused).choose(&mut self.random) else {
            return;
        };
        let sequence = self.next_sequence();
        self.send(id, address, Body::Probe(Probe { sequence }), out);
    }

    /// Requests the view of a random member periodically, to make up for lost gossip.
    fn sync_view(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        if !self.joined || now < self.next_view_sync_at {
            return;
        }
        let jitter = VIEW_SYNC_INTERVAL.mul_f64(self.random_fraction());
        self.next_view_sync_at = now + VIEW_SYNC_INTERVAL / 2 + jitter;
        for target in self.sample_members(1, None) {
            self.send_to(&target, Body::ViewRequest(ViewRequest {}), out);
        }
    }

    /// Returns a random number from 0 to 1, excluding 1, in steps of 1/1000.
    fn random_fraction(&mut self) -> f64 {
        (0..1_000u32)
            .choose(&mut self.random)
            .map_or(0.0, f64::from)
            / 1_000.0
    }
}

fn is_eligible(entry: &Entry) -> bool {
    let state = entry.member.state;
    !entry.listed_leaving && matches!(state, MemberState::Alive | MemberState::Suspect)
}
