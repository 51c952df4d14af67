//! A simulated member and its disk.

use bytes::Bytes;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::log_groups::core::Core;
use crate::log_groups::core::Message;
use crate::log_groups::core::Record;
use crate::log_groups::core::Snapshot;

/// A write in progress.
pub struct PendingSync {
    pub due: Timestamp,
    pub records: Vec<Record>,
    pub replaces_all: bool,
    pub messages: Vec<(InstanceName, Message)>,
}

/// One member: its core, and the durable content of its disk.
pub struct Member {
    pub name: InstanceName,
    pub core: Option<Core>,
    pub records: Vec<Record>,
    pub stored: Option<Snapshot>,
    pub log_lost: bool,
    pub pending: Option<PendingSync>,
    /// The last applied index and a digest of all applied entries.
    pub state: (u64, u64),
    pub commit: u64,
    pub clock_rate: u64,
}

impl Member {
    /// Adds records to the durable ones, or replaces all of them.
    pub fn persist(&mut self, records: Vec<Record>, replaces_all: bool) {
        if replaces_all {
            self.records.clear();
        }
        for record in records {
            self.store_snapshot(&record);
            if record == Record::VoteRegained {
                self.log_lost = false;
            }
            self.records.push(without_data(record));
        }
    }

    /// Stores the snapshot of a record if it is newer than the stored one.
    pub fn store_snapshot(&mut self, record: &Record) {
        let stored_index = self.stored.as_ref().map_or(0, |stored| stored.index);
        if let Record::Snapshot(snapshot) = record
            && snapshot.index > stored_index
        {
            self.stored = Some(snapshot.clone());
        }
    }
}

fn without_data(record: Record) -> Record {
    match record {
        Record::Snapshot(snapshot) => Record::Snapshot(Snapshot { data: Bytes::new(), ..snapshot }),
        other => other,
    }
}
