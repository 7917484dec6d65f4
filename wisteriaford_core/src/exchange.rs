//! Gossip of the fleet's state: endpoints, versions, use by callers, the revision.
//!
//! Each round a few random peers get what changed, within a bound of bytes; each piece is sent a
//! bounded number of times, and the newest report of a steward wins. The revision in force rides
//! on every message; its content goes only to who asks for it.

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

use crate::configuration::InForce;
use crate::gossip::Gossip;
use crate::id::EndpointId;
use crate::id::Incarnation;
use crate::id::InstanceId;
use crate::id::ModelId;
use crate::id::Revision;
use crate::id::Version;
use crate::membership::Sender;
use crate::time::Timestamp;

/// Time from one round to the next.
pub const ROUND: Duration = Duration::from_millis(500);

/// Peers that get a message each round.
pub const FANOUT: usize = 3;

/// Bytes of a message, without the content of a configuration.
pub const MAX_MESSAGE_BYTES: usize = 1_600;

/// Contents of a configuration that an instance hands out each round.
pub const CONTENTS_A_ROUND: usize = 4;

/// Time after which what nobody reports any more is dropped.
pub const MAX_AGE: Duration = Duration::from_secs(90);

/// Reports of load a second that the whole fleet may spread.
pub const LOAD_REPORTS_PER_S: u32 = 30;

const MAX_ITEMS: usize = 32;
const REPEATS_A_MESSAGE: usize = 4;
const MAX_STEWARDS: usize = 4;
const SEQUENCES_A_RUN_BITS: u32 = 20;

/// What is to be done or has become known.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeOutput {
    /// A message is to be sent.
    Send {
        /// Receiver.
        to: Sender,
        /// Message.
        message: FleetMessage,
    },
    /// A peer handed out its configuration, to be offered to the fold.
    Offered(Box<Republication>),
    /// The state of an endpoint is news.
    Endpoint(EndpointState),
    /// A higher version of a model is known.
    Model {
        /// Model.
        model: ModelId,
        /// Version.
        version: Version,
    },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Key {
    Model(ModelId),
    Endpoint(EndpointId),
}

struct KnownEndpoint {
    state: EndpointState,
    heard_at: Timestamp,
    reported_at: Timestamp,
    sequences: IndexMap<CompactString, u64>,
}

/// State that an instance has of the fleet, and what it spreads of it.
pub struct Exchange {
    me: InstanceId,
    random: Pcg64,
    sequence: u64,
    round_at: Timestamp,
    /// Versions of models: few, and sent before the states of endpoints.
    urgent: Gossip<Key>,
    gossip: Gossip<Key>,
    endpoints: IndexMap<EndpointId, KnownEndpoint>,
    models: IndexMap<ModelId, Version>,
    own_use: Vec<CallerUse>,
    contents_left: usize,
    asked_at: Option<Timestamp>,
    repeated: usize,
    repeated_endpoints: usize,
}

