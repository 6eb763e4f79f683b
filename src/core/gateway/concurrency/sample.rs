//! One call at a back end, as far as limits are learned from it.

use std::time::Duration;

/// Number of bands into which the occupancy of a back end is divided, up to its number of places.
pub const BANDS: usize = 8;
/// Time in proportion to the average that a failed call counts as.
const FAILURE_RELATIVE: f64 = 4.0;
/// Largest relative time: a longer one says no more than that something was slow.
const MAX_RELATIVE: f64 = 8.0;
/// Resolution of relative times in messages, in steps for each 1.0.
const STEPS: f64 = 32.0;

/// What is known of a call's sample when the call is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleStart {
    /// Known calls of all nodes at the back end, this one included.
    pub calls: u32,
    /// Time that the call takes at nominal speed.
    pub nominal: Duration,
}

/// Returns the band of this many calls at a back end. Calls beyond the places give no sample: the wait for a place
/// would pass for slowness.
pub fn band_of(calls: u32, places: u32) -> Option<usize> {
    let is_within_places = (1..=places).contains(&calls);
    is_within_places.then(|| (calls as usize - 1) * BANDS / places as usize)
}

/// Returns the largest number of calls whose samples are in the bands before `band`.
pub(super) fn calls_below(band: usize, places: u32) -> u32 {
    (band as u32 * places).div_ceil(BANDS as u32)
}

/// What a call has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measured {
    /// It was answered, in this time in proportion to the average of the node's calls to the service.
    Relative(f64),
    /// The back end failed it.
    Failed,
}

impl Measured {
    /// Returns the relative time that the call counts as.
    pub fn relative(self) -> f64 {
        match self {
            Self::Relative(relative) => relative.min(MAX_RELATIVE),
            Self::Failed => FAILURE_RELATIVE,
        }
    }
}

/// A call at a back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Short name of the back end.
    pub backend: u32,
    /// Band of the occupancy at which the call was placed.
    pub band: usize,
    /// What the call has shown.
    pub measured: Measured,
}

impl Sample {
    /// Returns band and measurement as a small integer for messages.
    pub fn code(&self) -> u32 {
        let steps = match self.measured {
            Measured::Failed => 0,
            Measured::Relative(relative) => {
                (relative.min(MAX_RELATIVE) * STEPS).round().max(1.0) as u32
            }
        };
        steps * BANDS as u32 + self.band as u32
    }

    /// Creates the sample that has this code.
    pub fn from_code(backend: u32, code: u32) -> Self {
        let steps = code / BANDS as u32;
        Self {
            backend,
            band: code as usize % BANDS,
            measured: match steps {
                0 => Measured::Failed,
                steps => Measured::Relative((f64::from(steps) / STEPS).min(MAX_RELATIVE)),
            },
        }
    }
}
