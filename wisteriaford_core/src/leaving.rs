//! Tracks the endpoints that the platform's list reports as leaving.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::EndpointId;
use crate::membership::ListedInstance;
use crate::membership::ListedState;
use crate::time::Timestamp;

/// Time for which an endpoint must be listed as live before it no longer counts as leaving. It
/// exceeds the lag of the list, so that an outdated list doesn't revert a newer one.
pub const LIVE_AFTER: Duration = Duration::from_secs(60);

/// Endpoints that the platform's list reports as leaving, kept across outdated lists.
///
/// Endpoints are kept whether configured or not: a starting instance reads the list before it has
/// a configuration.
#[derive(Clone, Debug, Default)]
pub struct LeavingEndpoints {
    /// Leaving endpoints, with the time since which each is listed as live again, if it is.
    endpoints: IndexMap<EndpointId, Option<Timestamp>>,
}

impl LeavingEndpoints {
    /// Returns whether an endpoint is leaving.
    #[must_use]
    pub fn contains(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// Applies a list; a configured endpoint that is missing from it stays leaving if it was.
    ///
    /// Endpoints that are neither listed nor configured are removed. Returns whether the set of
    /// leaving endpoints changed.
    pub fn apply_list(
        &mut self,
        now: Timestamp,
        list: &[ListedInstance],
        is_configured: impl Fn(&EndpointId) -> bool,
    ) -> bool {
        let count_before = self.endpoints.len();
        let mut is_changed = false;
        let states: IndexMap<EndpointId, ListedState> = list
            .iter()
            .map(|listed| (EndpointId::from(listed.id.as_str()), listed.state))
            .collect();
        for (endpoint, state) in &states {
            if *state == ListedState::Leaving {
                is_changed |= self.endpoints.insert(endpoint.clone(), None).is_none();
            }
        }
        self.endpoints.retain(|endpoint, live_since| {
            match states.get(endpoint) {
                Some(ListedState::Leaving) => return true,
                Some(ListedState::Live) => {}
                None => {
                    *live_since = None;
                    return is_configured(endpoint);
                }
            }
            let live_since = *live_since.get_or_insert(now);
            now.since(live_since) < LIVE_AFTER
        });
        is_changed || self.endpoints.len() != count_before
    }
}
