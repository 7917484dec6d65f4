//! Rollouts of new weights: announced versions, leases, and load orders to engines.

use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::EndpointState;
use wisteriaford_proto::record::record::Kind;

use super::Instance;
use crate::budget::AppendKind;
use crate::counters::Counter;
use crate::diagnostic::Diagnostic;
use crate::effect::Effect;
use crate::event::OrderAnswer;
use crate::hash::rendezvous_rank;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::Version;
use crate::placement::Candidate;
use crate::rollout::EngineState;
use crate::rollout::Order;
use crate::rollout::Rollout;
use crate::time::Timestamp;

/// Number of instances that query the weight store for the newest version of a model.
const MODEL_POLLERS: usize = 2;

impl Instance {
    /// Updates rollouts to the pools of the revision in force.
    pub(super) fn configure_rollouts(&mut self, now: Timestamp) {
        let settings = self.settings.clone();
        self.rollouts
            .retain(|pool, _| settings.pools.contains_key(pool));
        for pool in settings.pools.values() {
            let Some(model) = &pool.model else {
                continue;
            };
            let version = self.exchange.model_version(model);
            let seed = self.options.seed;
            let rollout = self
                .rollouts
                .entry(pool.id.clone())
                .or_insert_with(|| Rollout::new(pool, seed));
            let leaving = &self.leaving;
            rollout.configure(pool, |endpoint| {
                let configured = settings.endpoints.get(endpoint);
                configured.is_some_and(|e| e.leaving) || leaving.contains(endpoint)
            });
            rollout.announce(now, version);
        }
    }

    /// Queries the weight store for the newest versions of the models assigned to this instance.
    pub(super) fn poll_models(&mut self) {
        let pools = self.settings.pools.values();
        let mut models: Vec<ModelId> = pools.filter_map(|pool| pool.model.clone()).collect();
        models.sort_unstable();
        models.dedup();
        for model in models {
            if self.is_model_poller(&model) {
                self.effects.push(Effect::PollModel(model));
            }
        }
    }

    fn is_model_poller(&self, model: &ModelId) -> bool {
        let rank = |candidate: &Candidate| rendezvous_rank(model.as_str(), candidate.id.as_str());
        let candidates = self.placement.candidates();
        let local = candidates.iter().find(|c| c.id == self.identity.id);
        let Some(own_rank) = local.map(rank) else {
            return false;
        };
        candidates.iter().filter(|c| rank(c) > own_rank).count() < MODEL_POLLERS
    }

    /// Applies an announced version of a model.
    pub(super) fn on_version(&mut self, now: Timestamp, model: &ModelId, version: Version) {
        self.exchange.announce_model(model, version);
        let mut is_newer = false;
        for pool in self.settings.pools.values() {
            if pool.model.as_ref() != Some(model) {
                continue;
            }
            let Some(rollout) = self.rollouts.get_mut(&pool.id) else {
                continue;
            };
            is_newer |= version > rollout.target();
            rollout.announce(now, version);
        }
        if is_newer {
            let model = model.clone();
            self.emit_diagnostic(Diagnostic::VersionAnnounced { model, version });
        }
    }

    /// Updates a rollout with the report of an engine that this instance coordinates.
    pub(super) fn update_rollout_from_poll(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let Some(report) = self.coordinator.report(endpoint).copied() else {
            return;
        };
        let availability = self.coordinator.availability(endpoint);
        let is_loading = report.loading_version > Version(0);
        let state = EngineState {
            version: report.version,
            loading: is_loading.then_some(report.loading_version),
            serving: availability == Some(Availability::Serving),
            observed_at: now - report.age,
        };
        self.update_rollout(now, endpoint, state);
    }

    /// Updates a rollout with the state of an engine reported by its coordinator.
    pub(super) fn update_rollout_from_peer(&mut self, now: Timestamp, state: &EndpointState) {
        let endpoint = EndpointId::from(state.endpoint.as_str());
        if self.coordinator.coordinates(&endpoint) {
            return;
        }
        let state = EngineState {
            version: Version(state.version),
            loading: None,
            serving: state.availability() == Availability::Serving,
            observed_at: now,
        };
        self.update_rollout(now, &endpoint, state);
    }

