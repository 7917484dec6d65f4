//! Routes, named versions and endpoints, as followed in the log.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::endpoint::EndpointChange;
use wisteriaford_core::gateway::endpoint::EndpointTable;
use wisteriaford_core::gateway::endpoint::LAPSED_ENTRY_GRACE;
use wisteriaford_core::gateway::route::RouteTable;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::ModelId;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::Version;
use wisteriaford_core::time::Timestamp;

use crate::border::DecodeError;
use crate::border::Fact;
use crate::border::LogRecord;
use crate::border::Topic;
use crate::clock;
use crate::follow::Follower;
use crate::state::Gateway;
use crate::state::View;

/// Longest wait of a read for publications; the fold is at most this old while all is well.
const PUBLICATIONS_WAIT: Duration = Duration::from_secs(1);
/// Longest wait of a read for entries of endpoints.
const ENDPOINTS_WAIT: Duration = Duration::from_secs(1);
/// Shortest time between two reads of entries, a fifth of the time a leaving endpoint still serves.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(250);
/// Silence of the log after which entries may have lapsed without their endpoints being gone.
const LAPSE_SILENCE: Duration = Duration::from_millis(1_500);

/// Follows what operators and trainers publish.
pub(crate) struct PublicationFollower {
    pub(crate) gateway: Arc<Gateway>,
}

impl Follower for PublicationFollower {
    fn topic(&self) -> Topic {
        Topic::Publications
    }

    fn wait(&self) -> Duration {
        PUBLICATIONS_WAIT
    }

    fn snapshot(&mut self, records: Vec<LogRecord>, _end: Offset) {
        // Versions only rise, so a record that is missing takes nothing back.
        self.records(records);
    }

    fn records(&mut self, records: Vec<LogRecord>) {
        for record in records {
            self.apply(&record);
        }
    }

    fn caught_up(&mut self, _end: Offset, as_of: Timestamp) {
        self.gateway.freshness(Topic::Publications).advance(as_of);
    }
}

impl PublicationFollower {
    fn apply(&self, record: &LogRecord) {
        match self.gateway.facts.decode(record, Topic::Publications) {
            Ok(Fact::Routes(routes)) => put_in_force(&self.gateway, *routes, record.offset),
            Ok(Fact::Weights { model, version }) => {
                name_version(&self.gateway, &model, version, record.offset);
            }
            Ok(Fact::Endpoint(_) | Fact::EndpointGone(_) | Fact::Other) => {}
            Err(error) => skip(&self.gateway, Topic::Publications, record, &error),
        }
    }
}

fn put_in_force(gateway: &Gateway, routes: RouteTable, offset: Offset) {
    let before = gateway.view.load().routes.version;
    if routes.version <= before {
        log::info!(
            version = routes.version.0, in_force = before.0, offset = offset.0;
            "routing table not newer than the one in force, ignored"
        );
        return;
    }
    log::info!(
        version = routes.version.0, replaces = before.0, offset = offset.0, routes = routes.len(),
        pools = routes.pools.len();
        "routing table in force"
    );
    let routes = Arc::new(routes);
    change_view(gateway, |view| view.routes = Arc::clone(&routes));
    gateway.runner_wake.notify_one();
}

fn name_version(gateway: &Gateway, model: &ModelId, version: Version, offset: Offset) {
    let before = gateway.view.load().weights.get(model).copied();
    if before >= Some(version) {
        return;
    }
    log::info!(model:% = model, version = version.0, offset = offset.0; "weights named");
    change_view(gateway, |view| {
        let mut weights = (*view.weights).clone();
        weights.insert(model.clone(), version);
        view.weights = Arc::new(weights);
    });
    gateway.runner_wake.notify_one();
}

fn skip(gateway: &Gateway, topic: Topic, record: &LogRecord, error: &DecodeError) {
    gateway.metrics.skipped_records.add(1, &[]);
    log::warn!(
        topic:% = topic, key:% = record.key, offset = record.offset.0, error:% = error;
        "record skipped"
    );
}

fn change_view(gateway: &Gateway, change: impl Fn(&mut View)) {
    gateway.view.rcu(|view| {
        let mut changed = View::clone(view);
        change(&mut changed);
        changed
    });
}

