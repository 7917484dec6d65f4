//! Versions of the weights that items need, and the engines that have them.

use crate::gateway::endpoint::Endpoint;
use crate::gateway::job::JobHead;
use crate::gateway::weights::WeightPlan;
use crate::id::Version;

/// Version of the weights that an item needs an engine to have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionNeed {
    /// A version that the batch job accepts, now.
    Accepted,
    /// Exactly this version, now: it made the output so far.
    Exact(Version),
    /// Exactly this version, now or after a load that is in progress or due.
    Eventually(Version),
}

impl WeightPlan {
    /// Returns whether an engine has, or will have, the version that an item needs. An engine of which
    /// no version is known counts as having it; its answer tells.
    #[must_use]
    pub fn satisfies(&self, endpoint: &Endpoint, job: &JobHead, need: VersionNeed) -> bool {
        let Some(model) = &job.model else {
            return true;
        };
        let order = self
            .engines
            .get(&endpoint.id)
            .and_then(|engine| engine.order.as_ref());
        if let Some(order) = order.filter(|order| order.model == *model) {
            return need == VersionNeed::Eventually(order.version);
        }
        let listed = endpoint.weights.iter().find(|(name, _)| name == model);
        let known = self.version_of(&endpoint.id, model);
        let Some(version) = known.or(listed.map(|(_, version)| *version)) else {
            return true;
        };
        match need {
            VersionNeed::Accepted => version >= job.min_version,
            VersionNeed::Exact(exact) => version == exact,
            VersionNeed::Eventually(exact) => {
                // An engine only loads the newest version.
                let target = self.targets.get(model);
                let may_load = target.is_none_or(|target| target.version <= exact);
                version == exact || (version < exact && may_load)
            }
        }
    }
}
