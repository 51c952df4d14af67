//! How often calls are sent again.

use std::time::Duration;

/// The share of an entry's calls that may be retried.
const RETRY_SHARE: f64 = 0.1;

/// The retries that may be saved up.
const SAVED_MAX: f64 = 10.0;

/// The mean pause before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(50);

/// The longest mean pause before a retry.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Allows retries in proportion to the calls, so that failures do not multiply load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED_MAX / 2.0 }
    }
}

impl RetryBudget {
    /// Counts a call.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + RETRY_SHARE).min(SAVED_MAX);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

/// Returns the pause before a retry; `random` is drawn evenly from 0 to 1.
pub fn backoff(retry: u32, random: f64) -> Duration {
    let mean = BACKOFF_BASE.saturating_mul(2_u32.saturating_pow(retry)).min(BACKOFF_MAX);
    mean.mul_f64(0.5 + random.clamp(0.0, 1.0))
}