/// Follows the entries of endpoints.
pub(crate) struct EndpointFollower {
    pub(crate) gateway: Arc<Gateway>,
    /// When the log was back after a silence in which entries may have lapsed.
    pub(crate) back_since: Option<Timestamp>,
    /// When the log last answered.
    pub(crate) answered: Timestamp,
}

impl EndpointFollower {
    fn lapse_until(&self) -> Option<Timestamp> {
        let until = self.back_since? + LAPSED_ENTRY_GRACE;
        (until > clock::now()).then_some(until)
    }

    /// Returns the table in force; it is copied when something in it changes for the first time.
    fn table(&self) -> Arc<EndpointTable> {
        Arc::clone(&self.gateway.view.load().endpoints)
    }

    fn apply(&self, record: &LogRecord, table: &mut Arc<EndpointTable>) {
        match self.gateway.facts.decode(record, Topic::Endpoints) {
            Ok(Fact::Endpoint(endpoint)) => self.put(*endpoint, record.offset, table),
            Ok(Fact::EndpointGone(id)) => self.remove(&id, record.offset, table),
            Ok(Fact::Routes(_) | Fact::Weights { .. } | Fact::Other) => {}
            Err(error) => {
                skip(&self.gateway, Topic::Endpoints, record, &error);
                if let Some(id) = self.gateway.facts.endpoint_of(&record.key) {
                    self.remove(&id, record.offset, table);
                }
            }
        }
    }

    fn put(&self, endpoint: Endpoint, offset: Offset, table: &mut Arc<EndpointTable>) {
        if table.knows(&endpoint) {
            return;
        }
        let id = endpoint.id.clone();
        let pool = endpoint.pool.clone();
        let change = Arc::make_mut(table).insert(endpoint);
        match change {
            EndpointChange::Unchanged => return,
            EndpointChange::Restarted => self.gateway.fleet().forget(&id),
            _ => {}
        }
        log::info!(
            endpoint:% = id, pool:% = pool, change:? = change, offset = offset.0;
            "endpoint list changed"
        );
    }

    fn remove(&self, id: &EndpointId, offset: Offset, table: &mut Arc<EndpointTable>) {
        if table.get(id).is_none() {
            return;
        }
        let change = Arc::make_mut(table).remove(id, self.lapse_until());
        log::info!(
            endpoint:% = id, change:? = change, offset = offset.0; "endpoint list changed"
        );
        if change == EndpointChange::Removed {
            self.gateway.fleet().forget(id);
        }
    }

    /// Puts a table in force, if it isn't.
    fn publish(&self, table: &Arc<EndpointTable>) {
        if Arc::ptr_eq(table, &self.gateway.view.load().endpoints) {
            return;
        }
        change_view(&self.gateway, |view| view.endpoints = Arc::clone(table));
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

    fn snapshot(&mut self, records: Vec<LogRecord>, end: Offset) {
        let mut table = self.table();
        let mut listed = IndexSet::new();
        for record in records {
            let id = self.gateway.facts.endpoint_of(&record.key);
            listed.extend(id.filter(|_| record.value.is_some()));
            self.apply(&record, &mut table);
        }
        for id in table.missing_from(&listed) {
            self.remove(&id, end, &mut table);
        }
        self.publish(&table);
    }

    fn records(&mut self, records: Vec<LogRecord>) {
        let mut table = self.table();
        for record in records {
            self.apply(&record, &mut table);
        }
        self.publish(&table);
    }

    fn caught_up(&mut self, _end: Offset, as_of: Timestamp) {
        self.gateway.freshness(Topic::Endpoints).advance(as_of);
        if self.back_since.is_some() && self.lapse_until().is_none() {
            self.back_since = None;
        }
        let mut table = self.table();
        if !table.has_expired(clock::now()) {
            return;
        }
        for id in Arc::make_mut(&mut table).expire_lapsed(clock::now()) {
            log::info!(endpoint:% = id; "endpoint's lapsed entry did not come back");
            self.gateway.fleet().forget(&id);
        }
        self.publish(&table);
    }

    fn reachable(&mut self, reachable: bool) {
        if !reachable {
            return;
        }
        let now = clock::now();
        if self.answered != Timestamp(0) && now.since(self.answered) > LAPSE_SILENCE {
            self.back_since = Some(now);
        }
        self.answered = now;
    }
}
