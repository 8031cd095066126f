//! Straight lines through measured points.

/// A line `y = intercept + slope * x` and how far the points lie off it.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Rise of y for each x.
    pub slope: f64,
    /// Value at 0.
    pub intercept: f64,
    /// Largest distance of a point from the line, in parts of the largest y.
    pub residual: f64,
}

/// Fits a line by least squares. Needs two points or more with different x.
pub fn line(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
    let off = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).abs())
        .fold(0.0, f64::max);
    Fit {
        slope,
        intercept,
        residual: if largest > 0.0 { off / largest } else { 0.0 },
    }
}

impl Fit {
    /// Returns the line's value at x, never below 0.
    pub fn at(&self, x: f64) -> f64 {
        (self.intercept + self.slope * x).max(0.0)
    }
}
