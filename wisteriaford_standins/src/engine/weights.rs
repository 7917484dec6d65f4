//! Weights of an engine and how new ones are loaded.

use std::io;
use std::io::ErrorKind;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::StatusCode;

use super::Inner;

const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
const WAIT_SLICE_MS: u64 = 50;

/// Loaded version, the version that is loaded now and the one that is wanted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weights {
    version: u64,
    loading: Option<u64>,
    wanted: u64,
}

impl Weights {
    pub(super) const fn new(version: u64) -> Self {
        Self {
            version,
            loading: None,
            wanted: version,
        }
    }

    pub(super) const fn version(self) -> u64 {
        self.version
    }

    /// Returns the version that is being loaded, or 0.
    pub(super) fn loading_version(self) -> u64 {
        self.loading.unwrap_or(0)
    }

    /// Wants a version; returns true if a loader has to be started for it.
    pub(super) fn want(&mut self, version: u64) -> bool {
        self.wanted = version;
        if self.loading.is_some() || version == self.version {
            return false;
        }
        self.loading = Some(version);
        true
    }

    /// Gives up what is wanted but not loaded.
    pub(super) const fn give_up(&mut self) {
        self.loading = None;
        self.wanted = self.version;
    }

    /// Ends one load; returns the version to load next.
    fn finish(&mut self, version: u64, loaded: bool) -> Option<u64> {
        if loaded {
            self.version = version;
        } else if self.wanted == version {
            self.wanted = self.version;
        }
        self.loading = (self.wanted != self.version).then_some(self.wanted);
        self.loading
    }
}

/// Starts a thread that loads what is wanted until it is there or has failed.
pub(super) fn spawn_loader(inner: &Arc<Inner>, incarnation: u64) -> io::Result<()> {
    let loader = Arc::clone(inner);
    thread::Builder::new()
        .name("loader".to_owned())
        .spawn(move || run_loader(&loader, incarnation))?;
    Ok(())
}

fn run_loader(inner: &Inner, incarnation: u64) {
    let mut next = inner.lock().weights.loading;
    while let Some(version) = next {
        let loaded = load(inner, incarnation, version);
        let mut state = inner.lock();
        if state.incarnation != incarnation {
            return;
        }
        next = state.weights.finish(version, loaded);
        inner.publish(&mut state);
    }
}

/// Loads one version; returns false if that failed.
fn load(inner: &Inner, incarnation: u64, version: u64) -> bool {
    let fetched = match &inner.settings.weight_store {
        None => true,
        Some(store) => fetch_with_retry(inner, incarnation, store, version),
    };
    fetched && wait(inner, incarnation, inner.settings.load_ms) && !inner.faults.take_failed_swap()
}

fn fetch_with_retry(inner: &Inner, incarnation: u64, store: &str, version: u64) -> bool {
    loop {
        match fetch(store, &inner.settings.model, version) {
            Ok(StatusCode::OK) => return true,
            Ok(StatusCode::TOO_MANY_REQUESTS) => {}
            Ok(_) | Err(_) => return false,
        }
        if !wait(inner, incarnation, WAIT_SLICE_MS) {
            return false;
        }
    }
}

fn fetch(store: &str, model: &str, version: u64) -> io::Result<StatusCode> {
    let request = Request::get(format!("http://{store}/models/{model}/versions/{version}"))
        .body(Body::empty())
        .map_err(|error| io::Error::new(ErrorKind::InvalidInput, error))?;
    let response = Client::new()
        .with_global_timeout(LOAD_TIMEOUT)
        .request(request)?;
    Ok(response.status())
}

/// Waits; returns false at once if the engine stops or restarts meanwhile.
fn wait(inner: &Inner, incarnation: u64, wait_ms: u64) -> bool {
    let mut left_ms = wait_ms;
    while left_ms > 0 {
        let slice_ms = left_ms.min(WAIT_SLICE_MS);
        thread::sleep(Duration::from_millis(slice_ms));
        left_ms -= slice_ms;
        if inner.faults.is_stopping() || inner.lock().incarnation != incarnation {
            return false;
        }
    }
    true
}
