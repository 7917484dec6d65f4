//! Messages and what rides along on them.

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
const MAX_UPDATES_WHEN_SHORT: usize = 8;
const ROOM_FOR_MANY_BYTES: usize = 48_000;
const PARTIAL_VIEW: usize = 8;

impl Membership {
    /// Answers with the whole view if the allowance has room, or with a few members to ask.
    pub(super) fn answer_view(&mut self, from: &Sender, out: &mut Vec<MembershipOutput>) {
        let members = self.members().map(Into::into).collect();
        let mut view = View {
            members,
            partial: false,
        };
        if !self.allowance.allows(view.encoded_len()) {
            view.partial = true;
            view.members = view
                .members
                .into_iter()
                .sample(&mut self.random, PARTIAL_VIEW);
        }
        self.reply(from, Body::View(view), out);
    }

    /// Sends to a member that is known.
    pub(super) fn send_to(&mut self, id: &InstanceId, body: Body, out: &mut Vec<MembershipOutput>) {
        if let Some(entry) = self.entries.get(id) {
            let address = entry.member.address.clone();
            self.send(Some(id.clone()), address, body, out);
        }
    }

    /// Sends to whoever sent something.
    pub(super) fn reply(&mut self, to: &Sender, body: Body, out: &mut Vec<MembershipOutput>) {
        self.send(Some(to.id.clone()), to.address.clone(), body, out);
    }

    /// Sends with the changes that ride along.
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
        self.allowance.spend(message.encoded_len());
        out.push(MembershipOutput::Send {
            to,
            address,
            message,
        });
    }

    /// Chooses what rides along: first what is said of the receiver, so that it can refute it.
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
        let names_me = matches!(body, Body::Probe(_) | Body::ViewRequest(_));
        if names_me {
            updates.push((&self.me).into());
        }
        let members = self.entries.len() + 1;
        let limit = if self.allowance.allows(ROOM_FOR_MANY_BYTES) {
            MAX_UPDATES
        } else {
            MAX_UPDATES_WHEN_SHORT
        };
        for id in self.gossip.take(limit, members) {
            if id == self.me.id && !names_me {
                updates.push((&self.me).into());
            } else if let Some(entry) = self.entries.get(&id) {
                updates.push((&entry.member).into());
            }
        }
        updates
    }
}
