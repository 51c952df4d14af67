//! The in-memory log of one group: a snapshot and the entries after it.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;
use crate::log_groups::core::Payload;
use crate::log_groups::core::Snapshot;

/// A snapshot, the entries after a base index, and the history of the membership.
#[derive(Debug, Clone)]
pub(super) struct Log {
    snapshot: Snapshot,
    /// The index and term of the entry before the first one held; at or before the snapshot.
    base: (u64, u64),
    entries: VecDeque<Entry>,
    /// Memberships with the index from which each is in force, oldest first; never empty.
    members: Vec<(u64, Members)>,
}

impl Log {
    /// Creates a log that starts after `snapshot`.
    pub(super) fn new(snapshot: Snapshot) -> Self {
        Self {
            base: (snapshot.index, snapshot.term),
            members: vec![(snapshot.index, snapshot.members.clone())],
            entries: VecDeque::new(),
            snapshot,
        }
    }

    pub(super) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(super) fn base_index(&self) -> u64 {
        self.base.0
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    fn position(&self, index: u64) -> Option<usize> {
        let offset = index.checked_sub(self.base.0 + 1)?;
        usize::try_from(offset).ok().filter(|position| *position < self.entries.len())
    }

    /// Returns the term of the entry at `index`, if known.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        self.position(index).map(|position| &self.entries[position])
    }

    /// Returns the first index of the consecutive entries that have the same term as `index`.
    pub(super) fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.0 + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Returns entries from `from` on, up to `max_bytes` in total but always at least one.
    pub(super) fn slice(&self, from: u64, max_bytes: usize) -> Vec<Entry> {
        let Some(position) = self.position(from) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += entry.size();
            is_first || bytes <= max_bytes
        };
        self.entries.range(position..).take_while(fits).cloned().collect()
    }

    /// Returns all entries after the snapshot.
    pub(super) fn entries_after_snapshot(&self) -> Vec<Entry> {
        self.slice(self.snapshot.index + 1, usize::MAX)
    }

    /// Appends an entry whose index follows the last one.
    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base.0 + 1) as usize;
        self.entries.truncate(kept);
        let keep = self.members.iter().filter(|(from, _)| *from < index).count().max(1);
        self.members.truncate(keep);
    }

    /// Returns the membership in force and the index of the entry that introduced it.
    pub(super) fn members(&self) -> (u64, &Members) {
        let (index, members) = &self.members[self.members.len() - 1];
        (*index, members)
    }

    /// Returns the membership in force at `index`.
    pub(super) fn members_at(&self, index: u64) -> &Members {
        let found = self.members.iter().rev().find(|(from, _)| *from <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    /// Replaces the snapshot by one that covers the entries up to `index`.
    ///
    /// Keeps `trailing` entries before it for members that are slightly behind. Returns false if
    /// the snapshot would not advance or the entry at `index` is unknown.
    pub(super) fn compact(&mut self, index: u64, data: Bytes, trailing: u64) -> bool {
        let Some(term) = self.term_at(index).filter(|_| index > self.snapshot.index) else {
            return false;
        };
        let members = self.members_at(index).clone();
        self.snapshot = Snapshot { index, term, members, data };
        let base = index.saturating_sub(trailing).max(self.base.0);
        self.base = (base, self.term_at(base).unwrap_or_default());
        while self.entries.front().is_some_and(|entry| entry.index <= base) {
            self.entries.pop_front();
        }
        let older = self.members.iter().filter(|(from, _)| *from <= index).count();
        self.members.drain(..older.saturating_sub(1));
        true
    }

    /// Installs a snapshot from another member; later entries are kept if the log matches it.
    pub(super) fn install(&mut self, snapshot: Snapshot) {
        let matches_snapshot = self.term_at(snapshot.index) == Some(snapshot.term);
        let kept =
            if matches_snapshot { self.slice(snapshot.index + 1, usize::MAX) } else { Vec::new() };
        *self = Self::new(snapshot);
        kept.into_iter().for_each(|entry| self.push(entry));
    }
}
