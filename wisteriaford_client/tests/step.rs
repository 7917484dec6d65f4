//! State of a training step given late, repeated and foreign samples, and pulls by the trainer.

use std::collections::VecDeque;
use std::time::Duration;

use rstest::rstest;
use wisteriaford_client::client::ClientError;
use wisteriaford_client::message::ErrorBody;
use wisteriaford_client::message::Outcome;
use wisteriaford_client::message::PullAnswer;
use wisteriaford_client::message::PullRequest;
use wisteriaford_client::message::SampleAnswer;
use wisteriaford_client::message::StepSpec;
use wisteriaford_client::message::VersionSpan;
use wisteriaford_client::step::AnswerError;
use wisteriaford_client::step::StepPlan;
use wisteriaford_client::step::StepRun;
use wisteriaford_client::trainer::StepService;
use wisteriaford_client::trainer::Timer;
use wisteriaford_client::trainer::Trainer;
use wisteriaford_client::trainer::TrainerError;

const CURRENT_VERSION: u64 = 7;
const FIRST_PULL: u64 = 40;

fn run() -> StepRun {
    let spec = StepSpec {
        group_size: 2,
        max_tokens: 10,
        prompts: vec!["a".to_owned(), "b".to_owned()],
    };
    let plan = StepPlan {
        trainer: "trainer-a".to_owned(),
        pool: "restoration".to_owned(),
        step: 1,
        spec,
        staleness_bound_versions: 2,
        wait_ms: 100,
    };
    StepRun::new(plan, FIRST_PULL).unwrap()
}

fn sample(index: u32) -> SampleAnswer {
    SampleAnswer {
        index,
        group: index / 2,
        text: "word ".to_owned(),
        tokens: 1,
        spans: vec![span(CURRENT_VERSION)],
        score_milli: None,
        instance: "i".to_owned(),
        endpoint: "e".to_owned(),
    }
}

fn span(version: u64) -> VersionSpan {
    VersionSpan {
        from_token: 0,
        to_token: 1,
        version,
    }
}

fn answer(pull: u64, indices: &[u32]) -> PullAnswer {
    PullAnswer {
        pull,
        samples: indices.iter().map(|&index| sample(index)).collect(),
        complete: false,
    }
}

fn refusal(status: u16, code: &str, retry_after_ms: Option<u64>) -> ClientError {
    ClientError::Refused {
        address: "127.0.0.1:1".parse().unwrap(),
        status,
        body: Box::new(ErrorBody {
            code: code.to_owned(),
            message: String::new(),
            outcome: Some(Outcome::NotRun),
            retry_after_ms,
            request_id: None,
        }),
    }
}

#[test]
fn step_is_complete_once_every_index_is_received() {
    let mut run = run();

    run.next_pull_request(CURRENT_VERSION);
    run.apply_answer(answer(FIRST_PULL, &[0, 3])).unwrap();
    let second = run.next_pull_request(CURRENT_VERSION);
    run.apply_answer(answer(second.pull, &[1, 2])).unwrap();

    assert!(run.is_complete());
    assert!(run.counts().is_clean());
    assert_eq!(second.received.iter().collect::<Vec<_>>(), [0, 3]);
}

#[test]
fn repeated_index_is_accepted_once() {
    let mut run = run();

    run.next_pull_request(CURRENT_VERSION);
    run.apply_answer(answer(FIRST_PULL, &[0, 0])).unwrap();
    let second = run.next_pull_request(CURRENT_VERSION);
    run.apply_answer(answer(second.pull, &[0, 1])).unwrap();

    assert_eq!(run.counts().delivered, 2);
    assert_eq!(run.counts().repeated, 2);
    assert_eq!(run.samples().len(), 2);
    assert!(!run.counts().is_clean());
}

#[test]
fn late_answer_is_rejected() {
    let mut run = run();
    run.next_pull_request(CURRENT_VERSION);
    run.next_pull_request(CURRENT_VERSION);

    let late = run.apply_answer(answer(FIRST_PULL, &[0]));
    let accepted = run.apply_answer(answer(FIRST_PULL + 1, &[1]));
    let repeated = run.apply_answer(answer(FIRST_PULL + 1, &[2]));

    assert_eq!(
        late,
        Err(AnswerError::PullMismatch {
            pull: FIRST_PULL,
            pending: FIRST_PULL + 1
        })
    );
    assert_eq!(accepted, Ok(1));
    assert_eq!(
        repeated,
        Err(AnswerError::NoPullPending {
            pull: FIRST_PULL + 1
        })
    );
    assert_eq!(run.counts().late_answers, 2);
    assert_eq!(run.received().iter().collect::<Vec<_>>(), [1]);
}

#[rstest]
#[case(4, 2)]
#[case(u32::MAX, 0)]
#[case(0, 1)]
fn foreign_index_is_rejected(#[case] index: u32, #[case] group: u32) {
    let mut run = run();
    run.next_pull_request(CURRENT_VERSION);
    let mut answer = answer(FIRST_PULL, &[0]);
    answer.samples[0].index = index;
    answer.samples[0].group = group;

    let accepted = run.apply_answer(answer);

    assert_eq!(accepted, Ok(0));
    assert_eq!(run.counts().foreign, 1);
}

