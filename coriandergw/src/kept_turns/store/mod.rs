//! The durable store of kept turns on a journal instance.
//!
//! Bodies are on the disk, what is needed to find them is in memory. The methods of [`TurnStore`] block
//! on the disk; [`server`] calls them on threads of their own.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::store::index::ChainLookup;
use crate::kept_turns::store::index::Index;
use crate::kept_turns::store::index::Position;
use crate::kept_turns::store::index::TurnMeta;
use crate::kept_turns::store::segments::ReadError;
use crate::kept_turns::store::segments::Segments;
use crate::storage::Disk;
use crate::storage::frames::frame_bytes;

mod batch;
pub mod index;
pub mod repair;
pub mod segments;
pub mod server;

/// The folder of the store inside the data folder. It has append handles of its own, so that the log
/// does not wait for the syncs of kept turns.
pub const FOLDER: &str = "kept-turns";

/// The name of the file that says since when the store is complete.
pub const COMPLETE_SINCE_FILE: &str = "complete-since";

/// How far the clocks of instances may differ, in milliseconds. Turns are kept longer by this time, and
/// the store says that it is complete only since this time later.
pub const CLOCK_MARGIN_MS: u64 = 2_000;

/// The size from which a segment file takes no more records, in bytes. Small files are removed soon after
/// most of their records have expired; a disk holds at most about a hundred of them.
pub const SEGMENT_BYTES: u64 = 2 << 20;

/// The bytes that each record counts towards the bound, beyond its size. It is more than the index takes
/// for one, so that the bound on the disk bounds the memory too: 125,000 records at 128 MB.
pub const RECORD_COST_BYTES: u64 = 1_024;

/// How often a chain is looked up whose records move while they are read.
const READ_ATTEMPTS: usize = 3;

/// The answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepOutcome {
    /// All records are durable.
    Written,
    /// The turn before the first record is not here with its whole chain.
    PreviousMissing,
    /// The disk is at its bound or refuses writes.
    Refused,
}

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found {
    /// The records, the oldest first.
    Chain(Vec<TurnRecord>),
    /// The turn is not here.
    Absent,
    /// The turn is here, but a record of its chain cannot be read.
    Unreadable,
}

/// The size of a store and what happened in it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// The number of turns.
    pub turns: usize,
    /// The size of the segment files, in bytes.
    pub bytes: u64,
    /// The batches that were synced since the start.
    pub syncs: u64,
    /// The damaged records that were found since the start.
    pub damaged: u64,
}

/// How a store is opened.
#[derive(Debug, Clone, Copy)]
pub struct StoreOptions {
    /// Bytes of the disk that the store may take.
    pub max_bytes: u64,
    /// The size from which a segment file takes no more records, in bytes.
    pub segment_bytes: u64,
    /// Whether the whole system is being started for the first time. An empty store is complete from the
    /// beginning only then.
    pub is_first_start: bool,
}

/// The turns on the disk of this instance.
pub struct TurnStore {
    disk: Arc<dyn Disk>,
    max_bytes: u64,
    index: Mutex<Index>,
    segments: Mutex<Segments>,
    complete_since_ms: AtomicU64,
    bytes: AtomicU64,
    syncs: AtomicU64,
    damaged: AtomicU64,
}

impl TurnStore {
    /// Opens the store on a disk of its own.
    ///
    /// # Errors
    /// Fails if the disk fails.
    pub fn open(disk: Arc<dyn Disk>, options: StoreOptions, now_ms: u64) -> io::Result<Self> {
        let StoreOptions { max_bytes, segment_bytes, is_first_start } = options;
        // Before the first segment is written, so that a store that lost its file is not new.
        let is_new = is_first_start && disk.names()?.is_empty();
        let mut index = Index::default();
        let (segments, loaded) =
            Segments::open(disk.clone(), segment_bytes, |record, position| {
                index.insert(record.key.clone(), TurnMeta::from(&record), position);
            })?;
        let known = read_complete_since(&*disk)?;
        let complete_since = known.unwrap_or(if is_new { 0 } else { now_ms + CLOCK_MARGIN_MS });
        let bytes = segments.total_bytes();
        let store = Self {
            disk,
            max_bytes,
            index: Mutex::new(index),
            segments: Mutex::new(segments),
            complete_since_ms: AtomicU64::new(complete_since),
            bytes: AtomicU64::new(bytes),
            syncs: AtomicU64::new(0),
            damaged: AtomicU64::new(loaded.damaged as u64),
        };
        if loaded.damaged > 0 {
            store.note_damage(now_ms);
        } else if known.is_none() {
            store.write_complete_since();
        }
        Ok(store)
    }

