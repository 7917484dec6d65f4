//! Other instances, endpoints looked after, and what is spread between instances.

use std::time::Duration;

use wisteriaford_proto::admission::AdmissionMessage;
use wisteriaford_proto::admission::SlotGrant;
use wisteriaford_proto::admission::SlotHeartbeat;
use wisteriaford_proto::admission::SlotRefusal;
use wisteriaford_proto::admission::SlotRefusalReason;
use wisteriaford_proto::admission::admission_message::Body as AdmissionBody;
use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::EndpointState;
use wisteriaford_proto::fleet::FleetMessage;
use wisteriaford_proto::peer::PeerMessage;
use wisteriaford_proto::peer::peer_message::Body;
use wisteriaford_proto::step::StepMessage;

use super::Instance;
use super::status::availability_name;
use super::status::member_state_name;
use crate::admission::QueueOutput;
use crate::admission::SlotDenial;
use crate::counters::Counter;
use crate::effect::Effect;
use crate::event::EndpointReport;
use crate::event::OrderAnswer;
use crate::event::PollFailure;
use crate::id::AttemptId;
use crate::id::EndpointId;
use crate::id::Fence;
use crate::id::InstanceId;
use crate::id::ModelId;
use crate::id::Version;
use crate::membership::ListedInstance;
use crate::membership::ListedState;
use crate::membership::MemberState;
use crate::membership::MembershipOutput;
use crate::membership::Sender;
use crate::note::Note;
use crate::placement::EndpointPlace;
use crate::placement::Placement;
use crate::settings::Pool;
use crate::steward::HEARTBEAT_INTERVAL;
use crate::steward::StewardOutput;
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
                self.membership_outputs(now, outputs);
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

    fn admission(&mut self, now: Timestamp, from: &InstanceId, message: &AdmissionMessage) {
        match &message.body {
            Some(AdmissionBody::Request(request)) => {
                if let Err(denial) = self.stewards.request(now, from, request) {
                    let attempt = AttemptId::from(request.attempt.as_str());
                    let endpoint = EndpointId::from(request.endpoint.as_str());
                    self.deny(now, from, &attempt, &endpoint, denial);
                }
            }
            Some(AdmissionBody::Grant(grant)) => self.granted(now, grant),
            Some(AdmissionBody::Release(release)) => {
                let endpoint = EndpointId::from(release.endpoint.as_str());
                let attempt = AttemptId::from(release.attempt.as_str());
                let failed = release.failed;
                self.stewards
                    .release(now, &endpoint, &attempt, release.tokens, failed);
            }
            Some(AdmissionBody::Refusal(refusal)) => self.denied(now, refusal),
            Some(AdmissionBody::Heartbeat(heartbeat)) => {
                self.stewards.heartbeat(now, from, &heartbeat.held);
            }
            None => {}
        }
    }

    fn deny(
        &mut self,
        now: Timestamp,
        to: &InstanceId,
        attempt: &AttemptId,
        endpoint: &EndpointId,
        denial: SlotDenial,
    ) {
        let retry_after = denial.retry_after.unwrap_or_default();
        let refusal = SlotRefusal {
            attempt: attempt.to_string(),
            endpoint: endpoint.to_string(),
            reason: SlotRefusalReason::from(denial.reason).into(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        };
        self.send_admission(now, to, AdmissionBody::Refusal(refusal));
    }

    /// Lets the endpoints that are looked after be polled, and their queues grant and deny.
    pub(super) fn poll_stewards(&mut self, now: Timestamp) {
        let mut outputs = Vec::new();
        self.stewards.poll(now, &mut outputs);
        for output in outputs {
            self.steward_output(now, output);
        }
    }

    fn steward_output(&mut self, now: Timestamp, output: StewardOutput) {
        match output {
            StewardOutput::Queue(endpoint, output) => self.queue_output(now, &endpoint, output),
            StewardOutput::Poll(endpoint, address) => {
                self.effects.push(Effect::Poll { endpoint, address });
            }
            StewardOutput::Changed {
                endpoint,
                from,
                to,
                cause,
            } => self.note(Note::EndpointChanged {
                endpoint,
                from: availability_name(from),
                to: availability_name(to),
                cause,
            }),
            StewardOutput::Crashed {
                endpoint,
                crash,
                suspects,
            } => {
                self.counters.add(Counter::EndpointCrashes, 1);
                self.quarantine.note_crash(now, &crash, &suspects);
                let suspects = suspects.len();
                self.note(Note::EndpointCrashed { endpoint, suspects });
            }
            StewardOutput::Reached(endpoint, version) => {
                self.note(Note::SwapDone { endpoint, version });
            }
        }
    }

    fn queue_output(&mut self, now: Timestamp, endpoint: &EndpointId, output: QueueOutput) {
        match output {
            QueueOutput::Grant {
                attempt,
                to,
                ttl,
                version,
            } => {
                let grant = SlotGrant {
                    attempt: attempt.to_string(),
                    endpoint: endpoint.to_string(),
                    ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
                    version: version.0,
                };
                self.send_admission(now, &to, AdmissionBody::Grant(grant));
            }
            QueueOutput::Deny {
                attempt,
                to,
                denial,
            } => self.deny(now, &to, &attempt, endpoint, denial),
        }
    }

    /// Sends a message about slots, or handles it at once if it is for this instance.
    pub(super) fn send_admission(&mut self, now: Timestamp, to: &InstanceId, body: AdmissionBody) {
        let message = AdmissionMessage { body: Some(body) };
        if *to == self.identity.id {
            let me = self.identity.id.clone();
            self.admission(now, &me, &message);
            return;
        }
        self.send(to, Body::Admission(message));
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
    fn send(&mut self, to: &InstanceId, body: Body) {
        let member = self.membership.members().find(|member| member.id == *to);
        let Some(address) = member.map(|member| member.address.clone()) else {
            return;
        };
        let message = self.envelope(body);
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
        self.membership_outputs(now, outputs);
        self.place(now);
        if now >= self.timers.next_heartbeat {
            self.timers.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.heartbeat(now);
            self.spread(now);
        }
        if now >= self.timers.next_listing {
            self.timers.next_listing = now + INSTANCES_INTERVAL;
            self.effects.push(Effect::PollInstances);
        }
        if now >= self.timers.next_models {
            self.timers.next_models = now + MODELS_INTERVAL;
            self.poll_models();
        }
    }

    /// Renews the slots held here at the stewards of their endpoints.
    fn heartbeat(&mut self, now: Timestamp) {
        for (steward, held) in self.held_by_steward() {
            let heartbeat = SlotHeartbeat { held };
            self.send_admission(now, &steward, AdmissionBody::Heartbeat(heartbeat));
        }
    }

    /// Takes over the endpoints that fall to this instance and leaves those that do not.
    fn place(&mut self, now: Timestamp) {
        if self.is_placed {
            return;
        }
        self.is_placed = true;
        self.placement = self.membership.alive().collect();
        let settings = self.settings.clone();
        self.stewards_of = settings
            .endpoints
            .values()
            .filter_map(|endpoint| {
                let place = EndpointPlace::from(endpoint);
                let steward = self.placement.steward(&place)?;
                Some((endpoint.id.clone(), steward.id.clone()))
            })
            .collect();
        let held: Vec<EndpointId> = self.stewards.endpoints().cloned().collect();
        for endpoint in held {
            self.leave_endpoint(endpoint);
        }
        for endpoint in settings.endpoints.keys() {
            self.take_endpoint(now, endpoint);
        }
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

    fn membership_outputs(&mut self, _now: Timestamp, outputs: Vec<MembershipOutput>) {
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
        self.membership_outputs(now, outputs);
        self.is_placed = false;
        self.place(now);
    }

    /// Spreads the state of the endpoints looked after, and the revision in force.
    fn spread(&mut self, now: Timestamp) {
        let endpoints: Vec<EndpointId> = self.stewards.endpoints().cloned().collect();
        let states = endpoints.iter().filter_map(|id| self.stewards.state(id));
        let states: Vec<_> = states.collect();
        for state in &states {
            self.router.report(now, state);
            self.take_state(state);
        }
        let message = FleetMessage {
            revision: self.fold.revision().0,
            wants_configuration: false,
            configuration: self
                .fold
                .current()
                .map(crate::configuration::InForce::republication)
                .into_iter()
                .collect(),
            endpoints: states,
            suspects: self.quarantine.updates(now),
            callers: Vec::new(),
            models: Vec::new(),
        };
        let alive = self.membership.alive().map(|member| member.id.clone());
        for member in alive.collect::<Vec<_>>() {
            if member != self.identity.id {
                self.send(&member, Body::Fleet(message.clone()));
            }
        }
    }

    fn fleet_message(&mut self, now: Timestamp, _from: &Sender, message: &FleetMessage) {
        for state in &message.endpoints {
            self.router.report(now, state);
            self.take_state(state);
        }
        for suspect in &message.suspects {
            self.quarantine.merge(now, suspect);
        }
        if let Some(copy) = message.configuration.first()
            && self.fold.offer(copy).is_ok()
        {
            self.adopt("peer");
        }
    }

    fn take_state(&mut self, state: &EndpointState) {
        let endpoint = EndpointId::from(state.endpoint.as_str());
        self.endpoint_states.insert(endpoint, state.clone());
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
        let state = self.endpoint_states.get(endpoint)?;
        Some(state.availability())
    }

    /// Returns the slots of a pool that seem to be free.
    pub(super) fn free_slots(&self, pool: &Pool) -> usize {
        let endpoints = pool.endpoints.iter();
        endpoints
            .filter_map(|id| self.settings.endpoints.get(id))
            .filter_map(|endpoint| {
                let state = self.endpoint_states.get(&endpoint.id)?;
                let is_serving = state.availability() == Availability::Serving;
                let taken = (state.in_flight + state.queued) as usize;
                is_serving.then(|| endpoint.slots.saturating_sub(taken))
            })
            .sum()
    }

    /// Takes the answer of an endpoint to a poll.
    pub(super) fn polled(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        result: Result<EndpointReport, PollFailure>,
    ) {
        self.stewards.polled(now, endpoint, result);
        self.order(endpoint);
    }

    /// Orders an endpoint to reach the newest version of its model.
    fn order(&mut self, endpoint: &EndpointId) {
        let Some(report) = self.stewards.report(endpoint) else {
            return;
        };
        let settings = &self.settings;
        let pool = settings.pool_of(endpoint);
        let Some(model) = pool.and_then(|pool| pool.model.as_ref()) else {
            return;
        };
        let Some(&version) = self.versions.get(model) else {
            return;
        };
        if report.version >= version || report.loading_version >= version {
            return;
        }
        let Some(address) = self.address_of(endpoint) else {
            return;
        };
        let fence = Fence(1);
        self.counters.add(Counter::Orders, 1);
        self.effects.push(Effect::Order {
            endpoint: endpoint.clone(),
            address,
            fence,
            version,
        });
    }

    /// Takes the answer of an endpoint to an order.
    pub(super) fn ordered(&mut self, _now: Timestamp, endpoint: &EndpointId, answer: OrderAnswer) {
        if answer == OrderAnswer::Fenced {
            self.counters.add(Counter::OrdersFenced, 1);
            let endpoint = endpoint.clone();
            self.note(Note::OrderFenced {
                endpoint,
                fence: Fence(1),
            });
        }
    }

    /// Takes the platform's list of instances.
    pub(super) fn listed(&mut self, instances: &[ListedInstance]) {
        self.membership.hint(instances);
        for listed in instances {
            let endpoint = EndpointId::from(listed.id.as_str());
            let is_leaving = listed.state == ListedState::Leaving;
            if is_leaving && self.settings.endpoints.contains_key(&endpoint) {
                self.stewards.note_leaving(&endpoint, "instance list");
                self.router.set_leaving(&endpoint, true);
                self.leaving_endpoints.insert(endpoint);
            }
        }
    }

    fn poll_models(&mut self) {
        let models = self.settings.pools.values();
        let models: Vec<ModelId> = models.filter_map(|pool| pool.model.clone()).collect();
        for model in models {
            self.effects.push(Effect::PollModel(model));
        }
    }

    /// Takes the newest version of a model.
    pub(super) fn announced(&mut self, model: &ModelId, version: Version) {
        let known = self.versions.entry(model.clone()).or_default();
        if version > *known {
            *known = version;
            let model = model.clone();
            self.note(Note::VersionAnnounced { model, version });
        }
    }
}
