//! Packing of a model's long items onto few engines.
//!
//! Loading an engine for the next step delays the long items that it runs. If the few long items of
//! a step were spread over all engines, most engines couldn't be loaded.

use indexmap::IndexMap;

use crate::id::EndpointId;
use crate::id::ModelId;

/// Maximum share of an engine's KV cache that a model's long items may fill, in percent.
///
/// The rest is left for short items; an engine that runs out of memory preempts its newest items.
const MAX_CACHE_PERCENT: u64 = 70;

/// Tokens of the running long items, by model and engine.
#[derive(Debug, Default)]
pub(super) struct Packing {
    tokens: IndexMap<(ModelId, EndpointId), u64>,
}

impl Packing {
    /// Adds a running long item.
    pub(super) fn add(&mut self, model: &ModelId, endpoint: &EndpointId, tokens: u64) {
        let key = (model.clone(), endpoint.clone());
        *self.tokens.entry(key).or_default() += tokens;
    }

    /// Returns the engine that a long item is added to: of those with enough room, the one with the
    /// most tokens in long items of the model.
    pub(super) fn choose(
        &self,
        model: &ModelId,
        tokens: u64,
        cache_tokens: u64,
        admits: impl Fn(&EndpointId) -> bool,
    ) -> Option<EndpointId> {
        let max_tokens = cache_tokens * MAX_CACHE_PERCENT / 100;
        let of_model = self.tokens.iter().filter(|((of, _), _)| of == model);
        let with_room = of_model.filter(|(_, used)| **used + tokens <= max_tokens);
        let admitted = with_room.filter(|((_, endpoint), _)| admits(endpoint));
        let fullest = admitted.max_by_key(|(_, used)| **used);
        fullest.map(|((_, endpoint), _)| endpoint.clone())
    }
}
