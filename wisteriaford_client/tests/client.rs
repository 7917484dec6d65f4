//! Which failures let a request go to another daemon, and what an append's failure means.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rstest::rstest;
use wisteriaford_client::client::Client;
use wisteriaford_client::client::RouteCall;
use wisteriaford_client::log::AppendError;
use wisteriaford_client::log::Log;
use wisteriaford_client::log::LogClient;
use wisteriaford_client::message::GenerateRequest;
use wisteriaford_client::message::Outcome;
use wisteriaford_client::message::PullRequest;
use wisteriaford_client::transport::Exchange;
use wisteriaford_client::transport::Reply;
use wisteriaford_client::transport::Transport;
use wisteriaford_client::transport::TransportError;
use wisteriaford_core::index_set::IndexSet;

/// What a daemon does with an exchange.
#[derive(Clone)]
enum Behaviour {
    Refuses,
    LosesAnswer,
    Answers(u16, &'static str),
}

struct FakeTransport {
    daemons: Vec<(SocketAddr, Behaviour)>,
    sent: Mutex<Vec<(SocketAddr, Exchange)>>,
}

impl Transport for FakeTransport {
    fn send(&self, address: SocketAddr, exchange: &Exchange) -> Result<Reply, TransportError> {
        self.sent.lock().unwrap().push((address, exchange.clone()));
        let daemon = self.daemons.iter().find(|(other, _)| *other == address);
        match daemon.unwrap().1.clone() {
            Behaviour::Refuses => Err(TransportError::NotSent {
                address,
                source: io::ErrorKind::ConnectionRefused.into(),
            }),
            Behaviour::LosesAnswer => Err(TransportError::Lost {
                address,
                source: io::ErrorKind::UnexpectedEof.into(),
            }),
            Behaviour::Answers(status, body) => Ok(Reply {
                status,
                headers: Vec::new(),
                body: body.as_bytes().to_vec(),
            }),
        }
    }
}

fn address(place: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 7_000 + place).parse().unwrap()
}

fn fleet(behaviours: &[Behaviour]) -> (Client, Arc<FakeTransport>) {
    let daemons = behaviours.iter().cloned().enumerate();
    let transport = Arc::new(FakeTransport {
        daemons: daemons.map(|(place, b)| (address(place), b)).collect(),
        sent: Mutex::default(),
    });
    let addresses = (0..behaviours.len()).map(address).collect();
    let client = Client::with_transport(addresses, Arc::clone(&transport) as Arc<dyn Transport>);
    (client, transport)
}

fn log(behaviour: Behaviour) -> LogClient {
    let (_, transport) = fleet(&[behaviour]);
    LogClient::with_transport(address(0), transport)
}

fn generate() -> GenerateRequest {
    GenerateRequest {
        caller: "portal".to_owned(),
        pool: "restoration".to_owned(),
        prompt: "prompt".to_owned(),
        max_tokens: 5,
        request_id: None,
        timeout_ms: None,
    }
}

fn pull() -> PullRequest {
    PullRequest {
        trainer: "trainer-a".to_owned(),
        pool: "restoration".to_owned(),
        pull: 3,
        current_version: 1,
        received: IndexSet::new(),
        wait_ms: 10,
        spec: None,
    }
}

fn call() -> RouteCall {
    RouteCall {
        route: "badges".to_owned(),
        caller: "door".to_owned(),
        idempotency_key: Some("k1".to_owned()),
        is_first_attempt: true,
        ..RouteCall::default()
    }
}

