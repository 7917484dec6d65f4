//! Sending of messages and the updates piggybacked on them.

use compact_str::CompactString;
use prost::Message;
use rand::seq::IteratorRandom;
use wisteriaford_proto::membership::MembershipMessage;
use wisteriaford_proto::membership::View;
use wisteriaford_proto::membership::membership_message::Body;

use super::MemberState;
use super::Membership;
use super::MembershipOutput;
use super::Sender;
use crate::id::InstanceId;

const MAX_UPDATES: usize = 48;
const MAX_UPDATES_ON_LOW_BUDGET: usize = 8;
const LOW_BUDGET_BYTES: usize = 48_000;
const PARTIAL_VIEW_MEMBERS: usize = 8;

impl Membership {
    /// Replies with the complete view, or with a few members to ask if the byte budget is too low.
    pub(super) fn reply_with_view(&mut self, from: &Sender, out: &mut Vec<MembershipOutput>) {
        let members = self.members().map(Into::into).collect();
        let mut view = View {
            members,
            partial: false,
        };
        if !self.byte_budget.has_room_for(view.encoded_len()) {
            view.partial = true;
            view.members = view
                .members
                .into_iter()
                .sample(&mut self.random, PARTIAL_VIEW_MEMBERS);
        }
        self.reply(from, Body::View(view), out);
    }

    /// Sends a message to a known member.
    pub(super) fn send_to(&mut self, id: &InstanceId, body: Body, out: &mut Vec<MembershipOutput>) {
        if let Some(entry) = self.entries.get(id) {
            let address = entry.member.address.clone();
            self.send(Some(id.clone()), address, body, out);
        }
    }

    /// Replies to a sender, which need not be a known member.
    pub(super) fn reply(&mut self, to: &Sender, body: Body, out: &mut Vec<MembershipOutput>) {
        self.send(Some(to.id.clone()), to.address.clone(), body, out);
    }

    /// Sends a message with piggybacked updates.
    pub(super) fn send(
        &mut self,
        to: Option<InstanceId>,
        address: CompactString,
        body: Body,
        out: &mut Vec<MembershipOutput>,
    ) {
        let updates = self.updates_for(to.as_ref(), &body);
        let message = MembershipMessage {
            body: Some(body),
            updates,
        };
        self.byte_budget.spend(message.encoded_len());
        out.push(MembershipOutput::Send {
            to,
            address,
            message,
        });
    }

    /// Selects the updates to piggyback: first the recipient's own state, unless alive, so that it
    /// can refute it.
    fn updates_for(
        &mut self,
        to: Option<&InstanceId>,
        body: &Body,
    ) -> Vec<wisteriaford_proto::membership::Member> {
        let mut updates = Vec::new();
        let entry = to.and_then(|id| self.entries.get(id));
        if let Some(entry) = entry
            && entry.member.state != MemberState::Alive
        {
            updates.push((&entry.member).into());
        }
        let announces_self = matches!(body, Body::Probe(_) | Body::ViewRequest(_));
        if announces_self {
            updates.push((&self.me).into());
        }
        let members = self.entries.len() + 1;
        let limit = if self.byte_budget.has_room_for(LOW_BUDGET_BYTES) {
            MAX_UPDATES
        } else {
            MAX_UPDATES_ON_LOW_BUDGET
        };
        for id in self.gossip.next_batch(limit, members) {
            if id == self.me.id && !announces_self {
                updates.push((&self.me).into());
            } else if let Some(entry) = self.entries.get(&id) {
                updates.push((&entry.member).into());
            }
        }
        updates
    }
}