impl Exchange {
    /// Makes an exchange that knows nothing; each run needs a higher incarnation.
    #[must_use]
    pub fn new(me: InstanceId, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            me,
            random: Pcg64::seed_from_u64(seed),
            sequence: incarnation.0 << SEQUENCES_A_RUN_BITS,
            round_at: Timestamp::default(),
            urgent: Gossip::default(),
            gossip: Gossip::default(),
            endpoints: IndexMap::new(),
            models: IndexMap::new(),
            own_use: Vec::new(),
            contents_left: CONTENTS_A_ROUND,
            asked_at: None,
            repeated: 0,
            repeated_endpoints: 0,
        }
    }

    /// Returns the newest state known of an endpoint.
    #[must_use]
    pub fn endpoint(&self, endpoint: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(endpoint).map(|known| &known.state)
    }

    /// Returns the newest version known of a model.
    #[must_use]
    pub fn model(&self, model: &ModelId) -> Version {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Takes the state of an endpoint stewarded here; `sequence` and `steward` are set here.
    ///
    /// A change of version or availability is spread at once, a change of load alone no more
    /// often than the fleet's bound on reports of load allows.
    pub fn report_endpoint(&mut self, now: Timestamp, mut state: EndpointState) {
        let endpoint = EndpointId::from(state.endpoint.as_str());
        if let Some(known) = self.endpoints.get(&endpoint)
            && known.state.steward == self.me.as_str()
        {
            let same = known.state.version == state.version
                && known.state.availability == state.availability;
            if same && now.since(known.reported_at) < self.load_interval() {
                return;
            }
        }
        self.sequence += 1;
        state.sequence = self.sequence;
        state.steward = self.me.to_string();
        self.take_endpoint(now, &state);
    }

    /// Takes what callers use here now.
    pub fn report_use(&mut self, callers: Vec<CallerUse>) {
        self.own_use = callers;
    }

    /// Takes a version that the weight store announced; returns whether it is news.
    pub fn announce_model(&mut self, model: &ModelId, version: Version) -> bool {
        if version <= self.model(model) {
            return false;
        }
        self.models.insert(model.clone(), version);
        self.urgent.push(Key::Model(model.clone()));
        true
    }

    /// Returns whether the next round is due.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.round_at
    }

    /// Sends what is due to a few of the peers that are alive; to be called several times a second.
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
        self.round_at = now + ROUND;
        self.contents_left = CONTENTS_A_ROUND;
        self.expire(now);
        for to in peers.iter().sample(&mut self.random, FANOUT) {
            let message = self.message(peers.len() + 1, revision);
            let to = to.clone();
            out.push(ExchangeOutput::Send { to, message });
        }
    }

    /// Takes a message of a peer; `current` is the configuration in force here.
    pub fn handle(
        &mut self,
        now: Timestamp,
        from: &Sender,
        message: &FleetMessage,
        current: Option<&InForce>,
        out: &mut Vec<ExchangeOutput>,
    ) {
        self.merge(now, message, out);
        for copy in message.configuration.iter().take(1) {
            self.asked_at = None;
            out.push(ExchangeOutput::Offered(Box::new(copy.clone())));
        }
        let revision = current.map_or(Revision(0), |current| current.revision);
        let theirs = Revision(message.revision);
        let mut answer = FleetMessage {
            revision: revision.0,
            ..FleetMessage::default()
        };
        if theirs > revision && message.configuration.is_empty() {
            if self.asked_at.is_some_and(|at| now.since(at) < ROUND) {
                return;
            }
            self.asked_at = Some(now);
            answer.wants_configuration = true;
        } else if theirs < revision && message.wants_configuration {
            if self.contents_left == 0 {
                return;
            }
            self.contents_left -= 1;
            answer.configuration = current.iter().map(|c| c.republication()).collect();
        } else if theirs >= revision {
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
            if state.steward != self.me.as_str() && self.take_endpoint(now, state) {
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

    fn take_endpoint(&mut self, now: Timestamp, state: &EndpointState) -> bool {
        let endpoint = EndpointId::from(state.endpoint.as_str());
        let steward = CompactString::from(state.steward.as_str());
        let known = self.endpoints.get(&endpoint);
        let last = known.and_then(|known| known.sequences.get(&steward));
        if last.is_some_and(|&last| state.sequence <= last) {
            return false;
        }
        let known = self.endpoints.swap_remove(&endpoint);
        let mut sequences = known.map(|known| known.sequences).unwrap_or_default();
        sequences.shift_remove(&steward);
        sequences.insert(steward, state.sequence);
        if sequences.len() > MAX_STEWARDS {
            sequences.shift_remove_index(0);
        }
        let state = state.clone();
        let known = KnownEndpoint {
            state,
            heard_at: now,
            reported_at: now,
            sequences,
        };
        self.endpoints.insert(endpoint.clone(), known);
        self.gossip.push(Key::Endpoint(endpoint));
        true
    }

    fn expire(&mut self, now: Timestamp) {
        self.endpoints
            .retain(|_, known| now.since(known.heard_at) < MAX_AGE);
    }

    fn load_interval(&self) -> Duration {
        let endpoints = u32::try_from(self.endpoints.len()).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) * endpoints / LOAD_REPORTS_PER_S;
        interval.clamp(Duration::from_secs(1), MAX_AGE / 3)
    }

    fn message(&mut self, members: usize, revision: Revision) -> FleetMessage {
        let mut message = FleetMessage {
            revision: revision.0,
            callers: self.own_use.clone(),
            says_use: true,
            ..FleetMessage::default()
        };
        let mut bytes = message.encoded_len();
        for key in self.urgent.take(MAX_ITEMS, members) {
            if bytes < MAX_MESSAGE_BYTES {
                bytes += self.add(&key, &mut message);
            } else {
                // What has no room is not sent yet.
                self.urgent.push(key);
            }
        }
        if let Some(key) = self.urgent_repeat()
            && bytes < MAX_MESSAGE_BYTES
        {
            bytes += self.add(&key, &mut message);
        }
        for key in self.gossip.take(MAX_ITEMS, members) {
            if bytes < MAX_MESSAGE_BYTES {
                bytes += self.add(&key, &mut message);
            } else {
                self.gossip.push(key);
            }
        }
        for key in self.endpoint_repeats() {
            if bytes < MAX_MESSAGE_BYTES {
                bytes += self.add(&key, &mut message);
            }
        }
        message
    }

    /// Picks a version in turn, for peers that all sends of it happened to miss.
    ///
    /// It goes before the states of endpoints, which fill all room in a large fleet.
    fn urgent_repeat(&mut self) -> Option<Key> {
        self.repeated += 1;
        let place = self.repeated % self.models.len().max(1);
        let (model, _) = self.models.get_index(place)?;
        Some(Key::Model(model.clone()))
    }

    /// Picks endpoints in turn, for the room that is left.
    fn endpoint_repeats(&mut self) -> Vec<Key> {
        let mut keys = Vec::new();
        for _ in 0..REPEATS_A_MESSAGE {
            self.repeated_endpoints += 1;
            let place = self.repeated_endpoints % self.endpoints.len().max(1);
            let endpoint = self.endpoints.get_index(place);
            keys.extend(endpoint.map(|(endpoint, _)| Key::Endpoint(endpoint.clone())));
        }
        keys
    }

    fn add(&self, key: &Key, message: &mut FleetMessage) -> usize {
        match key {
            Key::Endpoint(endpoint) => {
                let Some(known) = self.endpoints.get(endpoint) else {
                    return 0;
                };
                message.endpoints.push(known.state.clone());
                known.state.encoded_len()
            }
            Key::Model(model) => {
                message.models.push(ModelVersion {
                    model: model.to_string(),
                    version: self.model(model).0,
                });
                model.as_str().len() + size_of::<u64>()
            }
        }
    }
}
