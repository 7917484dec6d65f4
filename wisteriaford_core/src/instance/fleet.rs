//! Other instances, endpoints looked after, and what is spread between instances.

use std::time::Duration;

use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::FleetMessage;
use wisteriaford_proto::peer::PeerMessage;
use wisteriaford_proto::peer::peer_message::Body;
use wisteriaford_proto::step::StepMessage;

use super::Instance;
use super::status::member_state_name;
use crate::counters::Counter;
use crate::effect::Effect;
use crate::event::EndpointReport;
use crate::event::PollFailure;
use crate::exchange::ExchangeOutput;
use crate::id::EndpointId;
use crate::id::InstanceId;
use crate::id::Revision;
use crate::membership::ListedInstance;
use crate::membership::MemberState;
use crate::membership::MembershipOutput;
use crate::membership::Sender;
use crate::note::Note;
use crate::placement::EndpointPlace;
use crate::steward::HEARTBEAT_INTERVAL;
use crate::time::Timestamp;

/// Interval at which the platform's list of instances is read.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the weight store is asked for newest versions.
const MODELS_INTERVAL: Duration = Duration::from_secs(1);

impl Instance {
    /// Takes a message of a peer.
    pub(super) fn peer(&mut self, now: Timestamp, message: &PeerMessage) {
        self.counters.add(Counter::PeerMessages, 1);
        let sender = Sender {
            id: InstanceId::from(message.sender.as_str()),
            address: message.sender_address.as_str().into(),
        };
        match &message.body {
            Some(Body::Membership(body)) => {
                let mut outputs = Vec::new();
                self.membership.handle(now, &sender, body, &mut outputs);
                self.membership_outputs(outputs);
            }
            Some(Body::Admission(body)) => self.admission(now, &sender.id, body),
            Some(Body::Step(body)) => self.step_message(now, &sender.id, body),
            Some(Body::Fleet(body)) => self.fleet_message(now, &sender, body),
            None => {}
        }
    }

    fn step_message(&mut self, now: Timestamp, from: &InstanceId, message: &StepMessage) {
        self.with_steps(now, |steps, view, out| {
            // What cannot be understood is dropped; its sender sends it again.
            let _ = steps.peer(now, from, message, view, out);
        });
    }

    /// Sends a message about a step.
    pub(super) fn send_step(&mut self, now: Timestamp, to: &InstanceId, message: StepMessage) {
        if *to == self.identity.id {
            let me = self.identity.id.clone();
            self.step_message(now, &me, &message);
            return;
        }
        self.send(to, Body::Step(message));
    }

    /// Sends a message to a member, if its address is known.
    pub(super) fn send(&mut self, to: &InstanceId, body: Body) {
        let member = self.membership.members().find(|member| member.id == *to);
        let Some(address) = member.map(|member| member.address.clone()) else {
            return;
        };
        // Who is a member is known here and there, so the name alone says who sends.
        let message = PeerMessage {
            sender: self.identity.id.to_string(),
            body: Some(body),
            ..PeerMessage::default()
        };
        self.effects.push(Effect::Send {
            to: to.clone(),
            address,
            message,
        });
    }

    fn envelope(&self, body: Body) -> PeerMessage {
        PeerMessage {
            sender: self.identity.id.to_string(),
            sender_address: self.identity.address.to_string(),
            sender_incarnation: self.identity.incarnation.0,
            body: Some(body),
        }
    }

    /// Does what is due with the other instances and the endpoints.
    pub(super) fn tick_fleet(&mut self, now: Timestamp) {
        let mut outputs = Vec::new();
        self.membership.tick(now, &mut outputs);
        self.membership_outputs(outputs);
        self.place(now);
        if now >= self.timers.next_heartbeat {
            self.timers.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.heartbeat(now);
            self.republish(now);
        }
        self.release_fold(now);
        self.spread(now);
        self.tick_rollouts(now);
        if now >= self.timers.next_listing {
            self.timers.next_listing = now + INSTANCES_INTERVAL;
            self.effects.push(Effect::PollInstances);
        }
        if now >= self.timers.next_models {
            self.timers.next_models = now + MODELS_INTERVAL;
            self.poll_models();
        }
    }

