//! What a request may wait for at an instance that has just started.
//!
//! After a restart of all instances the configuration and the endpoints are heard of within a second.
//! Refusing everything until then would use up the attempts that callers have, at all instances alike.
//! Once an instance has been up for longer, what it does not know will not come soon.

use std::time::Duration;

use tokio::time::Instant;

/// How long after its start an instance may still have to hear of endpoints: they announce themselves
/// about once a second.
pub const WARM_UP: Duration = Duration::from_millis(1_500);

/// A request waits for this part of its time at most, so that its caller can still try elsewhere.
const SHARE: u32 = 3;

/// The first moments of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUp {
    ends: Instant,
}

impl WarmUp {
    /// Begins with the start of the instance.
    pub fn new(started: Instant, length: Duration) -> Self {
        Self { ends: started + length }
    }

    /// Returns until when a request with this time left may wait; `None` if it is to be refused now.
    pub fn limit(&self, time_left: Duration, now: Instant) -> Option<Instant> {
        let limit = (now + time_left / SHARE).min(self.ends);
        (limit > now).then_some(limit)
    }
}

#[cfg(test)]
mod tests;
