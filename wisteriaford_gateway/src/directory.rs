//! Followers of the routes, announced versions and endpoints in the log.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use wisteriaford_core::gateway::endpoint::EXPIRED_ENTRY_GRACE;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::endpoint::EndpointChange;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::gateway::route::RouteTable;
use wisteriaford_core::gateway::suspects::CrashSign;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::Version;
use wisteriaford_core::time::Timestamp;

use crate::adapter::DecodeError;
use crate::adapter::DecodedRecord;
use crate::adapter::LogRecord;
use crate::adapter::Topic;
use crate::clock;
use crate::follow::Follower;
use crate::run;
use crate::state::Gateway;
use crate::state::View;

/// Maximum wait of a read for publications, and the maximum age of the fold in normal operation.
const PUBLICATIONS_WAIT: Duration = Duration::from_secs(1);
/// Maximum wait of a read for endpoint entries.
const ENDPOINTS_WAIT: Duration = Duration::from_secs(1);
/// Delay after a read that returned entries, a fifth of the time that a leaving endpoint still
/// serves.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(250);
/// Time without an answer of the log after which entries may have expired although their endpoints
/// still run.
const EXPIRY_SILENCE: Duration = Duration::from_millis(1_500);

/// Follower of the publications of operators and trainers.
pub(crate) struct PublicationFollower {
    pub(crate) gateway: Arc<Gateway>,
}

impl Follower for PublicationFollower {
    fn topic(&self) -> Topic {
        Topic::Publications
    }

    fn wait(&self) -> Duration {
        let settings = self.gateway.settings.load();
        if settings.strict_revocation {
            // Else keys would not be accepted between two reads.
            PUBLICATIONS_WAIT.min(settings.revocation_timeout / 4)
        } else {
            PUBLICATIONS_WAIT
        }
    }

    fn apply_snapshot(&mut self, records: Vec<LogRecord>, _end: Offset) {
        // Versions only increase, so records that are absent revoke nothing.
        self.apply_records(records);
    }

    fn apply_records(&mut self, records: Vec<LogRecord>) {
        for record in records {
            self.apply(&record);
        }
    }

    fn on_caught_up(&mut self, _end: Offset, as_of: Timestamp) {
        self.gateway.record_read(Topic::Publications, as_of);
    }
}

impl PublicationFollower {
    fn apply(&self, record: &LogRecord) {
        match self.gateway.decoder.decode(record, Topic::Publications) {
            Ok(DecodedRecord::Routes(table)) => apply_routes(&self.gateway, *table, record.offset),
            Ok(DecodedRecord::Weights { model, version }) => {
                apply_version(&self.gateway, &model, version, record.offset);
            }
            Ok(
                DecodedRecord::Endpoint(_)
                | DecodedRecord::EndpointRemoved(_)
                | DecodedRecord::Other,
            ) => {}
            Err(error) => skip_record(&self.gateway, Topic::Publications, record, &error),
        }
    }
}

fn apply_routes(gateway: &Gateway, routes: RouteTable, offset: Offset) {
    let before = gateway.view.load().routes.version;
    if routes.version <= before {
        log::info!(
            version = routes.version.0, in_force = before.0, offset = offset.0;
            "ignored routing table that is not newer than the one in force"
        );
        return;
    }
    log::info!(
        version = routes.version.0, replaces = before.0, offset = offset.0, routes = routes.len(),
        pools = routes.pools.len();
        "routing table in force"
    );
    let replaced = Arc::clone(&gateway.view.load().routes);
    gateway
        .origins
        .history()
        .record_routes(clock::now(), &replaced, &routes);
    let routes = Arc::new(routes);
    update_view(gateway, |view| view.routes = Arc::clone(&routes));
    gateway.runner_wake.notify_one();
}

