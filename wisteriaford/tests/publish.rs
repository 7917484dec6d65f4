//! Publishes against a fake log that loses requests, answers and records, or accepts a rival first.

use std::collections::VecDeque;
use std::io;
use std::sync::Mutex;
use std::time::Duration;

use prost::Message;
use rstest::rstest;
use wisteriaford::configuration_file::CheckedFile;
use wisteriaford::exit::ExitStatus;
use wisteriaford::exit::ToolError;
use wisteriaford::log_reader::LogReader;
use wisteriaford::publish::Base;
use wisteriaford::publish::DecidedPublication;
use wisteriaford::publish::PublishError;
use wisteriaford::publish::PublishRequest;
use wisteriaford::publish::Publisher;
use wisteriaford::publish::unique_id;
use wisteriaford::report::PublishReport;
use wisteriaford::report::Report;
use wisteriaford_client::log::AppendError;
use wisteriaford_client::log::Log;
use wisteriaford_client::log::LogPage;
use wisteriaford_client::log::LogRecord;
use wisteriaford_client::log::ReadError;
use wisteriaford_client::log::UnknownCause;
use wisteriaford_client::message::ErrorBody;
use wisteriaford_client::trainer::Timer;
use wisteriaford_client::transport::TransportError;
use wisteriaford_core::configuration::publish;
use wisteriaford_core::id::PublicationId;
use wisteriaford_core::id::Revision;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::record::Kind;
use wisteriaford_proto::settings::Configuration;

const EXAMPLE: &str = include_str!("../../extra/example.toml");
const DEADLINE: Duration = Duration::from_secs(30);

/// Fault injected into one append.
#[derive(Clone, Copy, Debug)]
enum Fault {
    AnswerLost,
    RequestLost,
    /// The request arrives late, directly after the next one.
    Delayed,
    NotSent,
    RateLimited,
    Refused,
    /// Another operator's publication is appended first.
    RivalFirst,
}

#[derive(Default)]
struct State {
    records: Vec<Vec<u8>>,
    dropped: usize,
    delayed: Vec<Vec<u8>>,
    append_faults: VecDeque<Fault>,
    appends: u32,
    reads: u32,
    reads_until_down: Option<u32>,
}

#[derive(Default)]
struct FakeLog {
    state: Mutex<State>,
}

impl FakeLog {
    fn with_faults(faults: &[Fault]) -> Self {
        let log = Self::default();
        log.state.lock().unwrap().append_faults = faults.iter().copied().collect();
        log
    }

    fn push(&self, record: &Record) {
        self.state
            .lock()
            .unwrap()
            .records
            .push(record.encode_to_vec());
    }
}

fn outcome_unknown_error() -> AppendError {
    AppendError::OutcomeUnknown {
        cause: UnknownCause::Transport {
            source: TransportError::Lost {
                address: "127.0.0.1:1".parse().unwrap(),
                source: io::ErrorKind::TimedOut.into(),
            },
        },
    }
}

fn not_sent_error() -> AppendError {
    AppendError::NotSent {
        source: TransportError::NotSent {
            address: "127.0.0.1:1".parse().unwrap(),
            source: io::ErrorKind::ConnectionRefused.into(),
        },
    }
}

fn refused_error() -> AppendError {
    AppendError::Refused {
        status: 413,
        body: Box::new(ErrorBody {
            code: "record_too_large".to_owned(),
            message: String::new(),
            outcome: None,
            retry_after_ms: None,
            request_id: None,
        }),
    }
}

impl Log for FakeLog {
    fn append(&self, record: &[u8]) -> Result<u64, AppendError> {
        let mut state = self.state.lock().unwrap();
        state.appends += 1;
        match state.append_faults.pop_front() {
            Some(Fault::RequestLost) => return Err(outcome_unknown_error()),
            Some(Fault::NotSent) => return Err(not_sent_error()),
            Some(Fault::RateLimited) => return Err(AppendError::RateLimited),
            Some(Fault::Refused) => return Err(refused_error()),
            Some(Fault::Delayed) => {
                state.delayed.push(record.to_vec());
                return Err(outcome_unknown_error());
            }
            Some(Fault::AnswerLost) => {
                state.records.push(record.to_vec());
                return Err(outcome_unknown_error());
            }
            Some(Fault::RivalFirst) => {
                let rival = publication("rival", 0, "bob").encode_to_vec();
                state.records.push(rival);
            }
            None => {}
        }
        state.records.push(record.to_vec());
        let offset = state.records.len() as u64;
        let delayed = std::mem::take(&mut state.delayed);
        state.records.extend(delayed);
        Ok(offset)
    }

