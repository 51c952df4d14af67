//! Limits the rate of model loads to what the weight store can sustain.

use crate::clock::Timestamp;

/// A token bucket: tokens refill at a constant rate up to a maximum.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    tokens_max: f64,
    tokens_per_second: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(tokens_max: u32, tokens_per_second: f64, now: Timestamp) -> Self {
        let tokens_max = f64::from(tokens_max);
        Self { tokens: tokens_max, tokens_max, tokens_per_second, refilled_at: now }
    }

    /// Takes a token and returns `true`, or returns `false` if there is none.
    pub fn take(&mut self, now: Timestamp) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.tokens_per_second;
        self.tokens = (self.tokens + refill).min(self.tokens_max);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
