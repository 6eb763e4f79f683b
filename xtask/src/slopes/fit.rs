//! Linear least-squares regression over measured points.

use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Point {
    /// Fleet size, such as the number of members.
    pub size: f64,
    /// Measured value at this size.
    pub value: f64,
}

/// Independent variable of a regression line.
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

/// A regression line.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Line {
    /// Independent variable.
    pub scale: Scale,
    /// Intercept: the value where the independent variable is 0.
    pub base: f64,
    /// Increase of the value per unit of the independent variable.
    pub slope: f64,
    /// Coefficient of determination, from 0 to 1.
    pub r_squared: f64,
}

/// Fits a line through the points, which need at least two different sizes for a slope.
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

/// Fits lines over the size and over its logarithm, and returns the line with the larger `r_squared`.
pub(super) fn best_fit(points: &[Point]) -> Line {
    let linear = fit(Scale::Size, points);
    let logarithmic = fit(Scale::LogSize, points);
    if linear.r_squared >= logarithmic.r_squared {
        linear
    } else {
        logarithmic
    }
}
