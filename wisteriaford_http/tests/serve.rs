//! Time limits, eviction and refusals of callers' connections, over TCP connections.

use std::convert::Infallible;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wisteriaford_http::ConnectionLimits;
use wisteriaford_http::ConnectionTimeouts;
use wisteriaford_http::Guard;
use wisteriaford_http::Slot;
use wisteriaford_http::accept;
use wisteriaford_http::admit;
use wisteriaford_http::budget::BudgetLimits;
use wisteriaford_http::read_body;
use wisteriaford_http::serve;

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_head_bytes: 16 * 1024,
    timeouts: ConnectionTimeouts {
        head: Duration::from_millis(150),
        idle: Duration::from_millis(400),
        unread: Duration::from_millis(200),
    },
};
const MAX_BODY_BYTES: usize = 4_000_000;
const LARGE_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Timeout of an answer, with slack for a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a request to `/slow` runs for, longer than the time limit on heads.
const SLOW_RUN: Duration = Duration::from_millis(300);

/// Requests to `/slow` that ran, by their query.
static RUNS: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn has_run(id: &str) -> bool {
    RUNS.lock().expect("runs").iter().any(|run| run == id)
}

async fn answer(request: Request<Incoming>) -> Response<Full<Bytes>> {
    let slot = request.extensions().get::<Slot>().cloned();
    let is_large = request.uri().path() == "/large";
    let slow_id = (request.uri().path() == "/slow")
        .then(|| request.uri().query().unwrap_or_default().to_owned());
    let mut body = request.into_body();
    let read = read_body(&mut body, MAX_BODY_BYTES, ANSWER_TIMEOUT, slot.as_ref()).await;
    if let Some(id) = slow_id.filter(|_| read.is_ok()) {
        RUNS.lock().expect("runs").push(id);
        tokio::time::sleep(SLOW_RUN).await;
    }
    let content = if is_large { LARGE_ANSWER_BYTES } else { 0 };
    let mut answer = Response::new(Full::new(Bytes::from(vec![b'a'; content])));
    if read.is_err() {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}

async fn start_server(limits: BudgetLimits) -> (SocketAddr, Arc<Guard>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let guard = Guard::new(limits);
    let shared = Arc::clone(&guard);
    tokio::spawn(async move {
        let never = std::future::pending::<()>();
        accept(listener, None, never, |stream, _| {
            let Some((stream, slot)) = admit(&shared, stream) else {
                return;
            };
            let never = std::future::pending::<()>();
            tokio::spawn(serve(stream, slot, LIMITS, answer, never));
        })
        .await;
        Ok::<_, Infallible>(())
    });
    (address, guard)
}

async fn connect(address: SocketAddr, sent: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(sent.as_bytes()).await.expect("sent");
    stream
}

/// Returns what the server sends until it closes the connection.
async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = tokio::time::timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut answer)).await;
    drop(read.expect("closed in time"));
    String::from_utf8_lossy(&answer).into_owned()
}

#[rstest]
#[case::head_that_stops("GET / HTTP/1.1\r\nhost:", "HTTP/1.1 408")]
#[case::idle("", "")]
#[case::idle_after_a_request("GET / HTTP/1.1\r\nhost: x\r\n\r\n", "HTTP/1.1 200")]
#[tokio::test]
async fn a_connection_without_progress_is_closed(#[case] sent: &str, #[case] expected: &str) {
    let (address, _) = start_server(BudgetLimits::UNLIMITED).await;
    let mut stream = connect(address, sent).await;

    let answer = read_to_close(&mut stream).await;

    assert!(answer.starts_with(expected), "{answer}");
    assert_eq!(answer.is_empty(), expected.is_empty());
}

