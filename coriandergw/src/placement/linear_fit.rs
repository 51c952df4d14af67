//! A line through recent observations, by least squares with forgetting.

/// How many observations the assumed offset counts for when the slope is fitted.
const OFFSET_WEIGHT: f64 = 10.0;

/// How much the assumed slope counts, as a sum of squared differences of `x`.
const SLOPE_WEIGHT: f64 = 200_000.0;

/// A line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LinearFit {
    /// The value at zero.
    pub(super) offset: f64,
    /// The increase of the value by each unit.
    pub(super) slope: f64,
}

/// Sums over observations, of which older ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RegressionSums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl RegressionSums {
    /// Adds an observation; about the last `window` ones count.
    pub(super) fn add(&mut self, x: f64, y: f64, window: f64) {
        *self = self.scaled(1.0 - 1.0 / window).plus(Self::observation(x, y));
    }

    fn observation(x: f64, y: f64) -> Self {
        Self { weight: 1.0, x, y, xx: x * x, xy: x * y }
    }

    fn scaled(&self, factor: f64) -> Self {
        Self {
            weight: self.weight * factor,
            x: self.x * factor,
            y: self.y * factor,
            xx: self.xx * factor,
            xy: self.xy * factor,
        }
    }

    /// Returns the sums of both.
    pub(super) fn plus(&self, other: Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            x: self.x + other.x,
            y: self.y + other.y,
            xx: self.xx + other.xx,
            xy: self.xy + other.xy,
        }
    }

    /// Returns the sums as if they were those of `observations` at most.
    pub(super) fn limited(&self, observations: f64) -> Self {
        self.scaled((observations / self.weight.max(f64::MIN_POSITIVE)).min(1.0))
    }

    /// Returns the increase by each unit of the line through zero; `assumed` without observations.
    pub(super) fn ratio(&self, assumed: f64) -> f64 {
        if self.x > 0.0 { self.y / self.x } else { assumed }
    }

    /// Returns the line that fits best; `assumed` as far as the observations tell nothing.
    pub(super) fn line(&self, assumed: LinearFit) -> LinearFit {
        if self.weight == 0.0 {
            return assumed;
        }
        let offset = Self::observation(0.0, assumed.offset).scaled(OFFSET_WEIGHT);
        let all = self.plus(offset);
        let (x, y) = (all.x / all.weight, all.y / all.weight);
        let variance = all.xx - all.weight * x * x;
        let covariance = all.xy - all.weight * x * y;
        let slope = (covariance + SLOPE_WEIGHT * assumed.slope) / (variance + SLOPE_WEIGHT);
        let slope = slope.max(0.0);
        let offset = (self.y - slope * self.x) / self.weight;
        LinearFit { offset: offset.max(0.0), slope }
    }
}
