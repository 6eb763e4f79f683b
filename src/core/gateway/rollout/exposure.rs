//! Bound on the calls that a new version gets before its rollout has succeeded.
//!
//! Each node counts its own sends to the service, and sends to the new version at most a fraction of them. The bound
//! holds for the sum over all nodes then, whatever the nodes know of each other. A process that starts has no credit.
//!
//! A node of a large fleet may send too few calls for a whole one of that fraction. Credit is rounded at random then:
//! the mean over all nodes is exact, and the operators' slack covers the deviation.

/// Part of the bound that is used. The rest covers calls that were counted and never arrived.
const SAFE_PART: f64 = 0.9;
/// Part of it that is used in the canary phase, so that credit for the promotion builds up.
const CANARY_PART: f64 = 0.3;
/// Deviation of the rounded credit of all nodes that the slack has to cover, in standard deviations. One node deviates
/// by at most half a call.
const COVERED_DEVIATIONS: f64 = 5.0;

/// Bound on the calls that new versions get, as operators configure it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Largest part of a service's calls; 0 if the settings name none, and orders are left out then.
    pub max_part: f64,
    /// Calls that may lie beyond it, over all nodes.
    pub slack: f64,
}

impl ExposureBound {
    /// Returns the part of the calls that the new version gets in the canary phase.
    pub fn canary_part(&self) -> f64 {
        self.full_part() * CANARY_PART
    }

    fn full_part(&self) -> f64 {
        self.max_part * SAFE_PART
    }

    /// Returns how much more credit than its calls so far a call to the new version needs, for a `draw` that is uniform
    /// between 0 and 1: a whole call, or a random part of one where the slack allows to round.
    fn rounding(&self, nodes: usize, draw: f64) -> f64 {
        let deviation = 0.5 * (nodes as f64).sqrt();
        match COVERED_DEVIATIONS * deviation <= self.slack {
            true => 1.0 - draw,
            false => 1.0,
        }
    }
}

/// Which credit a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credit {
    /// Only that of the canary phase.
    Canary,
    /// All of it.
    Full,
}

/// Calls that a node has sent to a service since it learned of an order.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    bound: ExposureBound,
    /// Credit beyond the calls so far that one more call to the new version needs.
    rounding: f64,
    /// Calls to any version.
    sent: u64,
    /// Calls to the new version.
    exposed: u64,
}

impl Exposure {
    /// Creates the counts of one of `nodes` nodes, which has sent nothing yet. `draw` is uniform between 0 and 1.
    pub fn new(bound: ExposureBound, nodes: usize, draw: f64) -> Self {
        Self {
            bound,
            rounding: bound.rounding(nodes, draw),
            sent: 0,
            exposed: 0,
        }
    }

    /// Returns whether one more call may go to the new version.
    pub fn has_credit(&self, credit: Credit) -> bool {
        let part = match credit {
            Credit::Canary => self.bound.canary_part(),
            Credit::Full => self.bound.full_part(),
        };
        self.exposed as f64 + self.rounding <= part * self.sent as f64
    }

    /// Counts a call that is sent.
    pub fn record(&mut self, is_exposed: bool) {
        self.sent += 1;
        self.exposed += u64::from(is_exposed);
    }

    /// Returns the bound.
    pub fn bound(&self) -> ExposureBound {
        self.bound
    }

    /// Returns the number of calls to any version.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the number of calls to the new version.
    pub fn exposed(&self) -> u64 {
        self.exposed
    }
}
