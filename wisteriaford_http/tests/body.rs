//! Bodies that are too long, too slow or broken, sent over a real connection.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wisteriaford_http::BodyError;
use wisteriaford_http::accept;
use wisteriaford_http::discard;
use wisteriaford_http::has_request;
use wisteriaford_http::read_body;

const MAX_BODY_BYTES: usize = 1_000;
const BODY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time in which an answer that needs no waiting is there, on a busy machine too.
const AT_ONCE: Duration = Duration::from_secs(2);

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut body = request.into_body();
    let read = read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    discard(body);
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = match read {
        Ok(_) => StatusCode::OK,
        Err(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        Err(BodyError::TooSlow) => StatusCode::REQUEST_TIMEOUT,
        Err(BodyError::Broken) => StatusCode::BAD_REQUEST,
    };
    Ok(answer)
}

/// Starts a server that reads bodies, and connects to it.
async fn connection() -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let never = std::future::pending();
    tokio::spawn(accept(listener, None, never, |stream, _| {
        tokio::spawn(async move {
            assert!(has_request(&stream, AT_ONCE).await);
            let service = service_fn(answer);
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(served.await);
        });
    }));
    TcpStream::connect(address).await.expect("a connection")
}

async fn status(stream: &mut TcpStream) -> String {
    let mut head = [0; 12];
    let read = tokio::time::timeout(AT_ONCE, stream.read_exact(&mut head)).await;
    read.expect("an answer in time").expect("an answer");
    String::from_utf8_lossy(&head[9..]).into_owned()
}

#[rstest]
#[case("content-length: 5\r\n\r\nhello", "200")]
#[case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "200")]
#[case::declared_too_long("content-length: 1001\r\n\r\n", "413")]
#[case::stops_coming("content-length: 10\r\n\r\nhell", "408")]
#[case::no_chunk("transfer-encoding: chunked\r\n\r\nx\r\n", "400")]
#[tokio::test]
async fn bodies_are_read_within_their_limits(#[case] rest: &str, #[case] expected: &str) {
    let mut stream = connection().await;

    let request = format!("POST / HTTP/1.1\r\nhost: x\r\n{rest}");
    stream.write_all(request.as_bytes()).await.expect("sent");

    assert_eq!(status(&mut stream).await, expected);
}

#[tokio::test]
async fn a_chunked_body_is_too_large_once_it_is() {
    let mut stream = connection().await;
    let head = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("258\r\n{}\r\n", "x".repeat(0x258));

    let request = format!("{head}{chunk}{chunk}");
    stream.write_all(request.as_bytes()).await.expect("sent");

    assert_eq!(status(&mut stream).await, "413");
}

/// Pattern: a caller that sends all of a body before it reads the answer.
#[tokio::test]
async fn an_early_answer_is_not_overtaken_by_a_reset() {
    let mut stream = connection().await;
    let head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4000000\r\n\r\n";

    stream.write_all(head.as_bytes()).await.expect("sent");
    for _ in 0..40 {
        stream
            .write_all(&vec![b'x'; 100_000])
            .await
            .expect("no reset");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }

    assert_eq!(status(&mut stream).await, "413");
}