    fn update_rollout(&mut self, now: Timestamp, endpoint: &EndpointId, state: EngineState) {
        let Some(configured) = self.settings.endpoints.get(endpoint) else {
            return;
        };
        let Some(rollout) = self.rollouts.get_mut(&configured.pool) else {
            return;
        };
        let failed_loads = rollout.counts().failed_loads;
        rollout.apply_state(now, endpoint, state);
        if rollout.counts().failed_loads > failed_loads {
            let version = rollout.target();
            let endpoint = endpoint.clone();
            self.emit_diagnostic(Diagnostic::SwapFailed { endpoint, version });
        }
    }

    /// Acquires leases of the coordinated engines and sends the orders that are due.
    pub(super) fn tick_rollouts(&mut self, now: Timestamp) {
        self.acquire_leases(now);
        let pools: Vec<PoolId> = self.rollouts.keys().cloned().collect();
        for pool in pools {
            while let Some(order) = self.next_order(now, &pool) {
                self.send_order(order);
            }
        }
    }

    fn next_order(&mut self, now: Timestamp, pool: &PoolId) -> Option<Order> {
        let coordinator = &self.coordinator;
        let leases = &self.leases;
        let may_order = |endpoint: &EndpointId| {
            coordinator.coordinates(endpoint) && leases.fence_of(endpoint).is_some()
        };
        self.rollouts.get_mut(pool)?.next_order(now, may_order)
    }

    fn send_order(&mut self, order: Order) {
        let Order { endpoint, version } = order;
        let Some(fence) = self.leases.fence_of(&endpoint) else {
            return;
        };
        let Some(address) = self.address_of(&endpoint) else {
            return;
        };
        self.counters.add(Counter::Orders, 1);
        self.emit_diagnostic(Diagnostic::SwapOrdered {
            endpoint: endpoint.clone(),
            version,
            fence,
        });
        self.effects.push(Effect::Order {
            endpoint,
            address,
            fence,
            version,
        });
    }

    /// Acquires the lease of each coordinated engine, once the log was read to its end.
    fn acquire_leases(&mut self, now: Timestamp) {
        if !self.leases_caught_up || self.log_up != Some(true) || self.is_leaving {
            return;
        }
        let endpoints: Vec<EndpointId> = self.coordinator.endpoints().cloned().collect();
        for endpoint in endpoints {
            let pool = self.settings.pool_of(&endpoint);
            if pool.is_none_or(|pool| pool.model.is_none()) {
                continue;
            }
            let Some(lease) = self.leases.try_acquire(now, &endpoint) else {
                continue;
            };
            let id = lease.append_id.clone();
            match self.append(now, AppendKind::Lease, Kind::Lease(lease)) {
                Some(append) => {
                    self.lease_appends.insert(append, id);
                }
                None => self.leases.on_append_rejected(&id),
            }
        }
    }

    /// Handles the answer of an endpoint to an order; its later reports are authoritative.
    pub(super) fn on_order_answer(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Accepted => {}
            OrderAnswer::Unknown => self.on_order_failed(now, endpoint),
            OrderAnswer::Fenced => {
                self.counters.add(Counter::OrdersFenced, 1);
                self.on_order_failed(now, endpoint);
                let fence = self.leases.fence_of(endpoint).unwrap_or_default();
                let endpoint = endpoint.clone();
                self.emit_diagnostic(Diagnostic::OrderFenced { endpoint, fence });
            }
        }
    }

    fn on_order_failed(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let Some(configured) = self.settings.endpoints.get(endpoint) else {
            return;
        };
        if let Some(rollout) = self.rollouts.get_mut(&configured.pool) {
            rollout.on_order_failed(now, endpoint);
        }
    }
}
