//! Fold of the log into the configuration in force.
//!
//! The state at an offset depends only on the records up to that offset. The effect of a record
//! is determined by the record and the revision folded so far, never by other state of the
//! instance. An instance that has read only the end of the log decides no publication until it
//! has a basis: either the log from its first record, or a copy of the revision in force with
//! the offset through which it was folded, and every record after that offset. This guarantees
//! that no two instances assign the same revision to different publications.

use std::collections::VecDeque;
use std::mem;

use derive_more::Display;
use derive_more::Error;
use indexmap::IndexMap;
use wisteriaford_proto::record::Publication;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::Republication;
use wisteriaford_proto::record::record::Kind;

pub use self::in_force::ConfigurationInForce;
use self::in_force::accept_copy;
use self::in_force::decide;
use self::in_force::revision_of;
pub use self::publication::Rejection;
pub use self::publication::Verdict;
pub use self::publication::Winner;
pub use self::publication::digest_of;
pub use self::publication::publish;
pub use self::publication::restore;
use crate::hash::hash_parts;
use crate::id::Offset;
use crate::id::PublicationId;
use crate::id::Revision;

mod in_force;
mod publication;

/// Maximum number of publications that are queued while the fold has no basis.
pub const MAX_UNDECIDED_PUBLICATIONS: usize = 64;

/// Maximum number of verdicts that are kept for lookup.
pub const MAX_VERDICTS: usize = 2_048;

/// Maximum number of records between the state in a copy and the copy's own position in the log.
///
/// A copy that lags further behind does not count as a checkpoint.
pub const MAX_COPY_LAG_RECORDS: u64 = 4_096;

/// Mean interval between the republications of one instance while no checkpoint is known.
const MEAN_REPUBLICATION_INTERVAL_S: u64 = 64;

/// Retention limits of the log; 0 means that a limit is not set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retention {
    /// Age from which the log may drop a record, in milliseconds.
    pub age_ms: u64,
    /// Number of later records from which the log may drop a record.
    pub records: u64,
}

/// Reason for which a copy of a revision is not accepted.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum OfferError {
    /// The copy itself is invalid.
    #[display("invalid copy: {_0}")]
    InvalidCopy(#[error(source)] Rejection),
    /// The revision of the copy is not above the revision in force.
    #[display("revision {offered} is not above revision {current}")]
    NotNewer {
        /// Revision of the copy.
        offered: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// The copy disagrees with the log: the fold through the same offset gives a lower revision, or
    /// the same revision belongs to another publication.
    #[display("revision {offered} contradicts the log through offset {through}")]
    ContradictsLog {
        /// Revision of the copy.
        offered: Revision,
        /// Offset through which the copy was folded.
        through: Offset,
    },
}

/// Basis on which the fold decides publications.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Basis {
    /// The state before the next record is unknown, so no publication can be decided.
    #[display("none")]
    None,
    /// Every publication through this offset has been decided.
    #[display("folded through {_0}")]
    FoldedThrough(Offset),
}

/// Counters of the fold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FoldCounts {
    /// Publications accepted.
    pub accepted: u64,
    /// Publications rejected.
    pub rejected: u64,
    /// Publications whose id had already been decided.
    pub duplicates: u64,
    /// Records that could not be decoded, and copies that failed validation.
    pub invalid: u64,
    /// Number of times that the log dropped records before they were read.
    pub gaps: u64,
    /// Copies from peers that were accepted.
    pub offers_accepted: u64,
    /// Copies from peers that contradicted the log.
    pub offers_contradicting_log: u64,
}

/// State of the fold after the record at `through`.
#[derive(Clone)]
struct FoldedState {
    through: Offset,
    state: Option<ConfigurationInForce>,
}

/// Publication that was read before the fold had a basis.
struct UndecidedPublication {
    offset: Offset,
    publication: Publication,
}

/// Newest state in the log from which an instance without local state can start to fold.
#[derive(Clone, Copy)]
struct Checkpoint {
    through: Offset,
    at_ms: u64,
}

/// Fold of the log into the configuration in force.
///
/// For each response of the log, the driver calls [`ConfigurationFold::set_log_range`] and then,
/// for each record in order, [`ConfigurationFold::apply`] or
/// [`ConfigurationFold::skip_undecodable`].
pub struct ConfigurationFold {
    seed: u64,
    next_offset: Offset,
    /// Offset after the last record of the log, as last reported by the log.
    log_end: Option<Offset>,
    folded: Option<FoldedState>,
    /// Copy from which to continue if the log drops records before they are read.
    fallback: Option<FoldedState>,
    current: Option<ConfigurationInForce>,
    undecided: VecDeque<UndecidedPublication>,
    /// Offset from which on no undecided publication has been discarded.
    undecided_from: Offset,
    verdicts: IndexMap<PublicationId, Verdict>,
    checkpoint: Option<Checkpoint>,
    released: bool,
    counts: FoldCounts,
}

