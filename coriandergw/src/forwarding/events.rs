//! Splits a stream of server-sent events into complete events and reads their identifiers.

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;

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

/// Why bytes are not passed on as events of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub(super) enum EventFault {
    /// The incomplete event exceeds [`EVENT_MAX_BYTES`].
    #[display("an event exceeds the limit of {EVENT_MAX_BYTES} bytes")]
    TooLarge,
    /// The resumed stream goes on after events that the caller has not received.
    #[display("event {found} does not follow event {last} in the resumed stream")]
    Gap {
        /// The last event that the caller received.
        last: u64,
        /// The first event of the resumed stream that is new.
        found: u64,
    },
    /// The resumed stream does not begin with an event that has an identifier.
    #[display("the resumed stream begins with something other than a numbered event")]
    Unnumbered,
    /// The stream started anew and ended before the last event that the caller received.
    #[display(
        "the resumed stream ended at event {found}, before event {last}, which was passed on already"
    )]
    EndedBefore {
        /// The last event that the caller received.
        last: u64,
        /// The last event of the stream.
        found: u64,
    },
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// The offset at which the search for the end of an event continues.
    searched: usize,
    last_id: Option<u64>,
    /// The last event that was skipped since the stream started or was resumed.
    skipped: Option<u64>,
    /// Whether the stream was resumed and no new event has followed yet.
    is_resuming: bool,
    /// The widest step between the identifiers of consecutive events.
    widest_step: u64,
    /// Whether something other than a comment was passed on without an identifier, which a resumed
    /// stream would repeat.
    has_unnumbered: bool,
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

    /// Returns the size of the buffered incomplete event, in bytes.
    pub(super) fn partial_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Discards the buffered incomplete event, for example before the stream is resumed.
    pub(super) fn discard_partial_event(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }

    /// Returns whether a stream resumed after the last identifier repeats nothing.
    pub(super) fn can_resume(&self) -> bool {
        !self.has_unnumbered
    }

    /// Prepares for a stream that is to go on after the last complete event.
    pub(super) fn start_resumption(&mut self) {
        self.discard_partial_event();
        self.skipped = None;
        self.is_resuming = true;
    }

    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    /// Says why the bytes are no events of the stream.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<CompleteEvents, EventFault> {
        self.buf.extend_from_slice(data);
        let mut complete = BytesMut::new();
        let mut count = 0;
        while let Some(end) = self.event_end() {
            let event = self.buf.split_to(end);
            self.searched = 0;
            match event_id(&event) {
                // Skip events that the caller has already received.
                Some(id) if Some(id) <= self.last_id => {
                    self.skipped = self.skipped.max(Some(id));
                    continue;
                }
                Some(id) => self.note_new(id)?,
                None if is_comment(&event) => {}
                None if self.is_resuming && self.last_id.is_some() => {
                    return Err(EventFault::Unnumbered);
                }
                None => self.has_unnumbered = true,
            }
            count += 1;
            complete.unsplit(event);
        }
        self.searched = self.buf.len().saturating_sub(3);
        match self.buf.len() <= EVENT_MAX_BYTES {
            true => Ok(CompleteEvents { bytes: complete.freeze(), count }),
            false => Err(EventFault::TooLarge),
        }
    }

    /// Records the identifier of a new event.
    fn note_new(&mut self, id: u64) -> Result<(), EventFault> {
        let last = self.last_id.unwrap_or(0);
        let step = id - last;
        // Identifiers that have not grown by one each time say nothing of what is missing.
        if self.is_resuming && self.widest_step == 1 && step > 1 {
            return Err(EventFault::Gap { last, found: id });
        }
        self.widest_step = self.widest_step.max(step);
        self.last_id = Some(id);
        self.is_resuming = false;
        self.has_unnumbered = false;
        Ok(())
    }

    /// Checks a stream that ended in order.
    ///
    /// # Errors
    /// Fails if the stream ended before the last event that the caller received.
    pub(super) fn check_end(&self) -> Result<(), EventFault> {
        match (self.skipped, self.last_id) {
            (Some(found), Some(last)) if found < last && self.is_resuming => {
                Err(EventFault::EndedBefore { last, found })
            }
            _ => Ok(()),
        }
    }

    /// Returns the length of the first event, including the empty line that terminates it.
    fn event_end(&self) -> Option<usize> {
        event_end(&self.buf, self.searched)
    }
}

/// Returns the events of `bytes` up to the one with identifier `id`; `None` if there is none.
pub(super) fn events_through(bytes: &Bytes, id: u64) -> Option<Bytes> {
    let mut start = 0;
    while let Some(length) = event_end(&bytes[start..], 0) {
        let end = start + length;
        if event_id(&bytes[start..end]) == Some(id) {
            return Some(bytes.slice(..end));
        }
        start = end;
    }
    None
}

/// Returns the length of the first event of `bytes`, including the empty line that terminates it,
/// which does not begin before `searched`.
fn event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let from = &bytes[searched..];
    let ends = [&b"\n\n"[..], &b"\r\n\r\n"[..]];
    let found = ends.into_iter().filter_map(|end| {
        let at = from.windows(end.len()).position(|window| window == end)?;
        Some(searched + at + end.len())
    });
    found.min()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}

/// Returns whether each line is a comment or sets the delay before a reconnection.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| matches!(byte, b'\r' | b'\n'));
    lines.all(|line| line.is_empty() || line.starts_with(b":") || line.starts_with(b"retry:"))
}
