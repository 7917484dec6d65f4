//! State that the gateway's tasks share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::Notify;
use tokio::sync::watch;
use wisteriaford_core::gateway::announced_limits::AnnouncedLimits;
use wisteriaford_core::gateway::carriers::Carriers;
use wisteriaford_core::gateway::departures::Departures;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::gateway::fair_shares::calls::CallShares;
use wisteriaford_core::gateway::job_fold::JobFold;
use wisteriaford_core::gateway::leadership::Leadership;
use wisteriaford_core::gateway::line_limit::LineLimit;
use wisteriaford_core::gateway::links::Links;
use wisteriaford_core::gateway::load_balancer::LoadBalancer;
use wisteriaford_core::gateway::permits::IssuingTerm;
use wisteriaford_core::gateway::permits::PermitIssuer;
use wisteriaford_core::gateway::route::RouteTable;
use wisteriaford_core::gateway::schedule::Schedule;
use wisteriaford_core::gateway::suspects::StoredKeys;
use wisteriaford_core::gateway::suspects::Suspects;
use wisteriaford_core::gateway::suspects::crash_id;
use wisteriaford_core::gateway::weights::WeightPlan;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::TableVersion;
use wisteriaford_core::id::Version;
use wisteriaford_core::pause::Confirmation;
use wisteriaford_core::pause::PauseDetector;
use wisteriaford_core::time::Timestamp;
use wisteriaford_http::Guard;

use crate::adapter::AnswerMetadata;
use crate::adapter::CallerProtocol;
use crate::adapter::DutyPort;
use crate::adapter::EndpointProtocol;
use crate::adapter::Log;
use crate::adapter::LogError;
use crate::adapter::RecordDecoder;
use crate::adapter::Topic;
use crate::client::Client;
use crate::clock;
use crate::contents::ContentCache;
use crate::departure_reports;
use crate::job_admission::PendingJobs;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::relay::RelayedLog;
use crate::scaling::ScalingState;
use crate::settings::GatewaySettings;
use crate::shutdown::ShutdownState;
use crate::stream_origins::OriginState;
use crate::usage::UsageState;

/// Time without an answer of the log after which an instance that is also isolated from its peers
/// is no longer ready for new callers.
///
/// An outage of the log alone doesn't affect readiness: it affects all instances equally, and
/// forwarding calls doesn't need the log.
const MAX_LOG_SILENCE: Duration = Duration::from_millis(1_500);

/// Adapters that connect the gateway to callers, endpoints and the log.
pub struct Adapters {
    /// Shared log.
    pub log: Arc<dyn Log>,
    /// Decoder of the log's read-only topics.
    pub decoder: Arc<dyn RecordDecoder>,
    /// Protocol of callers.
    pub callers: Arc<dyn CallerProtocol>,
    /// Protocol of endpoints.
    pub endpoints: Arc<dyn EndpointProtocol>,
    /// API that takes the calls of duties, if there are any.
    pub duties: Option<Arc<dyn DutyPort>>,
    /// HTTP client; the log adapter may share its connections.
    pub client: Client,
}

/// Consistent snapshot of the routes, the endpoints and the announced versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) routes: Arc<RouteTable>,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) weights: Arc<IndexMap<ModelId, Version>>,
}

/// Freshness of the fold of a topic.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    as_of_us: AtomicU64,
    last_answer_us: AtomicU64,
    failing: AtomicBool,
}

impl Freshness {
    /// Returns the time as of which all records have been read; zero before the first time.
    pub(crate) fn as_of(&self) -> Timestamp {
        Timestamp(self.as_of_us.load(Ordering::Acquire))
    }

    pub(crate) fn advance(&self, as_of: Timestamp) {
        self.as_of_us.fetch_max(as_of.0, Ordering::AcqRel);
    }

    /// Returns whether the last read of the topic was answered.
    pub(crate) fn is_answering(&self) -> bool {
        !self.failing.load(Ordering::Acquire)
    }

    /// Returns the time of the log's last answer to a read of the topic.
    pub(crate) fn last_answer(&self) -> Timestamp {
        Timestamp(self.last_answer_us.load(Ordering::Acquire))
    }
}

/// Interval of checking whether the reads after a pause are complete; a read takes a few
/// milliseconds.
const CURRENT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a request is refused if the reads after a pause are not complete.
const CURRENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pauses of the process, and what must be read after one before requests are served.
#[derive(Debug, Default)]
struct PauseState {
    detector: PauseDetector,
    publications: Confirmation,
    endpoints: Confirmation,
}

