//! Probes, direct and through others.

use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_proto::membership::Acknowledgement;
use wisteriaford_proto::membership::IndirectProbe;
use wisteriaford_proto::membership::Probe;
use wisteriaford_proto::membership::membership_message::Body;

use super::Cause;
use super::Entry;
use super::INDIRECT_AFTER;
use super::Member;
use super::MemberState;
use super::Membership;
use super::MembershipOutput;
use super::PROBE_INTERVAL;
use super::Probing;
use super::Relay;
use super::Sender;
use crate::id::InstanceId;
use crate::time::Timestamp;

const RELAY_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RELAYS: usize = 64;
const INDIRECT_FANOUT: usize = 3;
const PROBES_IN_ZONE_OF_4: u64 = 3;

impl Membership {
    /// Probes the next member.
    pub(super) fn probe(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        self.probes += 1;
        let in_zone = self.probes % 4 < PROBES_IN_ZONE_OF_4;
        let Some(target) = self
            .next_target(in_zone)
            .or_else(|| self.next_target(!in_zone))
        else {
            return;
        };
        let sequence = self.next_sequence();
        self.send_to(&target, Body::Probe(Probe { sequence }), out);
        self.probing = Some(Probing {
            target,
            sequence,
            sent_at: now,
            asked_others: false,
        });
    }

    fn next_target(&mut self, in_zone: bool) -> Option<InstanceId> {
        let entries = &self.entries;
        let zone = &self.me.availability_zone;
        let fits = |entry: &Entry| {
            entry.member.state != MemberState::Dead
                && (entry.member.availability_zone == *zone) == in_zone
        };
        let all = || {
            let fitting = entries.values().filter(|entry| fits(entry));
            fitting.map(|entry| entry.member.id.clone()).collect()
        };
        let passes = |id: &InstanceId| entries.get(id).is_some_and(fits);
        let ring = if in_zone {
            &mut self.in_zone
        } else {
            &mut self.elsewhere
        };
        ring.next(all, passes, &mut self.random)
    }

    /// Asks others to probe too, or gives up.
    pub(super) fn follow_probe(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        let Some(probing) = &mut self.probing else {
            return;
        };
        let waited = now.since(probing.sent_at);
        if waited >= self.health.stretch(PROBE_INTERVAL) {
            let target = probing.target.clone();
            self.probing = None;
            self.probe_failed(now, &target, out);
            return;
        }
        if waited < self.health.stretch(INDIRECT_AFTER) || probing.asked_others {
            return;
        }
        probing.asked_others = true;
        let target = probing.target.clone();
        let sequence = probing.sequence;
        let Some(entry) = self.entries.get(&target) else {
            return;
        };
        let request = IndirectProbe {
            sequence,
            target: target.to_string(),
            target_address: entry.member.address.to_string(),
        };
        for helper in self.choose(INDIRECT_FANOUT, Some(&target)) {
            self.send_to(&helper, Body::IndirectProbe(request.clone()), out);
        }
    }

    fn probe_failed(
        &mut self,
        now: Timestamp,
        target: &InstanceId,
        out: &mut Vec<MembershipOutput>,
    ) {
        self.health.worsen();
        let Some(entry) = self.entries.get_mut(target) else {
            return;
        };
        match entry.member.state {
            MemberState::Alive => {
                let suspect = Member {
                    state: MemberState::Suspect,
                    ..entry.member.clone()
                };
                self.merge(now, suspect, Cause::ProbeFailed, out);
            }
            // A leaving member stays known as leaving until it is gone.
            MemberState::Leaving => {
                entry.suspected_at.get_or_insert(now);
            }
            MemberState::Suspect | MemberState::Dead => {}
        }
    }

    /// Takes an answer to an own probe or to one for another member.
    pub(super) fn acknowledged(&mut self, sequence: u64, out: &mut Vec<MembershipOutput>) {
        let answered = |probing: &mut Probing| probing.sequence == sequence;
        if let Some(probing) = self.probing.take_if(answered) {
            self.health.improve();
            if let Some(entry) = self.entries.get_mut(&probing.target)
                && entry.member.state == MemberState::Leaving
            {
                entry.suspected_at = None;
            }
        }
        let relayed = |relay: &Relay| relay.sequence == sequence;
        if let Some(place) = self.relays.iter().position(relayed) {
            let relay = self.relays.swap_remove(place);
            let sequence = relay.requester_sequence;
            let body = Body::Acknowledgement(Acknowledgement { sequence });
            self.reply(&relay.requester, body, out);
        }
    }

    /// Probes a member for another one.
    pub(super) fn relay(
        &mut self,
        now: Timestamp,
        from: &Sender,
        request: &IndirectProbe,
        out: &mut Vec<MembershipOutput>,
    ) {
        self.relays
            .retain(|relay| now.since(relay.at) < RELAY_TIMEOUT);
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let sequence = self.next_sequence();
        self.relays.push(Relay {
            sequence,
            requester: from.clone(),
            requester_sequence: request.sequence,
            at: now,
        });
        let target = Sender {
            id: InstanceId::from(request.target.as_str()),
            address: CompactString::from(request.target_address.as_str()),
        };
        self.reply(&target, Body::Probe(Probe { sequence }), out);
    }
}
