//! Direct and indirect probes.

use std::time::Duration;

use compact_str::CompactString;
use wisteriaford_proto::membership::Acknowledgement;
use wisteriaford_proto::membership::IndirectProbe;
use wisteriaford_proto::membership::Probe;
use wisteriaford_proto::membership::membership_message::Body;

use super::Cause;
use super::Entry;
use super::INDIRECT_PROBE_DELAY;
use super::Member;
use super::MemberState;
use super::Membership;
use super::MembershipOutput;
use super::PROBE_INTERVAL;
use super::PendingProbe;
use super::RelayedProbe;
use super::Sender;
use crate::id::InstanceId;
use crate::time::Timestamp;

const RELAY_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RELAYED_PROBES: usize = 64;
const INDIRECT_FANOUT: usize = 3;
const IN_ZONE_PROBES_PER_4: u64 = 3;

impl Membership {
    /// Sends a probe to the next member.
    ///
    /// Three of four probes go to the instance's own availability zone, if it has other members.
    pub(super) fn send_probe(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        self.probe_count += 1;
        let in_zone = self.probe_count % 4 < IN_ZONE_PROBES_PER_4;
        let Some(target) = self
            .next_target(in_zone)
            .or_else(|| self.next_target(!in_zone))
        else {
            return;
        };
        let sequence = self.next_sequence();
        self.send_to(&target, Body::Probe(Probe { sequence }), out);
        self.pending_probe = Some(PendingProbe {
            target,
            sequence,
            sent_at: now,
            indirect_sent: false,
        });
    }

    fn next_target(&mut self, in_zone: bool) -> Option<InstanceId> {
        let entries = &self.entries;
        let zone = &self.me.availability_zone;
        let is_candidate = |entry: &Entry| {
            entry.member.state != MemberState::Dead
                && (entry.member.availability_zone == *zone) == in_zone
        };
        let candidates = || {
            let members = entries.values().filter(|entry| is_candidate(entry));
            members.map(|entry| entry.member.id.clone()).collect()
        };
        let is_still_candidate = |id: &InstanceId| entries.get(id).is_some_and(is_candidate);
        let probe_order = if in_zone {
            &mut self.zone_probe_order
        } else {
            &mut self.remote_probe_order
        };
        probe_order.next(candidates, is_still_candidate, &mut self.random)
    }

    /// Sends indirect probes if the pending probe is late, and fails it when its interval ends.
    pub(super) fn check_pending_probe(&mut self, now: Timestamp, out: &mut Vec<MembershipOutput>) {
        let Some(pending_probe) = &mut self.pending_probe else {
            return;
        };
        let elapsed = now.since(pending_probe.sent_at);
        if elapsed >= self.local_health.scale_timeout(PROBE_INTERVAL) {
            let target = pending_probe.target.clone();
            self.pending_probe = None;
            self.handle_probe_failure(now, &target, out);
            return;
        }
        if elapsed < self.local_health.scale_timeout(INDIRECT_PROBE_DELAY)
            || pending_probe.indirect_sent
        {
            return;
        }
        pending_probe.indirect_sent = true;
        let target = pending_probe.target.clone();
        let sequence = pending_probe.sequence;
        let Some(entry) = self.entries.get(&target) else {
            return;
        };
        let request = IndirectProbe {
            sequence,
            target: target.to_string(),
            target_address: entry.member.address.to_string(),
        };
        for helper in self.sample_members(INDIRECT_FANOUT, Some(&target)) {
            self.send_to(&helper, Body::IndirectProbe(request.clone()), out);
        }
    }

    fn handle_probe_failure(
        &mut self,
        now: Timestamp,
        target: &InstanceId,
        out: &mut Vec<MembershipOutput>,
    ) {
        self.local_health.on_failure();
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
            // A leaving member stays in this state until it is considered dead.
            MemberState::Leaving => {
                entry.suspected_at.get_or_insert(now);
            }
            MemberState::Suspect | MemberState::Dead => {}
        }
    }

    /// Handles an acknowledgement of a probe that was sent for this instance or for another member.
    pub(super) fn handle_ack(&mut self, sequence: u64, out: &mut Vec<MembershipOutput>) {
        let is_acknowledged = |pending_probe: &mut PendingProbe| pending_probe.sequence == sequence;
        if let Some(pending_probe) = self.pending_probe.take_if(is_acknowledged) {
            self.local_health.on_success();
            if let Some(entry) = self.entries.get_mut(&pending_probe.target)
                && entry.member.state == MemberState::Leaving
            {
                entry.suspected_at = None;
            }
        }
        let is_relayed = |relay: &RelayedProbe| relay.sequence == sequence;
        if let Some(index) = self.relayed_probes.iter().position(is_relayed) {
            let relay = self.relayed_probes.swap_remove(index);
            let sequence = relay.requester_sequence;
            let body = Body::Acknowledgement(Acknowledgement { sequence });
            self.reply(&relay.requester, body, out);
        }
    }

    /// Probes a member on behalf of another one.
    pub(super) fn relay_probe(
        &mut self,
        now: Timestamp,
        from: &Sender,
        request: &IndirectProbe,
        out: &mut Vec<MembershipOutput>,
    ) {
        self.relayed_probes
            .retain(|relay| now.since(relay.requested_at) < RELAY_TIMEOUT);
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let sequence = self.next_sequence();
        self.relayed_probes.push(RelayedProbe {
            sequence,
            requester: from.clone(),
            requester_sequence: request.sequence,
            requested_at: now,
        });
        let target = Sender {
            id: InstanceId::from(request.target.as_str()),
            address: CompactString::from(request.target_address.as_str()),
        };
        self.reply(&target, Body::Probe(Probe { sequence }), out);
    }
}
