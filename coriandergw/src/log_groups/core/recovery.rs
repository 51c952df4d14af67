//! Rebuilds a group's state from its durable records.

use derive_more::Display;
use derive_more::Error;

use crate::ids::InstanceName;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Record;
use crate::log_groups::core::Snapshot;
use crate::log_groups::core::log::Log;

/// The reason why records do not form a valid log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RecoveryError {
    /// An entry leaves a gap after the last one, or lies before the start of the log.
    #[display("entry {index} does not follow entry {last}")]
    Gap {
        /// The index of the unexpected entry.
        index: u64,
        /// The last index of the log when that entry was replayed.
        last: u64,
    },
    /// The log starts after a snapshot that is missing.
    #[display("the log starts after index {index}, of which there is no snapshot")]
    NoSnapshot {
        /// The index up to which the missing snapshot should extend.
        index: u64,
    },
}

/// The state of a group as recovered at the start of its instance.
#[derive(Debug, Clone)]
pub struct Recovered {
    /// The last known term.
    pub term: u64,
    /// The member that received the vote in that term.
    pub voted_for: Option<InstanceName>,
    /// Whether an earlier log was lost, in which case the instance must not vote.
    pub log_lost: bool,
    pub(super) log: Log,
}

impl Recovered {
    /// Creates the state of a log that holds only `snapshot`; for a new group, an empty one at
    /// index 0.
    pub fn new(snapshot: Snapshot) -> Self {
        Self { term: snapshot.term, voted_for: None, log_lost: false, log: Log::new(snapshot) }
    }

    /// Replays one record. The data of a snapshot record may be omitted.
    ///
    /// # Errors
    /// Fails if an entry leaves a gap after the last one, or lies before the start of the log.
    pub fn replay(&mut self, record: Record) -> Result<(), RecoveryError> {
        match record {
            Record::HardState { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Record::Entries(entries) => {
                for entry in entries {
                    self.replay_entry(entry)?;
                }
            }
            Record::Snapshot(snapshot) => self.log.install(snapshot),
            Record::VoteRegained => self.log_lost = false,
        }
        Ok(())
    }

    fn replay_entry(&mut self, entry: Entry) -> Result<(), RecoveryError> {
        let last = self.log.last_index();
        if entry.index <= self.log.base_index() || entry.index > last + 1 {
            return Err(RecoveryError::Gap { index: entry.index, last });
        }
        self.log.truncate(entry.index);
        self.log.push(entry);
        Ok(())
    }

    /// Combines the stored snapshot with the replayed entries.
    ///
    /// # Errors
    /// Fails if the entries start after a snapshot that is missing.
    pub fn finish(&mut self, stored: Option<Snapshot>) -> Result<(), RecoveryError> {
        let base = self.log.base_index();
        match stored {
            Some(snapshot) if snapshot.index >= base => self.log.install(snapshot),
            _ if base > 0 => return Err(RecoveryError::NoSnapshot { index: base }),
            _ => {}
        }
        self.term = self.term.max(self.log.last_term());
        Ok(())
    }

    /// Returns the record of the term and the vote.
    pub fn hard_state(&self) -> Record {
        Record::HardState { term: self.term, voted_for: self.voted_for.clone() }
    }

    /// Returns the last index covered by the snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot().index
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }
}
