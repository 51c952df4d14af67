//! The adaptive concurrency limit of an endpoint, by additive increase and multiplicative decrease.

use std::time::Duration;

use crate::clock::Timestamp;

/// The factor that the limit is multiplied by after a slow or failed call.
const DECREASE_FACTOR: f64 = 0.85;

/// The multiple of the baseline above which a call's ratio of observed to expected duration counts
/// as slow.
const SLOW_RATIO: f64 = 2.5;

/// Calls of at most this duration never count as slow: differences there are mostly scheduling
/// jitter.
const SLOW_MIN: Duration = Duration::from_millis(20);

/// The lower and upper bound of the weight of one call in the moving average of recent calls.
const RECENT_WEIGHT: (f64, f64) = (0.02, 0.2);

/// The weight of a recent average above the baseline when the baseline is updated; one below it has
/// a weight of 0.5, so that the baseline falls fast and rises slowly.
const BASELINE_RISE: f64 = 0.01;

/// Adapts the maximum number of concurrent calls at an endpoint to the observed durations.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    capacity: u32,
    /// The moving average of the ratios of observed to expected durations.
    recent: Option<f64>,
    /// The estimate of `recent` without load.
    baseline: Option<f64>,
    lowered_at: Timestamp,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the capacity announced by the endpoint.
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

    /// Updates the announced capacity; an increase raises the limit by as much.
    pub fn set_capacity(&mut self, capacity: u32) {
        let capacity = capacity.max(1);
        if capacity > self.capacity {
            self.limit += f64::from(capacity - self.capacity);
        }
        self.capacity = capacity;
        self.limit = self.limit.min(f64::from(capacity));
    }

    /// Returns the maximum number of calls in flight; at least 1.
    pub fn get(&self) -> u32 {
        (self.limit as u32).clamp(1, self.capacity)
    }

    /// Adjusts the limit after a call that took `ratio` times its expected duration.
    pub fn observe(&mut self, ratio: f64, in_flight: u32, duration: Duration, now: Timestamp) {
        if self.is_slow(ratio, duration) {
            // At most one decrease per call duration: calls sent before a decrease do not reflect
            // it.
            if now.since(self.lowered_at) > duration {
                self.lower(now);
            }
        } else if f64::from(in_flight) + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.capacity));
        }
    }

    /// Returns whether both this call and the recent calls on average were slow.
    ///
    /// The durations of single calls vary even without load, so the average over about as many
    /// calls as the limit allows at once must be slow too.
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

    /// Decreases the limit, after a failed or slow call.
    pub fn lower(&mut self, now: Timestamp) {
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        self.lowered_at = now;
    }
}
