//! Membership, placement of endpoints, and gossip between instances.

use std::time::Duration;

use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::FleetMessage;
use wisteriaford_proto::peer::PeerMessage;
use wisteriaford_proto::peer::peer_message::Body;
use wisteriaford_proto::step::StepMessage;

use super::Instance;
use super::status::member_state_name;
use crate::coordinator::HEARTBEAT_INTERVAL;
use crate::counters::Counter;
use crate::diagnostic::Diagnostic;
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
use crate::placement::EndpointLocation;
use crate::time::Timestamp;

/// Interval between reads of the platform's instance list.
const INSTANCE_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between queries of the weight store for the newest versions.
const MODEL_POLL_INTERVAL: Duration = Duration::from_secs(1);

impl Instance {
    /// Dispatches a message of a peer to the component it is for.
    pub(super) fn on_peer_message(&mut self, now: Timestamp, message: &PeerMessage) {
        self.counters.add(Counter::PeerMessages, 1);
        let sender = Sender {
            id: InstanceId::from(message.sender.as_str()),
            address: message.sender_address.as_str().into(),
        };
        match &message.body {
            Some(Body::Membership(body)) => {
                let mut outputs = Vec::new();
                self.membership.handle(now, &sender, body, &mut outputs);
                self.apply_membership_outputs(outputs);
            }
            Some(Body::Admission(body)) => self.on_admission_message(now, &sender.id, body),
            Some(Body::Step(body)) => self.on_step_message(now, &sender.id, body),
            Some(Body::Fleet(body)) => self.on_fleet_message(now, &sender, body),
            None => {}
        }
    }

    fn on_step_message(&mut self, now: Timestamp, from: &InstanceId, message: &StepMessage) {
        self.with_steps(now, |steps, view, out| {
            // Malformed messages are dropped; the sender retransmits.
            let _ = steps.handle_message(now, from, message, view, out);
        });
    }

