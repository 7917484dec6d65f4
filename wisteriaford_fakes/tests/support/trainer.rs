//! A trainer that pulls through any instance and checks each sample that it takes.

use std::sync::Arc;
use std::time::Duration;

use wisteriaford_core::event::CallerRequest;
use wisteriaford_core::event::Ticket;
use wisteriaford_core::id::CallerId;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::PoolId;
use wisteriaford_core::id::PullNumber;
use wisteriaford_core::id::StepKey;
use wisteriaford_core::id::StepNumber;
use wisteriaford_core::id::Version;
use wisteriaford_core::index_set::IndexSet;
use wisteriaford_core::reply::Reply;
use wisteriaford_core::step::FinishedSample;
use wisteriaford_core::step::PullAnswer;
use wisteriaford_core::step::StepSpec;
use wisteriaford_core::step::sample_seed;
use wisteriaford_core::time::Timestamp;
use wisteriaford_fakes::Fleet;
use wisteriaford_fakes::expected_text;
use wisteriaford_fakes::expected_tokens;

use super::setting::BOUND_VERSIONS;
use super::setting::MODELS_POOL;
use super::setting::spec;

const PULL_WAIT: Duration = Duration::from_secs(1);
/// Time after which a trainer gives a pull up.
const PULL_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a refusal.
const PULL_PAUSE: Duration = Duration::from_millis(300);

/// A trainer; its received set is the truth about what was delivered.
pub(crate) struct Trainer {
    pub(crate) version: u64,
    pub(crate) steps_done: u64,
    /// Answers that get lost on the way.
    pub(crate) lose_answers: u32,
    pub(crate) taken: u64,
    id: CallerId,
    spec: Arc<StepSpec>,
    step: u64,
    pull: u64,
    received: IndexSet,
    /// Pull that it waits for, when it was sent, and the version that it named.
    open: Option<(Ticket, Timestamp, u64)>,
    next_at: Timestamp,
}

impl Trainer {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            version: 1,
            steps_done: 0,
            lose_answers: 0,
            taken: 0,
            id: CallerId::from(name),
            spec: Arc::new(spec()),
            step: 1,
            pull: 0,
            received: IndexSet::default(),
            open: None,
            next_at: Timestamp::default(),
        }
    }

    /// Pulls through an instance, unless it waits for a pull.
    pub(crate) fn tick(&mut self, fleet: &mut Fleet, instance: &InstanceId) {
        let now = fleet.now();
        let is_late = |sent: Timestamp| now.since(sent) >= PULL_TIMEOUT;
        if self.open.is_some_and(|(_, sent, _)| !is_late(sent)) || now < self.next_at {
            return;
        }
        self.pull += 1;
        let request = CallerRequest::Pull {
            trainer: self.id.clone(),
            step: StepNumber(self.step),
            pool: PoolId::from(MODELS_POOL),
            pull: PullNumber(self.pull),
            current_version: Version(self.version),
            received: self.received.as_bytes().to_vec(),
            wait: PULL_WAIT,
            spec: Some(self.spec.clone()),
        };
        self.next_at = now + PULL_PAUSE;
        let ticket = fleet.call(instance, request);
        self.open = ticket.map(|ticket| (ticket, now, self.version));
    }

    /// Takes a reply if it is the one that it waits for.
    pub(crate) fn take(&mut self, fleet: &Fleet, ticket: Ticket, reply: &Reply) {
        let Some((open, _, version)) = self.open else {
            return;
        };
        if open != ticket {
            return;
        }
        if self.lose_answers > 0 {
            // It finds out by its timeout.
            self.lose_answers -= 1;
            return;
        }
        self.open = None;
        let Reply::Pulled(answer) = reply else {
            return;
        };
        self.next_at = fleet.now();
        self.take_samples(fleet, answer, version);
    }

    fn take_samples(&mut self, fleet: &Fleet, answer: &PullAnswer, version: u64) {
        assert_eq!(answer.number.0, self.pull, "answer of another pull");
        for sample in &answer.samples {
            let is_new = self.received.insert(sample.index).unwrap();
            assert!(is_new, "{}: sample {} twice", self.id, sample.index);
            self.check(fleet, sample, version);
            self.taken += 1;
        }
        let total = self.spec.group_size as usize * self.spec.prompts.len();
        let is_whole = self.received.len() == total;
        assert_eq!(answer.complete, is_whole, "says that the step is whole");
        if is_whole {
            self.steps_done += 1;
            self.step += 1;
            self.received = IndexSet::default();
        }
    }

    fn check(&self, fleet: &Fleet, sample: &FinishedSample, version: u64) {
        let key = StepKey {
            trainer: self.id.clone(),
            number: StepNumber(self.step),
        };
        let seed = sample_seed(&key, sample.index);
        let group = (sample.index / self.spec.group_size) as usize;
        let prompt = &self.spec.prompts[group];
        let tokens = expected_tokens(prompt, seed, self.spec.max_tokens);
        assert_eq!(sample.text, expected_text(prompt, seed, 0, tokens), "text");
        assert_eq!(sample.label.tokens(), tokens, "label is not whole");
        for span in sample.label.spans() {
            let made_by = span.from_token..span.to_token;
            let is_true = fleet.were_generated_by(prompt, seed, made_by, span.version);
            assert!(is_true, "label of sample {}: {span:?}", sample.index);
            let is_fresh = span.version.0 + BOUND_VERSIONS >= version;
            assert!(is_fresh, "too old for version {version}: {span:?}");
        }
    }
}
