//! Records durations in an HDR histogram.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest duration that is told apart, in microseconds.
const MAX_US: u64 = 3_600_000_000;

/// The significant digits that are kept.
const DIGITS: u8 = 3;

/// The distribution of durations.
#[derive(Debug, Clone)]
pub struct Latency {
    histogram: Histogram<u64>,
}

/// What is reported of a distribution, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct Summary {
    /// How many durations were recorded.
    pub count: u64,
    /// The mean.
    pub mean_ms: f64,
    /// The median.
    pub p50_ms: f64,
    /// 95 in 100 are not longer.
    pub p95_ms: f64,
    /// 99 in 100 are not longer.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Default for Latency {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, DIGITS);
        Self { histogram: histogram.expect("the bounds are valid") }
    }
}

impl Latency {
    /// Records one duration.
    pub fn record(&mut self, duration: Duration) {
        self.histogram.saturating_record(duration.as_micros() as u64);
    }

    /// Adds what another one recorded.
    pub fn add(&mut self, other: &Latency) {
        self.histogram.add(&other.histogram).expect("the bounds are the same");
    }

    /// Returns the summary.
    pub fn summary(&self) -> Summary {
        let ms = |us: f64| us / 1_000.0;
        let quantile = |q| ms(self.histogram.value_at_quantile(q) as f64);
        Summary {
            count: self.histogram.len(),
            mean_ms: ms(self.histogram.mean()),
            p50_ms: quantile(0.5),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
            max_ms: ms(self.histogram.max() as f64),
        }
    }
}
