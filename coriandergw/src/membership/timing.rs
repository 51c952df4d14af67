//! The intervals and limits of probes.

use std::time::Duration;

/// The probe intervals without an answer after which an instance doubts itself.
const ISOLATION_INTERVALS: u32 = 3;

/// The share of a probe's time after which helpers are asked: one half.
const DIRECT_DIVISOR: u32 = 2;

/// The intervals and limits of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The time between two probes.
    pub probe_interval: Duration,
    /// How long a probe waits in all, its helpers included.
    pub probe_timeout: Duration,
    /// How long a suspected member has to refute the suspicion before it is declared dead.
    pub suspicion_limit: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(600),
            suspicion_limit: Duration::from_secs(3),
        }
    }
}

impl Timing {
    /// Returns how long a probe waits before helpers are asked.
    pub(super) fn direct_timeout(&self) -> Duration {
        self.probe_timeout / DIRECT_DIVISOR
    }

    /// Returns how long an instance that hears nothing at all still trusts its own suspicions.
    pub(super) fn isolation_limit(&self) -> Duration {
        self.probe_interval * ISOLATION_INTERVALS
    }
}
