//! Straight lines through measured points, by least squares.

use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Point {
    /// Size, such as a number of members.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// What the value is taken to be a line over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Scale {
    /// The size.
    Size,
    /// The decimal logarithm of the size.
    LogSize,
}

impl Scale {
    fn of(self, size: f64) -> f64 {
        match self {
            Self::Size => size,
            Self::LogSize => size.log10(),
        }
    }
}

/// A line.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Line {
    /// What it is a line over.
    pub scale: Scale,
    /// Value at 0 of the scale.
    pub base: f64,
    /// Value for each unit of the scale.
    pub slope: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

/// Fits a line through points of at least two sizes.
pub(super) fn fit(scale: Scale, points: &[Point]) -> Line {
    let count = points.len() as f64;
    let xs: Vec<f64> = points.iter().map(|p| scale.of(p.size)).collect();
    let mean_x = xs.iter().sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.value).sum::<f64>() / count;
    let mut xy = 0.0;
    let mut xx = 0.0;
    let mut yy = 0.0;
    for (x, point) in xs.iter().zip(points) {
        xy += (x - mean_x) * (point.value - mean_y);
        xx += (x - mean_x).powi(2);
        yy += (point.value - mean_y).powi(2);
    }
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    let r_squared = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
    Line {
        scale,
        base: mean_y - slope * mean_x,
        slope,
        r_squared,
    }
}

/// Fits the points over the size and over its logarithm, and returns the better line.
pub(super) fn best_fit(points: &[Point]) -> Line {
    let linear = fit(Scale::Size, points);
    let logarithmic = fit(Scale::LogSize, points);
    if linear.r_squared >= logarithmic.r_squared {
        linear
    } else {
        logarithmic
    }
}
