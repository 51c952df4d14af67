//! Who changed an entry, when and to what.

use std::collections::BTreeMap;

use crate::control::generated::EntryHistory;
use crate::control::generated::HistoryRecord;

/// The latest changes that are kept of one entry.
pub const KEPT_RECORDS: usize = 100;

/// The entries whose history is kept, removed ones included.
pub const KEPT_HISTORIES: usize = 16_384;

/// The history of each entry, removed ones included.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Histories {
    by_entry: BTreeMap<String, Vec<HistoryRecord>>,
}

impl Histories {
    /// Returns the records of an entry, the oldest first.
    pub(super) fn of(&self, entry: &str) -> &[HistoryRecord] {
        self.by_entry.get(entry).map_or(&[], Vec::as_slice)
    }

    /// Adds a record.
    pub(super) fn add(&mut self, entry: &str, record: HistoryRecord) {
        let records = self.by_entry.entry(entry.to_owned()).or_default();
        if records.len() == KEPT_RECORDS {
            records.remove(0);
        }
        records.push(record);
        if self.by_entry.len() > KEPT_HISTORIES {
            self.drop_stalest();
        }
    }

    fn drop_stalest(&mut self) {
        let last = |records: &Vec<HistoryRecord>| records.last().map(|record| record.revision);
        let stalest = self.by_entry.iter().min_by_key(|(_, records)| last(records));
        if let Some(entry) = stalest.map(|(entry, _)| entry.clone()) {
            self.by_entry.remove(&entry);
        }
    }

    /// Returns all histories as messages.
    pub(super) fn to_messages(&self) -> Vec<EntryHistory> {
        let message = |(entry, records): (&String, &Vec<HistoryRecord>)| EntryHistory {
            entry: entry.clone(),
            records: records.clone(),
        };
        self.by_entry.iter().map(message).collect()
    }

    /// Builds the store from messages.
    pub(super) fn from_messages(histories: Vec<EntryHistory>) -> Self {
        let pairs = histories.into_iter().map(|history| (history.entry, history.records));
        Self { by_entry: pairs.collect() }
    }
}
