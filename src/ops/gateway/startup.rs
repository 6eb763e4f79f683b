//! Calls that arrive before this process has its first configuration.
//!
//! A process that starts gets it from another node or from the store, normally within some hundred milliseconds. A call
//! waits for it for a part of its time. Its body stays unread meanwhile, and the number of calls that wait is limited.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use super::state::GatewayState;
use crate::core::gateway::routes::RouteTable;

/// Longest wait of a call.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The same as a fraction of the time that its caller names.
const MAX_WAIT_FRACTION: f64 = 0.125;
/// Time after the start of the process within which the configuration is expected.
const EXPECTED_WITHIN: Duration = Duration::from_secs(2);
/// Number of calls that wait at a time.
const MAX_WAITING: usize = 128;

/// Start of a process, until it has a configuration.
pub struct Startup {
    started: Instant,
    waiting: Semaphore,
    /// Whether neither the nodes that the settings name nor the store have answered.
    is_isolated: watch::Sender<bool>,
}

impl Startup {
    /// Creates the state of a process that has just started.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            waiting: Semaphore::new(MAX_WAITING),
            is_isolated: watch::Sender::new(false),
        }
    }

    /// Records that neither the nodes that the settings name nor the store have answered. From then on no call waits.
    pub fn note_isolated(&self) {
        self.is_isolated.send_replace(true);
    }

    /// Returns for how long a call may wait whose caller names the time `call_time`.
    fn max_wait(&self, call_time: Option<Duration>) -> Duration {
        let left = EXPECTED_WITHIN.saturating_sub(self.started.elapsed());
        let of_call = call_time.map_or(MAX_WAIT, |time| time.mul_f64(MAX_WAIT_FRACTION));
        of_call.min(MAX_WAIT).min(left)
    }
}

impl Default for Startup {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the configuration. While there is none but one is expected, waits for a part of the time `call_time` that
/// the caller names. Returns `None` if there is still none.
pub async fn wait_for_table(
    state: &GatewayState,
    call_time: Option<Duration>,
) -> Option<Arc<RouteTable>> {
    let table = state.table();
    if table.is_some() {
        return table;
    }
    let startup = &state.startup;
    let _waiting = startup.waiting.try_acquire().ok()?;
    // The revision changes once all back ends of a listing are known, too.
    let mut revision = state.revision.subscribe();
    let mut is_isolated = startup.is_isolated.subscribe();
    tokio::select! {
        _ = revision.wait_for(|_| state.table().is_some()) => {}
        _ = is_isolated.wait_for(|is_isolated| *is_isolated) => {}
        () = tokio::time::sleep(startup.max_wait(call_time)) => {}
    }
    state.table()
}
