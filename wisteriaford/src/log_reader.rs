//! Reads the configuration log and folds its records by the same rules as the daemons.

use std::time::Duration;

use prost::Message;
use wisteriaford_client::log::Log;
use wisteriaford_client::log::ReadError;
use wisteriaford_core::configuration::Basis;
use wisteriaford_core::configuration::ConfigurationFold;
use wisteriaford_core::configuration::ConfigurationInForce;
use wisteriaford_core::configuration::Verdict;
use wisteriaford_core::id::Offset;
use wisteriaford_core::id::PublicationId;
use wisteriaford_proto::record::Record;

/// Maximum number of records per read of the log.
const MAX_PAGE_RECORDS: u32 = 512;
/// The seed only spreads automatic republications over time, and this tool sends none.
const FOLD_SEED: u64 = 0;

/// Reads log records in order and folds them into the current configuration.
pub struct LogReader<'a> {
    log: &'a dyn Log,
    fold: ConfigurationFold,
}

impl<'a> LogReader<'a> {
    /// Creates a reader that starts at the beginning of the log.
    #[must_use]
    pub fn new(log: &'a dyn Log) -> Self {
        Self {
            log,
            fold: ConfigurationFold::new(FOLD_SEED),
        }
    }

    /// Reads to the end of the log. If there are no new records, waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error if a read of the log fails. Records read before that are kept.
    pub fn catch_up(&mut self, wait: Duration) -> Result<(), ReadError> {
        let mut wait = wait;
        while self.read_page(wait)? > 0 {
            wait = Duration::ZERO;
        }
        Ok(())
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&ConfigurationInForce> {
        self.fold.current()
    }

    /// Returns whether the log holds enough records to accept or reject publications.
    #[must_use]
    pub fn has_basis(&self) -> bool {
        self.fold.basis() != Basis::None
    }

    /// Returns whether a publication was accepted or rejected, if the log has been read that far.
    #[must_use]
    pub fn verdict_of(&self, id: &PublicationId) -> Option<Verdict> {
        self.fold.verdict_of(id)
    }

    /// Returns the offset of the last record read, or 0 if none was read.
    #[must_use]
    pub fn last_offset(&self) -> Offset {
        Offset(self.fold.next_offset().0.saturating_sub(1))
    }

    fn read_page(&mut self, wait: Duration) -> Result<usize, ReadError> {
        let from = self.fold.next_offset();
        let page = self.log.read(from.0, MAX_PAGE_RECORDS, wait)?;
        self.fold
            .set_log_range(Offset(page.first_offset), Offset(page.next_offset));
        for record in &page.records {
            let offset = Offset(record.offset);
            match Record::decode(record.data.as_slice()) {
                Ok(decoded) => {
                    self.fold.apply(offset, record.at_ms, &decoded);
                }
                Err(_) => self.fold.skip_undecodable(offset),
            }
        }
        Ok(page.records.len())
    }
}
