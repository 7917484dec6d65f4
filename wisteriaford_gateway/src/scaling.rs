//! Orders of engines: the work that instances report to the leader, and what it observes of the pools.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::join_all;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use indexmap::IndexMap;
use prost::Message;
use wisteriaford_core::gateway::duties::DutyKind;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::gateway::route::RouteTable;
use wisteriaford_core::gateway::scaling::MAX_DEMAND_AGE;
use wisteriaford_core::gateway::scaling::PoolObservation;
use wisteriaford_core::gateway::scaling::PoolWork;
use wisteriaford_core::gateway::scaling::allocation::ScalingPolicy;
use wisteriaford_core::gateway::scaling::allocation::ZoneEngines;
use wisteriaford_core::gateway::scaling::fleet::FleetScaling;
use wisteriaford_core::gateway::scaling::work::RefusedRequests;
use wisteriaford_core::gateway::scaling::work::ReportedWork;
use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::Fence;
use wisteriaford_core::id::PoolId;
use wisteriaford_proto::scaling as proto;

use crate::adapter::EndpointRequest;
use crate::adapter::Topic;
use crate::clock;
use crate::settings::GatewaySettings;
use crate::state::Gateway;
use crate::state::lock;
use crate::state::stopped;

/// Path of reports of work.
pub(crate) const WORK_PATH: &str = "/work";
/// Minimum interval between two reports of an instance, and between two observations of the leader.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two reports for each instance of the fleet, so that the leader gets 200 a second at most.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(5);
/// Time limit of a report, or of a question whether an instance runs.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of instances that are asked at once whether they run.
const MAX_QUESTIONS: usize = 20;

/// What the leader knows in one term.
struct Term {
    fence: Fence,
    reported: ReportedWork,
    duty: FleetScaling,
}

/// State of the orders of engines.
pub(crate) struct ScalingState {
    is_enabled: bool,
    refused: Mutex<RefusedRequests>,
    term: Mutex<Option<Term>>,
}

/// Duty of the present term, while it is locked.
pub(crate) struct LockedDuty<'a>(MutexGuard<'a, Option<Term>>);

impl LockedDuty<'_> {
    pub(crate) fn get(&mut self) -> Option<&mut FleetScaling> {
        self.0.as_mut().map(|term| &mut term.duty)
    }
}

impl ScalingState {
    pub(crate) fn new(settings: &GatewaySettings, has_port: bool) -> Self {
        let duties = settings.duties.as_ref();
        let is_ordered = duties.is_some_and(|duties| duties.kinds.contains(&DutyKind::Scaling));
        Self {
            is_enabled: is_ordered && has_port,
            refused: Mutex::default(),
            term: Mutex::default(),
        }
    }

    /// Returns whether the deployment lets the fleet order engines.
    pub(crate) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns the duty; it is locked before the dispatcher.
    pub(crate) fn duty(&self) -> LockedDuty<'_> {
        LockedDuty(lock(&self.term))
    }

    /// Records that a request was refused because a pool had no room.
    pub(crate) fn record_refused(&self, pool: &PoolId) {
        if self.is_enabled {
            lock(&self.refused).record(clock::now(), pool);
        }
    }
}

fn scaled_pools(routes: &RouteTable) -> impl Iterator<Item = (&PoolId, &ScalingPolicy)> {
    let pools = routes.pools.values();
    pools.filter_map(|pool| Some((&pool.id, pool.scaling.as_ref()?)))
}

/// Returns the work of this instance at a pool, without items that wait.
fn own_work(gateway: &Gateway, endpoints: &EndpointTable, pool: &PoolId) -> PoolWork {
    let (load_balancer, scorer_balancer) = (gateway.load_balancer(), gateway.scorer_balancer());
    let of_pool = endpoints.iter().filter(|endpoint| endpoint.pool == *pool);
    let running = of_pool.map(|endpoint| {
        let id = &endpoint.id;
        u64::from(load_balancer.in_flight(id)) + u64::from(scorer_balancer.in_flight(id))
    });
    let running = running.sum();
    drop((load_balancer, scorer_balancer));
    PoolWork {
        waiting: lock(&gateway.scaling.refused).waiting(clock::now(), pool),
        running,
        due: 0,
    }
}

