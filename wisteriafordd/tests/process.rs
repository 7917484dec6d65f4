//! Runs the daemon without any service of the platform.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use wisteriaford_client::client::Client;
use wisteriaford_client::message::StatusAnswer;

const MAX_STATUS_ATTEMPTS: usize = 200;
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Daemon process that is killed when dropped.
struct Daemon {
    child: Child,
    listen: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns distinct addresses on which nothing listens.
fn closed_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.each_ref().map(|l| l.local_addr().unwrap())
}

fn start() -> Daemon {
    let [listen, peer_listen, log, weight_store] = closed_addresses();
    let child = Command::new(env!("CARGO_BIN_EXE_wisteriafordd"))
        .args(["--instance-id", "entry-1", "--availability-zone", "ariana"])
        .args(["--listen", &listen.to_string()])
        .args(["--peer-listen", &peer_listen.to_string()])
        .args(["--log-address", &log.to_string()])
        .args(["--weight-store-address", &weight_store.to_string()])
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    Daemon { child, listen }
}

fn status(daemon: &Daemon) -> StatusAnswer {
    let client = Client::new(vec![daemon.listen], Duration::from_secs(10));
    for _ in 0..MAX_STATUS_ATTEMPTS {
        match client.status() {
            Ok(status) => return status,
            Err(_) => thread::sleep(RETRY_DELAY),
        }
    }
    panic!("the daemon did not answer");
}

#[test]
fn status_and_members_agree_on_the_incarnation() {
    let daemon = start();

    let status = status(&daemon);

    let own = status.members.iter().find(|m| m.id == "entry-1");
    assert_eq!(own.map(|own| own.incarnation), Some(status.incarnation));
    assert!(!status.ready);
    assert_eq!(status.revision, 0);
}
