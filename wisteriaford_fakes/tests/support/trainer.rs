//! Trainer that pulls through any instance and checks each received sample.

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

use super::fixture::ENGINE_POOL;
use super::fixture::STALENESS_BOUND_VERSIONS;
use super::fixture::step_spec;

const PULL_WAIT: Duration = Duration::from_secs(1);
/// Time after which a trainer abandons a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(4);
/// Minimum time between two pulls, unless the first one succeeds.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Trainer whose received set is the reference for what was delivered.
pub(crate) struct Trainer {
    pub(crate) version: u64,
    pub(crate) steps_done: u64,
    /// Number of upcoming answers that are lost.
    pub(crate) lose_answers: u32,
    pub(crate) samples_received: u64,
    id: CallerId,
    spec: Arc<StepSpec>,
    step: u64,
    pull: u64,
    received: IndexSet,
    /// Ticket, send time and version of the pending pull.
    pending: Option<(Ticket, Timestamp, u64)>,
    next_pull_at: Timestamp,
}

impl Trainer {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            version: 1,
            steps_done: 0,
            lose_answers: 0,
            samples_received: 0,
            id: CallerId::from(name),
            spec: Arc::new(step_spec()),
            step: 1,
            pull: 0,
            received: IndexSet::default(),
            pending: None,
            next_pull_at: Timestamp::default(),
        }
    }

    /// Pulls through an instance, unless a pull is pending or the retry delay has not passed.
    pub(crate) fn tick(&mut self, fleet: &mut Fleet, instance: &InstanceId) {
        let now = fleet.now();
        let has_timed_out = |sent: Timestamp| now.since(sent) >= PULL_TIMEOUT;
        if self
            .pending
            .is_some_and(|(_, sent, _)| !has_timed_out(sent))
            || now < self.next_pull_at
        {
            return;
        }
        self.pull += 1;
        let request = CallerRequest::Pull {
            trainer: self.id.clone(),
            step: StepNumber(self.step),
            pool: PoolId::from(ENGINE_POOL),
            pull: PullNumber(self.pull),
            current_version: Version(self.version),
            received: self.received.as_bytes().to_vec(),
            wait: PULL_WAIT,
            spec: Some(self.spec.clone()),
        };
        self.next_pull_at = now + PULL_RETRY_DELAY;
        let ticket = fleet.call(instance, request);
        self.pending = ticket.map(|ticket| (ticket, now, self.version));
    }

    /// Handles a reply if it belongs to the pending pull.
    pub(crate) fn on_reply(&mut self, fleet: &Fleet, ticket: Ticket, reply: &Reply) {
        let Some((pending, _, version)) = self.pending else {
            return;
        };
        if pending != ticket {
            return;
        }
        if self.lose_answers > 0 {
            // The trainer notices the loss when the pull times out.
            self.lose_answers -= 1;
            return;
        }
        self.pending = None;
        let Reply::Pulled(answer) = reply else {
            return;
        };
        self.next_pull_at = fleet.now();
        self.accept_samples(fleet, answer, version);
    }

    fn accept_samples(&mut self, fleet: &Fleet, answer: &PullAnswer, version: u64) {
        assert_eq!(answer.number.0, self.pull, "answer to another pull");
        for sample in &answer.samples {
            let is_new = self.received.insert(sample.index).unwrap();
            assert!(is_new, "{}: duplicate sample {}", self.id, sample.index);
            self.check(fleet, sample, version);
            self.samples_received += 1;
        }
        let total = self.spec.group_size as usize * self.spec.prompts.len();
        let is_complete = self.received.len() == total;
        assert_eq!(
            answer.complete, is_complete,
            "wrong completion flag of the step"
        );
        if is_complete {
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
        assert_eq!(
            sample.text,
            expected_text(prompt, seed, 0, tokens),
            "wrong sample text"
        );
        assert_eq!(
            sample.label.tokens(),
            tokens,
            "label does not cover all tokens"
        );
        for span in sample.label.spans() {
            let range = span.from_token..span.to_token;
            let is_correct = fleet.were_generated_by(prompt, seed, range, span.version);
            assert!(
                is_correct,
                "wrong version in the label of sample {}: {span:?}",
                sample.index
            );
            let is_fresh = span.version.0 + STALENESS_BOUND_VERSIONS >= version;
            assert!(
                is_fresh,
                "exceeds the staleness bound at version {version}: {span:?}"
            );
        }
    }
}
