//! What is known in memory of the turns on the disk: where each is, its chain and its expiry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;

/// The longest chain that is followed. It only bounds the work of one request; the longest planned
/// chain has 260 turns.
const CHAIN_MAX_TURNS: usize = 4_096;

/// Where a record is on the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The number of the segment file.
    pub segment: u64,
    /// The offset of the record's frame in the file, in bytes.
    pub offset: u64,
    /// The size of the frame, in bytes.
    pub length: u32,
}

/// What is known of a turn without its input and output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnMeta {
    /// The turn that it continues from.
    pub previous: Option<Arc<str>>,
    /// The first turn of its chain.
    pub root: Arc<str>,
    /// When it expires if nothing continues from it, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Whether its stream broke off.
    pub is_partial: bool,
}

impl From<&TurnRecord> for TurnMeta {
    fn from(record: &TurnRecord) -> Self {
        Self {
            previous: record.previous.clone(),
            root: record.root.clone(),
            expires_ms: record.expires_ms,
            is_partial: record.is_partial,
        }
    }
}

impl TurnMeta {
    /// Returns whether this version of a turn replaces `known`: a whole turn replaces a partial one and
    /// never the other way round, and the same turn is written again only to live longer.
    pub fn supersedes(&self, known: &TurnMeta) -> bool {
        let is_same_turn = self.previous == known.previous && self.root == known.root;
        is_same_turn && (!self.is_partial, self.expires_ms) > (!known.is_partial, known.expires_ms)
    }
}

#[derive(Debug)]
struct Entry {
    meta: TurnMeta,
    position: Position,
    /// When the turn and all turns that continue from it have expired.
    kept_until_ms: u64,
}

/// The records in use of one segment file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SegmentUse {
    /// The number of records.
    pub records: usize,
    /// Their size on the disk, in bytes.
    pub bytes: u64,
}

/// The chain that ends with a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChainLookup {
    /// The turn is not here.
    Absent,
    /// The turn is here, but one before it is not, or only a part of it.
    Incomplete,
    /// The position of each turn, the oldest first.
    Complete(Vec<(TurnKey, Position)>),
}

/// The turns of this instance.
#[derive(Debug, Default)]
pub struct Index {
    turns: HashMap<TurnKey, Entry>,
    by_expiry: BTreeSet<(u64, TurnKey)>,
    segments: BTreeMap<u64, SegmentUse>,
    /// How long turns that are not here have to be kept for those that continue from them. Only turns
    /// that were lost by damage are listed.
    awaited: HashMap<TurnKey, u64>,
}

impl Index {
    /// Returns the number of turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Returns whether there is no turn.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Returns what is known of a turn.
    pub fn meta(&self, key: &TurnKey) -> Option<&TurnMeta> {
        self.turns.get(key).map(|entry| &entry.meta)
    }

    /// Returns where a turn is.
    pub fn position(&self, key: &TurnKey) -> Option<Position> {
        self.turns.get(key).map(|entry| entry.position)
    }

    /// Returns the use of a segment file.
    pub fn segment_use(&self, segment: u64) -> SegmentUse {
        self.segments.get(&segment).copied().unwrap_or_default()
    }

    /// Returns the turns of a segment file.
    pub fn turns_of(&self, segment: u64) -> Vec<(TurnKey, Position)> {
        let here = self.turns.iter().filter(|(_, entry)| entry.position.segment == segment);
        here.map(|(key, entry)| (key.clone(), entry.position)).collect()
    }

    /// Returns all turns, each with the first turn of its chain.
    pub fn roots(&self) -> impl Iterator<Item = (&TurnKey, &Arc<str>)> {
        self.turns.iter().map(|(key, entry)| (key, &entry.meta.root))
    }

