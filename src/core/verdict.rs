//! Execution status of failed requests.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work of a failed request may have taken effect.
///
/// Every error sent to a caller carries a verdict. `NotRun` is a guarantee; if the status is
/// uncertain, the verdict is `MayHaveRun`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No back end has started the work or will start it.
    NotRun,
    /// The work took effect.
    Ran,
    /// A back end may have started the work.
    MayHaveRun,
}

impl Verdict {
    /// Returns the name used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may_have_run",
        }
    }

    /// Combines the verdicts of two attempts at the same work.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
