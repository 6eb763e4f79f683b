//! Series of measured points and their output as a table and as JSON.

use serde::Serialize;

use super::fit::{Line, Point, best_fit};

/// A quantity measured at several fleet sizes.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Series {
    /// Name of the quantity, with its unit.
    pub name: &'static str,
    /// Unit of the size, such as `members`.
    pub size: &'static str,
    pub points: Vec<Point>,
    /// Best fit over the size or its logarithm; needs at least three points.
    pub line: Option<Line>,
}

impl Series {
    pub(super) fn new(name: &'static str, size: &'static str) -> Self {
        Self {
            name,
            size,
            points: Vec::new(),
            line: None,
        }
    }

    /// Adds a point and fits the line again.
    pub(super) fn push(&mut self, size: usize, value: f64) {
        self.points.push(Point {
            size: size as f64,
            value,
        });
        if self.points.len() > 2 {
            self.line = Some(best_fit(&self.points));
        }
    }

    /// Prints the points and the fitted line.
    pub(super) fn print(&self) {
        println!("\n{} over {}", self.name, self.size);
        for point in &self.points {
            println!("  {:>8} {:>14.3}", point.size, point.value);
        }
        if let Some(line) = &self.line {
            println!(
                "  line over {:?}: {:.4} + {:.6} x, r2 {:.3}",
                line.scale, line.base, line.slope, line.r_squared
            );
        }
    }
}
