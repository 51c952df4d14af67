//! Cuts a stream of server-sent events into whole events and reads their identifiers.

use bytes::Bytes;
use bytes::BytesMut;

/// The bytes of an unfinished event that are kept at most.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Whole events and what was learned from them.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct CompleteEvents {
    /// The bytes of the events, unchanged.
    pub(super) bytes: Bytes,
    /// How many they are.
    pub(super) count: u64,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Where the search for the end of an event goes on.
    searched: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Starts after the event `last_id`; events up to it are left out.
    pub(super) fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns the identifier of the last whole event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether part of an event is held.
    pub(super) fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops an unfinished event.
    pub(super) fn drop_rest(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }

    /// Adds bytes and returns the events that are whole now; `None` if an event is too large.
    pub(super) fn push(&mut self, data: &[u8]) -> Option<CompleteEvents> {
        self.buf.extend_from_slice(data);
        let mut whole = BytesMut::new();
        let mut count = 0;
        while let Some(end) = self.event_end() {
            let event = self.buf.split_to(end);
            self.searched = 0;
            let id = event_id(&event);
            // An event that the caller has already is not repeated.
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            count += 1;
            whole.unsplit(event);
        }
        self.searched = self.buf.len().saturating_sub(3);
        (self.buf.len() <= EVENT_MAX_BYTES).then(|| CompleteEvents { bytes: whole.freeze(), count })
    }

    /// Returns the length of the first event with the empty line that ends it.
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
