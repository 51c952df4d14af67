//! Append-only segment files of records.
//!
//! The records of one batch are appended and synced together. After a failed write or sync the segment
//! takes no more records, since a later sync does not make them durable; the next batch begins a new
//! segment once the retry delay has passed.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use prost::Message as _;

use crate::kept_turns::TurnRecord;
use crate::kept_turns::generated as raw;
use crate::kept_turns::store::index::Position;
use crate::storage::Disk;
use crate::storage::frames::frame_bytes;
use crate::storage::frames::parse_frame;
use crate::storage::frames::push_frame;
use crate::storage::frames::scan_frames;

/// The end of the names of segment files.
const SEGMENT_SUFFIX: &str = ".turns";

/// The initial and the maximum delay after a failed write, as for the log.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Why a record cannot be read.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum ReadError {
    /// The disk did not return the bytes.
    #[display("the disk failed: {cause}")]
    Disk {
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The bytes are not as they were written.
    #[display("the record is damaged")]
    Damaged,
}

/// What was found in the segment files at the start.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The number of damaged places.
    pub damaged: usize,
    /// The size of the unfinished writes that were cut off, in bytes.
    pub truncated_bytes: u64,
}

/// A time without writes after a failed one.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    delay: Duration,
    retry_at_ms: u64,
}

/// Writes the segment files; used by one thread at a time.
pub struct Segments {
    disk: Arc<dyn Disk>,
    /// The size from which a segment takes no more records.
    segment_bytes: u64,
    sizes: BTreeMap<u64, u64>,
    active: Option<u64>,
    next: u64,
    refusal: Option<Refusal>,
}

fn file_of(segment: u64) -> String {
    format!("{segment:016x}{SEGMENT_SUFFIX}")
}

fn segment_of(file: &str) -> Option<u64> {
    u64::from_str_radix(file.strip_suffix(SEGMENT_SUFFIX)?, 16).ok()
}

impl Segments {
    /// Reads all segments; passes each record to `on_record`, in the order in which they were written.
    ///
    /// # Errors
    /// Fails if the disk fails.
    pub fn open<F>(
        disk: Arc<dyn Disk>,
        segment_bytes: u64,
        mut on_record: F,
    ) -> io::Result<(Self, Loaded)>
    where
        F: FnMut(TurnRecord, Position),
    {
        // A process that was killed before a sync leaves records that are read back and not durable.
        disk.sync_all()?;
        let numbers: Vec<u64> = disk.names()?.iter().filter_map(|file| segment_of(file)).collect();
        let next = numbers.last().map_or(1, |last| last + 1);
        let (sizes, refusal, active) = (BTreeMap::new(), None, None);
        let mut segments = Self { disk, segment_bytes, sizes, active, next, refusal };
        let mut loaded = Loaded::default();
        for number in &numbers {
            let is_last = Some(number) == numbers.last();
            segments.load(*number, is_last, &mut loaded, &mut on_record)?;
        }
        Ok((segments, loaded))
    }

    fn load<F>(
        &mut self,
        segment: u64,
        is_last: bool,
        loaded: &mut Loaded,
        on_record: &mut F,
    ) -> io::Result<()>
    where
        F: FnMut(TurnRecord, Position),
    {
        let file = file_of(segment);
        let bytes = self.disk.read(&file)?.unwrap_or_default();
        let scanned = scan_frames(&bytes);
        loaded.damaged += scanned.damaged;
        for (offset, payload) in &scanned.frames {
            let length = frame_bytes(payload.len()) as u32;
            match decode(payload) {
                Some(record) => on_record(record, Position { segment, offset: *offset, length }),
                None => loaded.damaged += 1,
            }
        }
        let tail = bytes.len() - scanned.intact_bytes;
        if tail > 0 {
            // Only the segment that was written last can end with an unfinished write: one that was
            // closed after a failed write was cut off then.
            loaded.damaged += usize::from(!is_last);
            loaded.truncated_bytes += tail as u64;
            self.disk.truncate(&file, scanned.intact_bytes as u64)?;
        }
        self.sizes.insert(segment, scanned.intact_bytes as u64);
        Ok(())
    }

