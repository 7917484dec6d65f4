//! HTTP exchanges with peers that refuse connections, close them early or stay silent.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rstest::rstest;
use wisteriaford_client::transport::HttpRequest;
use wisteriaford_client::transport::HttpResponse;
use wisteriaford_client::transport::HttpTransport;
use wisteriaford_client::transport::Transport;
use wisteriaford_client::transport::TransportError;

const LONG_TIMEOUT: Duration = Duration::from_secs(30);
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
const MAX_REQUEST_LEN_BYTES: usize = 4_096;

/// Serves one connection: reads a request, writes a fixed response and closes the connection.
fn peer(response: &'static str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = vec![0; MAX_REQUEST_LEN_BYTES];
        let len = stream.read(&mut request).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
        String::from_utf8_lossy(&request[..len]).into_owned()
    });
    (address, thread)
}

fn send(address: SocketAddr, timeout: Duration) -> Result<HttpResponse, TransportError> {
    let http_request = HttpRequest::post(
        "/v1/generate".to_owned(),
        "application/json",
        b"{}".to_vec(),
    );
    HttpTransport { timeout }.send(address, &http_request)
}

#[test]
fn complete_response_is_read() {
    let (address, thread) =
        peer("HTTP/1.1 200 OK\r\nwisteriaford-endpoint: e\r\ncontent-length: 4\r\n\r\nbody");

    let response = send(address, LONG_TIMEOUT).unwrap();

    let request = thread.join().unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(response.body, b"body");
    assert_eq!(response.header("wisteriaford-endpoint"), Some("e"));
    assert!(
        request.starts_with("POST /v1/generate HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(
        request
            .to_lowercase()
            .contains("content-type: application/json"),
        "{request}"
    );
}

#[test]
fn chunked_response_is_read() {
    let (address, _thread) =
        peer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");

    assert_eq!(send(address, LONG_TIMEOUT).unwrap().body, b"body");
}

#[test]
fn empty_response_is_read() {
    let (address, _thread) = peer("HTTP/1.1 204 No Content\r\n\r\n");

    assert_eq!(send(address, LONG_TIMEOUT).unwrap().status, 204);
}

#[rstest]
#[case("")]
#[case("HTTP/1.1 200 OK\r\n")]
#[case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody")]
#[case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n")]
#[case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nbody")]
#[case("HTTP/1.1 200 OK\r\n\r\nbody that ends with the connection")]
#[case("not HTTP at all\r\n\r\n")]
fn incomplete_response_is_reported_as_lost(#[case] response: &'static str) {
    let (address, _thread) = peer(response);

    let error = send(address, LONG_TIMEOUT).unwrap_err();

    assert!(matches!(error, TransportError::Lost { .. }), "{error}");
    assert!(!error.is_not_sent());
}

#[test]
fn refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let error = send(address, LONG_TIMEOUT).unwrap_err();

    assert!(error.is_not_sent(), "{error}");
}

#[test]
fn silent_peer_is_not_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();

    let error = send(address, SHORT_TIMEOUT).unwrap_err();

    assert!(!error.is_not_sent(), "{error}");
}

#[test]
fn invalid_path_is_not_sent() {
    let http_request = HttpRequest::get("/v1/explain/a b".to_owned());
    let transport = HttpTransport {
        timeout: LONG_TIMEOUT,
    };

    let error = transport
        .send("127.0.0.1:9".parse().unwrap(), &http_request)
        .unwrap_err();

    assert!(matches!(error, TransportError::Malformed { .. }), "{error}");
}
