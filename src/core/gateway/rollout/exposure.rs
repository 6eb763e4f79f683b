//! Bound on the calls that a new version gets before its rollout has succeeded.
//!
//! Each node counts its own sends to the service, and sends to the new version at most a fraction of them. The bound
//! holds for the sum over all nodes then, whatever the nodes know of each other. A process that starts has no credit.

/// Part of the bound that is used. The rest covers calls that were counted and never arrived.
const SAFE_PART: f64 = 0.9;
/// Part of it that is used in the canary phase, so that credit for the promotion builds up.
const CANARY_PART: f64 = 0.3;

/// Which credit a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credit {
    /// Only that of the canary phase.
    Canary,
    /// All of it.
    Full,
}

/// Returns the part of the calls that the new version gets in the canary phase.
pub fn canary_fraction(max_exposure: f64) -> f64 {
    max_exposure * SAFE_PART * CANARY_PART
}

/// Calls that a node has sent to a service since it learned of an order.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    /// Largest part of the calls that the new version may get.
    max_exposure: f64,
    /// Calls to any version.
    sent: u64,
    /// Calls to the new version.
    exposed: u64,
    /// Random offset of the canary calls, so that the first ones of all nodes are spread in time.
    offset: f64,
}

impl Exposure {
    /// Creates the counts of a node that has sent nothing yet. `draw` is uniform between 0 and 1.
    pub fn new(max_exposure: f64, draw: f64) -> Self {
        Self {
            max_exposure,
            sent: 0,
            exposed: 0,
            offset: draw,
        }
    }

    /// Returns whether one more call may go to the new version.
    pub fn has_credit(&self, credit: Credit) -> bool {
        let sent = self.sent as f64;
        let exposed = self.exposed as f64;
        let is_within_bound = exposed + 1.0 <= SAFE_PART * self.max_exposure * sent;
        is_within_bound
            && match credit {
                Credit::Canary => {
                    exposed + self.offset <= canary_fraction(self.max_exposure) * sent
                }
                Credit::Full => true,
            }
    }

    /// Counts a call that is sent.
    pub fn record(&mut self, is_exposed: bool) {
        self.sent += 1;
        self.exposed += u64::from(is_exposed);
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
