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

/// Returns the payload of the frame at `offset` if it is complete and its checksum matches.
fn frame_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let frame = bytes.get(offset..)?;
    if !frame.starts_with(&MAGIC) {
        return None;
    }
    let length = read_u32(frame, 4)?;
    let payload = frame.get(HEADER_BYTES..HEADER_BYTES.checked_add(length as usize)?)?;
    (checksum(offset as u64, length, payload) == read_u32(frame, 8)?).then_some(payload)
}

fn has_valid_frame_after(bytes: &[u8], offset: usize) -> bool {
    let starts = offset + 1..bytes.len();
    starts.into_iter().any(|start| frame_at(bytes, start).is_some())
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
    if has_valid_frame_after(bytes, offset) {
        return Err(DamagedFrame { offset });
    }
    Ok(Frames { payloads, intact_bytes: offset })
}