fn apply_version(gateway: &Gateway, model: &ModelId, version: Version, offset: Offset) {
    let before = gateway.view.load().weights.get(model).copied();
    if before >= Some(version) {
        return;
    }
    log::info!(model:% = model, version = version.0, offset = offset.0; "version of weights announced");
    update_view(gateway, |view| {
        let mut weights = (*view.weights).clone();
        weights.insert(model.clone(), version);
        view.weights = Arc::new(weights);
    });
    gateway.runner_wake.notify_one();
}

fn skip_record(gateway: &Gateway, topic: Topic, record: &LogRecord, error: &DecodeError) {
    gateway.metrics.skipped_records.add(1, &[]);
    log::warn!(
        topic:% = topic, key:% = record.key, offset = record.offset.0, error:% = error;
        "record skipped"
    );
}

fn update_view(gateway: &Gateway, change: impl Fn(&mut View)) {
    gateway.view.rcu(|view| {
        let mut changed = View::clone(view);
        change(&mut changed);
        changed
    });
}

/// Follower of the endpoint entries.
pub(crate) struct EndpointFollower {
    pub(crate) gateway: Arc<Gateway>,
    /// Time of the log's recovery from an outage in which entries may have expired.
    pub(crate) recovered_at: Option<Timestamp>,
    /// Time of the log's last answer.
    pub(crate) last_answer: Timestamp,
    /// Whether the first list of endpoints was read; endpoints that appear later have started.
    pub(crate) has_list: bool,
}

impl EndpointFollower {
    fn grace_end(&self) -> Option<Timestamp> {
        let until = self.recovered_at? + EXPIRED_ENTRY_GRACE;
        (until > clock::now()).then_some(until)
    }

    /// Returns the table in force, to be copied on the first change.
    fn table(&self) -> Arc<EndpointTable> {
        Arc::clone(&self.gateway.view.load().endpoints)
    }

    fn apply(&self, record: &LogRecord, table: &mut Arc<EndpointTable>) {
        match self.gateway.decoder.decode(record, Topic::Endpoints) {
            Ok(DecodedRecord::Endpoint(endpoint)) => self.upsert(*endpoint, record.offset, table),
            Ok(DecodedRecord::EndpointRemoved(id)) => self.remove(&id, record.offset, table),
            Ok(DecodedRecord::Routes(_) | DecodedRecord::Weights { .. } | DecodedRecord::Other) => {
            }
            Err(error) => {
                skip_record(&self.gateway, Topic::Endpoints, record, &error);
                if let Some(id) = self.gateway.decoder.endpoint_of(&record.key) {
                    self.remove(&id, record.offset, table);
                }
            }
        }
    }

    fn upsert(&self, mut endpoint: Endpoint, offset: Offset, table: &mut Arc<EndpointTable>) {
        endpoint.leaving |= self.gateway.is_departing(&endpoint);
        if table.is_up_to_date(&endpoint) {
            return;
        }
        let id = endpoint.id.clone();
        let (pool, software) = (endpoint.pool.clone(), endpoint.software.clone());
        // A later record of the same read may remove the endpoint again.
        self.gateway
            .origins
            .history()
            .record(clock::now(), &pool, &software);
        let replaced = table.at_address(&endpoint).cloned();
        let before = table.get(&id).cloned();
        let slots = endpoint.slots;
        let warm_up_slots = endpoint.warms_up.then_some(endpoint.slots);
        let change = Arc::make_mut(table).insert(endpoint);
        if let Some(replaced) = replaced {
            log::info!(
                endpoint:% = replaced.id, successor:% = id, offset = offset.0;
                "endpoint replaced at its address"
            );
            run::record_crash(&self.gateway, &replaced, CrashSign::EntryGone);
        }
        match change {
            EndpointChange::Unchanged => {
                self.gateway.load_balancer().record_slots(&id, slots);
                return;
            }
            EndpointChange::Restarted => {
                if let Some(before) = before {
                    run::record_crash(&self.gateway, &before, CrashSign::EntryGone);
                }
                self.gateway.forget_endpoint(&id);
            }
            _ => {}
        }
        let has_started = matches!(change, EndpointChange::Added | EndpointChange::Restarted);
        let mut load_balancer = self.gateway.load_balancer();
        load_balancer.record_slots(&id, slots);
        if has_started && self.has_list {
            load_balancer.record_endpoint_start(clock::now(), &id);
        }
        if let Some(slots) = warm_up_slots.filter(|_| has_started) {
            load_balancer.announce_warm_up(&id, slots);
        }
        drop(load_balancer);
        log::info!(
            endpoint:% = id, pool:% = pool, software:% = software, change:? = change,
            warm_up_slots = warm_up_slots, offset = offset.0;
            "endpoint list changed"
        );
    }

