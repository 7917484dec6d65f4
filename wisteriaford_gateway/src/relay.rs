//! Log client that relays calls through other instances while the log is unreachable.
//!
//! The log may be unreachable for some instances, or reject their calls, while it serves others.
//! A call that failed directly without taking effect is then made by a peer. Peers never relay a
//! call further, and a peer that can't reach the log itself reports so immediately. An outage of
//! the log therefore does not multiply calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use indexmap::IndexMap;
use wisteriaford_core::gateway::record::KeyedValue;
use wisteriaford_core::id::Offset;
use wisteriaford_core::time::Timestamp;

use crate::adapter::EndpointRequest;
use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::LogLimits;
use crate::adapter::LogPage;
use crate::adapter::LogRecord;
use crate::adapter::NewestPage;
use crate::adapter::Topic;
use crate::client::CallError;
use crate::client::Client;
use crate::clock;
use crate::relay_message;
use crate::relay_message::LogAnswer;
use crate::relay_message::LogCall;

/// Path of relayed calls.
pub(crate) const RELAY_PATH: &str = "/log";
/// Maximum number of peers that are tried for one call.
const MAX_PEERS: usize = 3;
/// Timeout of a relayed call beyond the wait of the call itself.
///
/// The peer's own call of the log may take most of it.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time beyond the wait of a call after which a hedge is sent through a peer.
///
/// A healthy log answers within a few milliseconds.
const HEDGE_AFTER: Duration = Duration::from_millis(300);
/// Time limit of the call that tells a slow append from a log that is out of reach.
const REACH_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of probing the log while it is unreachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer of the log or any peer after which this instance counts as isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Addresses of the other instances.
pub(crate) type PeerTable = IndexMap<CompactString, SocketAddr>;

/// Log client that calls the log directly, or through peers while direct calls fail.
pub(crate) struct RelayedLog {
    direct: Arc<dyn Log>,
    client: Client,
    peers: ArcSwap<PeerTable>,
    /// Time of the first failed direct call in a row; zero while direct calls succeed.
    failing_since_us: AtomicU64,
    /// Time of the last answer of the log or a peer.
    last_answer_us: AtomicU64,
    next_peer: AtomicUsize,
}

impl RelayedLog {
    pub(crate) fn new(direct: Arc<dyn Log>, client: Client) -> Self {
        Self {
            direct,
            client,
            peers: ArcSwap::default(),
            failing_since_us: AtomicU64::new(0),
            last_answer_us: AtomicU64::new(0),
            next_peer: AtomicUsize::new(0),
        }
    }

    /// Replaces the addresses of the other instances.
    pub(crate) fn set_peers(&self, peers: PeerTable) {
        self.peers.store(Arc::new(peers));
    }

    /// Returns the addresses of the other instances.
    pub(crate) fn peers(&self) -> Arc<PeerTable> {
        self.peers.load_full()
    }

    /// Returns whether neither the log nor any known peer answers; `false` if no peers are known.
    pub(crate) fn is_isolated(&self) -> bool {
        let failing = Timestamp(self.failing_since_us.load(Ordering::Acquire));
        if failing == Timestamp(0) || self.peers.load().is_empty() {
            return false;
        }
        let answered = Timestamp(self.last_answer_us.load(Ordering::Acquire));
        clock::now().since(answered.max(failing)) > ISOLATION_TIMEOUT
    }

    /// Makes a call on behalf of a peer; only directly, never through another peer.
    pub(crate) async fn call_for_peer(
        &self,
        topic: Topic,
        call: LogCall,
    ) -> Result<LogAnswer, LogError> {
        if self.is_failing() {
            return Err(LogError::Unreachable {
                cause: "the log is unreachable from the peer, too".into(),
            });
        }
        self.call_within_reach(topic, call).await
    }