impl PauseState {
    fn confirmation(&mut self, topic: Topic) -> Option<&mut Confirmation> {
        match topic {
            Topic::Publications => Some(&mut self.publications),
            Topic::Endpoints => Some(&mut self.endpoints),
            _ => None,
        }
    }
}

/// Shared state of the gateway's tasks.
pub(crate) struct Gateway {
    pub(crate) settings: ArcSwap<GatewaySettings>,
    pub(crate) log: Arc<RelayedLog>,
    pub(crate) decoder: Arc<dyn RecordDecoder>,
    pub(crate) callers: Arc<dyn CallerProtocol>,
    pub(crate) endpoints: Arc<dyn EndpointProtocol>,
    pub(crate) client: Client,
    pub(crate) view: ArcSwap<View>,
    pub(crate) metrics: Metrics,
    pub(crate) outbox: Outbox,
    pub(crate) usage: UsageState,
    pub(crate) scaling: ScalingState,
    /// Held while output of items is being saved.
    pub(crate) saving: tokio::sync::Mutex<()>,
    pub(crate) contents: ContentCache,
    pub(crate) jobs_changed: watch::Sender<u64>,
    pub(crate) runner_wake: Notify,
    /// Wakes the task that sends crash reports.
    pub(crate) reports_wake: Notify,
    /// Offset after the last record of the quarantine topic that was read.
    pub(crate) quarantine_read_to: AtomicU64,
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) leaving: AtomicBool,
    pub(crate) shutdown: ShutdownState,
    pub(crate) requests_in_progress: AtomicUsize,
    /// Budget of what is held for callers.
    pub(crate) caller_guard: Arc<Guard>,
    /// Budget of the ports for readiness and metrics, apart from that of the callers.
    pub(crate) probe_guard: Arc<Guard>,
    /// Number of connections of callers that have sent something.
    pub(crate) open_connections: AtomicUsize,
    load_balancer: Mutex<LoadBalancer>,
    /// Statistics of scorer calls, which take longer than the other calls of their pools.
    scorer_balancer: Mutex<LoadBalancer>,
    /// Links of this instance to the endpoints.
    links: Mutex<Links>,
    carriers: Mutex<Carriers>,
    /// Number of connections to endpoints that this instance carries for others.
    pub(crate) carried_connections: AtomicUsize,
    /// Notified when the links of this instance are cut or restored.
    pub(crate) links_changed: Notify,
    /// Held while the own links are being checked.
    pub(crate) link_check: tokio::sync::Mutex<()>,
    /// Number of endpoints that checks have connected to.
    pub(crate) check_turn: AtomicUsize,
    /// Time of the last check because of silence.
    pub(crate) silence_checked_at_us: AtomicU64,
    /// Time at which something last came directly from any endpoint.
    pub(crate) heard_at_us: AtomicU64,
    /// Time of the last lost run since reports were last sent; zero for none.
    pub(crate) unverified_loss_at_us: AtomicU64,
    departures: Mutex<Departures>,
    announced_limits: Mutex<AnnouncedLimits>,
    permits: Mutex<PermitIssuer>,
    /// Versions that began streams.
    pub(crate) origins: OriginState,
    /// Wakes the task that tells the leader of limits.
    pub(crate) limits_wake: Notify,
    /// Batch jobs that are being stored.
    pub(crate) pending_jobs: PendingJobs,
    jobs: Mutex<JobFold>,
    leadership: Mutex<Leadership>,
    schedule: Mutex<Schedule>,
    plan: Mutex<WeightPlan>,
    suspects: Mutex<Suspects>,
    stored_reports: Mutex<StoredKeys>,
    /// Crashes that are being probed for.
    probes: Mutex<IndexSet<CompactString>>,
    freshness: [Freshness; 11],
    pause: Mutex<PauseState>,
    /// Notifies the followers that the process was paused.
    pub(crate) resumed: Notify,
    /// Limit on the log lines about unknown keys.
    pub(crate) unknown_key_lines: Mutex<LineLimit>,
    /// Fair shares of the organisations' calls.
    pub(crate) call_shares: Mutex<CallShares>,
    /// Limit on the log lines about calls over the shares of their organisations.
    pub(crate) over_share_lines: Mutex<LineLimit>,
    name_counter: AtomicU64,
}