    fn remove(&self, id: &EndpointId, offset: Offset, table: &mut Arc<EndpointTable>) {
        let Some(before) = table.get(id).cloned() else {
            return;
        };
        let change = Arc::make_mut(table).remove(id, self.grace_end());
        log::info!(
            endpoint:% = id, change:? = change, offset = offset.0; "endpoint list changed"
        );
        if change == EndpointChange::Removed {
            self.forget_removed(&before);
        }
    }

    /// Handles the end of an endpoint that crashed, or of one that left without notice: that one
    /// still finishes its runs, so that none is lost.
    fn forget_removed(&self, endpoint: &Endpoint) {
        if !endpoint.leaving {
            run::record_crash(&self.gateway, endpoint, CrashSign::EntryGone);
        }
        self.gateway.forget_endpoint(&endpoint.id);
    }

    /// Puts a table in force unless it already is.
    fn publish(&self, table: &Arc<EndpointTable>) {
        if Arc::ptr_eq(table, &self.gateway.view.load().endpoints) {
            return;
        }
        self.gateway.store_endpoints(table);
        self.gateway.runner_wake.notify_one();
    }
}

impl Follower for EndpointFollower {
    fn topic(&self) -> Topic {
        Topic::Endpoints
    }

    fn wait(&self) -> Duration {
        ENDPOINTS_WAIT
    }

    fn pause(&self) -> Duration {
        ENDPOINTS_PAUSE
    }

    fn apply_snapshot(&mut self, records: Vec<LogRecord>, end: Offset) {
        let mut table = self.table();
        let mut listed = IndexSet::new();
        for record in records {
            let id = self.gateway.decoder.endpoint_of(&record.key);
            listed.extend(id.filter(|_| record.value.is_some()));
            self.apply(&record, &mut table);
        }
        for id in table.missing_from(&listed) {
            self.remove(&id, end, &mut table);
        }
        self.publish(&table);
    }

    fn apply_records(&mut self, records: Vec<LogRecord>) {
        let mut table = self.table();
        for record in records {
            self.apply(&record, &mut table);
        }
        self.publish(&table);
    }

    fn on_caught_up(&mut self, _end: Offset, as_of: Timestamp) {
        self.gateway.record_read(Topic::Endpoints, as_of);
        self.has_list = true;
        if self.recovered_at.is_some() && self.grace_end().is_none() {
            self.recovered_at = None;
        }
        let mut table = self.table();
        if !table.has_due_removals(clock::now()) {
            return;
        }
        for endpoint in Arc::make_mut(&mut table).remove_expired(clock::now()) {
            log::info!(endpoint:% = endpoint.id; "expired entry of an endpoint was not renewed");
            self.forget_removed(&endpoint);
        }
        self.publish(&table);
    }

    fn on_truncated(&mut self) {
        self.gateway.origins.history().record_missed();
    }

    fn on_reachability(&mut self, reachable: bool) {
        if !reachable {
            return;
        }
        let now = clock::now();
        if self.last_answer != Timestamp(0) && now.since(self.last_answer) > EXPIRY_SILENCE {
            self.recovered_at = Some(now);
        }
        self.last_answer = now;
    }
}
