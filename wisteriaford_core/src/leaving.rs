//! Endpoints that the platform's list names as leaving.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::EndpointId;
use crate::membership::ListedInstance;
use crate::membership::ListedState;
use crate::time::Timestamp;

/// Time for which an endpoint must be listed as live before it counts as back; longer than the
/// list lags, so that an older list takes nothing back.
pub const BACK_AFTER: Duration = Duration::from_secs(60);

/// Endpoints that the platform's list names as leaving, remembered over a list that lags.
///
/// All names of the list are kept, whether configured or not: an instance that starts reads the
/// list before it has a configuration.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    /// Since when each of them is listed as live again, if it is.
    named: IndexMap<EndpointId, Option<Timestamp>>,
}

impl Leaving {
    /// Returns whether an endpoint is leaving.
    #[must_use]
    pub fn contains(&self, endpoint: &EndpointId) -> bool {
        self.named.contains_key(endpoint)
    }

    /// Takes a list; an endpoint that it does not name stays as it was.
    ///
    /// What is neither listed nor configured is forgotten. Returns whether the endpoints that
    /// are leaving are others than before.
    pub fn listed(
        &mut self,
        now: Timestamp,
        list: &[ListedInstance],
        is_configured: impl Fn(&EndpointId) -> bool,
    ) -> bool {
        let before = self.named.len();
        let mut is_changed = false;
        let states: IndexMap<EndpointId, ListedState> = list
            .iter()
            .map(|listed| (EndpointId::from(listed.id.as_str()), listed.state))
            .collect();
        for (endpoint, state) in &states {
            if *state == ListedState::Leaving {
                is_changed |= self.named.insert(endpoint.clone(), None).is_none();
            }
        }
        self.named.retain(|endpoint, live_since| {
            match states.get(endpoint) {
                Some(ListedState::Leaving) => return true,
                Some(ListedState::Live) => {}
                None => {
                    *live_since = None;
                    return is_configured(endpoint);
                }
            }
            let live_since = *live_since.get_or_insert(now);
            now.since(live_since) < BACK_AFTER
        });
        is_changed || self.named.len() != before
    }
}
