//! The platform's list of instances, which lags behind changes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use clap::value_parser;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::lagged::Lagged;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;

const MAX_INSTANCES: usize = 10_000;

/// Settings of the instance list.
#[derive(Args, Clone, Debug)]
pub struct InstanceListSettings {
    /// Lag in milliseconds before a change becomes visible [range: 0 to 3600000]
    #[arg(long, default_value_t = 500, value_parser = value_parser!(u64).range(0..=3_600_000))]
    pub lag_ms: u64,
}

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The instance is serving.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// Instance as it is listed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Id of the instance.
    pub id: String,
    /// Address under which the instance registered.
    pub address: String,
    /// Availability zone of the instance.
    pub availability_zone: String,
    /// Region of the instance.
    pub region: String,
    /// State of the instance.
    pub state: ListedState,
}

type InstancesById = IndexMap<String, ListedInstance>;

#[derive(Debug)]
struct ListState {
    instances: InstancesById,
    lagged_instances: Lagged<Arc<InstancesById>>,
}

/// List of instances whose changes become visible after a lag.
#[derive(Debug)]
pub(crate) struct InstanceList {
    state: Mutex<ListState>,
}

impl InstanceList {
    pub(crate) fn new(settings: &InstanceListSettings) -> Self {
        let lag = Duration::from_millis(settings.lag_ms);
        Self {
            state: Mutex::new(ListState {
                instances: InstancesById::new(),
                lagged_instances: Lagged::new(lag, Instant::now(), Arc::default()),
            }),
        }
    }

    fn list(&self) -> Reply {
        let (lagged_instances, _) = self.lock().lagged_instances.visible(Instant::now());
        let instances: Vec<&ListedInstance> = lagged_instances.values().collect();
        Reply::ok(json!({ "instances": instances }))
    }

    fn register(&self, request: &Request) -> Result<Reply> {
        let instance: ListedInstance = request.json()?;
        if instance.id.is_empty() {
            return Err(RequestError::Parameter { name: "id" });
        }
        let mut state = self.lock();
        let is_known = state.instances.contains_key(&instance.id);
        if !is_known && state.instances.len() >= MAX_INSTANCES {
            return Err(RequestError::Overloaded);
        }
        state.instances.insert(instance.id.clone(), instance);
        state.publish();
        Ok(Reply::ok(json!({})))
    }

    fn remove(&self, id: &str) -> Reply {
        let mut state = self.lock();
        state.instances.shift_remove(id);
        state.publish();
        Reply::ok(json!({}))
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ListState {
    fn publish(&mut self) {
        let instances = Arc::new(self.instances.clone());
        self.lagged_instances.set(Instant::now(), instances);
    }
}

impl Service for InstanceList {
    fn handle(&self, request: &Request, _connection: &mut Connection) -> Result<Reply> {
        match (request.method.as_str(), request.segments().as_slice()) {
            ("GET", ["instances"]) => Ok(self.list()),
            ("POST", ["instances"]) => self.register(request),
            ("DELETE", ["instances", id]) => Ok(self.remove(id)),
            _ => Err(RequestError::NotFound),
        }
    }
}
