//! Gossip of the fleet's state: endpoints, model versions, usage by callers and the revision of
//! the configuration.
//!
//! Each round sends recent changes to a few random peers. A message has a bounded size, a change is
//! sent a bounded number of times, and the newest report of a coordinator wins. Every message
//! carries the revision in force; the configuration itself is sent only on request.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use prost::Message;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64;
use wisteriaford_proto::fleet::CallerUse;
use wisteriaford_proto::fleet::EndpointState;
use wisteriaford_proto::fleet::FleetMessage;
use wisteriaford_proto::fleet::ModelVersion;
use wisteriaford_proto::record::Republication;

use crate::configuration::ConfigurationInForce;
use crate::gossip::GossipQueue;
use crate::id::EndpointId;
use crate::id::Incarnation;
use crate::id::InstanceId;
use crate::id::ModelId;
use crate::id::Revision;
use crate::id::Version;
use crate::membership::Sender;
use crate::time::Timestamp;

/// Interval between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Number of peers that get a message each round.
pub const FANOUT: usize = 3;

/// Size at which a message without a configuration is full; the last item may exceed it.
pub const MAX_MESSAGE_BYTES: usize = 1_600;

/// Maximum number of configurations that an instance sends each round.
pub const MAX_CONFIGURATIONS_PER_ROUND: usize = 4;

/// Time after which an endpoint that is no longer reported is dropped.
pub const MAX_ENDPOINT_AGE: Duration = Duration::from_secs(90);

/// Maximum number of load reports per second in the whole fleet.
pub const MAX_LOAD_REPORTS_PER_S: u32 = 30;

const MAX_ITEMS_PER_MESSAGE: usize = 32;
const REPEATS_PER_MESSAGE: usize = 4;
const MAX_COORDINATORS_PER_ENDPOINT: usize = 4;
const SEQUENCE_BITS_PER_INCARNATION: u32 = 20;

/// An action that the driver has to execute, or newly received state.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeOutput {
    /// Send a message.
    Send {
        /// Receiver.
        to: Sender,
        /// Message.
        message: FleetMessage,
    },
    /// A peer sent its configuration, which has to be offered to the fold.
    ConfigurationReceived(Box<Republication>),
    /// The state of an endpoint was updated.
    Endpoint(EndpointState),
    /// A higher version of a model became known.
    Model {
        /// Model.
        model: ModelId,
        /// Version.
        version: Version,
    },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum GossipKey {
    Model(ModelId),
    Endpoint(EndpointId),
}

struct KnownEndpoint {
    state: EndpointState,
    received_at: Timestamp,
    reported_at: Timestamp,
    sequences: IndexMap<CompactString, u64>,
}

/// State of the fleet as known to an instance, and the changes it has to send.
pub struct Exchange {
    me: InstanceId,
    rng: Pcg64,
    sequence: u64,
    next_round_at: Timestamp,
    /// Changed model versions: few, and sent before the states of endpoints.
    changed_models: GossipQueue<GossipKey>,
    changed_endpoints: GossipQueue<GossipKey>,
    endpoints: IndexMap<EndpointId, KnownEndpoint>,
    models: IndexMap<ModelId, Version>,
    local_usage: Vec<CallerUse>,
    configurations_left: usize,
    configuration_requested_at: Option<Timestamp>,
    model_cursor: usize,
    endpoint_cursor: usize,
}

