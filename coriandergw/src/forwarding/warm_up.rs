//! How long a request may wait for the configuration or an endpoint after the start of an instance.
//!
//! After a restart of all instances, each learns the configuration and the endpoints within about a
//! second. If they refused every request until then, callers would use up their retries at one
//! instance after another. Later on, waiting is pointless: what an instance has not learned during
//! the warm-up is unlikely to arrive soon.

use std::time::Duration;

use tokio::time::Instant;

/// How long after its start an instance may not know all endpoints yet: endpoints announce
/// themselves about once a second.
pub const WARM_UP: Duration = Duration::from_millis(1_500);

/// A request waits for at most its remaining time divided by this, so that its caller can still try
/// another instance.
const WAIT_DIVISOR: u32 = 3;

/// The warm-up period of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUp {
    ends_at: Instant,
}

impl WarmUp {
    /// Creates the period of `length` that begins at the start of the instance.
    pub fn new(started: Instant, length: Duration) -> Self {
        Self { ends_at: started + length }
    }

    /// Returns until when a request with this remaining time may wait; `None` if it must not wait.
    pub fn limit(&self, time_left: Duration, now: Instant) -> Option<Instant> {
        let limit = (now + time_left / WAIT_DIVISOR).min(self.ends_at);
        (limit > now).then_some(limit)
    }
}

#[cfg(test)]
mod tests;
