//! Weight store that limits concurrent loads.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use clap::Args;
use clap::value_parser;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::json;

use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::request::Request;
use crate::server::Reply;
use crate::server::Service;

const MAX_MODELS: usize = 1_024;

/// Settings of the weight store.
#[derive(Args, Clone, Debug)]
pub struct WeightStoreSettings {
    /// Names of the models known at startup, separated by commas
    #[arg(long = "model", value_delimiter = ',', default_value = "policy")]
    pub models: Vec<String>,
    /// Version of the models at startup [range: 1 to 18446744073709551615]
    #[arg(long, default_value_t = 1, value_parser = value_parser!(u64).range(1..))]
    pub start_version: u64,
    /// Time in milliseconds that each load takes [range: 0 to 3600000]
    #[arg(long, default_value_t = 100, value_parser = value_parser!(u64).range(0..=3_600_000))]
    pub load_ms: u64,
    /// Maximum number of loads served concurrently [range: 1 to 10000]
    #[arg(long, default_value_t = 8, value_parser = value_parser!(u32).range(1..=10_000))]
    pub concurrent_loads: u32,
}

#[derive(Debug)]
struct StoreState {
    versions: IndexMap<String, u64>,
    active_loads: u32,
}

/// Weight store.
#[derive(Debug)]
pub(crate) struct WeightStore {
    settings: WeightStoreSettings,
    state: Mutex<StoreState>,
}

#[derive(Deserialize)]
struct Announcement {
    version: u64,
}

impl WeightStore {
    pub(crate) fn new(settings: WeightStoreSettings) -> Self {
        let start_version = settings.start_version;
        let versions = settings
            .models
            .iter()
            .map(|model| (model.clone(), start_version))
            .collect();
        Self {
            settings,
            state: Mutex::new(StoreState {
                versions,
                active_loads: 0,
            }),
        }
    }

    fn report_version(&self, model: &str) -> Result<Reply> {
        let state = self.lock();
        let version = state
            .versions
            .get(model)
            .ok_or(RequestError::VersionUnknown)?;
        Ok(Reply::ok(json!({"model": model, "version": version})))
    }

    fn announce_version(&self, model: &str, request: &Request) -> Result<Reply> {
        let Announcement { version } = request.json()?;
        let mut state = self.lock();
        let is_known = state.versions.contains_key(model);
        if version == 0 || (!is_known && state.versions.len() >= MAX_MODELS) {
            return Err(RequestError::Parameter { name: "version" });
        }
        state.versions.insert(model.to_owned(), version);
        Ok(Reply::ok(json!({"model": model, "version": version})))
    }

    fn load(&self, model: &str, version: &str, connection: &Connection) -> Result<Reply> {
        let version: u64 = version
            .parse()
            .map_err(|_| RequestError::Parameter { name: "version" })?;
        self.begin_load(model, version)?;
        connection.sleep(Duration::from_millis(self.settings.load_ms));
        self.lock().active_loads -= 1;
        Ok(Reply::ok(json!({"model": model, "version": version})))
    }

    fn begin_load(&self, model: &str, version: u64) -> Result<()> {
        let mut state = self.lock();
        let latest = state
            .versions
            .get(model)
            .ok_or(RequestError::VersionUnknown)?;
        if version == 0 || version > *latest {
            return Err(RequestError::VersionUnknown);
        }
        if state.active_loads >= self.settings.concurrent_loads {
            return Err(RequestError::RateLimited);
        }
        state.active_loads += 1;
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for WeightStore {
    fn handle(&self, request: &Request, connection: &mut Connection) -> Result<Reply> {
        match (request.method.as_str(), request.segments().as_slice()) {
            ("GET", ["models", model]) => self.report_version(model),
            ("POST", ["models", model]) => self.announce_version(model, request),
            ("GET", ["models", model, "versions", version]) => {
                self.load(model, version, connection)
            }
            _ => Err(RequestError::NotFound),
        }
    }
}
