//! Fold of the log into the configuration in force.
//!
//! The state after an offset is a function of the records up to it alone: what a record does
//! depends on the revision folded so far and on the record, never on what an instance happens
//! to remember. An instance that reads only the end of the log decides nothing until it has a
//! basis: the log from its first record, or a copy of the revision in force together with the
//! offset through which that was folded, with every record after that offset at hand. So no two
//! instances give one revision to different publications.

use std::collections::VecDeque;
use std::mem;

use derive_more::Display;
use derive_more::Error;
use indexmap::IndexMap;
use wisteriaford_proto::record::Publication;
use wisteriaford_proto::record::Record;
use wisteriaford_proto::record::Republication;
use wisteriaford_proto::record::record::Kind;

pub use self::in_force::InForce;
use self::in_force::decide;
use self::in_force::in_force;
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

/// Publications kept while there is no basis to decide them on.
pub const MAX_UNDECIDED: usize = 64;

/// Verdicts kept for lookup.
pub const MAX_VERDICTS: usize = 2_048;

/// Records between the state that a copy holds and the copy's own place in the log, at most, for
/// it to count as fresh.
pub const MAX_COPY_LAG: u64 = 4_096;

const UNKNOWN_COPY_PARTS: u64 = 64;

/// How long the log keeps records; 0 means that this limit is not set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retention {
    /// Age at which a record may be dropped, in milliseconds.
    pub age_ms: u64,
    /// Number of later records at which a record may be dropped.
    pub records: u64,
}

/// Why a copy of a revision is not taken.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum OfferError {
    /// The copy itself is not valid.
    #[display("the copy is not valid: {_0}")]
    Damaged(#[error(source)] Rejection),
    /// It is not above the revision in force.
    #[display("revision {offered} is not above revision {current}")]
    NotHigher {
        /// Revision of the copy.
        offered: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// The log up to the same offset gives a lower revision.
    #[display("the log through offset {through} does not give revision {offered}")]
    Contradicted {
        /// Revision of the copy.
        offered: Revision,
        /// Offset that the copy names.
        through: Offset,
    },
}

/// What the fold knows of the log.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Basis {
    /// Nothing to decide publications on.
    #[display("none")]
    None,
    /// Every publication through this offset is decided.
    #[display("folded through {_0}")]
    FoldedThrough(Offset),
}

/// Counts of what the fold has seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FoldCounts {
    /// Publications accepted.
    pub accepted: u64,
    /// Publications rejected.
    pub rejected: u64,
    /// Repeats of publications.
    pub repeated: u64,
    /// Records that could not be read, or copies with wrong content.
    pub damaged: u64,
    /// Times that retention dropped records before they were read.
    pub gaps: u64,
    /// Copies from peers that were taken.
    pub offers_taken: u64,
    /// Copies from peers that contradict the log.
    pub offers_contradicted: u64,
}

#[derive(Clone)]
struct Folded {
    through: Offset,
    state: Option<InForce>,
}

struct Undecided {
    offset: Offset,
    publication: Publication,
}

/// Place in the log from which an instance that keeps nothing can start to fold.
#[derive(Clone, Copy)]
struct Checkpoint {
    through: Offset,
    at_ms: u64,
}

/// Fold of the log into the configuration in force.
///
/// The driver calls [`Fold::bounds`] with each answer of the log, then [`Fold::apply`] or
/// [`Fold::damaged`] for each of its records in order.
pub struct Fold {
    seed: u64,
    next: Offset,
    log_next: Option<Offset>,
    folded: Option<Folded>,
    offered: Option<Folded>,
    current: Option<InForce>,
    undecided: VecDeque<Undecided>,
    undecided_from: Offset,
    verdicts: IndexMap<PublicationId, Verdict>,
    checkpoint: Option<Checkpoint>,
    released: bool,
    counts: FoldCounts,
}

