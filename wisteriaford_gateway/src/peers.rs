//! Discovery of the other instances and the server for their calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use indexmap::IndexMap;
use prost::Message;
use tokio::net::TcpListener;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;
use wisteriaford_proto::relay::Peer;

use crate::adapter::Log;
use crate::adapter::LogRecord;
use crate::adapter::Topic;
use crate::carrier;
use crate::carrier::CARRY_PATH;
use crate::clock;
use crate::crash_reports;
use crate::crash_reports::REPORTS_PATH;
use crate::departure_reports;
use crate::departure_reports::DEPARTURES_PATH;
use crate::follow::Follower;
use crate::permits;
use crate::permits::LIMITS_PATH;
use crate::refusal::Answer;
use crate::refusal::empty_answer;
use crate::refusal::full_body;
use crate::relay::PeerTable;
use crate::relay::RELAY_PATH;
use crate::relay_message;
use crate::scaling;
use crate::server;
use crate::state::Gateway;
use crate::stream_origins;

/// Maximum wait of a read for addresses of instances, which change rarely.
const INSTANCES_WAIT: Duration = Duration::from_secs(10);
/// Delay before retrying to publish the own address.
const PUBLISH_BACKOFF: Duration = Duration::from_millis(700);
/// Maximum size of a relayed call in bytes beyond the records of one append.
const CALL_OVERHEAD_BYTES: usize = 64 * 1024;

/// Follower of the addresses of the other instances.
pub(crate) struct PeerFollower {
    pub(crate) gateway: Arc<Gateway>,
    /// Shares of a processor that the other instances have, in thousandths.
    pub(crate) cpu_shares_milli: IndexMap<CompactString, u32>,
}

impl Follower for PeerFollower {
    fn topic(&self) -> Topic {
        Topic::Instances
    }

    fn wait(&self) -> Duration {
        INSTANCES_WAIT
    }

    fn apply_snapshot(&mut self, records: Vec<LogRecord>, _end: Offset) {
        self.gateway.log.set_peers(PeerTable::new());
        self.cpu_shares_milli.clear();
        self.apply_records(records);
    }

    fn apply_records(&mut self, records: Vec<LogRecord>) {
        let mut peers = (*self.gateway.log.peers()).clone();
        for record in records {
            self.apply(record, &mut peers);
        }
        log::debug!(peers = peers.len(); "peers changed");
        self.gateway.log.set_peers(peers);
        let own_milli = self.gateway.settings.load().cpu_share_milli;
        let others = self.cpu_shares_milli.values().copied();
        let largest_milli = others.fold(own_milli, u32::max);
        let mut leadership = self.gateway.leadership();
        leadership.set_processor_shares(own_milli, largest_milli);
    }

    fn on_caught_up(&mut self, _end: Offset, as_of: Timestamp) {
        self.gateway.freshness(Topic::Instances).advance(as_of);
    }
}

impl PeerFollower {
    fn apply(&mut self, record: LogRecord, peers: &mut PeerTable) {
        if record.key == self.gateway.settings.load().host {
            return;
        }
        match record.value.as_deref().map(decode) {
            None => {
                peers.shift_remove(&record.key);
                self.cpu_shares_milli.shift_remove(&record.key);
            }
            Some(Ok((address, cpu_share_milli))) => {
                self.cpu_shares_milli
                    .insert(record.key.clone(), cpu_share_milli);
                peers.insert(record.key, address);
            }
            Some(Err(cause)) => {
                self.gateway.metrics.skipped_records.add(1, &[]);
                log::warn!(
                    topic:% = Topic::Instances, key:% = record.key, offset = record.offset.0,
                    error = cause;
                    "record skipped"
                );
            }
        }
    }
}

/// Decodes the address of an instance and its share of a processor, in thousandths.
fn decode(value: &[u8]) -> Result<(SocketAddr, u32), String> {
    let peer = Peer::decode(value).map_err(|error| error.to_string())?;
    let address = peer.address.parse().map_err(|_| peer.address)?;
    Ok((address, peer.cpu_share_milli))
}

/// Publishes the address at which this instance serves relayed calls.
pub(crate) async fn publish(gateway: Arc<Gateway>) {
    let record = {
        let settings = gateway.settings.load();
        let Some(address) = settings.peer_address else {
            return;
        };
        let peer = Peer {
            instance: String::from(&settings.instance),
            address: address.to_string(),
            cpu_share_milli: settings.cpu_share_milli,
        };
        KeyedValue {
            key: settings.host.clone(),
            value: Some(peer.encode_to_vec()),
        }
    };
    while let Err(error) = gateway
        .log
        .append(Topic::Instances, vec![record.clone()], None)
        .await
    {
        log::debug!(error:% = error; "own address not published, retrying");
        tokio::time::sleep(PUBLISH_BACKOFF).await;
    }
}

/// Serves the calls of the other instances until the process ends.
pub(crate) async fn serve(gateway: Arc<Gateway>, address: SocketAddr) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address:% = address, error:% = error; "failed to bind the address of relayed calls");
            return;
        }
    };
    server::serve_unrouted(listener, move |request| {
        let gateway = Arc::clone(&gateway);
        async move { answer(&gateway, request).await }
    })
    .await;
}

async fn answer(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    if path == CARRY_PATH {
        return carrier::answer(gateway, request).await;
    }
    let max_bytes = gateway.log.limits().max_append_bytes + CALL_OVERHEAD_BYTES;
    let body = Limited::new(request.into_body(), max_bytes).collect().await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log::warn!(error:% = error; "failed to read relayed call");
            return empty_answer(StatusCode::BAD_REQUEST);
        }
    };
    let message_answer = |answer: Result<Vec<u8>, StatusCode>| match answer {
        Ok(answer) => Response::new(full_body(answer)),
        Err(status) => empty_answer(status),
    };
    match path.as_str() {
        RELAY_PATH => make_call(gateway, &body).await,
        DEPARTURES_PATH => empty_answer(departure_reports::receive(gateway, &body)),
        REPORTS_PATH => empty_answer(crash_reports::receive(gateway, &body)),
        scaling::WORK_PATH => empty_answer(scaling::receive(gateway, &body)),
        LIMITS_PATH => message_answer(permits::receive(gateway, &body)),
        stream_origins::REPORT_PATH => empty_answer(stream_origins::receive(gateway, &body)),
        stream_origins::QUERY_PATH => message_answer(stream_origins::answer(gateway, &body)),
        _ => empty_answer(StatusCode::NOT_FOUND),
    }
}

/// Makes a call of the log on behalf of a peer.
async fn make_call(gateway: &Gateway, body: &[u8]) -> Answer {
    let (topic, call) = match relay_message::decode_call(body) {
        Ok(decoded) => decoded,
        Err(error) => {
            log::warn!(error:% = error; "relayed call refused");
            return empty_answer(StatusCode::BAD_REQUEST);
        }
    };
    let started = clock::now();
    let result = gateway.log.call_for_peer(topic, call).await;
    gateway.metrics.relayed_calls.add(1, &[]);
    if let Err(error) = &result {
        log::debug!(
            topic:% = topic, error:% = error, took_ms = clock::now().since(started).as_millis();
            "relayed call failed"
        );
    }
    Response::new(full_body(relay_message::encode_answer(&result)))
}