/// Guards against a head that arrives a byte at a time, each of which would extend its time.
#[tokio::test]
async fn a_head_that_trickles_has_the_same_time_limit() {
    let (address, _) = start_server(BudgetLimits::UNLIMITED).await;
    let mut stream = connect(address, "G").await;
    let (mut reader, mut writer) = stream.split();

    let mut answer = [0; 12];
    let trickle = async {
        while writer.write_all(b"E").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let read = tokio::time::timeout(ANSWER_TIMEOUT, reader.read_exact(&mut answer));
    let read = tokio::select! {
        read = read => read,
        () = trickle => panic!("closed without an answer"),
    };

    read.expect("an answer in time").expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 408");
}

/// Guards against answers that are held for callers who never read them.
#[tokio::test]
async fn a_connection_whose_answer_is_not_read_is_closed() {
    let (address, guard) = start_server(BudgetLimits::UNLIMITED).await;
    let _stream = connect(address, "GET /large HTTP/1.1\r\nhost: x\r\n\r\n").await;

    while guard.counts().held_bytes < LARGE_ANSWER_BYTES as u64 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let closed = async {
        while guard.counts().timed_out == 0 || guard.counts().connections > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };

    let closed = tokio::time::timeout(ANSWER_TIMEOUT, closed).await;
    assert!(closed.is_ok(), "{:?}", guard.counts());
}

/// Guards against a stalled body that keeps others out, and against charges that outlive requests.
#[tokio::test]
async fn a_stalled_body_makes_way_and_gets_an_answer() {
    let limits = BudgetLimits {
        total_bytes: 5_000_000,
        eviction_grace: Duration::from_millis(100),
        ..BudgetLimits::UNLIMITED
    };
    let (address, guard) = start_server(limits).await;
    let head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3000000\r\n\r\n";
    let mut stalled = connect(address, head).await;
    tokio::time::sleep(Duration::from_millis(300)).await;

    let mut other = connect(address, head).await;
    other.write_all(&vec![b'x'; 3_000_000]).await.expect("sent");
    let mut status = [0; 12];
    other.read_exact(&mut status).await.expect("an answer");

    assert_eq!(&status, b"HTTP/1.1 200", "{:?}", guard.counts());
    assert!(
        read_to_close(&mut stalled)
            .await
            .starts_with("HTTP/1.1 503")
    );
    assert_eq!(guard.counts().evicted, 1);
    drop(other);
    while guard.counts().held_bytes > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a 408 to a request that runs: its head arrived in parts, within the time limit.
#[rstest]
#[case::head("in-parts", &["POST /slow?in-parts HTTP/1.1\r\n", "host: x\r\ncontent-length: 0\r\n\r\n"])]
#[case::head_and_body("body", &["POST /slow?body HTTP/1.1\r\n", "host: x\r\ncontent-length: 2\r\n\r\na", "b"])]
#[case::second_request("second", &["GET / HTTP/1.1\r\nhost: x\r\n\r\n", "GET /slow?second HTTP/1.1\r\n", "host: x\r\n\r\n"])]
#[tokio::test]
async fn a_request_that_runs_is_not_refused(#[case] id: &str, #[case] parts: &[&str]) {
    let (address, _) = start_server(BudgetLimits::UNLIMITED).await;
    let mut stream = connect(address, "").await;

    for part in parts {
        stream.write_all(part.as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(90)).await;
    }
    let answers = read_to_close(&mut stream).await;

    assert!(has_run(id));
    assert!(!answers.contains("408"), "{answers}");
    let expected = parts
        .iter()
        .filter(|part| part.contains(" HTTP/1.1"))
        .count();
    assert_eq!(
        answers.matches("HTTP/1.1 200").count(),
        expected,
        "{answers}"
    );
}

/// Guards against an answer that is cut, or mixed with a refusal, because the head of the next request is too
/// slow: that one is refused after the whole answer.
#[tokio::test]
async fn an_answer_is_sent_whole_before_the_next_head_is_refused() {
    let (address, _) = start_server(BudgetLimits::UNLIMITED).await;
    let mut stream = connect(address, "GET /large HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let mut received = vec![0; 64 * 1024];
    stream.read_exact(&mut received).await.expect("a part");
    stream.write_all(b"GET /next HTTP").await.expect("sent");

    let mut part = vec![0; 256 * 1024];
    let read = async {
        loop {
            match stream.read(&mut part).await {
                Ok(0) | Err(_) => return,
                Ok(count) => received.extend_from_slice(&part[..count]),
            }
            tokio::time::sleep(Duration::from_millis(8)).await;
        }
    };
    let closed = tokio::time::timeout(ANSWER_TIMEOUT, read).await;

    assert!(closed.is_ok(), "not closed");
    let body_start = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let body_start = body_start.expect("a head") + 4;
    let body_end = (body_start + LARGE_ANSWER_BYTES).min(received.len());
    let (body, rest) = received[body_start..].split_at(body_end - body_start);
    assert_eq!(body.len(), LARGE_ANSWER_BYTES);
    assert!(body.iter().all(|byte| *byte == b'a'));
    assert!(rest.starts_with(b"HTTP/1.1 408"), "{} bytes", rest.len());
}

/// Guards against a 503 to a request that runs: its body was completed at the moment at which its connection was
/// to make way for another one.
#[tokio::test]
async fn a_request_whose_body_is_completed_at_its_eviction_is_not_refused() {
    // The order in which the server notices both is random.
    const ROUNDS: usize = 20;
    let limits = BudgetLimits {
        total_bytes: 200_000,
        eviction_grace: Duration::from_millis(30),
        ..BudgetLimits::UNLIMITED
    };
    let mut outcomes = Vec::new();
    for round in 0..ROUNDS {
        let (address, guard) = start_server(limits).await;
        let id = format!("evicted-{round}");
        let head = format!("POST /slow?{id} HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nx");
        let stalled = connect(address, &head).await;
        let other = connect(address, "POST / HTTP/1.1\r\n").await;
        tokio::time::sleep(Duration::from_millis(60)).await;

        // Written without a turn of the server in between.
        let (mut stalled, mut other) = (
            stalled.into_std().expect("a socket"),
            other.into_std().expect("a socket"),
        );
        let rest = "host: x\r\ncontent-length: 100000\r\n\r\n";
        other.write_all(rest.as_bytes()).expect("sent");
        stalled.write_all(b"x").expect("sent");
        let mut stalled = TcpStream::from_std(stalled).expect("a socket");
        let mut status = [0; 12];
        let read = tokio::time::timeout(ANSWER_TIMEOUT, stalled.read_exact(&mut status)).await;
        drop(read.expect("answered or closed in time"));

        assert_eq!(guard.counts().evicted, 1);
        outcomes.push((has_run(&id), String::from_utf8_lossy(&status).into_owned()));
    }

    let is_true = |(has_run, status): &(bool, String)| {
        let expected = if *has_run {
            "HTTP/1.1 200"
        } else {
            "HTTP/1.1 503"
        };
        status == expected
    };
    assert!(outcomes.iter().all(is_true), "{outcomes:?}");
}