impl Fold {
    /// Makes a fold that has read nothing; `seed` spreads the instances' republications.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            next: Offset(1),
            log_next: None,
            folded: None,
            offered: None,
            current: None,
            undecided: VecDeque::new(),
            undecided_from: Offset(1),
            verdicts: IndexMap::new(),
            checkpoint: None,
            released: false,
            counts: FoldCounts::default(),
        }
    }

    /// Returns the configuration in force, none until the fold is released.
    ///
    /// It is released once it has a basis and has read the log to its end, so that an instance which starts
    /// never serves or spreads the older revisions that it folds on the way.
    #[must_use]
    pub fn current(&self) -> Option<&InForce> {
        self.current.as_ref().filter(|_| self.released)
    }

    /// Returns the revision in force, 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        revision_of(self.current())
    }

    /// Releases the fold before it has read the log to its end.
    ///
    /// For an instance that cannot reach the log and has asked several peers.
    pub fn release(&mut self) {
        self.released = true;
    }

    /// Returns the revision that would be in force if the fold were released now.
    #[must_use]
    pub fn held_revision(&self) -> Revision {
        revision_of(self.current.as_ref())
    }

    /// Returns whether [`Fold::current`] may be served.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Returns the offset to read from.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns what publications are decided on.
    #[must_use]
    pub fn basis(&self) -> Basis {
        let folded = self.folded.as_ref();
        folded.map_or(Basis::None, |folded| Basis::FoldedThrough(folded.through))
    }

    /// Returns whether everything that the log last said it holds has been read.
    #[must_use]
    pub fn caught_up(&self) -> bool {
        self.log_next.is_some_and(|next| self.next >= next)
    }

    /// Returns counts of what the fold has seen.
    #[must_use]
    pub fn counts(&self) -> FoldCounts {
        self.counts
    }

    /// Returns what became of a publication, if it is decided and remembered.
    #[must_use]
    pub fn verdict_of(&self, id: &PublicationId) -> Option<Verdict> {
        if let Some(verdict) = self.verdicts.get(id) {
            return Some(verdict.clone());
        }
        let current = self.current.as_ref()?;
        let revision = current.revision;
        (current.publication_id == *id).then_some(Verdict::Accepted { revision })
    }

    /// Takes the range of offsets that an answer of the log names, before its records.
    pub fn bounds(&mut self, first_offset: Offset, next_offset: Offset) {
        self.log_next = Some(next_offset);
        self.start_from(first_offset);
        self.settle();
    }

    fn advance(&mut self, offset: Offset) {
        self.next = offset.next();
        self.settle();
    }

    fn settle(&mut self) {
        self.released |= self.folded.is_some() && self.caught_up();
    }

    /// Takes the log from its first record as a basis, or the loss of records that were not read.
    fn start_from(&mut self, first_offset: Offset) {
        if first_offset <= self.next {
            if self.next == Offset(1) && self.folded.is_none() {
                let through = Offset(0);
                self.anchor(Folded {
                    through,
                    state: None,
                });
            }
            return;
        }
        self.counts.gaps += 1;
        self.next = first_offset;
        self.undecided.clear();
        self.undecided_from = first_offset;
        let contiguous = |folded: &Folded| folded.through.next() >= first_offset;
        if self.folded.as_ref().is_some_and(contiguous) {
            return;
        }
        self.folded = None;
        if let Some(offered) = self.offered.take().filter(contiguous) {
            self.anchor(offered);
        }
    }

    /// Folds one record; returns the verdict if it is a publication that can be decided.
    pub fn apply(&mut self, offset: Offset, at_ms: u64, record: &Record) -> Option<Verdict> {
        if offset < self.next {
            return None;
        }
        self.advance(offset);
        if offset == Offset(1) {
            self.note_checkpoint(offset, at_ms, Offset(0));
        }
        match &record.kind {
            Some(Kind::Publication(publication)) => self.publication(offset, publication),
            Some(Kind::Republication(copy)) => {
                self.republication(offset, at_ms, copy);
                None
            }
            Some(Kind::Lease(_) | Kind::Claim(_) | Kind::ClaimResult(_)) => {
                self.pass(offset);
                None
            }
            None => {
                self.counts.damaged += 1;
                self.pass(offset);
                None
            }
        }
    }

    /// Passes over a record that could not be decoded.
    pub fn damaged(&mut self, offset: Offset) {
        if offset < self.next {
            return;
        }
        self.advance(offset);
        self.counts.damaged += 1;
        self.pass(offset);
    }

    /// Takes a copy of the revision in force at a peer.
    ///
    /// # Errors
    ///
    /// Fails if the copy is damaged, not higher, or against what the log says.
    pub fn offer(&mut self, copy: &Republication) -> Result<(), OfferError> {
        let offered = match in_force(copy) {
            Ok(offered) => offered,
            Err(reason) => {
                self.counts.damaged += 1;
                return Err(OfferError::Damaged(reason));
            }
        };
        let current = revision_of(self.current.as_ref());
        if self.contradicts(&offered) {
            self.counts.offers_contradicted += 1;
            return Err(OfferError::Contradicted {
                offered: offered.revision,
                through: offered.through,
            });
        }
        let higher = offered.revision > current;
        let basis = Folded {
            through: offered.through,
            state: Some(offered.clone()),
        };
        self.take_basis(basis);
        if !higher {
            return Err(OfferError::NotHigher {
                offered: offered.revision,
                current,
            });
        }
        self.counts.offers_taken += 1;
        self.raise(&offered);
        Ok(())
    }

    /// Returns the copy to append so that the log always holds one from which an instance that
    /// keeps nothing can start to fold.
    ///
    /// Due at half the retention time and up to three quarters of it, spread by the seed, so that
    /// one append tells all other instances that none of theirs is needed. `now_ms` is on the
    /// clock of the log.
    #[must_use]
    pub fn due_republication(&self, now_ms: u64, retention: Retention) -> Option<Republication> {
        let folded = self.folded.as_ref()?;
        let in_force = folded.state.as_ref()?;
        if !self.caught_up() || folded.through.next() != self.next {
            return None;
        }
        let due = match self.checkpoint {
            Some(checkpoint) => {
                let age_ms = now_ms.saturating_sub(checkpoint.at_ms);
                let later = self.next.0.saturating_sub(checkpoint.through.next().0);
                age_ms >= self.due_after(retention.age_ms)
                    || later >= self.due_after(retention.records)
            }
            None => self.takes_turn(now_ms),
        };
        due.then(|| Republication {
            through_offset: folded.through.0,
            ..in_force.republication()
        })
    }

    /// Draws whether this instance appends in this second, where no copy tells when one is due.
    fn takes_turn(&self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        let drawn = hash_parts(&[&self.seed.to_le_bytes(), &second.to_le_bytes()]);
        drawn.is_multiple_of(UNKNOWN_COPY_PARTS)
    }

    fn due_after(&self, limit: u64) -> u64 {
        if limit == 0 {
            return u64::MAX;
        }
        let spread = hash_parts(&[&self.seed.to_le_bytes()]) % (limit / 4 + 1);
        limit / 2 + spread
    }

    fn note_checkpoint(&mut self, offset: Offset, at_ms: u64, through: Offset) {
        if offset.0.saturating_sub(through.0) > MAX_COPY_LAG {
            return;
        }
        let newer = |checkpoint: Checkpoint| through > checkpoint.through;
        if self.checkpoint.is_none_or(newer) {
            self.checkpoint = Some(Checkpoint { through, at_ms });
        }
    }

    fn publication(&mut self, offset: Offset, publication: &Publication) -> Option<Verdict> {
        let Some(folded) = &mut self.folded else {
            self.keep_undecided(offset, publication);
            return None;
        };
        if offset <= folded.through {
            return None;
        }
        folded.through = offset;
        let decided = decide(offset, publication, folded.state.as_ref());
        let verdict = match decided {
            Ok(in_force) => {
                let revision = in_force.revision;
                folded.state = Some(in_force.clone());
                self.raise(&in_force);
                Verdict::Accepted { revision }
            }
            Err(reason) => Verdict::Rejected { reason },
        };
        self.carry();
        Some(self.remember(publication, verdict))
    }

    fn remember(&mut self, publication: &Publication, verdict: Verdict) -> Verdict {
        let id = PublicationId::from(publication.id.as_str());
        let accepted = matches!(verdict, Verdict::Accepted { .. });
        if !accepted && let Some(first) = self.verdict_of(&id) {
            self.counts.repeated += 1;
            let first = Box::new(first);
            return Verdict::Repeated { first };
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

    fn republication(&mut self, offset: Offset, at_ms: u64, copy: &Republication) {
        let Ok(mut copied) = in_force(copy) else {
            self.counts.damaged += 1;
            return self.pass(offset);
        };
        copied.through = copied.through.min(offset);
        self.note_checkpoint(offset, at_ms, copied.through);
        if self.folded.is_none() {
            let basis = Folded {
                through: copied.through,
                state: Some(copied.clone()),
            };
            self.take_basis(basis);
            self.raise(&copied);
        }
        let Some(folded) = &mut self.folded else {
            return;
        };
        if offset <= folded.through {
            return;
        }
        if copied.revision > revision_of(folded.state.as_ref()) {
            let restored = InForce {
                through: offset,
                ..copied
            };
            folded.state = Some(restored.clone());
            self.raise(&restored);
        }
        self.pass(offset);
    }

    /// Moves past a record that decides nothing.
    fn pass(&mut self, offset: Offset) {
        let Some(folded) = &mut self.folded else {
            return;
        };
        if offset > folded.through {
            folded.through = offset;
            self.carry();
        }
    }

    /// Carries the offset through which the log is folded into the copy for peers.
    fn carry(&mut self) {
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
        if self.offered.as_ref().is_some_and(|o| o.through <= through) {
            self.offered = None;
        }
    }

    fn keep_undecided(&mut self, offset: Offset, publication: &Publication) {
        if self.undecided.len() == MAX_UNDECIDED
            && let Some(dropped) = self.undecided.pop_front()
        {
            self.undecided_from = dropped.offset.next();
        }
        let publication = publication.clone();
        self.undecided.push_back(Undecided {
            offset,
            publication,
        });
    }

    /// Starts deciding on a basis if every later record is at hand, or keeps it for a gap.
    fn take_basis(&mut self, basis: Folded) {
        if self.folded.is_none() && basis.through.next() >= self.undecided_from {
            self.anchor(basis);
            return;
        }
        let ahead = |other: &Folded| basis.through > other.through;
        let later_than_folded = self.folded.as_ref().is_none_or(ahead);
        if later_than_folded && self.offered.as_ref().is_none_or(ahead) {
            self.offered = Some(basis);
        }
    }

    fn anchor(&mut self, basis: Folded) {
        if let Some(state) = &basis.state {
            self.raise(&state.clone());
        }
        let read_through = Offset(self.next.0 - 1);
        self.folded = Some(basis);
        for undecided in mem::take(&mut self.undecided) {
            self.publication(undecided.offset, &undecided.publication);
        }
        self.pass(read_through);
        self.carry();
        self.settle();
    }

    fn contradicts(&self, offered: &InForce) -> bool {
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

    fn raise(&mut self, in_force: &InForce) {
        if in_force.revision > revision_of(self.current.as_ref()) {
            self.current = Some(in_force.clone());
        }
    }
}
