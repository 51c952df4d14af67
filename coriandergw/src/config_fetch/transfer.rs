//! The state of a document that is being fetched.

use std::io::Read as _;

use bytes::Bytes;
use bytes::BytesMut;
use flate2::read::ZlibDecoder;

use crate::config_fetch::DOCUMENT_MAX_BYTES;
use crate::config_fetch::PieceError;
use crate::config_fetch::generated as raw;
use crate::config_fetch::published::PIECE_MAX_BYTES;

/// The size of the first piece, in bytes. It is small, since all instances ask the first core instance
/// that names a new version, and holds most documents whole.
const FIRST_PIECE_BYTES: usize = 16 * 1024;

/// The smallest piece that is asked for, in bytes.
const PIECE_MIN_BYTES: usize = 2 * 1024;

/// A whole document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// The version.
    pub version: u64,
    /// The document as the operator sent it.
    pub document: Bytes,
}

/// The pieces of a document that have arrived.
#[derive(Debug)]
pub struct Transfer {
    version: u64,
    checksum: u32,
    total: u64,
    buf: BytesMut,
    bytes_max: usize,
}

impl Default for Transfer {
    fn default() -> Self {
        let bytes_max = FIRST_PIECE_BYTES;
        Self { version: 0, checksum: 0, total: 0, buf: BytesMut::new(), bytes_max }
    }
}

impl Transfer {
    /// Returns the request for the next piece.
    pub fn next_request(&self) -> raw::PieceRequest {
        raw::PieceRequest {
            version: self.version,
            offset: self.buf.len() as u64,
            bytes_max: self.bytes_max as u32,
        }
    }

    /// Adds a piece; returns the document if it is whole. `held` is the version that this instance has.
    ///
    /// A first piece of another document replaces what has arrived.
    ///
    /// # Errors
    /// Fails if the piece is of no use. What has arrived is kept unless it is damaged.
    pub fn add(&mut self, piece: raw::Piece, held: u64) -> Result<Option<Received>, PieceError> {
        let raw::Piece { version, checksum, total, offset, bytes } = piece;
        if version <= held {
            if self.version <= held {
                // The document that was being fetched arrived by another way.
                self.restart(0, 0, 0);
            }
            return Err(PieceError::NotNewer { version, held });
        }
        let is_same = (version, checksum, total) == (self.version, self.checksum, self.total);
        if !is_same {
            self.restart(version, checksum, total);
        }
        let received = self.buf.len() as u64;
        if offset != received {
            return Err(PieceError::NotNext { offset, received });
        }
        self.buf.extend_from_slice(&bytes);
        self.bytes_max = (self.bytes_max * 2).min(PIECE_MAX_BYTES);
        if (self.buf.len() as u64) < total {
            return match bytes.is_empty() {
                true => Err(PieceError::Empty { received, total }),
                false => Ok(None),
            };
        }
        let compressed = std::mem::take(self).buf.freeze();
        let document = decompress(&compressed, checksum);
        let document = document.map_err(|reason| PieceError::Damaged { version, reason })?;
        Ok(Some(Received { version, document }))
    }

    /// Begins another document and keeps the size of the pieces.
    fn restart(&mut self, version: u64, checksum: u32, total: u64) {
        let bytes_max = self.bytes_max;
        *self = Self { version, checksum, total, buf: BytesMut::new(), bytes_max };
    }

    /// Asks for smaller pieces after one that did not arrive in time.
    pub fn note_failure(&mut self) {
        self.bytes_max = (self.bytes_max / 2).max(PIECE_MIN_BYTES);
    }
}

fn decompress(compressed: &[u8], checksum: u32) -> Result<Bytes, String> {
    let found = crc32fast::hash(compressed);
    if found != checksum {
        return Err(format!("the checksum is {found:08x} instead of {checksum:08x}"));
    }
    let mut document = Vec::new();
    let mut decoder = ZlibDecoder::new(compressed).take(DOCUMENT_MAX_BYTES as u64 + 1);
    decoder.read_to_end(&mut document).map_err(|cause| cause.to_string())?;
    match document.len() <= DOCUMENT_MAX_BYTES {
        true => Ok(document.into()),
        false => Err(format!("it is longer than {DOCUMENT_MAX_BYTES} bytes")),
    }
}