/// Locks a mutex and ignores poisoning: the state stays usable after a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        adapters: Adapters,
        leadership: Leadership,
        metrics: Metrics,
        stop: watch::Receiver<bool>,
    ) -> Self {
        let availability_zone = settings.availability_zone.clone();
        let scaling = ScalingState::new(&settings, adapters.duties.is_some());
        let usage = UsageState::new(&settings, adapters.duties);
        let caller_limits = settings.caller_budget();
        let probe_limits = settings.probe_budget();
        Self {
            settings: ArcSwap::from_pointee(settings),
            log: Arc::new(RelayedLog::new(adapters.log, adapters.client.for_peers())),
            decoder: adapters.decoder,
            callers: adapters.callers,
            endpoints: adapters.endpoints,
            client: adapters.client,
            view: ArcSwap::default(),
            metrics,
            outbox: Outbox::default(),
            usage,
            scaling,
            saving: tokio::sync::Mutex::default(),
            contents: ContentCache::default(),
            jobs_changed: watch::Sender::new(0),
            runner_wake: Notify::new(),
            reports_wake: Notify::new(),
            quarantine_read_to: AtomicU64::new(0),
            stop,
            leaving: AtomicBool::new(false),
            shutdown: ShutdownState::default(),
            requests_in_progress: AtomicUsize::new(0),
            caller_guard: Guard::new(caller_limits),
            probe_guard: Guard::new(probe_limits),
            open_connections: AtomicUsize::new(0),
            load_balancer: Mutex::new(LoadBalancer::new(availability_zone.clone())),
            scorer_balancer: Mutex::new(LoadBalancer::new(availability_zone)),
            links: Mutex::default(),
            carriers: Mutex::default(),
            carried_connections: AtomicUsize::new(0),
            links_changed: Notify::new(),
            link_check: tokio::sync::Mutex::default(),
            check_turn: AtomicUsize::new(0),
            silence_checked_at_us: AtomicU64::new(0),
            heard_at_us: AtomicU64::new(0),
            unverified_loss_at_us: AtomicU64::new(0),
            departures: Mutex::default(),
            announced_limits: Mutex::default(),
            permits: Mutex::default(),
            origins: OriginState::default(),
            limits_wake: Notify::new(),
            pending_jobs: PendingJobs::default(),
            jobs: Mutex::default(),
            leadership: Mutex::new(leadership),
            schedule: Mutex::default(),
            plan: Mutex::default(),
            suspects: Mutex::default(),
            stored_reports: Mutex::default(),
            probes: Mutex::default(),
            freshness: Default::default(),
            pause: Mutex::default(),
            resumed: Notify::new(),
            unknown_key_lines: Mutex::default(),
            call_shares: Mutex::default(),
            over_share_lines: Mutex::default(),
            name_counter: AtomicU64::new(0),
        }
    }

    pub(crate) fn load_balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        lock(&self.load_balancer)
    }

    /// Returns the statistics of scorer calls.
    pub(crate) fn scorer_balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        lock(&self.scorer_balancer)
    }

    /// Returns the links of this instance to the endpoints.
    pub(crate) fn links(&self) -> MutexGuard<'_, Links> {
        lock(&self.links)
    }

    /// Returns whether something came directly from an endpoint at a time or later.
    pub(crate) fn is_heard_since(&self, since: Timestamp) -> bool {
        let heard_at = Timestamp(self.heard_at_us.load(Ordering::Acquire));
        heard_at >= since && heard_at > Timestamp::default()
    }

    /// Returns whether a failure at an endpoint of a request sent at a time may be due to the own links.
    pub(crate) fn is_excused(&self, sent_at: Timestamp) -> bool {
        let cut_known_at = self.links().cut_known_at();
        cut_known_at.is_some_and(|known_at| sent_at < known_at)
    }

    /// Returns the instances over which endpoints are connected to.
    pub(crate) fn carriers(&self) -> MutexGuard<'_, Carriers> {
        lock(&self.carriers)
    }

    /// Discards the statistics of an endpoint that was removed or restarted.
    pub(crate) fn forget_endpoint(&self, endpoint: &EndpointId) {
        self.load_balancer().forget(endpoint);
        self.scorer_balancer().forget(endpoint);
    }

    /// Takes an endpoint out of service at once if its answer announces that it is leaving.
    pub(crate) fn record_departure(&self, endpoint: &Endpoint, answer: &AnswerMetadata) {
        if answer.leaving && self.announce_departure(endpoint, "announced in an answer") {
            departure_reports::send(self, endpoint);
        }
    }

    /// Takes an endpoint out of service at once; returns whether its departure is news.
    pub(crate) fn announce_departure(&self, endpoint: &Endpoint, source: &str) -> bool {
        if !lock(&self.departures).announce(endpoint) {
            return false;
        }
        self.view.rcu(|view| {
            let mut view = View::clone(view);
            lock(&self.departures).mark(&mut view.endpoints);
            view
        });
        log::info!(
            endpoint:% = endpoint.id, started_unix_ms = endpoint.started_unix_ms, source = source;
            "endpoint announced in an answer that it is leaving"
        );
        self.runner_wake.notify_one();
        true
    }

    /// Puts a table of endpoints in force.
    pub(crate) fn store_endpoints(&self, table: &Arc<EndpointTable>) {
        let before = Arc::clone(&self.view.load().endpoints);
        self.origins
            .history()
            .record_replaced(clock::now(), &before);
        self.view.rcu(|view| {
            let mut view = View::clone(view);
            view.endpoints = Arc::clone(table);
            // An announcement may have come since the table was read.
            lock(&self.departures).mark(&mut view.endpoints);
            view
        });
    }

    /// Returns whether an endpoint announced that it is leaving.
    pub(crate) fn is_departing(&self, endpoint: &Endpoint) -> bool {
        lock(&self.departures).contains(endpoint)
    }

    /// Returns the limits that endpoints announced.
    pub(crate) fn announced_limits(&self) -> MutexGuard<'_, AnnouncedLimits> {
        lock(&self.announced_limits)
    }

    /// Returns the issuer of permits; it is locked after the announced limits.
    pub(crate) fn permits(&self) -> MutexGuard<'_, PermitIssuer> {
        lock(&self.permits)
    }

    /// Returns the right of this instance to issue permits, if it is the leader.
    pub(crate) fn issuing_term(&self) -> Option<IssuingTerm> {
        self.leadership()
            .issuing_term(clock::now(), self.log.is_isolated())
    }

    pub(crate) fn jobs(&self) -> MutexGuard<'_, JobFold> {
        lock(&self.jobs)
    }

    pub(crate) fn leadership(&self) -> MutexGuard<'_, Leadership> {
        lock(&self.leadership)
    }

    pub(crate) fn schedule(&self) -> MutexGuard<'_, Schedule> {
        lock(&self.schedule)
    }

    pub(crate) fn plan(&self) -> MutexGuard<'_, WeightPlan> {
        lock(&self.plan)
    }

    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    /// Returns the keys of the quarantine topic.
    pub(crate) fn stored_reports(&self) -> MutexGuard<'_, StoredKeys> {
        lock(&self.stored_reports)
    }

    /// Begins a probe of an endpoint; returns `false` if one is in progress.
    pub(crate) fn begin_probe(&self, endpoint: &Endpoint) -> bool {
        lock(&self.probes).insert(crash_id(endpoint))
    }

    pub(crate) fn end_probe(&self, endpoint: &Endpoint) {
        lock(&self.probes).swap_remove(&crash_id(endpoint));
    }

    pub(crate) fn freshness(&self, topic: Topic) -> &Freshness {
        &self.freshness[topic as usize]
    }

    /// Returns the number of idle connections to an endpoint.
    pub(crate) fn idle_connections(&self, view: &View, endpoint: &EndpointId) -> usize {
        let found = view.endpoints.get(endpoint);
        found.map_or(0, |found| {
            self.client.idle_count(endpoint.as_str(), found.address)
        })
    }

    /// Returns whether routes and endpoints are current: after a pause of the process, only once they
    /// have been read again, or if the log is down.
    pub(crate) fn is_current(&self) -> bool {
        let now = clock::now();
        let mut pause = lock(&self.pause);
        if let Some(gap) = pause.detector.observe(now) {
            log::warn!(
                gap_ms = gap.as_millis();
                "process was paused, reading routes and endpoints again"
            );
            pause.publications.require(now);
            pause.endpoints.require(now);
            self.resumed.notify_waiters();
        }
        if !pause.publications.is_pending() && !pause.endpoints.is_pending() {
            return true;
        }
        for topic in [Topic::Publications, Topic::Endpoints] {
            let is_down = !self.freshness(topic).is_answering();
            if let Some(confirmation) = pause.confirmation(topic) {
                confirmation.tick(now, is_down);
            }
        }
        !pause.publications.is_pending() && !pause.endpoints.is_pending()
    }

    /// Waits until routes and endpoints are current; returns whether they are in time.
    pub(crate) async fn wait_until_current(&self) -> bool {
        let is_current = async {
            while !self.is_current() {
                tokio::time::sleep(CURRENT_POLL_INTERVAL).await;
            }
        };
        // Requests don't set a timer while there was no pause.
        self.is_current()
            || tokio::time::timeout(CURRENT_TIMEOUT, is_current)
                .await
                .is_ok()
    }

    /// Returns whether a topic must be read again after a pause.
    pub(crate) fn needs_confirmation(&self, topic: Topic) -> bool {
        let mut pause = lock(&self.pause);
        let confirmation = pause.confirmation(topic);
        confirmation.is_some_and(|confirmation| confirmation.is_pending())
    }

    /// Records that a topic was read to its end as of a time.
    pub(crate) fn record_read(&self, topic: Topic, as_of: Timestamp) {
        self.freshness(topic).advance(as_of);
        if topic == Topic::Endpoints {
            self.origins.history().record_read(as_of);
        }
        if let Some(confirmation) = lock(&self.pause).confirmation(topic) {
            confirmation.record_read(Some(as_of));
        }
    }

    /// Returns a name that is globally unique, across instances and restarts.
    pub(crate) fn unique_name(&self) -> String {
        let number = self.name_counter.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number}", self.settings.load().instance)
    }

    /// Notifies the tasks that wait for changes of batch jobs.
    pub(crate) fn notify_jobs_changed(&self) {
        self.jobs_changed.send_modify(|count| *count += 1);
        self.runner_wake.notify_one();
    }

    /// Records an answer of the log; logs the recovery if reads were failing.
    pub(crate) fn record_log_answer(&self, topic: Topic) {
        let freshness = self.freshness(topic);
        freshness
            .last_answer_us
            .store(clock::now().0, Ordering::Release);
        if freshness.failing.swap(false, Ordering::AcqRel) {
            log::info!(topic:% = topic; "log reads succeed again");
        }
    }

    /// Records a failed read of the log; logs the first failure in a row.
    pub(crate) fn record_log_failure(&self, topic: Topic, error: &LogError) {
        self.metrics.log_failures.add(1, &[]);
        let freshness = self.freshness(topic);
        if !freshness.failing.swap(true, Ordering::AcqRel) {
            log::warn!(
                topic:% = topic, error:% = error,
                age_ms = clock::now().since(freshness.as_of()).as_millis();
                "log reads are failing"
            );
        }
    }

    /// Returns whether the instance is ready for new callers, or why it is not.
    pub(crate) fn readiness(&self) -> Result<(), NotReady> {
        if self.leaving.load(Ordering::Acquire) {
            return Err(NotReady::Leaving);
        }
        if self.view.load().routes.version == TableVersion(0) {
            return Err(NotReady::NoRoutes);
        }
        let topics = [Topic::Publications, Topic::Endpoints, Topic::Jobs];
        if topics
            .iter()
            .any(|t| self.freshness(*t).as_of() == Timestamp(0))
        {
            return Err(NotReady::Reading);
        }
        let answered = topics
            .iter()
            .map(|t| self.freshness(*t).last_answer())
            .max();
        let silence = clock::now().since(answered.unwrap_or_default());
        if silence > MAX_LOG_SILENCE && self.log.is_isolated() {
            return Err(NotReady::LogSilent);
        }
        Ok(())
    }
}

/// Reason why an instance is not ready for new callers.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub(crate) enum NotReady {
    /// The instance is shutting down.
    #[display("leaving")]
    Leaving,
    /// The instance has no routes.
    #[display("no_routes")]
    NoRoutes,
    /// The log has not been read to its end yet.
    #[display("reading")]
    Reading,
    /// Neither the log nor a peer has answered for too long.
    #[display("log_silent")]
    LogSilent,
}

/// Waits until the gateway stops.
pub(crate) async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which also ends the gateway.
    drop(stop.wait_for(|stopped| *stopped).await);
}
