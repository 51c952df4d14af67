//! The intervals and time-outs of the membership protocol.

use std::time::Duration;

/// The number of probe intervals without any message after which an instance considers itself
/// isolated.
const ISOLATION_INTERVALS: u32 = 3;

/// The divisor of the probe time-out that gives the time-out of the direct probe: one half.
const DIRECT_TIMEOUT_DIVISOR: u32 = 2;

/// The intervals and time-outs of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The time between two probes.
    pub probe_interval: Duration,
    /// How long a probe waits for an answer in total, including the probes by helpers.
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
    /// Returns how long a probe waits for a direct answer before helpers are asked.
    pub(super) fn direct_timeout(&self) -> Duration {
        self.probe_timeout / DIRECT_TIMEOUT_DIVISOR
    }

    /// Returns how long an instance that receives no messages still trusts its own suspicions.
    pub(super) fn isolation_limit(&self) -> Duration {
        self.probe_interval * ISOLATION_INTERVALS
    }
}