    /// Takes over the endpoints that fall to this instance and leaves those that do not.
    fn place(&mut self, now: Timestamp) {
        if self.is_placed {
            return;
        }
        self.is_placed = true;
        self.placement = self.membership.alive().collect();
        if self.placement.candidates().is_empty() {
            self.placement = self.membership.remaining().collect();
        }
        let instances = self.placement.candidates().len();
        self.budget.set_instances(now, instances);
        self.limits.set_members(instances);
        // A new steward hears at once of what runs, so that it may grant soon.
        self.timers.next_heartbeat = now;
        let settings = self.settings.clone();
        if self.placed_revision == self.in_force {
            self.stewards_of.set_candidates(&self.placement);
        } else {
            self.placed_revision = self.in_force;
            let places = settings.endpoints.values().map(EndpointPlace::from);
            let places = places.collect();
            self.stewards_of.set_endpoints(places, &self.placement);
        }
        let held: Vec<EndpointId> = self.stewards.endpoints().cloned().collect();
        for endpoint in held {
            self.leave_endpoint(endpoint);
        }
        for endpoint in settings.endpoints.keys() {
            self.take_endpoint(now, endpoint);
        }
        self.apply_leaving();
        let stewards = &self.stewards;
        self.leases.retain(|endpoint| stewards.holds(endpoint));
    }

    fn take_endpoint(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let is_mine = self.stewards_of.get(endpoint) == Some(&self.identity.id);
        let settings = self.settings.clone();
        if is_mine && self.stewards.take(now, &settings, endpoint) {
            let endpoint = endpoint.clone();
            self.note(Note::StewardTaken { endpoint });
        }
    }

    fn leave_endpoint(&mut self, endpoint: EndpointId) {
        let to = self.stewards_of.get(&endpoint).cloned();
        if to.as_ref() == Some(&self.identity.id) {
            return;
        }
        self.stewards.leave(&endpoint);
        self.note(Note::StewardLeft { endpoint, to });
    }

    fn membership_outputs(&mut self, outputs: Vec<MembershipOutput>) {
        for output in outputs {
            match output {
                MembershipOutput::Send {
                    to,
                    address,
                    message,
                } => {
                    let to = to.unwrap_or_else(|| InstanceId::from(address.as_str()));
                    let message = self.envelope(Body::Membership(message));
                    self.effects.push(Effect::Send {
                        to,
                        address,
                        message,
                    });
                }
                MembershipOutput::Changed {
                    member,
                    from,
                    to,
                    cause,
                } => {
                    self.is_placed = false;
                    if to == Some(MemberState::Dead) {
                        self.stewards.forget_instance(&member.id);
                    }
                    let name = |state: Option<MemberState>| state.map_or("none", member_state_name);
                    self.note(Note::MemberChanged {
                        member: member.id,
                        from: name(from),
                        to: name(to),
                        cause: cause.to_string(),
                    });
                }
            }
        }
    }

    /// Tells the others that this instance takes no duties any more.
    pub(super) fn leave_fleet(&mut self, now: Timestamp) {
        let mut outputs = Vec::new();
        self.membership.leave(now, &mut outputs);
        self.membership_outputs(outputs);
        self.is_placed = false;
        self.place(now);
    }

    /// Spreads what changed to a few of the others.
    fn spread(&mut self, now: Timestamp) {
        let endpoints: Vec<EndpointId> = self.stewards.endpoints().cloned().collect();
        for endpoint in endpoints {
            self.report_endpoint(now, &endpoint);
        }
        if !self.exchange.is_due(now) {
            return;
        }
        let alive = self.membership.alive();
        let others = alive.filter(|member| member.id != self.identity.id);
        let peers: Vec<Sender> = others
            .map(|member| Sender {
                id: member.id.clone(),
                address: member.address.clone(),
            })
            .collect();
        let revision = self.fold.revision();
        let mut outputs = Vec::new();
        self.exchange.report_use(self.limits.uses(now));
        self.exchange.tick(now, &peers, revision, &mut outputs);
        self.exchange_outputs(now, outputs);
    }