/// Reports the work of this instance to the leader until the gateway stops.
pub(crate) async fn report(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    loop {
        let instances = u32::try_from(gateway.log.peers().len()).unwrap_or(u32::MAX);
        let interval = MIN_INTERVAL.max(INTERVAL_PER_INSTANCE.saturating_mul(instances));
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = stopped(&mut stop) => return,
        }
        let leader = gateway.leadership().leader_host().cloned();
        let address = leader.and_then(|host| Some((*gateway.log.peers().get(&host)?, host)));
        let Some((address, host)) = address else {
            continue;
        };
        let view = gateway.view.load_full();
        let pools = scaled_pools(&view.routes).map(|(pool, _)| {
            let work = own_work(&gateway, &view.endpoints, pool);
            proto::PoolWork {
                pool: pool.to_string(),
                waiting: work.waiting,
                running: work.running,
            }
        });
        let report = proto::WorkReport {
            host: gateway.settings.load().host.to_string(),
            pools: pools.collect(),
        };
        if report.pools.is_empty() {
            continue;
        }
        if let Err(cause) = call(&gateway, &host, address, &report).await {
            log::debug!(leader:% = host, error = cause; "work not reported to the leader");
        }
    }
}

/// Sends a report, or a question, and returns the status of the answer.
async fn call(
    gateway: &Gateway,
    host: &CompactString,
    address: SocketAddr,
    report: &proto::WorkReport,
) -> Result<StatusCode, String> {
    let request = EndpointRequest {
        method: Method::POST,
        path: WORK_PATH.into(),
        headers: HeaderMap::new(),
        body: Bytes::from(report.encode_to_vec()),
    };
    let answer = gateway.client.call(host, address, request, CALL_TIMEOUT);
    let answer = answer.await.map_err(|error| error.to_string())?;
    Ok(answer.status)
}

/// Receives a report of another instance.
pub(crate) fn receive(gateway: &Gateway, body: &[u8]) -> StatusCode {
    let report = match proto::WorkReport::decode(body) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(error:% = error; "report of work refused");
            return StatusCode::BAD_REQUEST;
        }
    };
    if report.host.is_empty() {
        return StatusCode::OK;
    }
    let mut term = lock(&gateway.scaling.term);
    let Some(term) = term.as_mut() else {
        return StatusCode::SERVICE_UNAVAILABLE;
    };
    let work = report.pools.into_iter().map(|pool| {
        let work = PoolWork {
            waiting: pool.waiting,
            running: pool.running,
            due: 0,
        };
        (PoolId::from(pool.pool), work)
    });
    term.reported
        .record(clock::now(), report.host.into(), work.collect());
    StatusCode::OK
}

/// Observes the pools while this instance is the leader, until the gateway stops.
pub(crate) async fn observe(gateway: Arc<Gateway>) {
    let mut stop = gateway.stop.clone();
    let mut unknown: IndexMap<PoolId, ()> = IndexMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(MIN_INTERVAL) => {}
            () = stopped(&mut stop) => return,
        }
        let silent = observe_once(&gateway, &mut unknown);
        ask(&gateway, silent).await;
    }
}

