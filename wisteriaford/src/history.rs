//! The log as this tool has read it, folded by the rule that the daemons use.

use std::time::Duration;

use prost::Message;
use wisteriaford_client::log::Log;
use wisteriaford_client::log::ReadError;
use wisteriaford_core::configuration::Basis;
use wisteriaford_core::configuration::Fold;
use wisteriaford_core::configuration::InForce;
use wisteriaford_core::configuration::Verdict;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::PublicationId;
use wisteriaford_proto::record::Record;

const PAGE_LEN: u32 = 512;
/// The tool appends no copies of its own accord, so the spread of those is of no matter.
const SEED: u64 = 0;

/// Records of the log, read in order and folded.
pub struct History<'a> {
    log: &'a dyn Log,
    fold: Fold,
}

impl<'a> History<'a> {
    /// Returns a history that has read nothing.
    #[must_use]
    pub fn new(log: &'a dyn Log) -> Self {
        Self {
            log,
            fold: Fold::new(SEED),
        }
    }

    /// Reads to the end of the log, waiting for a first new record if there is none.
    ///
    /// # Errors
    ///
    /// Fails where the log does not answer; what was read until then stays read.
    pub fn catch_up(&mut self, wait: Duration) -> Result<(), ReadError> {
        let mut wait = wait;
        while self.read_page(wait)? > 0 {
            wait = Duration::ZERO;
        }
        Ok(())
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&InForce> {
        self.fold.current()
    }

    /// Returns whether the log holds enough to decide publications.
    #[must_use]
    pub fn has_basis(&self) -> bool {
        self.fold.basis() != Basis::None
    }

    /// Returns what became of a publication, if it was read.
    #[must_use]
    pub fn verdict_of(&self, id: &PublicationId) -> Option<Verdict> {
        self.fold.verdict_of(id)
    }

    /// Returns the offset of the last record that was read, 0 if there was none.
    #[must_use]
    pub fn last_offset(&self) -> Offset {
        Offset(self.fold.next_offset().0.saturating_sub(1))
    }

    fn read_page(&mut self, wait: Duration) -> Result<usize, ReadError> {
        let from = self.fold.next_offset();
        let page = self.log.read(from.0, PAGE_LEN, wait)?;
        self.fold
            .bounds(Offset(page.first_offset), Offset(page.next_offset));
        for record in &page.records {
            let offset = Offset(record.offset);
            match Record::decode(record.data.as_slice()) {
                Ok(decoded) => {
                    self.fold.apply(offset, record.at_ms, &decoded);
                }
                Err(_) => self.fold.damaged(offset),
            }
        }
        Ok(page.records.len())
    }
}
