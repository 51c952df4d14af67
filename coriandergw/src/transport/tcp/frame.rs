//! The frames on a TCP connection between instances.
//!
//! A connection starts with a hello (the names of sender and receiver). Each frame is a length, a
//! kind, a number that ties an answer to its request, the kind of message and the payload.

use std::io;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

use crate::ids::NAME_MAX_BYTES;
use crate::transport::PAYLOAD_MAX_BYTES;

/// Leads every connection, so that a stray peer is noticed at once.
pub(super) const MAGIC: u32 = 0x4347_5731;

/// The bytes of a frame besides its length and payload: kind, number, kind of message.
const HEAD_BYTES: usize = 10;

/// What a frame is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum FrameKind {
    Call = 1,
    OneWay = 2,
    Answer = 3,
    Refusal = 4,
    Probe = 5,
    Alive = 6,
}

impl FrameKind {
    fn from_number(number: u8) -> Option<Self> {
        let all = [Self::Call, Self::OneWay, Self::Answer, Self::Refusal, Self::Probe, Self::Alive];
        all.into_iter().find(|kind| *kind as u8 == number)
    }
}

/// One frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Frame {
    pub(super) kind: FrameKind,
    pub(super) id: u64,
    pub(super) message: u8,
    pub(super) payload: Bytes,
}

impl Frame {
    /// Returns a frame without a payload.
    pub(super) fn bare(kind: FrameKind, id: u64) -> Self {
        Self { kind, id, message: 0, payload: Bytes::new() }
    }

    /// Appends the frame to a buffer.
    pub(super) fn put(&self, buf: &mut BytesMut) {
        buf.put_u32((HEAD_BYTES + self.payload.len()) as u32);
        buf.put_u8(self.kind as u8);
        buf.put_u64(self.id);
        buf.put_u8(self.message);
        buf.put_slice(&self.payload);
    }

    /// Takes the next frame from a buffer; `None` if it is not whole yet.
    ///
    /// # Errors
    /// Fails on bytes that are no frame.
    pub(super) fn take(buf: &mut BytesMut) -> io::Result<Option<Self>> {
        let Some(length) = buf.first_chunk::<4>().map(|bytes| u32::from_be_bytes(*bytes)) else {
            return Ok(None);
        };
        let length = length as usize;
        if !(HEAD_BYTES..=HEAD_BYTES + PAYLOAD_MAX_BYTES).contains(&length) {
            return Err(invalid("the length of a frame is out of range"));
        }
        if buf.len() < 4 + length {
            return Ok(None);
        }
        buf.advance(4);
        let mut frame = buf.split_to(length).freeze();
        let kind = FrameKind::from_number(frame.get_u8());
        let kind = kind.ok_or_else(|| invalid("a frame has an unknown kind"))?;
        let id = frame.get_u64();
        let message = frame.get_u8();
        Ok(Some(Self { kind, id, message, payload: frame }))
    }
}

/// Appends the hello that starts a connection.
pub(super) fn put_hello(buf: &mut BytesMut, from: &str, to: &str) {
    buf.put_u32(MAGIC);
    for name in [from, to] {
        buf.put_u8(name.len() as u8);
        buf.put_slice(name.as_bytes());
    }
}

/// Takes the names of sender and receiver; `None` if the hello is not whole yet.
///
/// # Errors
/// Fails on bytes that are no hello.
pub(super) fn take_hello(buf: &mut BytesMut) -> io::Result<Option<(String, String)>> {
    let mut rest = &buf[..];
    if rest.len() < 4 {
        return Ok(None);
    }
    if rest.get_u32() != MAGIC {
        return Err(invalid("the peer is no instance"));
    }
    let (Some(from), Some(to)) = (take_name(&mut rest)?, take_name(&mut rest)?) else {
        return Ok(None);
    };
    let taken = buf.len() - rest.len();
    buf.advance(taken);
    Ok(Some((from, to)))
}

fn take_name(rest: &mut &[u8]) -> io::Result<Option<String>> {
    let Some((length, bytes)) = rest.split_first() else {
        return Ok(None);
    };
    let length = usize::from(*length);
    if length > NAME_MAX_BYTES {
        return Err(invalid("a name is too long"));
    }
    if bytes.len() < length {
        return Ok(None);
    }
    let (name, after) = bytes.split_at(length);
    *rest = after;
    String::from_utf8(name.to_vec()).map(Some).map_err(|_| invalid("a name is no text"))
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
