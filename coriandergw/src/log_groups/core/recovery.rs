//! Rebuilds a group's state from its records.

use derive_more::Display;
use derive_more::Error;

use crate::ids::InstanceName;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Record;
use crate::log_groups::core::Snapshot;
use crate::log_groups::core::log::Log;

/// Says why records do not make up a log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum RecoveryError {
    /// Entries do not follow the ones before them.
    #[display("entry {index} does not follow entry {last}")]
    Gap {
        /// The index found.
        index: u64,
        /// The last index before it.
        last: u64,
    },
    /// The log starts after a snapshot that is not there.
    #[display("the log starts after index {index}, of which there is no snapshot")]
    NoSnapshot {
        /// The index that the snapshot should cover.
        index: u64,
    },
}

/// What a group knows when its instance starts.
#[derive(Debug, Clone)]
pub struct Recovered {
    /// The last term.
    pub term: u64,
    /// Who got the vote in that term.
    pub voted_for: Option<InstanceName>,
    /// Whether an earlier log was lost, so that the instance must not vote.
    pub log_lost: bool,
    pub(super) log: Log,
}

impl Recovered {
    /// Starts with `snapshot` alone; a new group has an empty one at index 0.
    pub fn new(snapshot: Snapshot) -> Self {
        Self { term: snapshot.term, voted_for: None, log_lost: false, log: Log::new(snapshot) }
    }

    /// Replays one record. The data of a snapshot record may be left out.
    ///
    /// # Errors
    /// Fails if entries do not follow the ones before them.
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

    /// Puts the stored snapshot under the replayed entries.
    ///
    /// # Errors
    /// Fails if the entries start after it.
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

    /// Returns the index of the snapshot that the log starts from.
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot().index
    }

    /// Returns the last index of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }
}