impl Exchange {
    /// Returns an exchange without state; each restart of an instance needs a higher incarnation.
    #[must_use]
    pub fn new(me: InstanceId, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            me,
            rng: Pcg64::seed_from_u64(seed),
            sequence: incarnation.0 << SEQUENCE_BITS_PER_INCARNATION,
            next_round_at: Timestamp::default(),
            changed_models: GossipQueue::default(),
            changed_endpoints: GossipQueue::default(),
            endpoints: IndexMap::new(),
            models: IndexMap::new(),
            local_usage: Vec::new(),
            configurations_left: MAX_CONFIGURATIONS_PER_ROUND,
            configuration_requested_at: None,
            model_cursor: 0,
            endpoint_cursor: 0,
        }
    }

    /// Returns the newest known state of an endpoint.
    #[must_use]
    pub fn endpoint_state(&self, endpoint: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(endpoint).map(|known| &known.state)
    }

    /// Returns the newest known version of a model.
    #[must_use]
    pub fn model_version(&self, model: &ModelId) -> Version {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Reports the state of an endpoint that this instance coordinates.
    ///
    /// Overwrites `sequence` and `steward`. A change of version or availability is sent at once; a
    /// change of load alone is limited by the fleet's maximum rate of load reports.
    pub fn report_endpoint(&mut self, now: Timestamp, mut state: EndpointState) {
        let endpoint = EndpointId::from(state.endpoint.as_str());
        if let Some(known) = self.endpoints.get(&endpoint)
            && known.state.steward == self.me.as_str()
        {
            let is_unchanged = known.state.version == state.version
                && known.state.availability == state.availability;
            if is_unchanged && now.since(known.reported_at) < self.load_report_interval() {
                return;
            }
        }
        self.sequence += 1;
        state.sequence = self.sequence;
        state.steward = self.me.to_string();
        self.apply_endpoint(now, &state);
    }

    /// Sets the current usage by callers at this instance.
    pub fn report_caller_usage(&mut self, callers: Vec<CallerUse>) {
        self.local_usage = callers;
    }

    /// Records a version of a model announced by the weight store or a peer; returns whether it is
    /// higher than the known one.
    pub fn announce_model(&mut self, model: &ModelId, version: Version) -> bool {
        if version <= self.model_version(model) {
            return false;
        }
        self.models.insert(model.clone(), version);
        self.changed_models.push(GossipKey::Model(model.clone()));
        true
    }

    /// Returns whether the next round is due.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_round_at
    }

    /// Sends changes to a few live peers when a round is due.
    ///
    /// Has to be called several times a second.
    pub fn tick(
        &mut self,
        now: Timestamp,
        peers: &[Sender],
        revision: Revision,
        out: &mut Vec<ExchangeOutput>,
    ) {
        if !self.is_due(now) {
            return;
        }
        self.next_round_at = now + ROUND_INTERVAL;
        self.configurations_left = MAX_CONFIGURATIONS_PER_ROUND;
        self.expire(now);
        for to in peers.iter().sample(&mut self.rng, FANOUT) {
            let message = self.message(peers.len() + 1, revision);
            let to = to.clone();
            out.push(ExchangeOutput::Send { to, message });
        }
    }

    /// Handles a message from a peer; `current` is the configuration in force at this instance.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: &Sender,
        message: &FleetMessage,
        current: Option<&ConfigurationInForce>,
        out: &mut Vec<ExchangeOutput>,
    ) {
        self.merge(now, message, out);
        for copy in message.configuration.iter().take(1) {
            self.configuration_requested_at = None;
            out.push(ExchangeOutput::ConfigurationReceived(Box::new(
                copy.clone(),
            )));
        }
        let revision = current.map_or(Revision(0), |current| current.revision);
        let peer_revision = Revision(message.revision);
        let mut answer = FleetMessage {
            revision: revision.0,
            ..FleetMessage::default()
        };
        if peer_revision > revision && message.configuration.is_empty() {
            if self
                .configuration_requested_at
                .is_some_and(|at| now.since(at) < ROUND_INTERVAL)
            {
                return;
            }
            self.configuration_requested_at = Some(now);
            answer.wants_configuration = true;
        } else if peer_revision < revision && message.wants_configuration {
            if self.configurations_left == 0 {
                return;
            }
            self.configurations_left -= 1;
            answer.configuration = current
                .iter()
                .map(|current| current.republication())
                .collect();
        } else if peer_revision >= revision {
            return;
        }
        let to = from.clone();
        out.push(ExchangeOutput::Send {
            to,
            message: answer,
        });
    }

    fn merge(&mut self, now: Timestamp, message: &FleetMessage, out: &mut Vec<ExchangeOutput>) {
        for state in &message.endpoints {
            if state.steward != self.me.as_str() && self.apply_endpoint(now, state) {
                out.push(ExchangeOutput::Endpoint(state.clone()));
            }
        }
        for known in &message.models {
            let model = ModelId::from(known.model.as_str());
            let version = Version(known.version);
            if self.announce_model(&model, version) {
                out.push(ExchangeOutput::Model { model, version });
            }
        }
    }

    fn apply_endpoint(&mut self, now: Timestamp, state: &EndpointState) -> bool {
        let endpoint = EndpointId::from(state.endpoint.as_str());
        let coordinator = CompactString::from(state.steward.as_str());
        let known = self.endpoints.get(&endpoint);
        let last_sequence = known.and_then(|known| known.sequences.get(&coordinator));
        if last_sequence.is_some_and(|&last_sequence| state.sequence <= last_sequence) {
            return false;
        }
        let known = self.endpoints.swap_remove(&endpoint);
        let mut sequences = known.map(|known| known.sequences).unwrap_or_default();
        sequences.shift_remove(&coordinator);
        sequences.insert(coordinator, state.sequence);
        if sequences.len() > MAX_COORDINATORS_PER_ENDPOINT {
            sequences.shift_remove_index(0);
        }
        let state = state.clone();
        let known = KnownEndpoint {
            state,
            received_at: now,
            reported_at: now,
            sequences,
        };
        self.endpoints.insert(endpoint.clone(), known);
        self.changed_endpoints.push(GossipKey::Endpoint(endpoint));
        true
    }

    fn expire(&mut self, now: Timestamp) {
        self.endpoints
            .retain(|_, known| now.since(known.received_at) < MAX_ENDPOINT_AGE);
    }

    fn load_report_interval(&self) -> Duration {
        let endpoints = u32::try_from(self.endpoints.len()).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) * endpoints / MAX_LOAD_REPORTS_PER_S;
        interval.clamp(Duration::from_secs(1), MAX_ENDPOINT_AGE / 3)
    }

    fn message(&mut self, members: usize, revision: Revision) -> FleetMessage {
        let mut message = FleetMessage {
            revision: revision.0,
            callers: self.local_usage.clone(),
            says_use: true,
            ..FleetMessage::default()
        };
        let mut bytes = message.encoded_len();
        for key in self
            .changed_models
            .next_batch(MAX_ITEMS_PER_MESSAGE, members)
        {
            if bytes < MAX_MESSAGE_BYTES {
                bytes += self.append(&key, &mut message);
            } else {
                // No space left: put the key back, counted as not sent.
                self.changed_models.push(key);
            }
        }
        if let Some(key) = self.model_repeat()
            && bytes < MAX_MESSAGE_BYTES
        {
            bytes += self.append(&key, &mut message);
        }
        for key in self
            .changed_endpoints
            .next_batch(MAX_ITEMS_PER_MESSAGE, members)
        {
            if bytes < MAX_MESSAGE_BYTES {
                bytes += self.append(&key, &mut message);
            } else {
                self.changed_endpoints.push(key);
            }
        }
        for key in self.endpoint_repeats() {
            if bytes < MAX_MESSAGE_BYTES {
                bytes += self.append(&key, &mut message);
            }
        }
        message
    }

    /// Returns the next model to send again, for peers that missed every message with its version.
    ///
    /// It is sent before the states of endpoints, which fill all messages in a large fleet.
    fn model_repeat(&mut self) -> Option<GossipKey> {
        self.model_cursor += 1;
        let position = self.model_cursor % self.models.len().max(1);
        let (model, _) = self.models.get_index(position)?;
        Some(GossipKey::Model(model.clone()))
    }

    /// Returns the next endpoints to send again in the remaining space of a message.
    fn endpoint_repeats(&mut self) -> Vec<GossipKey> {
        let mut keys = Vec::new();
        for _ in 0..REPEATS_PER_MESSAGE {
            self.endpoint_cursor += 1;
            let position = self.endpoint_cursor % self.endpoints.len().max(1);
            let endpoint = self.endpoints.get_index(position);
            keys.extend(endpoint.map(|(endpoint, _)| GossipKey::Endpoint(endpoint.clone())));
        }
        keys
    }

    fn append(&self, key: &GossipKey, message: &mut FleetMessage) -> usize {
        match key {
            GossipKey::Endpoint(endpoint) => {
                let Some(known) = self.endpoints.get(endpoint) else {
                    return 0;
                };
                message.endpoints.push(known.state.clone());
                known.state.encoded_len()
            }
            GossipKey::Model(model) => {
                message.models.push(ModelVersion {
                    model: model.to_string(),
                    version: self.model_version(model).0,
                });
                model.as_str().len() + size_of::<u64>()
            }
        }
    }
}