/// Records what is known of the pools, and returns the instances whose work isn't.
fn observe_once(gateway: &Gateway, unknown: &mut IndexMap<PoolId, ()>) -> Vec<CompactString> {
    let now = clock::now();
    let fence = gateway.leadership().leader_fence();
    let view = gateway.view.load_full();
    let is_recent = |topic| now.since(gateway.freshness(topic).as_of()) <= MAX_DEMAND_AGE;
    let is_current = is_recent(Topic::Endpoints) && is_recent(Topic::Jobs);
    let items = items(gateway, &view.routes);
    let own: Vec<_> = scaled_pools(&view.routes)
        .map(|(pool, policy)| (pool, policy, own_work(gateway, &view.endpoints, pool)))
        .collect();
    let mut term = lock(&gateway.scaling.term);
    if term.as_ref().map(|term| term.fence) != fence {
        *term = fence.map(|fence| Term {
            fence,
            reported: ReportedWork::default(),
            duty: FleetScaling::default(),
        });
        unknown.clear();
    }
    let Some(Term { reported, duty, .. }) = term.as_mut() else {
        return Vec::new();
    };
    let peers = gateway.log.peers();
    let silent = reported.silent(now, peers.keys());
    duty.retain(|pool| own.iter().any(|(known, ..)| *known == pool));
    for (pool, policy, own) in own {
        let others = reported.total(now, pool).filter(|_| is_current);
        let work = others.map(|others| {
            let items = items.get(pool).copied().unwrap_or_default();
            PoolWork {
                waiting: others.waiting + own.waiting + items.waiting,
                running: others.running + own.running,
                due: items.due,
            }
        });
        let was_unknown = unknown.contains_key(pool);
        if work.is_none() && !was_unknown {
            unknown.insert(pool.clone(), ());
            let first = silent.first().map(CompactString::as_str);
            log::warn!(
                pool:% = pool, silent = silent.len(), first = first, is_current = is_current;
                "work of a pool isn't known, no engines are ordered"
            );
        } else if let Some(work) = work.filter(|_| was_unknown) {
            unknown.swap_remove(pool);
            log::info!(
                pool:% = pool, waiting = work.waiting, running = work.running, due = work.due;
                "work of a pool is known again"
            );
        }
        let present = present(&view.endpoints, pool);
        duty.observe(now, pool, policy, PoolObservation { work, present });
    }
    silent
}

/// Returns the items that wait for each pool, and those of batch jobs whose items haven't been read yet.
fn items(gateway: &Gateway, routes: &RouteTable) -> IndexMap<PoolId, PoolWork> {
    let mut items: IndexMap<PoolId, PoolWork> = IndexMap::new();
    let jobs = gateway.jobs();
    let schedule = gateway.schedule();
    for (pool, waiting) in schedule.waiting_by_pool(routes) {
        items.entry(pool).or_default().waiting = waiting;
    }
    for job in jobs.iter().filter(|job| !job.ended && !job.is_complete()) {
        let head = &job.head;
        let route = routes.find(&head.host, &head.path);
        let pool = route.and_then(|route| route.pool_for(head.id.as_str()));
        if let Some(pool) = pool.filter(|_| !schedule.is_open(&head.id)) {
            let due = head.total_items.saturating_sub(job.result_count());
            items.entry(pool.clone()).or_default().due += u64::try_from(due).unwrap_or(u64::MAX);
        }
    }
    items
}

/// Returns the engines of a pool that serve, by zone.
fn present(endpoints: &EndpointTable, pool: &PoolId) -> IndexMap<AvailabilityZone, ZoneEngines> {
    let mut present: IndexMap<AvailabilityZone, ZoneEngines> = IndexMap::new();
    for endpoint in endpoints.serving(pool) {
        let zone = present.entry(endpoint.availability_zone.clone());
        let zone = zone.or_default();
        if endpoint.is_spot {
            zone.spot += 1;
        } else {
            zone.regular += 1;
        }
    }
    present
}

/// Asks instances whose work isn't known whether they run. One that answers, also of an older build, has work.
async fn ask(gateway: &Gateway, silent: Vec<CompactString>) {
    let peers = gateway.log.peers();
    let question = &proto::WorkReport::default();
    let asked = silent.iter().take(MAX_QUESTIONS).filter_map(|host| {
        let address = *peers.get(host)?;
        Some(async move { (host, call(gateway, host, address, question).await.is_ok()) })
    });
    for (host, is_running) in join_all(asked).await {
        if let (true, Some(term)) = (is_running, lock(&gateway.scaling.term).as_mut()) {
            term.reported.record_answer(clock::now(), host);
        }
    }
}