impl ConfigurationFold {
    /// Creates a fold that has read nothing.
    ///
    /// `seed` differs between instances, so that their republications are due at different times.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            next_offset: Offset(1),
            log_end: None,
            folded: None,
            fallback: None,
            current: None,
            undecided: VecDeque::new(),
            undecided_from: Offset(1),
            verdicts: IndexMap::new(),
            checkpoint: None,
            released: false,
            counts: FoldCounts::default(),
        }
    }

    /// Returns the configuration in force, or `None` until the fold is released.
    ///
    /// The fold is released once it has a basis and has read the log to its end. A starting
    /// instance therefore never serves or sends to peers the older revisions that it folds while
    /// it catches up.
    #[must_use]
    pub fn current(&self) -> Option<&ConfigurationInForce> {
        self.current.as_ref().filter(|_| self.released)
    }

    /// Returns the revision in force, or 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        revision_of(self.current())
    }

    /// Releases the fold before it has read the log to its end.
    ///
    /// Used by an instance that cannot reach the log and has compared the revisions of several
    /// peers.
    pub fn release(&mut self) {
        self.released = true;
    }

    /// Returns the revision that would be in force if the fold were released now.
    #[must_use]
    pub fn held_revision(&self) -> Revision {
        revision_of(self.current.as_ref())
    }

    /// Returns whether [`ConfigurationFold::current`] may be served.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the basis on which publications are decided.
    #[must_use]
    pub fn basis(&self) -> Basis {
        let folded = self.folded.as_ref();
        folded.map_or(Basis::None, |folded| Basis::FoldedThrough(folded.through))
    }

    /// Returns whether the fold has read the log to the end that the log last reported.
    #[must_use]
    pub fn caught_up(&self) -> bool {
        self.log_end.is_some_and(|end| self.next_offset >= end)
    }

    /// Returns the counters of the fold.
    #[must_use]
    pub fn counts(&self) -> FoldCounts {
        self.counts
    }

    /// Returns the verdict on a publication if it has been decided and is still kept.
    #[must_use]
    pub fn verdict_of(&self, id: &PublicationId) -> Option<Verdict> {
        if let Some(verdict) = self.verdicts.get(id) {
            return Some(verdict.clone());
        }
        let current = self.current.as_ref()?;
        let revision = current.revision;
        (current.publication_id == *id).then_some(Verdict::Accepted { revision })
    }

    /// Sets the range of offsets that the log holds; called before the records of a response.
    pub fn set_log_range(&mut self, first_offset: Offset, next_offset: Offset) {
        self.log_end = Some(next_offset);
        self.on_first_offset(first_offset);
        self.release_if_caught_up();
    }

    fn advance(&mut self, offset: Offset) {
        self.next_offset = offset.next();
        self.release_if_caught_up();
    }

    fn release_if_caught_up(&mut self) {
        self.released |= self.folded.is_some() && self.caught_up();
    }

    /// Starts with an empty basis if the log still holds its first record, and handles the loss of
    /// records that were dropped before they were read.
    fn on_first_offset(&mut self, first_offset: Offset) {
        if first_offset <= self.next_offset {
            if self.next_offset == Offset(1) && self.folded.is_none() {
                let through = Offset(0);
                self.set_basis(FoldedState {
                    through,
                    state: None,
                });
            }
            return;
        }
        self.counts.gaps += 1;
        self.next_offset = first_offset;
        self.undecided.clear();
        self.undecided_from = first_offset;
        let contiguous = |folded: &FoldedState| folded.through.next() >= first_offset;
        if self.folded.as_ref().is_some_and(contiguous) {
            return;
        }
        self.folded = None;
        if let Some(fallback) = self.fallback.take().filter(contiguous) {
            self.set_basis(fallback);
        }
    }

    /// Folds one record; returns the verdict if the record is a publication that can be decided.
    pub fn apply(&mut self, offset: Offset, at_ms: u64, record: &Record) -> Option<Verdict> {
        if offset < self.next_offset {
            return None;
        }
        self.advance(offset);
        if offset == Offset(1) {
            self.record_checkpoint(offset, at_ms, Offset(0));
        }
        match &record.kind {
            Some(Kind::Publication(publication)) => self.apply_publication(offset, publication),
            Some(Kind::Republication(copy)) => {
                self.apply_republication(offset, at_ms, copy);
                None
            }
            Some(Kind::Lease(_) | Kind::Claim(_) | Kind::ClaimResult(_)) => {
                self.skip(offset);
                None
            }
            None => {
                self.counts.invalid += 1;
                self.skip(offset);
                None
            }
        }
    }

    /// Skips a record that could not be decoded.
    pub fn skip_undecodable(&mut self, offset: Offset) {
        if offset < self.next_offset {
            return;
        }
        self.advance(offset);
        self.counts.invalid += 1;
        self.skip(offset);
    }

    /// Applies a copy of the revision in force at a peer.
    ///
    /// A valid copy whose revision is not above the one in force can still serve as a basis.
    ///
    /// # Errors
    ///
    /// Fails if the copy is invalid, contradicts the log, or is not newer than the revision in
    /// force.
    pub fn offer(&mut self, copy: &Republication) -> Result<(), OfferError> {
        let offered = match accept_copy(copy) {
            Ok(offered) => offered,
            Err(reason) => {
                self.counts.invalid += 1;
                return Err(OfferError::InvalidCopy(reason));
            }
        };
        let current = revision_of(self.current.as_ref());
        if self.contradicts_log(&offered) {
            self.counts.offers_contradicting_log += 1;
            return Err(OfferError::ContradictsLog {
                offered: offered.revision,
                through: offered.through,
            });
        }
        let is_newer = offered.revision > current;
        let basis = FoldedState {
            through: offered.through,
            state: Some(offered.clone()),
        };
        self.accept_basis(basis);
        if !is_newer {
            return Err(OfferError::NotNewer {
                offered: offered.revision,
                current,
            });
        }
        self.counts.offers_accepted += 1;
        self.replace_if_newer(&offered);
        Ok(())
    }

    /// Returns the copy to append if one is due.
    ///
    /// Copies ensure that the log always holds a state from which an instance without local state
    /// can start to fold. An instance appends one after between half and three quarters of the
    /// retention limits, depending on its seed, so that the append of the first instance makes
    /// those of the others unnecessary. `now_ms` is a time on the clock of the log.
    #[must_use]
    pub fn due_republication(&self, now_ms: u64, retention: Retention) -> Option<Republication> {
        let folded = self.folded.as_ref()?;
        let in_force = folded.state.as_ref()?;
        if !self.caught_up() || folded.through.next() != self.next_offset {
            return None;
        }
        let due = match self.checkpoint {
            Some(checkpoint) => {
                let age_ms = now_ms.saturating_sub(checkpoint.at_ms);
                let later_records = self
                    .next_offset
                    .0
                    .saturating_sub(checkpoint.through.next().0);
                age_ms >= self.republication_threshold(retention.age_ms)
                    || later_records >= self.republication_threshold(retention.records)
            }
            None => self.is_drawn(now_ms),
        };
        due.then(|| Republication {
            through_offset: folded.through.0,
            ..in_force.republication()
        })
    }

    /// Returns whether this instance is drawn by lot to append in the current second.
    ///
    /// Applies while no checkpoint is known from which to compute when a copy is due.
    fn is_drawn(&self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        let hash = hash_parts(&[&self.seed.to_le_bytes(), &second.to_le_bytes()]);
        hash.is_multiple_of(MEAN_REPUBLICATION_INTERVAL_S)
    }

    /// Returns between half and three quarters of `limit`, depending on the seed.
    fn republication_threshold(&self, limit: u64) -> u64 {
        if limit == 0 {
            return u64::MAX;
        }
        let jitter = hash_parts(&[&self.seed.to_le_bytes()]) % (limit / 4 + 1);
        limit / 2 + jitter
    }

    fn record_checkpoint(&mut self, offset: Offset, at_ms: u64, through: Offset) {
        if offset.0.saturating_sub(through.0) > MAX_COPY_LAG_RECORDS {
            return;
        }
        let newer = |checkpoint: Checkpoint| through > checkpoint.through;
        if self.checkpoint.is_none_or(newer) {
            self.checkpoint = Some(Checkpoint { through, at_ms });
        }
    }

    fn apply_publication(&mut self, offset: Offset, publication: &Publication) -> Option<Verdict> {
        let Some(folded) = &mut self.folded else {
            self.queue_undecided(offset, publication);
            return None;
        };
        if offset <= folded.through {
            return None;
        }
        folded.through = offset;
        let decision = decide(offset, publication, folded.state.as_ref());
        let verdict = match decision {
            Ok(in_force) => {
                let revision = in_force.revision;
                folded.state = Some(in_force.clone());
                self.replace_if_newer(&in_force);
                Verdict::Accepted { revision }
            }
            Err(reason) => Verdict::Rejected { reason },
        };
        self.advance_current();
        Some(self.record_verdict(publication, verdict))
    }

    fn record_verdict(&mut self, publication: &Publication, verdict: Verdict) -> Verdict {
        let id = PublicationId::from(publication.id.as_str());
        let accepted = matches!(verdict, Verdict::Accepted { .. });
        if !accepted && let Some(first) = self.verdict_of(&id) {
            self.counts.duplicates += 1;
            let first = Box::new(first);
            return Verdict::Duplicate { first };
        }
        if accepted {
            self.counts.accepted += 1;
        } else {
            self.counts.rejected += 1;
        }
        self.verdicts.insert(id, verdict.clone());
        if self.verdicts.len() > MAX_VERDICTS {
            self.verdicts.shift_remove_index(0);
        }
        verdict
    }

    fn apply_republication(&mut self, offset: Offset, at_ms: u64, copy: &Republication) {
        let Ok(mut copied) = accept_copy(copy) else {
            self.counts.invalid += 1;
            return self.skip(offset);
        };
        copied.through = copied.through.min(offset);
        self.record_checkpoint(offset, at_ms, copied.through);
        if self.folded.is_none() {
            let basis = FoldedState {
                through: copied.through,
                state: Some(copied.clone()),
            };
            self.accept_basis(basis);
            self.replace_if_newer(&copied);
        }
        let Some(folded) = &mut self.folded else {
            return;
        };
        if offset <= folded.through {
            return;
        }
        if copied.revision > revision_of(folded.state.as_ref()) {
            let restored = ConfigurationInForce {
                through: offset,
                ..copied
            };
            folded.state = Some(restored.clone());
            self.replace_if_newer(&restored);
        }
        self.skip(offset);
    }

    /// Advances the basis past a record that does not change the configuration.
    fn skip(&mut self, offset: Offset) {
        let Some(folded) = &mut self.folded else {
            return;
        };
        if offset > folded.through {
            folded.through = offset;
            self.advance_current();
        }
    }

    /// Updates the offset in the copy for peers to the one through which the log is folded.
    fn advance_current(&mut self) {
        let Some(folded) = &self.folded else {
            return;
        };
        let through = folded.through;
        let revision = revision_of(folded.state.as_ref());
        if let Some(current) = &mut self.current
            && current.revision == revision
        {
            current.through = current.through.max(through);
        }
        if self.fallback.as_ref().is_some_and(|f| f.through <= through) {
            self.fallback = None;
        }
    }

    fn queue_undecided(&mut self, offset: Offset, publication: &Publication) {
        if self.undecided.len() == MAX_UNDECIDED_PUBLICATIONS
            && let Some(dropped) = self.undecided.pop_front()
        {
            self.undecided_from = dropped.offset.next();
        }
        let publication = publication.clone();
        self.undecided.push_back(UndecidedPublication {
            offset,
            publication,
        });
    }

    /// Uses a copy as the basis if the fold has none and every later publication is queued, or
    /// keeps it as a fallback.
    fn accept_basis(&mut self, basis: FoldedState) {
        if self.folded.is_none() && basis.through.next() >= self.undecided_from {
            self.set_basis(basis);
            return;
        }
        let is_ahead_of = |other: &FoldedState| basis.through > other.through;
        let is_ahead_of_fold = self.folded.as_ref().is_none_or(is_ahead_of);
        if is_ahead_of_fold && self.fallback.as_ref().is_none_or(is_ahead_of) {
            self.fallback = Some(basis);
        }
    }

    /// Sets the basis and decides the queued publications on it.
    fn set_basis(&mut self, basis: FoldedState) {
        if let Some(state) = &basis.state {
            self.replace_if_newer(&state.clone());
        }
        let read_through = Offset(self.next_offset.0 - 1);
        self.folded = Some(basis);
        for undecided in mem::take(&mut self.undecided) {
            self.apply_publication(undecided.offset, &undecided.publication);
        }
        self.skip(read_through);
        self.advance_current();
        self.release_if_caught_up();
    }

    fn contradicts_log(&self, offered: &ConfigurationInForce) -> bool {
        let Some(folded) = &self.folded else {
            return false;
        };
        let folded_revision = revision_of(folded.state.as_ref());
        if offered.through <= folded.through && offered.revision > folded_revision {
            return true;
        }
        let current = self.current.as_ref();
        current.is_some_and(|current| {
            current.revision == offered.revision && current.publication_id != offered.publication_id
        })
    }

    fn replace_if_newer(&mut self, in_force: &ConfigurationInForce) {
        if in_force.revision > revision_of(self.current.as_ref()) {
            self.current = Some(in_force.clone());
        }
    }
}
