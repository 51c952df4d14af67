//! The documents that a core instance offers.

use std::collections::VecDeque;
use std::io::Write as _;
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::write::ZlibEncoder;

use crate::clock::Timestamp;
use crate::config_fetch::generated as raw;

/// How long a superseded document is kept for the instances that have begun to fetch it: twice the
/// shortest time in which operators expect a change to be in force.
pub const SUPERSEDED_RETENTION: Duration = Duration::from_secs(4);

/// The most bytes of superseded documents that are kept, compressed: one of the largest that operators
/// can send, or many ordinary ones.
const SUPERSEDED_MAX_BYTES: usize = 8 << 20;

/// The largest piece that is sent, in bytes.
pub const PIECE_MAX_BYTES: usize = 64 * 1024;

struct Document {
    version: u64,
    compressed: Bytes,
    checksum: u32,
}

/// The newest document and the superseded ones that are still kept.
#[derive(Default)]
pub struct PublishedDocuments {
    latest: Option<Document>,
    /// The superseded documents, oldest first, with the time at which they were superseded.
    superseded: VecDeque<(Document, Timestamp)>,
}

impl PublishedDocuments {
    /// Offers a document, unless a newer one is offered already.
    ///
    /// # Errors
    /// Fails if the document cannot be compressed.
    pub fn publish(
        &mut self,
        version: u64,
        document: &[u8],
        now: Timestamp,
    ) -> std::io::Result<()> {
        self.expire(now);
        if self.latest.as_ref().map_or(0, |latest| latest.version) >= version {
            return Ok(());
        }
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(document)?;
        let compressed = Bytes::from(encoder.finish()?);
        let checksum = crc32fast::hash(&compressed);
        let latest = self.latest.replace(Document { version, compressed, checksum });
        self.superseded.extend(latest.map(|document| (document, now)));
        let bytes = |(document, _): &(Document, Timestamp)| document.compressed.len();
        while self.superseded.iter().map(bytes).sum::<usize>() > SUPERSEDED_MAX_BYTES {
            self.superseded.pop_front();
        }
        Ok(())
    }

    fn expire(&mut self, now: Timestamp) {
        self.superseded.retain(|(_, since)| now.since(*since) < SUPERSEDED_RETENTION);
    }

    /// Returns the piece that was asked for, or the first one of the newest document if the version that
    /// was asked for is not kept.
    pub fn piece(&mut self, req: &raw::PieceRequest, now: Timestamp) -> raw::Piece {
        self.expire(now);
        let kept = self.superseded.iter().map(|(document, _)| document).chain(&self.latest);
        let mut kept = kept.filter(|document| document.version == req.version);
        let (document, offset) = match kept.next() {
            Some(document) => (document, req.offset as usize),
            None => match &self.latest {
                Some(latest) => (latest, 0),
                None => return raw::Piece::default(),
            },
        };
        let Document { version, compressed, checksum } = document;
        let start = offset.min(compressed.len());
        let length = (req.bytes_max as usize).clamp(1, PIECE_MAX_BYTES);
        let end = (start + length).min(compressed.len());
        raw::Piece {
            version: *version,
            checksum: *checksum,
            total: compressed.len() as u64,
            offset: start as u64,
            bytes: compressed.slice(start..end),
        }
    }
}