    /// Returns since when this instance has kept all that it acknowledged, in milliseconds since the
    /// Unix epoch. It must be read after the lookup that it goes with: damage raises it first.
    pub fn complete_since_ms(&self) -> u64 {
        self.complete_since_ms.load(Ordering::SeqCst)
    }

    /// Returns the size of the store and what happened in it.
    pub fn counts(&self) -> Counts {
        Counts {
            turns: self.index.lock().expect("not poisoned").len(),
            bytes: self.bytes.load(Ordering::SeqCst),
            syncs: self.syncs.load(Ordering::SeqCst),
            damaged: self.damaged.load(Ordering::SeqCst),
        }
    }

    /// Returns whether the last write failed.
    pub fn has_failed(&self) -> bool {
        self.segments.lock().expect("not poisoned").has_failed()
    }

    /// Returns the turns that are not here.
    pub fn missing(&self, keys: Vec<TurnKey>) -> Vec<TurnKey> {
        let index = self.index.lock().expect("not poisoned");
        keys.into_iter().filter(|key| index.meta(key).is_none_or(|meta| meta.is_partial)).collect()
    }

    /// Returns all turns by account and first turn of their chain.
    pub fn chains(&self) -> HashMap<(Arc<str>, Arc<str>), Vec<TurnKey>> {
        let mut chains: HashMap<(Arc<str>, Arc<str>), Vec<TurnKey>> = HashMap::new();
        for (key, root) in self.index.lock().expect("not poisoned").roots() {
            let chain = (key.account.clone(), root.clone());
            chains.entry(chain).or_default().push(key.clone());
        }
        chains
    }

    /// Reads the chain that ends with a turn.
    pub fn find(&self, key: &TurnKey, now_ms: u64) -> Found {
        // A record that moves between the lookup and the read is found at its new place.
        let found = (0..READ_ATTEMPTS).find_map(|_| self.try_find(key, now_ms));
        found.unwrap_or(Found::Unreadable)
    }

    /// Reads the chain that ends with a turn; `None` if a record of it moved or expired meanwhile.
    fn try_find(&self, key: &TurnKey, now_ms: u64) -> Option<Found> {
        let chain = self.index.lock().expect("not poisoned").chain(key);
        let chain = match chain {
            ChainLookup::Absent => return Some(Found::Absent),
            ChainLookup::Incomplete => return Some(Found::Unreadable),
            ChainLookup::Complete(chain) => chain,
        };
        let mut records = Vec::with_capacity(chain.len());
        for (key, position) in chain {
            match self.read_turn(&key, position) {
                Ok(record) => records.push(record),
                Err(_) if !self.is_at(&key, position) => return None,
                Err(ReadError::Damaged) => {
                    self.drop_damaged(&key, position, now_ms);
                    return Some(Found::Unreadable);
                }
                Err(ReadError::Disk { cause }) => {
                    log::warn!("a kept turn cannot be read: {cause}");
                    return Some(Found::Unreadable);
                }
            }
        }
        Some(Found::Chain(records))
    }

    fn read_turn(&self, key: &TurnKey, position: Position) -> Result<TurnRecord, ReadError> {
        let record = segments::read_record(&*self.disk, position)?;
        if record.key == *key { Ok(record) } else { Err(ReadError::Damaged) }
    }

    fn is_at(&self, key: &TurnKey, position: Position) -> bool {
        self.index.lock().expect("not poisoned").position(key) == Some(position)
    }

