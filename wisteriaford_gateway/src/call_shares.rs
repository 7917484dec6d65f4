//! Fair shares of contended pools for the calls of organisations.

use wisteriaford_core::gateway::fair_shares::ShareKey;
use wisteriaford_core::gateway::fair_shares::calls::CallOutcome;
use wisteriaford_core::gateway::organisations::Sender;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::id::OrganisationId;
use wisteriaford_core::id::PoolId;

use crate::adapter::CallerHead;
use crate::clock;
use crate::refusal::Reason;
use crate::state::Gateway;
use crate::state::lock;

/// Share that a call counts towards.
pub(crate) struct CallShare<'a> {
    gateway: &'a Gateway,
    pool: &'a PoolId,
    /// `None` if the configuration has no organisations.
    key: Option<ShareKey>,
}

impl<'a> CallShare<'a> {
    /// Admits a call to a pool.
    ///
    /// A call that continues a stream is always admitted: its first part has been delivered.
    ///
    /// # Errors
    ///
    /// Fails if the pool is contended and the sender's organisation has used its share.
    pub(crate) fn admit(
        gateway: &'a Gateway,
        head: &CallerHead,
        route: &Route,
        sender: &Sender,
        pool: &'a PoolId,
    ) -> Result<Self, Reason> {
        if *sender == Sender::Unrestricted {
            return Ok(Self {
                gateway,
                pool,
                key: None,
            });
        }
        let key = ShareKey {
            priority: sender.priority(route),
            organisation: sender.organisation().cloned(),
        };
        let continues = head.after_event.is_some() || head.continues.is_some();
        let now = clock::now();
        if continues || lock(&gateway.call_shares).admit(now, pool, &key) {
            return Ok(Self {
                gateway,
                pool,
                key: Some(key),
            });
        }
        gateway.scaling.record_refused(pool);
        gateway.metrics.record_over_share(sender.organisation());
        let due = lock(&gateway.over_share_lines).record(now);
        if let Some(calls) = due {
            log::warn!(
                pool:% = pool, route:% = route.id, request:% = head.request, calls = calls,
                organisation = sender.organisation().map(OrganisationId::as_str);
                "calls refused, the pool is contended and their organisations are over their shares"
            );
        }
        Err(Reason::OverShare)
    }

    /// Records that an endpoint answered the call.
    pub(crate) fn record_served(&self) {
        self.record(CallOutcome::Served);
    }

    /// Records that the endpoints refused the call as full or by their limits.
    pub(crate) fn record_refused(&self) {
        self.gateway.scaling.record_refused(self.pool);
        self.record(CallOutcome::Refused);
    }

    fn record(&self, outcome: CallOutcome) {
        if let Some(key) = &self.key {
            lock(&self.gateway.call_shares).record(clock::now(), self.pool, key, outcome);
        }
    }
}
