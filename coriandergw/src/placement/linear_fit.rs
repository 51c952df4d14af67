//! Linear regression by least squares over exponentially weighted observations.

/// The weight of the assumed offset when the slope is fitted, as a number of observations.
const OFFSET_WEIGHT: f64 = 10.0;

/// The weight of the assumed slope, as a sum of squared deviations of `x`.
const SLOPE_WEIGHT: f64 = 200_000.0;

/// The line `y = offset + slope * x`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LinearFit {
    /// The value of `y` at `x` = 0.
    pub(super) offset: f64,
    /// The increase of `y` per unit of `x`.
    pub(super) slope: f64,
}

/// The weighted sums over observations that a regression needs; older observations weigh less.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RegressionSums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl RegressionSums {
    /// Adds an observation and scales the earlier ones down, so that about the last `window`
    /// observations determine the sums.
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

    /// Returns the sums over the observations of both.
    pub(super) fn plus(&self, other: Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            x: self.x + other.x,
            y: self.y + other.y,
            xx: self.xx + other.xx,
            xy: self.xy + other.xy,
        }
    }

    /// Returns the sums scaled down to a total weight of at most `observations`.
    pub(super) fn limited(&self, observations: f64) -> Self {
        self.scaled((observations / self.weight.max(f64::MIN_POSITIVE)).min(1.0))
    }

    /// Returns the slope of the line through the origin; `assumed` if there are no observations.
    pub(super) fn ratio(&self, assumed: f64) -> f64 {
        if self.x > 0.0 { self.y / self.x } else { assumed }
    }

    /// Returns the regression line, with `assumed` as the prior; without observations, `assumed`
    /// itself.
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
