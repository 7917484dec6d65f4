//! Weight versions of an engine and the loading of new ones.

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
const POLL_INTERVAL_MS: u64 = 50;

/// Weight versions: the loaded one, the one being loaded and the one requested last.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weights {
    version: u64,
    loading: Option<u64>,
    requested: u64,
}

impl Weights {
    pub(super) const fn new(version: u64) -> Self {
        Self {
            version,
            loading: None,
            requested: version,
        }
    }

    pub(super) const fn version(self) -> u64 {
        self.version
    }

    /// Returns the version that is being loaded, or 0 if there is none.
    pub(super) fn loading_version(self) -> u64 {
        self.loading.unwrap_or(0)
    }

    /// Requests a version; returns true if the caller must start a loader for it.
    pub(super) fn request(&mut self, version: u64) -> bool {
        self.requested = version;
        if self.loading.is_some() || version == self.version {
            return false;
        }
        self.loading = Some(version);
        true
    }

    /// Cancels the requested version if it isn't loaded yet.
    pub(super) const fn cancel_request(&mut self) {
        self.loading = None;
        self.requested = self.version;
    }

    /// Records the result of a load; returns the next version to load, if any.
    fn finish(&mut self, version: u64, loaded: bool) -> Option<u64> {
        if loaded {
            self.version = version;
        } else if self.requested == version {
            self.requested = self.version;
        }
        self.loading = (self.requested != self.version).then_some(self.requested);
        self.loading
    }
}

/// Starts a thread that loads requested versions until none is left to load.
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
        inner.record_report(&mut state);
    }
}

/// Loads a version; returns false on failure.
fn load(inner: &Inner, incarnation: u64, version: u64) -> bool {
    let fetched = match &inner.settings.weight_store {
        None => true,
        Some(store) => fetch_with_retry(inner, incarnation, store, version),
    };
    fetched
        && sleep_while_running(inner, incarnation, inner.settings.load_ms)
        && !inner.faults.consume_failed_swap()
}

fn fetch_with_retry(inner: &Inner, incarnation: u64, store: &str, version: u64) -> bool {
    loop {
        match fetch(store, &inner.settings.model, version) {
            Ok(StatusCode::OK) => return true,
            Ok(StatusCode::TOO_MANY_REQUESTS) => {}
            Ok(_) | Err(_) => return false,
        }
        if !sleep_while_running(inner, incarnation, POLL_INTERVAL_MS) {
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

/// Sleeps in slices; returns false as soon as the engine stops or restarts.
fn sleep_while_running(inner: &Inner, incarnation: u64, duration_ms: u64) -> bool {
    let mut remaining_ms = duration_ms;
    while remaining_ms > 0 {
        let slice_ms = remaining_ms.min(POLL_INTERVAL_MS);
        thread::sleep(Duration::from_millis(slice_ms));
        remaining_ms -= slice_ms;
        if inner.faults.is_stopping() || inner.lock().incarnation != incarnation {
            return false;
        }
    }
    true
}
