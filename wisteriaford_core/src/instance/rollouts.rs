//! New weights: versions announced, leases taken, engines ordered to load.

use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::EndpointState;
use wisteriaford_proto::record::record::Kind;

use super::Instance;
use crate::budget::AppendKind;
use crate::counters::Counter;
use crate::effect::Effect;
use crate::event::OrderAnswer;
use crate::hash::rendezvous_rank;
use crate::id::EndpointId;
use crate::id::ModelId;
use crate::id::PoolId;
use crate::id::Version;
use crate::note::Note;
use crate::placement::Candidate;
use crate::rollout::EngineState;
use crate::rollout::Order;
use crate::rollout::Rollout;
use crate::time::Timestamp;

/// Instances that ask the weight store for the newest version of a model.
const MODEL_POLLERS: usize = 2;

impl Instance {
    /// Takes the pools of a new revision.
    pub(super) fn configure_rollouts(&mut self, now: Timestamp) {
        let settings = self.settings.clone();
        self.rollouts
            .retain(|pool, _| settings.pools.contains_key(pool));
        for pool in settings.pools.values() {
            let Some(model) = &pool.model else {
                continue;
            };
            let version = self.exchange.model(model);
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

    /// Asks the weight store for newest versions, where that falls to this instance.
    pub(super) fn poll_models(&mut self) {
        let pools = self.settings.pools.values();
        let mut models: Vec<ModelId> = pools.filter_map(|pool| pool.model.clone()).collect();
        models.sort_unstable();
        models.dedup();
        for model in models {
            if self.polls_model(&model) {
                self.effects.push(Effect::PollModel(model));
            }
        }
    }

    fn polls_model(&self, model: &ModelId) -> bool {
        let rank = |candidate: &Candidate| rendezvous_rank(model.as_str(), candidate.id.as_str());
        let candidates = self.placement.candidates();
        let me = candidates.iter().find(|c| c.id == self.identity.id);
        let Some(mine) = me.map(rank) else {
            return false;
        };
        candidates.iter().filter(|c| rank(c) > mine).count() < MODEL_POLLERS
    }

    /// Takes the newest version of a model.
    pub(super) fn announced(&mut self, now: Timestamp, model: &ModelId, version: Version) {
        self.exchange.announce_model(model, version);
        let mut is_news = false;
        for pool in self.settings.pools.values() {
            if pool.model.as_ref() != Some(model) {
                continue;
            }
            let Some(rollout) = self.rollouts.get_mut(&pool.id) else {
                continue;
            };
            is_news |= version > rollout.target();
            rollout.announce(now, version);
        }
        if is_news {
            let model = model.clone();
            self.note(Note::VersionAnnounced { model, version });
        }
    }

    /// Takes the report of an engine that is looked after here.
    pub(super) fn engine_polled(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let Some(report) = self.stewards.report(endpoint).copied() else {
            return;
        };
        let availability = self.stewards.availability(endpoint);
        let is_loading = report.loading_version > Version(0);
        let state = EngineState {
            version: report.version,
            loading: is_loading.then_some(report.loading_version),
            serving: availability == Some(Availability::Serving),
            observed_at: now - report.age,
        };
        self.report_to_rollout(now, endpoint, state);
    }

    /// Takes the report of an engine from its steward.
    pub(super) fn report_engine(&mut self, now: Timestamp, state: &EndpointState) {
        let endpoint = EndpointId::from(state.endpoint.as_str());
        if self.stewards.holds(&endpoint) {
            return;
        }
        let state = EngineState {
            version: Version(state.version),
            loading: None,
            serving: state.availability() == Availability::Serving,
            observed_at: now,
        };
        self.report_to_rollout(now, &endpoint, state);
    }

    fn report_to_rollout(&mut self, now: Timestamp, endpoint: &EndpointId, state: EngineState) {
        let Some(configured) = self.settings.endpoints.get(endpoint) else {
            return;
        };
        let Some(rollout) = self.rollouts.get_mut(&configured.pool) else {
            return;
        };
        let failed_loads = rollout.counts().failed_loads;
        rollout.report(now, endpoint, state);
        if rollout.counts().failed_loads > failed_loads {
            let version = rollout.target();
            let endpoint = endpoint.clone();
            self.note(Note::SwapFailed { endpoint, version });
        }
    }

    /// Takes leases of the engines looked after and gives the orders that are due.
    pub(super) fn tick_rollouts(&mut self, now: Timestamp) {
        self.take_leases(now);
        let pools: Vec<PoolId> = self.rollouts.keys().cloned().collect();
        for pool in pools {
            while let Some(order) = self.next_order(now, &pool) {
                self.give_order(order);
            }
        }
    }

    fn next_order(&mut self, now: Timestamp, pool: &PoolId) -> Option<Order> {
        let stewards = &self.stewards;
        let leases = &self.leases;
        let may_order =
            |endpoint: &EndpointId| stewards.holds(endpoint) && leases.fence_of(endpoint).is_some();
        self.rollouts.get_mut(pool)?.next_order(now, may_order)
    }

    fn give_order(&mut self, order: Order) {
        let Order { endpoint, version } = order;
        let Some(fence) = self.leases.fence_of(&endpoint) else {
            return;
        };
        let Some(address) = self.address_of(&endpoint) else {
            return;
        };
        self.counters.add(Counter::Orders, 1);
        self.note(Note::SwapOrdered {
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

    /// Takes the lease of each engine that is looked after, once the log was read to its end.
    fn take_leases(&mut self, now: Timestamp) {
        if !self.leases_read || self.log_up != Some(true) || self.is_leaving {
            return;
        }
        let endpoints: Vec<EndpointId> = self.stewards.endpoints().cloned().collect();
        for endpoint in endpoints {
            let pool = self.settings.pool_of(&endpoint);
            if pool.is_none_or(|pool| pool.model.is_none()) {
                continue;
            }
            let Some(lease) = self.leases.take(now, &endpoint) else {
                continue;
            };
            let id = lease.append_id.clone();
            match self.append(now, AppendKind::Lease, Kind::Lease(lease)) {
                Some(append) => {
                    self.lease_appends.insert(append, id);
                }
                None => self.leases.refused(&id),
            }
        }
    }

    /// Takes the answer of an endpoint to an order; what it reports later is the truth.
    pub(super) fn ordered(&mut self, now: Timestamp, endpoint: &EndpointId, answer: OrderAnswer) {
        match answer {
            OrderAnswer::Accepted => {}
            OrderAnswer::Unknown => self.order_failed(now, endpoint),
            OrderAnswer::Fenced => {
                self.counters.add(Counter::OrdersFenced, 1);
                self.order_failed(now, endpoint);
                let fence = self.leases.fence_of(endpoint).unwrap_or_default();
                let endpoint = endpoint.clone();
                self.note(Note::OrderFenced { endpoint, fence });
            }
        }
    }

    fn order_failed(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let Some(configured) = self.settings.endpoints.get(endpoint) else {
            return;
        };
        if let Some(rollout) = self.rollouts.get_mut(&configured.pool) {
            rollout.order_failed(now, endpoint);
        }
    }
}
