//! Endpoints that announced in an answer that they are leaving.
//!
//! The endpoint list says so later, or never. An announcement holds for one incarnation: an endpoint
//! that returns under the same name with a new start time, or under a new name, is a new one.

use std::sync::Arc;

use indexmap::IndexSet;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::endpoint::EndpointTable;
use crate::id::EndpointId;

/// Maximum number of incarnations kept; the oldest are forgotten first.
const MAX_ANNOUNCED: usize = 4_096;

/// Incarnations of endpoints that announced that they are leaving.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// Name and start time of each incarnation, oldest announcement first.
    announced: IndexSet<(EndpointId, u64)>,
}

impl Departures {
    /// Records that an endpoint announced that it is leaving; returns whether that is news.
    pub fn announce(&mut self, endpoint: &Endpoint) -> bool {
        let is_new = self.announced.insert(incarnation(endpoint));
        if self.announced.len() > MAX_ANNOUNCED {
            self.announced.shift_remove_index(0);
        }
        is_new
    }

    /// Returns whether an endpoint announced that it is leaving.
    #[must_use]
    pub fn contains(&self, endpoint: &Endpoint) -> bool {
        // Nearly always empty, so that the key is rarely built.
        !self.announced.is_empty() && self.announced.contains(&incarnation(endpoint))
    }

    /// Marks the endpoints of a table that announced that they are leaving.
    ///
    /// The table is copied only if it changes.
    pub fn mark(&self, table: &mut Arc<EndpointTable>) {
        let unmarked = table.iter().filter(|endpoint| !endpoint.leaving);
        let unmarked = unmarked.filter(|endpoint| self.contains(endpoint));
        let unmarked: Vec<EndpointId> = unmarked.map(|endpoint| endpoint.id.clone()).collect();
        for endpoint in unmarked {
            Arc::make_mut(table).mark_leaving(&endpoint);
        }
    }
}

fn incarnation(endpoint: &Endpoint) -> (EndpointId, u64) {
    (endpoint.id.clone(), endpoint.started_unix_ms)
}
