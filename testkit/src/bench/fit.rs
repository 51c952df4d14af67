//! Fits a straight line to measured points.

use serde::Serialize;

/// A line through measured points by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct LinearFit {
    /// The value at size 0.
    pub intercept: f64,
    /// What one more unit of size adds.
    pub slope: f64,
    /// The largest distance of a point from the line, as a share of the largest value.
    pub worst_residual: f64,
}

/// Fits a line; nothing if the sizes are not different.
pub fn line(points: &[(f64, f64)]) -> Option<LinearFit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
    let intercept = mean_y - slope * mean_x;
    let residual = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
    let worst = points.iter().map(residual).fold(0.0, f64::max);
    let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
    let worst_residual = if largest > 0.0 { worst / largest } else { 0.0 };
    Some(LinearFit { intercept, slope, worst_residual })
}
