//! Frames a file's content with length and checksum.
//!
//! One frame is one synced write. An incomplete frame at the end of a file is a write that was cut
//! short by a crash; a bad frame with a good one after it is damage, because the later write began
//! only after the earlier one was synced.

use derive_more::Display;
use derive_more::Error;

/// The first bytes of each frame.
const MAGIC: [u8; 4] = *b"CGWF";

/// The bytes before a frame's payload: magic, length and checksum.
const HEADER_BYTES: usize = 12;

/// Says that a frame before the last one is damaged.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the frame at byte {offset} is damaged")]
pub struct DamagedFrame {
    /// Where the frame starts.
    pub offset: usize,
}

/// The frames of a file.
#[derive(Debug, PartialEq, Eq)]
pub struct Frames<'a> {
    /// The payloads, in order.
    pub payloads: Vec<&'a [u8]>,
    /// The bytes that hold whole frames; what follows is an unfinished write.
    pub intact_bytes: usize,
}

fn checksum(offset: u64, length: u32, payload: &[u8]) -> u32 {
    // The offset is covered so that a payload that contains a frame is not taken for one.
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Appends a frame that will start at `offset` of its file.
pub fn push_frame(buf: &mut Vec<u8>, offset: u64, payload: &[u8]) {
    let length = payload.len() as u32;
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&checksum(offset, length, payload).to_le_bytes());
    buf.extend_from_slice(payload);
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    let word = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(word.try_into().ok()?))
}

/// Returns the payload of the frame at `offset`, if there is a whole and good one.
fn frame_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let frame = bytes.get(offset..)?;
    if !frame.starts_with(&MAGIC) {
        return None;
    }
    let length = word(frame, 4)?;
    let payload = frame.get(HEADER_BYTES..HEADER_BYTES.checked_add(length as usize)?)?;
    (checksum(offset as u64, length, payload) == word(frame, 8)?).then_some(payload)
}

fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    let starts = offset + 1..bytes.len();
    starts.into_iter().any(|start| frame_at(bytes, start).is_some())
}

/// Splits the content of a file into its frames.
///
/// # Errors
/// Fails if a frame before the last one is damaged.
pub fn split_frames(bytes: &[u8]) -> Result<Frames<'_>, DamagedFrame> {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while let Some(payload) = frame_at(bytes, offset) {
        payloads.push(payload);
        offset += HEADER_BYTES + payload.len();
    }
    if has_frame_after(bytes, offset) {
        return Err(DamagedFrame { offset });
    }
    Ok(Frames { payloads, intact_bytes: offset })
}
