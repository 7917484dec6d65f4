//! Claims of all instances, folded from the log.
//!
//! The records up to and including that of a claim decide whether it wins, and later records never
//! change the decision: a claim wins unless another claim of its key won earlier and was not
//! abandoned before that point. A claim that lost therefore cannot win later when the winner is
//! abandoned, and a claim whose abandoned result precedes its own record never wins.

use std::collections::VecDeque;

use indexmap::IndexMap;
use wisteriaford_proto::record::Claim;
use wisteriaford_proto::record::ClaimOutcome;
use wisteriaford_proto::record::ClaimResult;
use wisteriaford_proto::record::record::Kind;

use super::types::ClaimKey;
use super::types::ClaimSettings;
use crate::id::CallerId;
use crate::id::ClaimId;
use crate::id::Offset;
use crate::id::RouteId;

/// State of a claim in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The claim won, and nothing more is known.
    Open,
    /// The claim won, and the request was sent.
    Sent,
    /// The claim won, and the request was answered.
    Answered,
    /// The claim was given up, and its key is free.
    Abandoned,
    /// The key had a winning claim when the record of this one was read.
    Lost,
}

/// Claim that was read from the log.
#[derive(Clone, Debug)]
struct FoldedClaim {
    /// Key of the claim, or `None` if only its abandoned result was read.
    key: Option<ClaimKey>,
    at_ms: u64,
    state: ClaimState,
}

/// Fold of the claims and their results.
#[derive(Clone, Debug)]
pub(super) struct ClaimFold {
    retention_ms: u64,
    skew_ms: u64,
    max_claims: usize,
    next_offset: Option<Offset>,
    /// Time of the first record since the last gap, or 0 if that is the first record of the log.
    read_since_ms: u64,
    /// Newest time of a claim that was dropped because of `max_claims`.
    evicted_ms: Option<u64>,
    newest_ms: u64,
    claims: IndexMap<ClaimId, FoldedClaim>,
    /// Claims in the order in which they were read, with the times of their records.
    order: VecDeque<(u64, ClaimId)>,
    /// Claim of each key that won and was not abandoned.
    winners: IndexMap<ClaimKey, ClaimId>,
}

impl ClaimFold {
    pub(super) fn new(settings: &ClaimSettings) -> Self {
        let millis = |d: std::time::Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        Self {
            retention_ms: millis(settings.retention),
            skew_ms: millis(settings.clock_skew),
            max_claims: settings.max_claims,
            next_offset: None,
            read_since_ms: 0,
            evicted_ms: None,
            newest_ms: 0,
            claims: IndexMap::new(),
            order: VecDeque::new(),
            winners: IndexMap::new(),
        }
    }

    /// Applies the next record; returns the claim that it decided or ended, if any.
    pub(super) fn observe(
        &mut self,
        offset: Offset,
        at_ms: u64,
        kind: Option<&Kind>,
    ) -> Option<ClaimId> {
        if self.next_offset.is_some_and(|next| offset < next) {
            return None;
        }
        if self.next_offset != Some(offset) {
            self.restart_at(offset, at_ms);
        }
        self.next_offset = Some(offset.next());
        self.newest_ms = self.newest_ms.max(at_ms);
        self.evict();
        match kind? {
            Kind::Claim(claim) => self.fold_claim(claim, at_ms),
            Kind::ClaimResult(result) => self.fold_result(result, at_ms),
            Kind::Publication(_) | Kind::Republication(_) | Kind::Lease(_) => None,
        }
    }

    /// Returns the state of a claim.
    pub(super) fn state(&self, claim: &ClaimId) -> Option<ClaimState> {
        self.claims.get(claim).map(|entry| entry.state)
    }

    /// Returns the winning claim of a key, its state and its age on the log's clock.
    pub(super) fn winner(&self, key: &ClaimKey) -> Option<(&ClaimId, ClaimState, u64)> {
        let claim = self.winners.get(key)?;
        let entry = self.claims.get(claim)?;
        let age_ms = self.newest_ms.saturating_sub(entry.at_ms);
        Some((claim, entry.state, age_ms))
    }

