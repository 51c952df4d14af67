//! Limits of entries, divided between the instances.

use std::collections::HashMap;

use crate::ids::EntryName;

/// Returns one instance's share of a limit for the whole cluster; at least 1.
pub fn instance_share(limit: u64, instances: usize) -> u64 {
    (limit / (instances.max(1) as u64)).max(1)
}

/// The number of calls of each entry that wait or run at this instance.
#[derive(Debug, Default)]
pub struct EntryCallCounts {
    calls: HashMap<EntryName, u64>,
}

impl EntryCallCounts {
    /// Counts another call unless `limit` is reached. Returns whether it was counted.
    pub fn acquire(&mut self, entry: &EntryName, limit: u64) -> bool {
        let count = self.calls.entry(entry.clone()).or_default();
        let has_room = *count < limit;
        *count += u64::from(has_room);
        has_room
    }

    /// Removes one call of an entry from the count.
    pub fn release(&mut self, entry: &EntryName) {
        let Some(count) = self.calls.get_mut(entry) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.calls.remove(entry);
        }
    }
}