    /// Adds a turn that is durable, unless a version of it is known that this one does not replace, and
    /// renews the expiry of the turns before it.
    pub fn insert(&mut self, key: TurnKey, mut meta: TurnMeta, position: Position) {
        let known = self.turns.get(&key);
        if known.is_some_and(|known| !meta.supersedes(&known.meta)) {
            return;
        }
        // The names are shared with the turn before, since a chain repeats them.
        let mut key = key;
        if let Some(previous) = &meta.previous {
            let before = TurnKey { account: key.account.clone(), turn: previous.clone() };
            if let Some((before, entry)) = self.turns.get_key_value(&before) {
                key.account = before.account.clone();
                meta.previous = Some(before.turn.clone());
                meta.root = entry.meta.root.clone();
            }
        }
        let awaited = self.awaited.remove(&key).unwrap_or_default();
        let replaced_until = self.remove(&key).unwrap_or_default();
        let kept_until_ms = meta.expires_ms.max(awaited).max(replaced_until);
        let previous = meta.previous.clone();
        let account = key.account.clone();
        self.note_use(position, true);
        self.by_expiry.insert((kept_until_ms, key.clone()));
        self.turns.insert(key, Entry { meta, position, kept_until_ms });
        self.renew_chain(&account, previous, kept_until_ms);
    }

    /// Keeps a turn and those before it until a time. Turns live as long as those that continue from
    /// them, so the walk ends at the first one that is kept long enough.
    fn renew_chain(&mut self, account: &Arc<str>, from: Option<Arc<str>>, until_ms: u64) {
        let mut next = from;
        while let Some(turn) = next {
            let key = TurnKey { account: account.clone(), turn };
            let Some(entry) = self.turns.get_mut(&key) else {
                let awaited = self.awaited.entry(key).or_default();
                *awaited = (*awaited).max(until_ms);
                return;
            };
            if entry.kept_until_ms >= until_ms {
                return;
            }
            let before = std::mem::replace(&mut entry.kept_until_ms, until_ms);
            next = entry.meta.previous.clone();
            self.by_expiry.remove(&(before, key.clone()));
            self.by_expiry.insert((until_ms, key));
        }
    }

    /// Notes that a turn was written again at another place, unless it is not at `from` any more.
    pub fn relocate(&mut self, key: &TurnKey, from: Position, to: Position) {
        let entry = self.turns.get_mut(key).filter(|entry| entry.position == from);
        if let Some(entry) = entry {
            entry.position = to;
            self.note_use(from, false);
            self.note_use(to, true);
        }
    }

    /// Removes a turn; returns until when it was to be kept.
    fn remove(&mut self, key: &TurnKey) -> Option<u64> {
        let entry = self.turns.remove(key)?;
        self.by_expiry.remove(&(entry.kept_until_ms, key.clone()));
        self.note_use(entry.position, false);
        Some(entry.kept_until_ms)
    }

    /// Removes a turn whose record at `position` is damaged.
    pub fn remove_damaged(&mut self, key: &TurnKey, position: Position) {
        if self.position(key) == Some(position)
            && let Some(until_ms) = self.remove(key)
        {
            self.awaited.insert(key.clone(), until_ms);
        }
    }

    /// Removes the turns that expired by `now_ms`.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some((until_ms, key)) = self.by_expiry.first().cloned()
            && until_ms <= now_ms
        {
            self.remove(&key);
        }
        self.awaited.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Returns the chain that ends with a turn.
    pub fn chain(&self, key: &TurnKey) -> ChainLookup {
        let Some(mut entry) = self.turns.get(key) else {
            return ChainLookup::Absent;
        };
        let mut chain = vec![(key.clone(), entry.position)];
        while let Some(previous) = &entry.meta.previous {
            let key = TurnKey { account: key.account.clone(), turn: previous.clone() };
            match self.turns.get(&key) {
                // Nothing continues from a partial turn: the whole one was written elsewhere.
                Some(before) if chain.len() < CHAIN_MAX_TURNS && !before.meta.is_partial => {
                    entry = before;
                }
                _ => return ChainLookup::Incomplete,
            }
            chain.push((key, entry.position));
        }
        chain.reverse();
        ChainLookup::Complete(chain)
    }

    /// Returns whether a turn is here as a whole, with all turns before it, so that another one can
    /// continue from it.
    pub fn can_continue(&self, key: &TurnKey) -> bool {
        self.meta(key).is_some_and(|meta| !meta.is_partial)
            && matches!(self.chain(key), ChainLookup::Complete(_))
    }

    fn note_use(&mut self, position: Position, is_added: bool) {
        let segment = self.segments.entry(position.segment).or_default();
        let bytes = u64::from(position.length);
        if is_added {
            segment.records += 1;
            segment.bytes += bytes;
            return;
        }
        segment.records -= 1;
        segment.bytes -= bytes;
        if segment.records == 0 {
            self.segments.remove(&position.segment);
        }
    }
}

#[cfg(test)]
mod tests;
