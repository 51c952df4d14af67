//! How many calls one endpoint is given at once: additive increase, multiplicative decrease.

use std::time::Duration;

use crate::clock::Timestamp;

/// What the limit is multiplied by when calls take too long.
const DECREASE: f64 = 0.85;

/// How much longer than expected a call may take before the limit is lowered.
const SLOW_RATIO: f64 = 2.5;

/// The duration within which a call is never slow: it is mostly the jitter of the machines.
const SLOW_MIN: Duration = Duration::from_millis(20);

/// The bounds of how much one call counts against the calls before it.
const RECENT_WEIGHT: (f64, f64) = (0.02, 0.2);

/// How fast the expected duration follows longer observations; shorter ones count at once by half.
const BASELINE_RISE: f64 = 0.01;

/// Adapts the number of calls that an endpoint is given at once.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    capacity: u32,
    recent: Option<f64>,
    baseline: Option<f64>,
    lowered_at: Timestamp,
}

impl ConcurrencyLimit {
    /// Starts at the capacity that the endpoint announced.
    pub fn new(capacity: u32) -> Self {
        let capacity = capacity.max(1);
        Self {
            limit: f64::from(capacity),
            capacity,
            recent: None,
            baseline: None,
            lowered_at: Timestamp(0),
        }
    }

    /// Follows a changed announcement.
    pub fn set_capacity(&mut self, capacity: u32) {
        let capacity = capacity.max(1);
        if capacity > self.capacity {
            self.limit += f64::from(capacity - self.capacity);
        }
        self.capacity = capacity;
        self.limit = self.limit.min(f64::from(capacity));
    }

    /// Returns the calls that may be in flight at once; at least 1.
    pub fn get(&self) -> u32 {
        (self.limit as u32).clamp(1, self.capacity)
    }

    /// Learns from a call that took `ratio` times the duration expected of it.
    pub fn observe(&mut self, ratio: f64, in_flight: u32, duration: Duration, now: Timestamp) {
        if self.is_slow(ratio, duration) {
            // One decrease a call's duration: the calls sent before it tell nothing new.
            if now.since(self.lowered_at) > duration {
                self.lower(now);
            }
        } else if f64::from(in_flight) + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.capacity));
        }
    }

    /// Returns whether a call took long and the calls before it did too.
    ///
    /// Single calls vary without any load, so their mean over about one round of calls counts.
    fn is_slow(&mut self, ratio: f64, duration: Duration) -> bool {
        let weight = (1.0 / self.limit).clamp(RECENT_WEIGHT.0, RECENT_WEIGHT.1);
        let recent = self.recent.get_or_insert(ratio);
        *recent += weight * (ratio - *recent);
        let baseline = self.baseline.get_or_insert(*recent);
        let step = if *recent < *baseline { 0.5 } else { BASELINE_RISE };
        *baseline += step * (*recent - *baseline);
        let slow = *baseline * SLOW_RATIO;
        duration > SLOW_MIN && ratio > slow && *recent > slow
    }

    /// Lowers the limit after a call failed.
    pub fn lower(&mut self, now: Timestamp) {
        self.limit = (self.limit * DECREASE).max(1.0);
        self.lowered_at = now;
    }
}
