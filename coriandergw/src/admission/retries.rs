//! The retry budget and the backoff between retries.

use std::time::Duration;

/// The number of retries that each call of an entry adds to the budget.
const RETRY_SHARE: f64 = 0.1;

/// The maximum balance of the budget, as a number of retries.
const BALANCE_MAX: f64 = 10.0;

/// The mean pause before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(50);

/// The longest mean pause before a retry.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Limits retries to a fraction of the calls, so that failures do not multiply the load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: BALANCE_MAX / 2.0 }
    }
}

impl RetryBudget {
    /// Adds the share of one call to the budget.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_SHARE).min(BALANCE_MAX);
    }

    /// Takes one retry from the budget. Returns whether the balance was sufficient.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}

/// Returns the pause before a retry, with exponential backoff and jitter.
///
/// `retry` counts from 0; `random` is uniformly distributed between 0 and 1.
pub fn backoff(retry: u32, random: f64) -> Duration {
    let mean = BACKOFF_BASE.saturating_mul(2_u32.saturating_pow(retry)).min(BACKOFF_MAX);
    mean.mul_f64(0.5 + random.clamp(0.0, 1.0))
}
