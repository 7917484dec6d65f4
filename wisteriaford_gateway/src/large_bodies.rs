//! Bounds on the memory of large bodies that are being read, one for each kind of server.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use wisteriaford_core::gateway::body_budget::BodyBudget;
use wisteriaford_core::gateway::body_budget::Reservation;
use wisteriaford_core::id::EndpointId;

use crate::client::CallError;
use crate::state::lock;

/// Size up to which any number of bodies may be read at the same time, in bytes.
const SMALL_BODY_BYTES: usize = 32 * 1024;
/// Memory of all larger bodies of endpoints together, in bytes.
const ENDPOINT_BYTES: usize = 4 * 1024 * 1024;
/// Number of larger bodies of the log, or of other instances, that are read at the same time.
const MAX_WHOLE_BODIES: usize = 2;
/// Time for which a body of an endpoint that holds memory waits for more.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Bound on the bodies of one kind of server.
#[derive(Clone)]
pub(crate) enum LargeBodies {
    /// Endpoints may send slow endless bodies: each counts by what it holds.
    ByBytes(Arc<SharedBudget>),
    /// The log and the instances answer with whole pages: each counts as one of the largest size.
    ByCount(Arc<Semaphore>),
}

/// Budget of the bodies of endpoints.
pub(crate) struct SharedBudget {
    budget: Mutex<BodyBudget>,
    released: Notify,
}

impl LargeBodies {
    /// Returns the bound of the bodies of endpoints.
    pub(crate) fn of_endpoints() -> Self {
        Self::ByBytes(Arc::new(SharedBudget {
            budget: Mutex::new(BodyBudget::new(ENDPOINT_BYTES)),
            released: Notify::new(),
        }))
    }

    /// Returns a bound of the bodies of the log, or of other instances.
    pub(crate) fn of_peers() -> Self {
        Self::ByCount(Arc::new(Semaphore::new(MAX_WHOLE_BODIES)))
    }

    /// Returns the memory of a server's body of which nothing was received yet, and whose length may be known.
    pub(crate) fn begin(&self, server: &str, length_bytes: Option<usize>) -> BodyMemory {
        BodyMemory {
            bodies: self.clone(),
            server: server.into(),
            length_bytes,
            held_bytes: 0,
            permit: None,
        }
    }
}

/// Memory of a body that is being read; dropping it releases it.
pub(crate) struct BodyMemory {
    bodies: LargeBodies,
    server: EndpointId,
    length_bytes: Option<usize>,
    held_bytes: usize,
    permit: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    /// Waits until the body may have a size.
    pub(crate) async fn grow_to(&mut self, size_bytes: usize) -> Result<(), CallError> {
        if size_bytes <= SMALL_BODY_BYTES.max(self.held_bytes) {
            return Ok(());
        }
        match &self.bodies {
            LargeBodies::ByCount(semaphore) => {
                if self.permit.is_none() {
                    // The semaphore is never closed.
                    self.permit = Arc::clone(semaphore).acquire_owned().await.ok();
                }
                Ok(())
            }
            LargeBodies::ByBytes(shared) => {
                // A body of known length that may begin can be read to its end.
                let size_bytes = size_bytes.max(self.length_bytes.unwrap_or_default());
                let more_bytes = size_bytes - self.held_bytes;
                let reserved = shared.reserve(&self.server, self.held_bytes, more_bytes);
                // One that holds nothing keeps no other from being read; its call's deadline ends the wait.
                let is_reserved = if self.held_bytes == 0 {
                    reserved.await
                } else {
                    let reserved = tokio::time::timeout(MAX_WAIT, reserved).await;
                    matches!(reserved, Ok(true))
                };
                if !is_reserved {
                    return Err(CallError::lost("no memory for a large body"));
                }
                self.held_bytes = size_bytes;
                Ok(())
            }
        }
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        if let LargeBodies::ByBytes(shared) = &self.bodies
            && self.held_bytes > 0
        {
            lock(&shared.budget).release(&self.server, self.held_bytes);
            shared.released.notify_waiters();
        }
    }
}

impl SharedBudget {
    /// Reserves memory, once there is some; returns whether there was.
    async fn reserve(&self, endpoint: &EndpointId, held_bytes: usize, more_bytes: usize) -> bool {
        loop {
            let released = self.released.notified();
            let reservation = lock(&self.budget).reserve(endpoint, held_bytes, more_bytes);
            match reservation {
                Reservation::Granted => return true,
                Reservation::Refused => return false,
                Reservation::Wait => released.await,
            }
        }
    }
}
