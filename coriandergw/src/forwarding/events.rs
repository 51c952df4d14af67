//! Splits a stream of server-sent events into complete events and reads their identifiers.

use bytes::Bytes;
use bytes::BytesMut;

/// The maximum size of a buffered incomplete event, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// The complete events found in the data received so far.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct CompleteEvents {
    /// The bytes of the events, unchanged.
    pub(super) bytes: Bytes,
    /// The number of events in `bytes`.
    pub(super) count: u64,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// The offset at which the search for the end of an event continues.
    searched: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that skips events with identifiers up to `last_id`.
    pub(super) fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns the identifier of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an incomplete event is buffered.
    pub(super) fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards the buffered incomplete event, for example before the stream is resumed.
    pub(super) fn discard_partial_event(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }

    /// Adds bytes and returns the events that they complete; `None` if the incomplete event exceeds
    /// [`EVENT_MAX_BYTES`].
    pub(super) fn push(&mut self, data: &[u8]) -> Option<CompleteEvents> {
        self.buf.extend_from_slice(data);
        let mut complete = BytesMut::new();
        let mut count = 0;
        while let Some(end) = self.event_end() {
            let event = self.buf.split_to(end);
            self.searched = 0;
            let id = event_id(&event);
            // Skip events that the caller has already received.
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            count += 1;
            complete.unsplit(event);
        }
        self.searched = self.buf.len().saturating_sub(3);
        (self.buf.len() <= EVENT_MAX_BYTES)
            .then(|| CompleteEvents { bytes: complete.freeze(), count })
    }

    /// Returns the length of the first event, including the empty line that terminates it.
    fn event_end(&self) -> Option<usize> {
        let from = &self.buf[self.searched..];
        let ends = [&b"\n\n"[..], &b"\r\n\r\n"[..]];
        let found = ends.into_iter().filter_map(|end| {
            let at = from.windows(end.len()).position(|window| window == end)?;
            Some(self.searched + at + end.len())
        });
        found.min()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
