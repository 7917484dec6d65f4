//! Long items of a model, kept together on few engines.
//!
//! An engine that runs a long item is not loaded for the next step without delaying that item. Spread
//! over all engines, the few long items of a step would keep most of them from being loaded.

use indexmap::IndexMap;

use crate::id::EndpointId;
use crate::id::ModelId;

/// Part of an engine's memory that long items of a model may fill, in percent.
///
/// The rest is for the short items beside them; an engine without memory preempts the newest.
const MAX_CACHE_PERCENT: u64 = 70;

/// Tokens of the long items that run, by model and engine.
#[derive(Debug, Default)]
pub(super) struct Packing {
    tokens: IndexMap<(ModelId, EndpointId), u64>,
}

impl Packing {
    /// Counts a long item that runs.
    pub(super) fn add(&mut self, model: &ModelId, endpoint: &EndpointId, tokens: u64) {
        let key = (model.clone(), endpoint.clone());
        *self.tokens.entry(key).or_default() += tokens;
    }

    /// Returns the engine that a long item joins others at, the fullest that has room for it.
    pub(super) fn choose(
        &self,
        model: &ModelId,
        tokens: u64,
        cache_tokens: u64,
        admits: impl Fn(&EndpointId) -> bool,
    ) -> Option<EndpointId> {
        let most = cache_tokens * MAX_CACHE_PERCENT / 100;
        let of_model = self.tokens.iter().filter(|((of, _), _)| of == model);
        let with_room = of_model.filter(|(_, used)| **used + tokens <= most);
        let admitted = with_room.filter(|((_, endpoint), _)| admits(endpoint));
        let fullest = admitted.max_by_key(|(_, used)| **used);
        fullest.map(|((_, endpoint), _)| endpoint.clone())
    }
}
