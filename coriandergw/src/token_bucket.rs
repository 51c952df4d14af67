//! A token bucket: tokens refill at a constant rate up to a maximum.

use std::time::Duration;

use crate::clock::Timestamp;

/// Limits the rate of an action; each action takes one token.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    tokens_max: f64,
    tokens_per_second: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(tokens_max: f64, tokens_per_second: f64, now: Timestamp) -> Self {
        Self { tokens: tokens_max, tokens_max, tokens_per_second, refilled_at: now }
    }

    /// Returns the bucket with another number of tokens.
    pub fn with_tokens(self, tokens: f64) -> Self {
        Self { tokens: tokens.min(self.tokens_max), ..self }
    }

    /// Changes the maximum and the rate from `now` on.
    pub fn set_rate(&mut self, tokens_max: f64, tokens_per_second: f64, now: Timestamp) {
        self.refill(now);
        self.tokens = self.tokens.min(tokens_max);
        self.tokens_max = tokens_max;
        self.tokens_per_second = tokens_per_second;
    }

    /// Takes a token and returns `true`, or returns `false` if there is none.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Puts tokens back that were taken and not used, up to the maximum.
    pub fn put_back(&mut self, tokens: f64, now: Timestamp) {
        self.refill(now);
        self.tokens = (self.tokens + tokens).min(self.tokens_max);
    }

    /// Removes all tokens.
    pub fn clear(&mut self, now: Timestamp) {
        self.refill(now);
        self.tokens = 0.0;
    }

    /// Returns the time until the next token is there; zero if there is one.
    pub fn next_token_in(&self, now: Timestamp) -> Duration {
        let tokens = self.tokens_at(now);
        if tokens >= 1.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64((1.0 - tokens) / self.tokens_per_second)
            .unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Timestamp) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns the number of tokens at `now`.
    pub fn tokens_at(&self, now: Timestamp) -> f64 {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.tokens_per_second;
        (self.tokens + refill).min(self.tokens_max)
    }
}

#[cfg(test)]
mod tests;
