//! Claims of the whole fleet, folded from the log.
//!
//! The right to run is decided by the records up to a claim's own and never changes after: a
//! claim wins if no claim of its key stands at that point. So a loser can't win later, when the
//! winner is abandoned, and a claim that was abandoned before its record arrived is dead.

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
    /// It won, and nothing more is known.
    Open,
    /// It won, and the request was sent.
    Sent,
    /// It won, and the request was answered.
    Answered,
    /// It is dead, and its key is free.
    Abandoned,
    /// Another claim stood when its record arrived.
    Lost,
}

#[derive(Clone, Debug)]
struct Entry {
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
    next: Option<Offset>,
    covered_since_ms: u64,
    dropped_ms: Option<u64>,
    newest_ms: u64,
    claims: IndexMap<ClaimId, Entry>,
    order: VecDeque<(u64, ClaimId)>,
    standing: IndexMap<ClaimKey, ClaimId>,
}

impl ClaimFold {
    pub(super) fn new(settings: &ClaimSettings) -> Self {
        let millis = |d: std::time::Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        Self {
            retention_ms: millis(settings.retention),
            skew_ms: millis(settings.clock_skew),
            max_claims: settings.max_claims,
            next: None,
            covered_since_ms: 0,
            dropped_ms: None,
            newest_ms: 0,
            claims: IndexMap::new(),
            order: VecDeque::new(),
            standing: IndexMap::new(),
        }
    }

    /// Takes the next record; returns the claim that it decided or ended, if any.
    pub(super) fn observe(
        &mut self,
        offset: Offset,
        at_ms: u64,
        kind: Option<&Kind>,
    ) -> Option<ClaimId> {
        if self.next.is_some_and(|next| offset < next) {
            return None;
        }
        if self.next != Some(offset) {
            self.start_at(offset, at_ms);
        }
        self.next = Some(offset.next());
        self.newest_ms = self.newest_ms.max(at_ms);
        self.trim();
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

    /// Returns the claim that stands for a key, its state and its age by the log's clock.
    pub(super) fn standing(&self, key: &ClaimKey) -> Option<(&ClaimId, ClaimState, u64)> {
        let claim = self.standing.get(key)?;
        let entry = self.claims.get(claim)?;
        let age_ms = self.newest_ms.saturating_sub(entry.at_ms);
        Some((claim, entry.state, age_ms))
    }

    /// Returns whether an earlier claim of the key may be missing here.
    ///
    /// A key that doesn't say when it was made counts as new, unless claims were dropped for
    /// lack of room that the log still keeps.
    pub(super) fn is_expired(&self, key: &ClaimKey) -> bool {
        let forgotten_ms = self.newest_ms.saturating_sub(self.retention_ms);
        let Some(issued_ms) = key.issued_ms() else {
            return self.dropped_ms.is_some_and(|at_ms| at_ms >= forgotten_ms);
        };
        let dropped_ms = self.dropped_ms.map_or(0, |at_ms| at_ms + 1);
        let known_since_ms = forgotten_ms.max(self.covered_since_ms).max(dropped_ms);
        known_since_ms > 0 && issued_ms < known_since_ms.saturating_add(self.skew_ms)
    }

    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Begins anew at a record whose predecessors the log no longer has.
    fn start_at(&mut self, offset: Offset, at_ms: u64) {
        self.claims.clear();
        self.order.clear();
        self.standing.clear();
        self.covered_since_ms = if offset.0 <= 1 { 0 } else { at_ms };
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
        let state = if self.standing.contains_key(&key) {
            ClaimState::Lost
        } else {
            self.standing.insert(key.clone(), id.clone());
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
            && self.standing.get(key) == Some(&id)
        {
            self.standing.swap_remove(key);
        }
        Some(id)
    }

    fn insert(&mut self, id: ClaimId, key: Option<ClaimKey>, at_ms: u64, state: ClaimState) {
        self.order.push_back((at_ms, id.clone()));
        self.claims.insert(id, Entry { key, at_ms, state });
    }

    fn trim(&mut self) {
        let forgotten_ms = self.newest_ms.saturating_sub(self.retention_ms);
        while let Some((at_ms, _)) = self.order.front() {
            let aged = *at_ms < forgotten_ms;
            if !aged && self.order.len() < self.max_claims {
                return;
            }
            if !aged {
                self.dropped_ms = self.dropped_ms.max(Some(*at_ms));
            }
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some((_, id)) = self.order.pop_front() else {
            return;
        };
        let Some(entry) = self.claims.swap_remove(&id) else {
            return;
        };
        if let Some(key) = entry.key
            && self.standing.get(&key) == Some(&id)
        {
            self.standing.swap_remove(&key);
        }
    }
}