    /// Removes a damaged record, so that another holder can send it again.
    fn drop_damaged(&self, key: &TurnKey, position: Position, now_ms: u64) {
        self.damaged.fetch_add(1, Ordering::SeqCst);
        self.note_damage(now_ms);
        self.index.lock().expect("not poisoned").remove_damaged(key, position);
    }

    fn note_damage(&self, now_ms: u64) {
        self.complete_since_ms.fetch_max(now_ms + CLOCK_MARGIN_MS, Ordering::SeqCst);
        self.write_complete_since();
    }

    /// Writes since when the store is complete. If that fails, the next start finds the same damage or
    /// no file, and raises the time again.
    fn write_complete_since(&self) {
        let text = self.complete_since_ms().to_string();
        if let Err(cause) = self.disk.replace(COMPLETE_SINCE_FILE, text.as_bytes()) {
            log::warn!("{COMPLETE_SINCE_FILE} cannot be written: {cause}");
        }
    }

    /// Removes the turns that have expired and the segment files that have none left, and moves the
    /// remaining turns out of a file that is mostly unused.
    ///
    /// # Errors
    /// Fails if the disk fails.
    pub fn expire(&self, now_ms: u64) -> io::Result<()> {
        let mut segments = self.segments.lock().expect("not poisoned");
        self.index.lock().expect("not poisoned").expire(now_ms.saturating_sub(CLOCK_MARGIN_MS));
        let result = self.compact(&mut segments, now_ms);
        self.bytes.store(segments.total_bytes(), Ordering::SeqCst);
        result
    }

    fn compact(&self, segments: &mut Segments, now_ms: u64) -> io::Result<()> {
        let closed: Vec<u64> = segments.closed().collect();
        for segment in closed {
            let used = self.index.lock().expect("not poisoned").segment_use(segment);
            if used.records == 0 {
                segments.remove(segment)?;
                continue;
            }
            // A chain that goes on for long would otherwise hold a file for each few seconds of its
            // life. Moving a quarter of a file frees three times what it writes.
            let is_mostly_unused = used.bytes * 4 < segments.size_of(segment);
            let is_full = segments.total_bytes() * 2 > self.max_bytes;
            if is_mostly_unused && is_full && !segments.is_refused(now_ms) {
                return self.empty_segment(segments, segment, now_ms);
            }
        }
        Ok(())
    }

    /// Writes the turns of a segment again; its file is removed when they are durable elsewhere.
    fn empty_segment(&self, segments: &mut Segments, segment: u64, now_ms: u64) -> io::Result<()> {
        let turns = self.index.lock().expect("not poisoned").turns_of(segment);
        let mut moved = Vec::new();
        let mut payloads = Vec::new();
        for (key, position) in turns {
            match segments::read_payload(&*self.disk, position) {
                Ok(payload) => {
                    payloads.push(payload.to_vec());
                    moved.push((key, position));
                }
                Err(ReadError::Damaged) => self.drop_damaged(&key, position, now_ms),
                Err(ReadError::Disk { cause }) => return Err(cause),
            }
        }
        let positions = segments.append(&payloads, now_ms)?;
        self.syncs.fetch_add(1, Ordering::SeqCst);
        let mut index = self.index.lock().expect("not poisoned");
        for ((key, from), to) in moved.into_iter().zip(positions) {
            index.relocate(&key, from, to);
        }
        let is_emptied = index.segment_use(segment).records == 0;
        drop(index);
        if is_emptied { segments.remove(segment) } else { Ok(()) }
    }
}

/// Reads since when the store is complete; `None` if there is no file or it cannot be parsed.
fn read_complete_since(disk: &dyn Disk) -> io::Result<Option<u64>> {
    let bytes = disk.read(COMPLETE_SINCE_FILE)?;
    let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
    Ok(text.and_then(|text| text.parse().ok()))
}

/// Returns the bytes that a record of this size counts towards the bound.
fn cost_of(payload_bytes: usize) -> u64 {
    frame_bytes(payload_bytes) as u64 + RECORD_COST_BYTES
}

#[cfg(test)]
pub(crate) mod simulation;
#[cfg(test)]
mod tests;