    fn read(&self, from: u64, max: u32, _wait: Duration) -> Result<LogPage, ReadError> {
        let mut state = self.state.lock().unwrap();
        state.reads += 1;
        if state
            .reads_until_down
            .is_some_and(|reads| state.reads > reads)
        {
            return Err(ReadError::Refused { status: 503 });
        }
        let first_offset = state.dropped as u64 + 1;
        let records: Vec<LogRecord> = (1..)
            .zip(&state.records)
            .filter(|(offset, _)| *offset >= from.max(first_offset))
            .take(max as usize)
            .map(|(offset, data)| LogRecord {
                offset,
                at_ms: offset,
                data: data.clone(),
            })
            .collect();
        Ok(LogPage {
            first_offset,
            next_offset: state.records.len() as u64 + 1,
            records,
        })
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

fn example() -> Configuration {
    CheckedFile::from_text(EXAMPLE).configuration
}

fn publication(id: &str, base: u64, author: &str) -> Record {
    let id = PublicationId::from(id);
    let publication = publish(&id, Revision(base), example(), author);
    Record {
        kind: Some(Kind::Publication(publication)),
    }
}

fn request(id: &str, base: Base) -> PublishRequest {
    PublishRequest {
        id: PublicationId::from(id),
        base,
        author: "alice".to_owned(),
        configuration: example(),
    }
}

fn run(log: &FakeLog, request: PublishRequest) -> Result<DecidedPublication, PublishError> {
    let mut timer = FakeTimer::default();
    Publisher {
        log,
        timer: &mut timer,
        deadline: DEADLINE,
        read_wait: Duration::from_secs(1),
    }
    .publish(request)
}

fn publish_and_report(log: &FakeLog, id: &str) -> PublishReport {
    PublishReport::from(run(log, request(id, Base::InForce)).unwrap())
}

/// Reads the whole log and returns the revision in force and the id of its publication.
fn in_force(log: &FakeLog) -> (u64, String) {
    let mut log_reader = LogReader::new(log);
    log_reader.catch_up(Duration::ZERO).unwrap();
    let in_force = log_reader.in_force().unwrap();
    (in_force.revision.0, in_force.publication_id.to_string())
}

#[test]
fn publication_is_based_on_the_previous_one() {
    let log = FakeLog::default();

    let first = publish_and_report(&log, "one");
    let second = publish_and_report(&log, "two");

    assert_eq!(first.revision, Some(1));
    assert_eq!(second.base_revision, 1);
    assert_eq!(second.revision, Some(2));
    assert_eq!(second.exit_status(), ExitStatus::Success);
    assert_eq!(in_force(&log), (2, "two".to_owned()));
}

#[rstest]
#[case(&[Fault::AnswerLost], 1, 1)]
#[case(&[Fault::RequestLost], 2, 1)]
#[case(&[Fault::Delayed], 2, 2)]
#[case(&[Fault::RequestLost, Fault::AnswerLost], 2, 1)]
#[case(&[Fault::NotSent, Fault::RateLimited, Fault::AnswerLost], 3, 1)]
#[case(&[Fault::RequestLost, Fault::Refused], 3, 1)]
fn lost_answers_are_resolved_by_reading_back(
    #[case] faults: &[Fault],
    #[case] appends: u32,
    #[case] records: usize,
) {
    let log = FakeLog::with_faults(faults);

    let report = publish_and_report(&log, "one");

    let state = log.state.lock().unwrap();
    assert_eq!(report.revision, Some(1));
    assert_eq!(state.appends, appends);
    assert_eq!(state.records.len(), records);
    drop(state);
    assert_eq!(in_force(&log), (1, "one".to_owned()));
}

#[rstest]
#[case(&[Fault::RivalFirst])]
#[case(&[Fault::RequestLost, Fault::RivalFirst])]
fn lost_race_names_the_winner(#[case] faults: &[Fault]) {
    let log = FakeLog::with_faults(faults);

    let report = publish_and_report(&log, "one");

    let winner = report.winner.clone().unwrap();
    assert_eq!(winner.publication_id, "rival");
    assert_eq!(winner.author, "bob");
    assert_eq!(winner.revision, 1);
    assert_eq!(report.exit_status(), ExitStatus::LostRace);
    assert!(report.to_string().contains("revision 1 by bob"), "{report}");
    assert_eq!(in_force(&log), (1, "rival".to_owned()));
}

#[test]
fn outdated_base_loses_the_race() {
    let log = FakeLog::default();
    publish_and_report(&log, "one");
    publish_and_report(&log, "two");

    let outcome = run(&log, request("three", Base::Revision(Revision(1)))).unwrap();

    let report = PublishReport::from(outcome);
    assert_eq!(report.exit_status(), ExitStatus::LostRace);
    assert_eq!(report.winner.unwrap().publication_id, "two");
}

#[test]
fn invalid_content_is_rejected() {
    let log = FakeLog::default();
    let request = PublishRequest {
        configuration: Configuration::default(),
        ..request("one", Base::InForce)
    };

    let report = PublishReport::from(run(&log, request).unwrap());

    assert_eq!(report.exit_status(), ExitStatus::Rejected);
    assert!(
        report.to_string().contains("at least one entry"),
        "{report}"
    );
}

#[test]
fn outcome_is_unknown_while_the_log_cannot_be_read_back() {
    let log = FakeLog::with_faults(&[Fault::AnswerLost]);
    log.state.lock().unwrap().reads_until_down = Some(1);

    let error = run(&log, request("one", Base::InForce)).unwrap_err();

    assert!(matches!(error, PublishError::OutcomeUnknown { .. }));
    assert_eq!(
        ToolError::from(error).exit_status(),
        ExitStatus::Unavailable
    );
}

#[test]
fn nothing_is_appended_if_the_log_cannot_be_read() {
    let log = FakeLog::default();
    log.state.lock().unwrap().reads_until_down = Some(0);

    let error = run(&log, request("one", Base::InForce)).unwrap_err();

    assert!(matches!(error, PublishError::LogUnreadable { .. }));
    assert_eq!(log.state.lock().unwrap().appends, 0);
}

#[rstest]
#[case(&[Fault::NotSent; 100])]
#[case(&[Fault::RateLimited; 100])]
#[case(&[Fault::Refused; 1])]
fn definitely_failed_appends_are_reported(#[case] faults: &[Fault]) {
    let log = FakeLog::with_faults(faults);

    let error = run(&log, request("one", Base::InForce)).unwrap_err();

    assert!(matches!(error, PublishError::NotAppended { .. }), "{error}");
    assert!(log.state.lock().unwrap().records.is_empty());
}

#[test]
fn corrupt_records_are_skipped() {
    let log = FakeLog::default();
    log.state.lock().unwrap().records.push(vec![0xff; 9]);

    let report = publish_and_report(&log, "one");

    assert_eq!(report.revision, Some(1));
}

#[test]
fn restore_is_accepted_only_if_the_log_lost_the_configuration() {
    let log = FakeLog::default();
    publish_and_report(&log, "one");
    log.push(&Record { kind: None });
    log.state.lock().unwrap().dropped = 1;

    let refused = run(&log, request("two", Base::InForce)).unwrap_err();
    let restored = run(&log, request("three", Base::Lost)).unwrap();
    let again = run(&log, request("four", Base::Lost)).unwrap_err();

    assert!(matches!(refused, PublishError::NoBasis));
    assert!(matches!(again, PublishError::RestoreNotNeeded));
    let report = PublishReport::from(restored);
    assert_eq!(report.exit_status(), ExitStatus::Success);
    let (revision, id) = in_force(&log);
    assert_eq!(id, "three");
    assert!(revision > 1);
}

#[test]
fn publication_ids_are_unique() {
    assert_ne!(unique_id(), unique_id());
}