    fn report_endpoint(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let Some(state) = self.stewards.state(endpoint) else {
            return;
        };
        self.exchange.report_endpoint(now, state);
        if let Some(state) = self.exchange.endpoint(endpoint) {
            self.router.report(now, state);
        }
    }

    fn exchange_outputs(&mut self, now: Timestamp, outputs: Vec<ExchangeOutput>) {
        for output in outputs {
            match output {
                ExchangeOutput::Send { to, mut message } => {
                    message.suspects = self.quarantine.updates(now);
                    let message = self.envelope(Body::Fleet(message));
                    self.effects.push(Effect::Send {
                        to: to.id,
                        address: to.address,
                        message,
                    });
                }
                ExchangeOutput::Offered(copy) => {
                    // A copy that is not taken is no news, or the fold counts what is wrong.
                    if self.fold.offer(&copy).is_ok() {
                        self.adopt(now, "peer");
                    }
                }
                ExchangeOutput::Endpoint(state) => {
                    self.router.report(now, &state);
                    self.report_engine(now, &state);
                }
                ExchangeOutput::Model { model, version } => self.announced(now, &model, version),
            }
        }
    }

    fn fleet_message(&mut self, now: Timestamp, from: &Sender, message: &FleetMessage) {
        for suspect in &message.suspects {
            self.quarantine.merge(now, suspect);
        }
        self.hear(&from.id, Revision(message.revision));
        if message.says_use {
            self.limits.merge(now, &from.id, &message.callers);
        }
        let mut outputs = Vec::new();
        let current = self.fold.current().cloned();
        self.exchange
            .handle(now, from, message, current.as_ref(), &mut outputs);
        self.exchange_outputs(now, outputs);
    }

    /// Returns the steward of an endpoint as this instance sees it.
    pub(super) fn steward_of(&self, endpoint: &EndpointId) -> Option<InstanceId> {
        self.stewards_of.get(endpoint).cloned()
    }

    /// Returns the address of an endpoint.
    pub(super) fn address_of(&self, endpoint: &EndpointId) -> Option<compact_str::CompactString> {
        let endpoint = self.settings.endpoints.get(endpoint)?;
        Some(endpoint.address.clone())
    }

    /// Returns the availability that an endpoint was last said to have.
    pub(super) fn availability_of(&self, endpoint: &EndpointId) -> Option<Availability> {
        let state = self.exchange.endpoint(endpoint)?;
        Some(state.availability())
    }

    /// Takes the answer of an endpoint to a poll.
    pub(super) fn polled(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        result: Result<EndpointReport, PollFailure>,
    ) {
        self.stewards.polled(now, endpoint, result);
        self.engine_polled(now, endpoint);
    }

    /// Takes the platform's list of instances.
    pub(super) fn listed(&mut self, now: Timestamp, instances: &[ListedInstance]) {
        self.membership.hint(instances);
        let endpoints = &self.settings.endpoints;
        let is_configured = |endpoint: &EndpointId| endpoints.contains_key(endpoint);
        if self.leaving.listed(now, instances, is_configured) {
            self.apply_leaving();
            self.configure_rollouts(now);
        }
    }

    /// Tells routing and queues which endpoints the platform's list says are leaving.
    pub(super) fn apply_leaving(&mut self) {
        let settings = self.settings.clone();
        for endpoint in settings.endpoints.keys() {
            let is_leaving = self.leaving.contains(endpoint);
            self.stewards.set_listed_leaving(endpoint, is_leaving);
            self.router.set_leaving(endpoint, is_leaving);
        }
    }
}