    /// Returns the size of all segments, in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.sizes.values().sum()
    }

    /// Returns the segments that take no more records.
    pub fn closed(&self) -> impl Iterator<Item = u64> {
        self.sizes.keys().copied().filter(|segment| Some(*segment) != self.active)
    }

    /// Returns the size of a segment, in bytes.
    pub fn size_of(&self, segment: u64) -> u64 {
        self.sizes.get(&segment).copied().unwrap_or_default()
    }

    /// Returns whether writes are refused after a failed one.
    pub fn is_refused(&self, now_ms: u64) -> bool {
        self.refusal.is_some_and(|refusal| now_ms < refusal.retry_at_ms)
    }

    /// Returns whether the last write failed.
    pub fn has_failed(&self) -> bool {
        self.refusal.is_some()
    }

    /// Appends records and syncs them. They are durable, and may be acknowledged, once this returns.
    ///
    /// # Errors
    /// Fails if the write or the sync fails; none of the records counts then.
    pub fn append(&mut self, payloads: &[Vec<u8>], now_ms: u64) -> io::Result<Vec<Position>> {
        let segment = self.segment_for_write();
        let start = self.size_of(segment);
        let mut buf = Vec::new();
        let mut positions = Vec::with_capacity(payloads.len());
        for payload in payloads {
            let offset = start + buf.len() as u64;
            push_frame(&mut buf, offset, payload);
            let length = frame_bytes(payload.len()) as u32;
            positions.push(Position { segment, offset, length });
        }
        let file = file_of(segment);
        let written = self.disk.append(&file, &buf).and_then(|()| self.disk.sync(&file));
        if let Err(cause) = written {
            self.close_after_failure(segment, start, now_ms);
            return Err(cause);
        }
        self.refusal = None;
        self.sizes.insert(segment, start + buf.len() as u64);
        Ok(positions)
    }

    /// Returns the segment for the next batch, which is a new one if the last one is closed or full.
    fn segment_for_write(&mut self) -> u64 {
        match self.active.filter(|active| self.size_of(*active) < self.segment_bytes) {
            Some(active) => active,
            None => {
                let segment = self.next;
                self.next += 1;
                self.sizes.insert(segment, 0);
                self.active = Some(segment);
                segment
            }
        }
    }

    fn close_after_failure(&mut self, segment: u64, durable_bytes: u64, now_ms: u64) {
        self.active = None;
        let delay = self.refusal.map_or(RETRY_DELAY.0, |refusal| refusal.delay * 2);
        let delay = delay.min(RETRY_DELAY.1);
        self.refusal = Some(Refusal { delay, retry_at_ms: now_ms + delay.as_millis() as u64 });
        let file = file_of(segment);
        let freed = match durable_bytes {
            0 => self.disk.remove(&file).inspect(|()| {
                self.sizes.remove(&segment);
            }),
            _ => self.disk.truncate(&file, durable_bytes),
        };
        if let Err(cause) = freed {
            log::warn!("the rest of a failed write stays in {file}: {cause}");
        }
    }

    /// Removes a segment that takes no more records.
    ///
    /// # Errors
    /// Fails if the disk fails.
    pub fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.disk.remove(&file_of(segment))?;
        self.sizes.remove(&segment);
        Ok(())
    }
}

/// Reads the encoded record at a position.
///
/// # Errors
/// Fails if the disk fails or the record is damaged.
pub fn read_payload(disk: &dyn Disk, position: Position) -> Result<Bytes, ReadError> {
    let Position { segment, offset, length } = position;
    let bytes = disk.read_range(&file_of(segment), offset, length as usize);
    let bytes = Bytes::from(bytes.map_err(|cause| match cause.kind() {
        io::ErrorKind::UnexpectedEof => ReadError::Damaged,
        _ => ReadError::Disk { cause },
    })?);
    match parse_frame(&bytes, offset) {
        Some(payload) => Ok(bytes.slice_ref(payload)),
        None => Err(ReadError::Damaged),
    }
}

/// Reads the record at a position.
///
/// # Errors
/// Fails if the disk fails or the record is damaged.
pub fn read_record(disk: &dyn Disk, position: Position) -> Result<TurnRecord, ReadError> {
    let payload = read_payload(disk, position)?;
    let raw = raw::Record::decode(payload).map_err(|_| ReadError::Damaged)?;
    TurnRecord::try_from(raw).map_err(|_| ReadError::Damaged)
}

fn decode(payload: &[u8]) -> Option<TurnRecord> {
    TurnRecord::try_from(raw::Record::decode(payload).ok()?).ok()
}

/// Encodes a record as it is written.
pub fn encode(record: &TurnRecord) -> Vec<u8> {
    raw::Record::from(record).encode_to_vec()
}

#[cfg(test)]
mod tests;