    /// Probes the log while it is unreachable, until the process ends.
    pub(crate) async fn probe(&self) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            if self.is_failing() {
                // The call itself records its outcome.
                drop(
                    self.call_directly(Topic::Leadership, LogCall::Newest(None))
                        .await,
                );
            }
        }
    }

    fn is_failing(&self) -> bool {
        self.failing_since_us.load(Ordering::Acquire) != 0
    }

    async fn call(&self, topic: Topic, call: LogCall) -> Result<LogAnswer, LogError> {
        if self.is_failing() {
            return match self.call_via_peers(topic, &call).await {
                Some(outcome) => outcome,
                None => self.call_within_reach(topic, call).await,
            };
        }
        if !call.is_repeatable() {
            return match self.call_within_reach(topic, call.clone()).await {
                Err(error) if is_outage(&error) && !error.may_have_effect() => self
                    .call_via_peers(topic, &call)
                    .await
                    .unwrap_or(Err(error)),
                outcome => outcome,
            };
        }
        let direct = self.call_directly(topic, call.clone());
        tokio::pin!(direct);
        let in_time = tokio::time::timeout(call.wait() + HEDGE_AFTER, direct.as_mut()).await;
        let failure = match in_time {
            Ok(Err(error)) if is_outage(&error) => Some(error),
            Ok(outcome) => return outcome,
            Err(_) => None,
        };
        let via_peers = self.call_via_peers(topic, &call);
        if let Some(error) = failure {
            return via_peers.await.unwrap_or(Err(error));
        }
        tokio::pin!(via_peers);
        tokio::select! {
            outcome = direct.as_mut() => match outcome {
                Err(error) if is_outage(&error) => via_peers.await.unwrap_or(Err(error)),
                outcome => outcome,
            },
            outcome = via_peers.as_mut() => match outcome {
                Some(outcome) if !outcome.as_ref().is_err_and(is_outage) => {
                    self.record_failure(&LogError::AnswerLost {
                        cause: "a peer answered first".into(),
                    });
                    outcome
                }
                _ => direct.await,
            },
        }
    }

    /// Makes a direct call; gives an append up, with an unknown outcome, if it takes long and another
    /// call of the log fails.
    async fn call_within_reach(&self, topic: Topic, call: LogCall) -> Result<LogAnswer, LogError> {
        let is_append = matches!(call, LogCall::Append(..));
        let direct = self.call_directly(topic, call);
        if !is_append {
            return direct.await;
        }
        tokio::pin!(direct);
        if let Ok(outcome) = tokio::time::timeout(HEDGE_AFTER, direct.as_mut()).await {
            return outcome;
        }
        let probe = self.direct.newest(Topic::Leadership, None);
        let probe = tokio::time::timeout(REACH_TIMEOUT, probe);
        let is_within_reach = tokio::select! {
            outcome = direct.as_mut() => return outcome,
            probed = probe => probed.is_ok_and(|answer| answer.is_ok()),
        };
        if is_within_reach {
            return direct.await;
        }
        let error = LogError::AnswerLost {
            cause: "another call of the log failed meanwhile".into(),
        };
        self.record_failure(&error);
        Err(error)
    }

    async fn call_directly(&self, topic: Topic, call: LogCall) -> Result<LogAnswer, LogError> {
        let log = &self.direct;
        let answer = match call {
            LogCall::Append(records, at) => log
                .append(topic, records, at)
                .await
                .map(LogAnswer::Appended),
            LogCall::Read(from, wait) => log.read(topic, from, wait).await.map(LogAnswer::Page),
            LogCall::Fetch(offset, size_bytes) => log
                .fetch(topic, offset, size_bytes)
                .await
                .map(LogAnswer::Record),
            LogCall::Newest(after) => log.newest(topic, after).await.map(LogAnswer::Newest),
        };
        match &answer {
            Err(error) if is_outage(error) => self.record_failure(error),
            _ => self.record_answer(),
        }
        answer
    }

    fn record_failure(&self, error: &LogError) {
        let now = clock::now().0.max(1);
        let recorded =
            self.failing_since_us
                .compare_exchange(0, now, Ordering::AcqRel, Ordering::Acquire);
        if recorded.is_ok() {
            let peers = self.peers.load().len();
            log::warn!(error:% = error, peers = peers; "log out of reach, relaying calls through peers");
        }
    }

    fn record_answer(&self) {
        self.last_answer_us.store(clock::now().0, Ordering::Release);
        let since = self.failing_since_us.swap(0, Ordering::AcqRel);
        if since != 0 {
            let outage = clock::now().since(Timestamp(since));
            log::info!(outage_ms = outage.as_millis(); "log within reach again");
        }
    }

    /// Makes a call through peers; returns `None` if no peer could make it and it had no effect.
    async fn call_via_peers(
        &self,
        topic: Topic,
        call: &LogCall,
    ) -> Option<Result<LogAnswer, LogError>> {
        let peers = self.peers.load_full();
        let first = self.next_peer.load(Ordering::Relaxed);
        let message = Bytes::from(relay_message::encode_call(topic, call));
        for attempt in 0..peers.len().min(MAX_PEERS) {
            let index = (first + attempt) % peers.len();
            let (name, address) = peers.get_index(index)?;
            let answer = self.call_peer(name, *address, call, message.clone()).await;
            match answer {
                Ok(Err(error)) if is_outage(&error) && !error.may_have_effect() => {}
                Ok(outcome) => return Some(outcome),
                Err(error @ CallError::Unreachable { .. }) => {
                    log::debug!(peer:% = name, error:% = error; "peer unreachable");
                }
                Err(error) if !call.is_repeatable() => {
                    let cause = compact_str::format_compact!("{error}");
                    return Some(Err(LogError::AnswerLost { cause }));
                }
                Err(error) => log::debug!(peer:% = name, error:% = error; "answer of a peer lost"),
            }
            // The next call starts with another peer.
            self.next_peer.fetch_add(1, Ordering::Relaxed);
        }
        None
    }

    async fn call_peer(
        &self,
        name: &str,
        address: SocketAddr,
        call: &LogCall,
        message: Bytes,
    ) -> Result<Result<LogAnswer, LogError>, CallError> {
        let request = EndpointRequest {
            method: Method::POST,
            path: RELAY_PATH.into(),
            headers: HeaderMap::new(),
            body: message,
        };
        let timeout = call.wait() + PEER_TIMEOUT;
        let answer = self.client.call(name, address, request, timeout).await?;
        self.last_answer_us.store(clock::now().0, Ordering::Release);
        if answer.status != StatusCode::OK {
            return Err(CallError::lost(answer.status));
        }
        relay_message::decode_answer(call, &answer.body).map_err(CallError::lost)
    }
}