    /// Returns whether an earlier claim of the key may be missing from this fold.
    ///
    /// A key without an issue time counts as new, unless claims that the log still holds were
    /// evicted because of `max_claims`.
    pub(super) fn is_expired(&self, key: &ClaimKey) -> bool {
        let retained_since_ms = self.newest_ms.saturating_sub(self.retention_ms);
        let Some(issued_ms) = key.issued_ms() else {
            return self
                .evicted_ms
                .is_some_and(|at_ms| at_ms >= retained_since_ms);
        };
        let evicted_until_ms = self.evicted_ms.map_or(0, |at_ms| at_ms + 1);
        let complete_since_ms = retained_since_ms
            .max(self.read_since_ms)
            .max(evicted_until_ms);
        complete_since_ms > 0 && issued_ms < complete_since_ms.saturating_add(self.skew_ms)
    }

    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Restarts the fold at a record whose predecessors the log has dropped.
    fn restart_at(&mut self, offset: Offset, at_ms: u64) {
        self.claims.clear();
        self.order.clear();
        self.winners.clear();
        self.read_since_ms = if offset.0 <= 1 { 0 } else { at_ms };
    }

    fn fold_claim(&mut self, claim: &Claim, at_ms: u64) -> Option<ClaimId> {
        let id = ClaimId::from(claim.claim_id.as_str());
        if self.claims.contains_key(&id) {
            return None;
        }
        let key = ClaimKey {
            route: RouteId::from(claim.route.as_str()),
            caller: CallerId::from(claim.caller.as_str()),
            key: claim.key.as_str().into(),
        };
        let state = if self.winners.contains_key(&key) {
            ClaimState::Lost
        } else {
            self.winners.insert(key.clone(), id.clone());
            ClaimState::Open
        };
        self.insert(id.clone(), Some(key), at_ms, state);
        Some(id)
    }

    fn fold_result(&mut self, result: &ClaimResult, at_ms: u64) -> Option<ClaimId> {
        let id = ClaimId::from(result.claim_id.as_str());
        let outcome = result.outcome();
        let Some(entry) = self.claims.get_mut(&id) else {
            if outcome == ClaimOutcome::Abandoned {
                self.insert(id.clone(), None, at_ms, ClaimState::Abandoned);
                return Some(id);
            }
            return None;
        };
        entry.state = match (entry.state, outcome) {
            (ClaimState::Open, ClaimOutcome::Sent) => ClaimState::Sent,
            (ClaimState::Open | ClaimState::Sent, ClaimOutcome::Answered) => ClaimState::Answered,
            (ClaimState::Open, ClaimOutcome::Abandoned) => ClaimState::Abandoned,
            (state, _) => state,
        };
        if entry.state == ClaimState::Abandoned
            && let Some(key) = &entry.key
            && self.winners.get(key) == Some(&id)
        {
            self.winners.swap_remove(key);
        }
        Some(id)
    }

    fn insert(&mut self, id: ClaimId, key: Option<ClaimKey>, at_ms: u64, state: ClaimState) {
        self.order.push_back((at_ms, id.clone()));
        self.claims.insert(id, FoldedClaim { key, at_ms, state });
    }

    /// Removes claims that are past the retention time or exceed `max_claims`.
    fn evict(&mut self) {
        let retained_since_ms = self.newest_ms.saturating_sub(self.retention_ms);
        while let Some((at_ms, _)) = self.order.front() {
            let is_past_retention = *at_ms < retained_since_ms;
            if !is_past_retention && self.order.len() < self.max_claims {
                return;
            }
            if !is_past_retention {
                self.evicted_ms = self.evicted_ms.max(Some(*at_ms));
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((_, id)) = self.order.pop_front() else {
            return;
        };
        let Some(entry) = self.claims.swap_remove(&id) else {
            return;
        };
        if let Some(key) = entry.key
            && self.winners.get(&key) == Some(&id)
        {
            self.winners.swap_remove(&key);
        }
    }
}