    /// Sends a message about a step, or handles it directly if it is for this instance.
    pub(super) fn send_step_message(
        &mut self,
        now: Timestamp,
        to: &InstanceId,
        message: StepMessage,
    ) {
        if *to == self.identity.id {
            let local_id = self.identity.id.clone();
            self.on_step_message(now, &local_id, &message);
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
        // Both sides know the members, so the ID alone identifies the sender.
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

    /// Creates a message that carries the address and incarnation of this instance besides its ID.
    fn envelope(&self, body: Body) -> PeerMessage {
        PeerMessage {
            sender: self.identity.id.to_string(),
            sender_address: self.identity.address.to_string(),
            sender_incarnation: self.identity.incarnation.0,
            body: Some(body),
        }
    }

    /// Performs the periodic work for other instances and endpoints.
    pub(super) fn tick_fleet(&mut self, now: Timestamp) {
        let mut outputs = Vec::new();
        self.membership.tick(now, &mut outputs);
        self.apply_membership_outputs(outputs);
        self.update_placement(now);
        if now >= self.timers.next_heartbeat {
            self.timers.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_slot_heartbeats(now);
            self.republish_configuration(now);
        }
        self.fall_back_to_peer_revision(now);
        self.gossip_state(now);
        self.tick_rollouts(now);
        if now >= self.timers.next_instance_poll {
            self.timers.next_instance_poll = now + INSTANCE_POLL_INTERVAL;
            self.effects.push(Effect::PollInstances);
        }
        if now >= self.timers.next_model_poll {
            self.timers.next_model_poll = now + MODEL_POLL_INTERVAL;
            self.poll_models();
        }
    }

    /// Takes over the endpoints assigned to this instance and gives up all others.
    fn update_placement(&mut self, now: Timestamp) {
        if self.is_placement_current {
            return;
        }
        self.is_placement_current = true;
        self.placement = self.membership.eligible().collect();
        if self.placement.candidates().is_empty() {
            self.placement = self.membership.not_dead().collect();
        }
        let instances = self.placement.candidates().len();
        self.budget.set_instances(now, instances);
        self.limits.set_members(instances);
        // Heartbeats inform a new coordinator of running attempts, so that it can grant slots soon.
        self.timers.next_heartbeat = now;
        let settings = self.settings.clone();
        if self.placement_revision == self.revision_in_force {
            self.coordinator_table.set_candidates(&self.placement);
        } else {
            self.placement_revision = self.revision_in_force;
            let locations = settings.endpoints.values().map(EndpointLocation::from);
            let locations = locations.collect();
            self.coordinator_table
                .set_endpoints(locations, &self.placement);
        }
        let held: Vec<EndpointId> = self.coordinator.endpoints().cloned().collect();
        for endpoint in held {
            self.release_endpoint(endpoint);
        }
        for endpoint in settings.endpoints.keys() {
            self.acquire_endpoint(now, endpoint);
        }
        self.apply_leaving_endpoints();
        let coordinator = &self.coordinator;
        self.leases
            .retain(|endpoint| coordinator.coordinates(endpoint));
    }

    fn acquire_endpoint(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let is_assigned = self.coordinator_table.get(endpoint) == Some(&self.identity.id);
        let settings = self.settings.clone();
        if is_assigned && self.coordinator.take_over(now, &settings, endpoint) {
            let endpoint = endpoint.clone();
            self.emit_diagnostic(Diagnostic::StewardTaken { endpoint });
        }
    }

    fn release_endpoint(&mut self, endpoint: EndpointId) {
        let to = self.coordinator_table.get(&endpoint).cloned();
        if to.as_ref() == Some(&self.identity.id) {
            return;
        }
        self.coordinator.give_up(&endpoint);
        self.emit_diagnostic(Diagnostic::StewardLeft { endpoint, to });
    }

    fn apply_membership_outputs(&mut self, outputs: Vec<MembershipOutput>) {
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
                    self.is_placement_current = false;
                    if to == Some(MemberState::Dead) {
                        self.coordinator.remove_instance(&member.id);
                    }
                    let name = |state: Option<MemberState>| state.map_or("none", member_state_name);
                    self.emit_diagnostic(Diagnostic::MemberChanged {
                        member: member.id,
                        from: name(from),
                        to: name(to),
                        cause: cause.to_string(),
                    });
                }
            }
        }
    }

    /// Announces that this instance is leaving, so that nothing is assigned to it any more.
    pub(super) fn leave_fleet(&mut self, now: Timestamp) {
        let mut outputs = Vec::new();
        self.membership.leave(now, &mut outputs);
        self.apply_membership_outputs(outputs);
        self.is_placement_current = false;
        self.update_placement(now);
    }

    /// Sends changed state to a few peers.
    fn gossip_state(&mut self, now: Timestamp) {
        let endpoints: Vec<EndpointId> = self.coordinator.endpoints().cloned().collect();
        for endpoint in endpoints {
            self.publish_endpoint_state(now, &endpoint);
        }
        if !self.exchange.is_due(now) {
            return;
        }
        let eligible = self.membership.eligible();
        let remote = eligible.filter(|member| member.id != self.identity.id);
        let peers: Vec<Sender> = remote
            .map(|member| Sender {
                id: member.id.clone(),
                address: member.address.clone(),
            })
            .collect();
        let revision = self.fold.revision();
        let mut outputs = Vec::new();
        self.exchange.report_caller_usage(self.limits.uses(now));
        self.exchange.tick(now, &peers, revision, &mut outputs);
        self.apply_exchange_outputs(now, outputs);
    }

    fn publish_endpoint_state(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let Some(state) = self.coordinator.state(endpoint) else {
            return;
        };
        self.exchange.report_endpoint(now, state);
        if let Some(state) = self.exchange.endpoint_state(endpoint) {
            self.router.apply_report(now, state);
        }
    }

    fn apply_exchange_outputs(&mut self, now: Timestamp, outputs: Vec<ExchangeOutput>) {
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
                ExchangeOutput::ConfigurationReceived(copy) => {
                    // A rejected copy is either not newer or an error that the fold counts.
                    if self.fold.offer(&copy).is_ok() {
                        self.apply_current_revision(now, "peer");
                    }
                }
                ExchangeOutput::Endpoint(state) => {
                    self.router.apply_report(now, &state);
                    self.update_rollout_from_peer(now, &state);
                }
                ExchangeOutput::Model { model, version } => self.on_version(now, &model, version),
            }
        }
    }

    fn on_fleet_message(&mut self, now: Timestamp, from: &Sender, message: &FleetMessage) {
        for suspect in &message.suspects {
            self.quarantine.merge(now, suspect);
        }
        self.record_peer_revision(&from.id, Revision(message.revision));
        if message.says_use {
            self.limits.merge(now, &from.id, &message.callers);
        }
        let mut outputs = Vec::new();
        let current = self.fold.current().cloned();
        self.exchange
            .handle(now, from, message, current.as_ref(), &mut outputs);
        self.apply_exchange_outputs(now, outputs);
    }

    /// Returns the coordinator of an endpoint according to the local view.
    pub(super) fn coordinator_of(&self, endpoint: &EndpointId) -> Option<InstanceId> {
        self.coordinator_table.get(endpoint).cloned()
    }

    /// Returns the address of an endpoint.
    pub(super) fn address_of(&self, endpoint: &EndpointId) -> Option<compact_str::CompactString> {
        let endpoint = self.settings.endpoints.get(endpoint)?;
        Some(endpoint.address.clone())
    }

    /// Returns the last reported availability of an endpoint.
    pub(super) fn availability_of(&self, endpoint: &EndpointId) -> Option<Availability> {
        let state = self.exchange.endpoint_state(endpoint)?;
        Some(state.availability())
    }

    /// Handles the result of polling an endpoint.
    pub(super) fn on_endpoint_polled(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        result: Result<EndpointReport, PollFailure>,
    ) {
        self.coordinator.on_poll_result(now, endpoint, result);
        self.update_rollout_from_poll(now, endpoint);
    }

    /// Handles the platform's instance list.
    pub(super) fn on_instance_list(&mut self, now: Timestamp, instances: &[ListedInstance]) {
        self.membership.apply_instance_list(instances);
        let endpoints = &self.settings.endpoints;
        let is_configured = |endpoint: &EndpointId| endpoints.contains_key(endpoint);
        if self.leaving.apply_list(now, instances, is_configured) {
            self.apply_leaving_endpoints();
            self.configure_rollouts(now);
        }
    }

    /// Passes the endpoints that the platform's list marks as leaving to routing and queues.
    pub(super) fn apply_leaving_endpoints(&mut self) {
        let settings = self.settings.clone();
        for endpoint in settings.endpoints.keys() {
            let is_leaving = self.leaving.contains(endpoint);
            self.coordinator.set_listed_leaving(endpoint, is_leaving);
            self.router.set_leaving(endpoint, is_leaving);
        }
    }
}