const GENERATED: Behaviour = Behaviour::Answers(
    200,
    r#"{"request_id":"r","text":"","tokens":0,"spans":[],"endpoint":"e","instance":"i"}"#,
);
const PULLED: Behaviour = Behaviour::Answers(200, r#"{"pull":3,"samples":[],"complete":false}"#);
const SHUTTING_DOWN: Behaviour = Behaviour::Answers(
    503,
    r#"{"error":{"code":"shutting_down","message":"","outcome":"not_run"}}"#,
);
const SHUT_DOWN_MEANWHILE: Behaviour = Behaviour::Answers(
    503,
    r#"{"error":{"code":"shutting_down","message":"","outcome":"outcome_unknown"}}"#,
);
const NO_CONFIGURATION: Behaviour = Behaviour::Answers(
    503,
    r#"{"error":{"code":"no_configuration","message":"","outcome":"not_run"}}"#,
);
const OVERLOADED: Behaviour = Behaviour::Answers(
    503,
    r#"{"error":{"code":"queue_full","message":"","outcome":"not_run","retry_after_ms":250}}"#,
);

#[rstest]
#[case(Behaviour::Refuses)]
#[case(SHUTTING_DOWN)]
#[case(NO_CONFIGURATION)]
fn generate_goes_on_where_nothing_ran(#[case] first: Behaviour) {
    let (client, transport) = fleet(&[first, GENERATED]);

    let answer = client.generate(&generate());

    assert_eq!(answer.unwrap().request_id, "r");
    assert_eq!(transport.sent.lock().unwrap().len(), 2);
}

#[rstest]
#[case(Behaviour::LosesAnswer, Outcome::OutcomeUnknown)]
#[case(Behaviour::Answers(200, "{"), Outcome::OutcomeUnknown)]
#[case(Behaviour::Answers(502, "gateway"), Outcome::OutcomeUnknown)]
#[case(SHUT_DOWN_MEANWHILE, Outcome::OutcomeUnknown)]
#[case(OVERLOADED, Outcome::NotRun)]
fn generate_is_not_sent_twice(#[case] first: Behaviour, #[case] outcome: Outcome) {
    let (client, transport) = fleet(&[first, GENERATED]);

    let error = client.generate(&generate()).unwrap_err();

    assert_eq!(error.outcome(), outcome);
    assert_eq!(transport.sent.lock().unwrap().len(), 1);
}

#[test]
fn routed_call_is_not_sent_twice() {
    let (client, transport) = fleet(&[Behaviour::LosesAnswer, Behaviour::Answers(200, "")]);

    let error = client.call(&call()).unwrap_err();

    assert_eq!(error.outcome(), Outcome::OutcomeUnknown);
    assert_eq!(transport.sent.lock().unwrap().len(), 1);
}

#[test]
fn routed_call_carries_its_key() {
    let (client, transport) = fleet(&[Behaviour::Answers(200, "done")]);

    let answer = client.call(&call()).unwrap();

    let sent = transport.sent.lock().unwrap();
    let header = |name| sent[0].1.headers.iter().find(|(other, _)| *other == name);
    assert_eq!(answer.body, b"done");
    assert_eq!(sent[0].1.path, "/v1/call/badges");
    assert_eq!(header("idempotency-key").unwrap().1, "k1");
    assert_eq!(header("wisteriaford-first-attempt").unwrap().1, "true");
    assert!(header("wisteriaford-timeout-ms").is_none());
}

#[test]
fn retry_after_is_read() {
    let (client, _) = fleet(&[OVERLOADED]);

    let error = client.generate(&generate()).unwrap_err();

    assert_eq!(error.retry_after(), Some(Duration::from_millis(250)));
}

#[test]
fn pull_goes_on_after_a_lost_answer() {
    let (client, transport) = fleet(&[Behaviour::LosesAnswer, PULLED]);

    let answer = client.pull(1, &pull()).unwrap();

    assert_eq!(answer.pull, 3);
    assert_eq!(transport.sent.lock().unwrap().len(), 2);
}

#[test]
fn explain_asks_till_one_knows() {
    let unknown = Behaviour::Answers(404, r#"{"error":{"code":"request_unknown","message":""}}"#);
    let known = Behaviour::Answers(200, r#"{"request_id":"r","instance":"i","decisions":[]}"#);
    let (client, _) = fleet(&[unknown, Behaviour::LosesAnswer, known]);

    let answer = client.explain("r").unwrap();

    assert_eq!(answer.instance, "i");
}

#[test]
fn explain_says_that_nobody_knows() {
    let unknown = Behaviour::Answers(404, r#"{"error":{"code":"request_unknown","message":""}}"#);
    let (client, _) = fleet(&[unknown, Behaviour::Refuses]);

    let error = client.explain("r").unwrap_err();

    assert_eq!(error.code(), Some("request_unknown"));
}

#[rstest]
#[case("")]
#[case("r?x=1")]
#[case("r 1")]
fn name_that_is_no_path_part_is_not_sent(#[case] request_id: &str) {
    let (client, transport) = fleet(&[GENERATED]);

    let error = client.explain(request_id).unwrap_err();

    assert_eq!(error.outcome(), Outcome::NotRun);
    assert!(transport.sent.lock().unwrap().is_empty());
}

#[test]
fn append_returns_the_offset() {
    let log = log(Behaviour::Answers(200, r#"{"offset":12}"#));

    assert_eq!(log.append(b"record").unwrap(), 12);
}

#[rstest]
#[case(Behaviour::LosesAnswer)]
#[case(Behaviour::Answers(500, ""))]
#[case(Behaviour::Answers(200, "{"))]
fn lost_answer_of_an_append_is_no_failure(#[case] behaviour: Behaviour) {
    let error = log(behaviour).append(b"record").unwrap_err();

    assert!(
        matches!(error, AppendError::OutcomeUnknown { .. }),
        "{error}"
    );
}

#[test]
fn append_that_cannot_have_happened_is_told() {
    let limited = r#"{"error":{"code":"rate_limited","message":""}}"#;

    let not_sent = log(Behaviour::Refuses).append(b"record").unwrap_err();
    let limited = log(Behaviour::Answers(429, limited))
        .append(b"")
        .unwrap_err();

    assert!(matches!(not_sent, AppendError::NotSent { .. }));
    assert!(matches!(limited, AppendError::RateLimited));
}

#[test]
fn read_decodes_the_records() {
    let page = r#"{"first_offset":1,"next_offset":2,
        "records":[{"offset":1,"at_ms":5,"data":"AQI="}]}"#;

    let page = log(Behaviour::Answers(200, page))
        .read(1, 10, Duration::ZERO)
        .unwrap();

    assert_eq!(page.next_offset, 2);
    assert_eq!(page.records[0].data, [1, 2]);
}
