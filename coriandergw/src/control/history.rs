//! The history of catalogue entries: who changed an entry, when and to what.

use std::collections::BTreeMap;

use crate::control::generated::EntryHistory;
use crate::control::generated::HistoryRecord;

/// The maximum number of changes that are kept of one entry; the oldest is evicted first.
pub const MAX_RECORDS_PER_ENTRY: usize = 100;

/// The maximum number of entries whose history is kept, including removed entries. The history
/// whose last change is the oldest is evicted first.
pub const MAX_HISTORIES: usize = 16_384;

/// The history of each entry, including removed entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Histories {
    by_entry: BTreeMap<String, Vec<HistoryRecord>>,
}

impl Histories {
    /// Returns the records of an entry, oldest first.
    pub(super) fn records(&self, entry: &str) -> &[HistoryRecord] {
        self.by_entry.get(entry).map_or(&[], Vec::as_slice)
    }

    /// Adds a record and evicts the oldest record or history if a limit is exceeded.
    pub(super) fn add(&mut self, entry: &str, record: HistoryRecord) {
        let records = self.by_entry.entry(entry.to_owned()).or_default();
        if records.len() == MAX_RECORDS_PER_ENTRY {
            records.remove(0);
        }
        records.push(record);
        if self.by_entry.len() > MAX_HISTORIES {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let last = |records: &Vec<HistoryRecord>| records.last().map(|record| record.revision);
        let oldest = self.by_entry.iter().min_by_key(|(_, records)| last(records));
        if let Some(entry) = oldest.map(|(entry, _)| entry.clone()) {
            self.by_entry.remove(&entry);
        }
    }

    /// Converts all histories to messages for a snapshot.
    pub(super) fn to_messages(&self) -> Vec<EntryHistory> {
        let message = |(entry, records): (&String, &Vec<HistoryRecord>)| EntryHistory {
            entry: entry.clone(),
            records: records.clone(),
        };
        self.by_entry.iter().map(message).collect()
    }

    /// Restores the histories from the messages of a snapshot.
    pub(super) fn from_messages(histories: Vec<EntryHistory>) -> Self {
        let pairs = histories.into_iter().map(|history| (history.entry, history.records));
        Self { by_entry: pairs.collect() }
    }
}