/// Returns whether an error means that this instance can't use the log directly.
fn is_outage(error: &LogError) -> bool {
    !matches!(
        error,
        LogError::Truncated { .. } | LogError::Conflict { .. }
    )
}

fn unexpected_answer() -> LogError {
    LogError::Malformed {
        cause: "the answer belongs to another kind of call".into(),
    }
}

impl Log for RelayedLog {
    fn append(
        &self,
        topic: Topic,
        records: Vec<KeyedValue>,
        at: Option<Offset>,
    ) -> BoxFuture<'_, Result<Offset, LogError>> {
        async move {
            match self.call(topic, LogCall::Append(records, at)).await? {
                LogAnswer::Appended(offset) => Ok(offset),
                _ => Err(unexpected_answer()),
            }
        }
        .boxed()
    }

    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'_, Result<LogPage, LogError>> {
        async move {
            match self.call(topic, LogCall::Read(from, wait)).await? {
                LogAnswer::Page(page) => Ok(page),
                _ => Err(unexpected_answer()),
            }
        }
        .boxed()
    }

    fn fetch(
        &self,
        topic: Topic,
        offset: Offset,
        size_bytes: u64,
    ) -> BoxFuture<'_, Result<LogRecord, LogError>> {
        async move {
            match self.call(topic, LogCall::Fetch(offset, size_bytes)).await? {
                LogAnswer::Record(record) => Ok(record),
                _ => Err(unexpected_answer()),
            }
        }
        .boxed()
    }

    fn newest(
        &self,
        topic: Topic,
        after: Option<CompactString>,
    ) -> BoxFuture<'_, Result<NewestPage, LogError>> {
        async move {
            match self.call(topic, LogCall::Newest(after)).await? {
                LogAnswer::Newest(page) => Ok(page),
                _ => Err(unexpected_answer()),
            }
        }
        .boxed()
    }

    /// Never relayed: trimming can wait until the log is reachable.
    fn trim(&self, topic: Topic, before: Offset) -> BoxFuture<'_, Result<(), LogError>> {
        self.direct.trim(topic, before)
    }

    fn limits(&self) -> LogLimits {
        self.direct.limits()
    }
}
