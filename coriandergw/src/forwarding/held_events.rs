//! Holds back the newest events of a stream until it is known whether they are its last ones.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

/// How long events wait for the end of the stream. An endpoint that has sent its last event ends the
/// stream at once, so the end arrives with the event or right after it; a longer wait would add to
/// the time to the first event.
const END_WAIT: Duration = Duration::from_millis(2);

/// The events that have arrived and were not passed on yet.
#[derive(Debug, Default)]
pub(super) struct HeldEvents {
    events: Option<Bytes>,
    /// When they are passed on if the stream has not ended; `None` if they are certainly the last
    /// ones, so that they wait for the end or for further events.
    release_at: Option<Instant>,
}

impl HeldEvents {
    /// Holds events that arrived at `now`; returns those held before, which were not the last ones.
    pub(super) fn hold(&mut self, events: Bytes, are_last: bool, now: Instant) -> Option<Bytes> {
        self.release_at = (!are_last).then(|| now + END_WAIT);
        self.events.replace(events)
    }

    /// Returns when the held events are to be passed on, if they do not wait for the end.
    pub(super) fn release_at(&self) -> Option<Instant> {
        self.release_at.filter(|_| self.events.is_some())
    }

    /// Returns the events that are to be passed on at `now`.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<Bytes> {
        let is_due = self.release_at().is_some_and(|at| at <= now);
        if is_due { self.events.take() } else { None }
    }

    /// Returns all held events.
    pub(super) fn take(&mut self) -> Option<Bytes> {
        self.events.take()
    }
}
