//! Framing of file content with length and checksum.
//!
//! Each frame is one synced write, or a part of a file that was replaced atomically. An incomplete
//! frame at the end of a file is a write that a crash interrupted. An invalid frame before a valid
//! one is damage, because a write starts only after the previous one has been synced.

use derive_more::Display;
use derive_more::Error;

/// The first bytes of each frame.
const MAGIC: [u8; 4] = *b"CGWF";

/// The size of a frame's header, in bytes: magic, length and checksum.
const HEADER_BYTES: usize = 12;

/// The error for a damaged frame that is followed by a valid one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the frame at byte {offset} is damaged")]
pub struct DamagedFrame {
    /// The byte offset of the damaged frame in the file.
    pub offset: usize,
}

/// The valid frames at the start of a file.
#[derive(Debug, PartialEq, Eq)]
pub struct Frames<'a> {
    /// The payloads, in the order of the file.
    pub payloads: Vec<&'a [u8]>,
    /// The total size of the complete frames, in bytes; any bytes after them are an unfinished
    /// write.
    pub intact_bytes: usize,
}

fn checksum(offset: u64, length: u32, payload: &[u8]) -> u32 {
    // The offset is included so that a frame inside a payload is not mistaken for a frame of the
    // file.
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Appends to `buf` a frame that will start at `offset` in its file.
pub fn push_frame(buf: &mut Vec<u8>, offset: u64, payload: &[u8]) {
    let length = payload.len() as u32;
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&checksum(offset, length, payload).to_le_bytes());
    buf.extend_from_slice(payload);
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let word = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(word.try_into().ok()?))
}

/// Returns the size of a frame whose payload has `payload_bytes` bytes.
pub fn frame_bytes(payload_bytes: usize) -> usize {
    HEADER_BYTES + payload_bytes
}

/// Returns the payload of the frame at the start of `bytes`, which were read from `offset` of its
/// file, if it is complete and its checksum matches.
pub fn parse_frame(bytes: &[u8], offset: u64) -> Option<&[u8]> {
    if !bytes.starts_with(&MAGIC) {
        return None;
    }
    let length = read_u32(bytes, 4)?;
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length as usize)?)?;
    (checksum(offset, length, payload) == read_u32(bytes, 8)?).then_some(payload)
}

fn frame_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    parse_frame(bytes.get(offset..)?, offset as u64)
}

fn valid_frame_after(bytes: &[u8], offset: usize) -> Option<usize> {
    (offset + 1..bytes.len()).find(|start| frame_at(bytes, *start).is_some())
}

/// Splits the content of a file into frames.
///
/// # Errors
/// Fails if an invalid frame is followed by a valid one.
pub fn split_frames(bytes: &[u8]) -> Result<Frames<'_>, DamagedFrame> {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while let Some(payload) = frame_at(bytes, offset) {
        payloads.push(payload);
        offset += HEADER_BYTES + payload.len();
    }
    if valid_frame_after(bytes, offset).is_some() {
        return Err(DamagedFrame { offset });
    }
    Ok(Frames { payloads, intact_bytes: offset })
}

/// The valid frames of a file that may be damaged.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ScannedFrames<'a> {
    /// The offset of each valid frame and its payload, in the order of the file.
    pub frames: Vec<(u64, &'a [u8])>,
    /// The number of places at which bytes before a valid frame are not valid frames.
    pub damaged: usize,
    /// The end of the last valid frame; any bytes after it are an unfinished write.
    pub intact_bytes: usize,
}

/// Splits the content of a file into frames, and skips what is damaged.
pub fn scan_frames(bytes: &[u8]) -> ScannedFrames<'_> {
    let mut scanned = ScannedFrames::default();
    let mut offset = 0;
    loop {
        if let Some(payload) = frame_at(bytes, offset) {
            scanned.frames.push((offset as u64, payload));
            offset += frame_bytes(payload.len());
            scanned.intact_bytes = offset;
        } else if let Some(next) = valid_frame_after(bytes, offset) {
            scanned.damaged += 1;
            offset = next;
        } else {
            return scanned;
        }
    }
}
