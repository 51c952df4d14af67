//! Reads a body into one buffer whose bytes are reserved before they are read.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;

use crate::memory::budget::SMALL_MAX_BYTES;
use crate::memory::shared::Denied;
use crate::memory::shared::Held;

/// The bytes that are reserved at once for a small body whose length is not known.
const SMALL_STEP_BYTES: u64 = 4 * 1024;

/// The bytes that are reserved at once for a large body.
const LARGE_STEP_BYTES: u64 = 64 * 1024;

/// Why a body was not read to its end. Nothing of it is in use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[display("the body exceeds the limit")]
    TooLarge,
    /// The body did not arrive before the deadline.
    #[display("the body did not arrive before the deadline")]
    Late,
    /// The body made no progress while memory was short.
    #[display("the body made no progress while memory was short")]
    Evicted,
    /// There was no memory for the body before the deadline.
    #[display("there was no memory for the body before the deadline")]
    NoRoom,
    /// The connection failed, or the body is malformed.
    #[display("{reason}")]
    Broken {
        /// The error of the HTTP library.
        #[error(not(source))]
        reason: String,
    },
}

impl From<Denied> for BodyError {
    fn from(denied: Denied) -> Self {
        match denied {
            Denied::Evicted => Self::Evicted,
            Denied::NoRoom => Self::NoRoom,
        }
    }
}

/// How much of a body is read, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// The largest body, in bytes.
    pub max_bytes: usize,
    /// When the last byte must have arrived.
    pub deadline: Instant,
}

/// One buffer and the reservation of its bytes, which ends when the last reference to it is dropped.
struct HeldBuffer {
    bytes: Vec<u8>,
    _held: Held,
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns `bytes` with their reservation, which lives as long as any part of them is referenced.
pub fn held_bytes(bytes: Vec<u8>, held: Held) -> Bytes {
    match bytes.is_empty() {
        true => Bytes::new(),
        false => Bytes::from_owner(HeldBuffer { bytes, _held: held }),
    }
}

/// Reads a whole body.
///
/// An announced length over the limit is refused without reading. A frame is read only with a
/// reservation, and copied, so that a small chunk does not keep its read buffer.
///
/// # Errors
/// Says why the body was not read to its end.
pub async fn collect<B>(body: B, limits: BodyLimits, mut held: Held) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let result = read(body, limits, &mut held).await;
    if result == Err(BodyError::Evicted) {
        held.report_eviction();
    }
    result.map(|bytes| held_bytes(bytes, held))
}

async fn read<B>(mut body: B, limits: BodyLimits, held: &mut Held) -> Result<Vec<u8>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let max_bytes = limits.max_bytes as u64;
    let announced = body.size_hint().exact();
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = Vec::new();
    while !body.is_end_stream() {
        let read = buffer.len() as u64;
        // A byte of room suffices to read: a frame is at most as large as the connection's buffer.
        make_room(&mut buffer, 1, announced, limits, held).await?;
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = held.evicted() => return Err(BodyError::Evicted),
            () = tokio::time::sleep_until(limits.deadline) => return Err(BodyError::Late),
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|cause| BodyError::Broken { reason: cause.to_string() })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read + data.len() as u64 > max_bytes {
            return Err(BodyError::TooLarge);
        }
        held.note_progress();
        make_room(&mut buffer, data.len() as u64, announced, limits, held).await?;
        buffer.extend_from_slice(&data);
    }
    held.complete(buffer.len() as u64)?;
    Ok(buffer)
}

/// Reserves bytes until `wanted` more fit.
async fn make_room(
    buffer: &mut Vec<u8>,
    wanted: u64,
    announced: Option<u64>,
    limits: BodyLimits,
    held: &mut Held,
) -> Result<(), BodyError> {
    let needed = buffer.len() as u64 + wanted;
    if needed > held.bytes() {
        let step = step(held.bytes(), announced).max(needed - held.bytes());
        held.reserve(step, limits.deadline).await?;
    }
    if needed > buffer.capacity() as u64 {
        grow(buffer, held.bytes(), announced.unwrap_or(limits.max_bytes as u64));
    }
    Ok(())
}

/// Returns the bytes to reserve next for a body that announced its length or did not.
fn step(reserved: u64, announced: Option<u64>) -> u64 {
    match announced {
        Some(length) => length.saturating_sub(reserved).min(LARGE_STEP_BYTES),
        None if reserved < SMALL_MAX_BYTES => SMALL_STEP_BYTES,
        None => LARGE_STEP_BYTES,
    }
}

/// Makes the buffer large enough for `reserved` bytes of a body of at most `max` bytes.
///
/// A large body gets its whole address range at once, of which only written pages take memory. So it
/// is not copied while it grows, and its memory is one block that the allocator can give back.
fn grow(buffer: &mut Vec<u8>, reserved: u64, max: u64) {
    let capacity = match reserved <= SMALL_MAX_BYTES {
        true => reserved,
        false => max.max(reserved),
    };
    buffer.reserve_exact((capacity as usize).saturating_sub(buffer.len()));
}

#[cfg(test)]
mod tests;
