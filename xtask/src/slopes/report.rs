//! Series of measured points, as a table and as JSON.

use serde::Serialize;

use super::fit::{Line, Point, best_fit};

/// One measured quantity over sizes.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Series {
    /// What was measured, with its unit.
    pub name: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// The points.
    pub points: Vec<Point>,
    /// The better one of a line over the size and over its logarithm.
    pub line: Option<Line>,
}

impl Series {
    /// Creates an empty series.
    pub(super) fn new(name: &'static str, size: &'static str) -> Self {
        Self {
            name,
            size,
            points: Vec::new(),
            line: None,
        }
    }

    /// Adds a point.
    pub(super) fn push(&mut self, size: usize, value: f64) {
        self.points.push(Point {
            size: size as f64,
            value,
        });
        if self.points.len() > 2 {
            self.line = Some(best_fit(&self.points));
        }
    }

    /// Prints the points and the line.
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