#[rstest]
#[case(5, 1, 0)]
#[case(4, 0, 1)]
fn staleness_bound_is_enforced(#[case] version: u64, #[case] delivered: u64, #[case] too_old: u64) {
    let mut run = run();
    run.next_pull_request(CURRENT_VERSION);
    let mut answer = answer(FIRST_PULL, &[0]);
    answer.samples[0].spans = vec![span(version)];

    run.apply_answer(answer).unwrap();

    assert_eq!(run.counts().delivered, delivered);
    assert_eq!(run.counts().too_old, too_old);
}

#[test]
fn unlabelled_sample_is_rejected() {
    let mut run = run();
    run.next_pull_request(CURRENT_VERSION);
    let mut answer = answer(FIRST_PULL, &[0]);
    answer.samples[0].spans.clear();

    run.apply_answer(answer).unwrap();

    assert_eq!(run.counts().unlabelled, 1);
    assert!(run.received().is_empty());
}

#[test]
fn spec_is_included_until_an_answer_and_after_the_step_became_unknown() {
    let mut run = run();

    let first = run.next_pull_request(CURRENT_VERSION);
    let unanswered = run.next_pull_request(CURRENT_VERSION);
    run.apply_answer(answer(unanswered.pull, &[])).unwrap();
    let known = run.next_pull_request(CURRENT_VERSION);
    run.on_step_unknown();
    let after_unknown = run.next_pull_request(CURRENT_VERSION);

    assert!(first.spec.is_some());
    assert!(unanswered.spec.is_some());
    assert!(known.spec.is_none());
    assert!(after_unknown.spec.is_some());
}

#[test]
fn wrong_report_of_completeness_is_counted() {
    let mut run = run();
    run.next_pull_request(CURRENT_VERSION);
    let wrongly_complete = PullAnswer {
        complete: true,
        ..answer(FIRST_PULL, &[0])
    };

    run.apply_answer(wrongly_complete).unwrap();

    assert!(!run.is_complete());
    assert_eq!(run.counts().wrongly_complete, 1);
}

/// Results of consecutive pulls: the indices of the samples in an answer, or an error.
type Script = VecDeque<Result<Vec<u32>, ClientError>>;

struct ScriptedService {
    script: Script,
    pulls: Vec<PullRequest>,
    rotations: u32,
}

impl StepService for ScriptedService {
    fn pull(&mut self, _step: u64, request: &PullRequest) -> Result<PullAnswer, ClientError> {
        self.pulls.push(request.clone());
        let next = self.script.pop_front().unwrap_or(Ok(Vec::new()))?;
        Ok(answer(request.pull, &next))
    }

    fn rotate(&mut self) {
        self.rotations += 1;
    }
}

#[derive(Default)]
struct FakeTimer {
    elapsed: Duration,
}

impl Timer for FakeTimer {
    fn elapsed(&self) -> Duration {
        self.elapsed
    }

    fn sleep(&mut self, duration: Duration) {
        self.elapsed += duration;
    }
}

fn run_trainer(
    script: Script,
) -> (
    StepRun,
    ScriptedService,
    FakeTimer,
    Result<(), TrainerError>,
) {
    let mut service = ScriptedService {
        script,
        pulls: Vec::new(),
        rotations: 0,
    };
    let mut timer = FakeTimer::default();
    let mut run = run();
    let result = Trainer {
        service: &mut service,
        timer: &mut timer,
        deadline: Duration::from_secs(10),
    }
    .run(&mut run, &mut |_| CURRENT_VERSION);
    (run, service, timer, result)
}

#[test]
fn trainer_retries_after_temporary_refusals() {
    let script = Script::from([
        Ok(vec![0]),
        Err(refusal(429, "share_exceeded", Some(300))),
        Err(refusal(409, "step_unknown", None)),
        Ok(vec![1, 2, 3]),
    ]);

    let (run, service, timer, result) = run_trainer(script);

    assert!(result.is_ok());
    assert!(run.counts().is_clean());
    assert_eq!(timer.elapsed, Duration::from_millis(300));
    assert_eq!(service.rotations, 1);
    assert!(service.pulls[2].spec.is_none());
    assert!(service.pulls[3].spec.is_some());
    assert_eq!(service.pulls.last().unwrap().received.len(), 4);
}

#[test]
fn trainer_stops_at_a_permanent_refusal() {
    let script = Script::from([Err(refusal(404, "pool_unknown", None))]);

    let (_, service, _, result) = run_trainer(script);

    assert!(matches!(result, Err(TrainerError::Refused { .. })));
    assert_eq!(service.pulls.len(), 1);
}

#[test]
fn trainer_backs_off_if_a_step_is_unknown_although_its_spec_was_sent() {
    let unknown = || Err(refusal(409, "step_unknown", None));
    let script = Script::from([unknown(), unknown(), Ok(vec![0, 1, 2, 3])]);

    let (run, service, timer, result) = run_trainer(script);

    assert!(result.is_ok());
    assert!(run.counts().is_clean());
    assert_eq!(service.rotations, 2);
    assert!(timer.elapsed > Duration::ZERO);
}

#[test]
fn trainer_stops_at_the_deadline() {
    let (run, _, timer, result) = run_trainer(Script::new());

    assert!(matches!(result, Err(TrainerError::DeadlinePassed { .. })));
    assert!(!run.is_complete());
    assert!(timer.elapsed >= Duration::from_secs(10));
}
