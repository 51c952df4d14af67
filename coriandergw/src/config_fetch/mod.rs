//! Fetches the configuration from core instances, in pieces.
//!
//! A response to a poll of the roster names the version that a core instance has, and an entry instance
//! that lacks it fetches the document, compressed, from one core instance at a time. Each piece has a
//! time limit of its own, and what has arrived is kept if one fails, so a narrow link or a large
//! document delays a configuration and cannot prevent it. A document that was begun is completed
//! although there is a newer one: core instances keep superseded documents for a while, see
//! [`published`].

use derive_more::Display;
use derive_more::Error;

pub mod client;
#[allow(missing_docs, clippy::all)]
pub(crate) mod generated;
pub mod published;
pub mod server;
pub mod transfer;

/// The longest document that is fetched, in bytes; the largest one that operators can send.
pub const DOCUMENT_MAX_BYTES: usize = crate::transport::PAYLOAD_MAX_BYTES;

/// Why a piece cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum PieceError {
    /// The core instance has no newer document.
    #[display("the core instance has version {version}, which is not newer than {held}")]
    NotNewer {
        /// The version that it has.
        version: u64,
        /// The version that this instance has.
        held: u64,
    },
    /// The piece does not continue what has arrived.
    #[display("a piece at byte {offset} does not continue the {received} bytes received")]
    NotNext {
        /// Where the piece begins.
        offset: u64,
        /// The bytes that have arrived.
        received: u64,
    },
    /// The piece has no bytes although the document is not whole.
    #[display("a piece without bytes after {received} of {total} bytes")]
    Empty {
        /// The bytes that have arrived.
        received: u64,
        /// The length of the document.
        total: u64,
    },
    /// The document is damaged or too long.
    #[display("the document of version {version} cannot be used: {reason}")]
    Damaged {
        /// The version of the document.
        version: u64,
        /// What is wrong.
        reason: String,
    },
}

#[cfg(test)]
mod tests;
