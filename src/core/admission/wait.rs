//! Expected wait in the queue, and refusal of requests whose deadline cannot be met.

use std::time::Duration;

use super::{Cause, Refusal, Result};

/// Largest expected wait that is admitted, in percent of the deadline. The rest is a margin for
/// running answers that are longer than estimated and for more urgent arrivals than expected.
const USABLE_DEADLINE_PERCENT: u32 = 90;

/// Inputs of the expected wait of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitInputs {
    /// Free slots that no waiting request will use.
    pub free_slots: u32,
    /// Tokens scheduled before the request.
    pub tokens_ahead: u64,
    /// Service rate of all slots; `None` before the first measurement.
    pub tokens_per_second: Option<f64>,
    /// Arrival rate of more urgent ranks.
    pub urgent_tokens_per_second: f64,
    /// Floor of the request's rank, in percent of the service.
    pub floor_percent: u8,
    /// Sum of the floors of backlogged, less urgent ranks, in percent of the service.
    pub floors_below_percent: u8,
    /// Expected time until the next slot becomes free.
    pub next_free_slot: Duration,
}

/// Returns the expected wait of a request for a slot, or `None` if the service rate is unknown.
///
/// The work ahead drains at the service rate less the arrival rate of more urgent ranks and the
/// floors of less urgent ranks, but at least at the floor of the request's own rank.
pub fn expected_wait(wait: &WaitInputs) -> Option<Duration> {
    if wait.free_slots > 0 && wait.tokens_ahead == 0 {
        return Some(Duration::ZERO);
    }
    let rate = wait.tokens_per_second.filter(|rate| *rate > 0.0)?;
    let floor = rate * f64::from(wait.floor_percent) / 100.0;
    let floors_below = rate * f64::from(wait.floors_below_percent.min(100)) / 100.0;
    let drain_rate = (rate - floors_below - wait.urgent_tokens_per_second).max(floor);
    if drain_rate <= 0.0 {
        return Some(Duration::MAX);
    }
    let seconds = wait.tokens_ahead as f64 / drain_rate;
    let queued = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    Some(queued.saturating_add(wait.next_free_slot))
}

/// Admission of a request whose deadline was checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Expected wait reported to the caller; `None` if it is unknown.
    pub expected_wait: Option<Duration>,
}

/// Admits a request whose first token is due within `deadline`, or refuses it.
///
/// A request with an unknown wait is admitted; the queue expires it if its deadline passes.
///
/// # Errors
///
/// Refuses if the expected wait exceeds nine tenths of the deadline. The retry time of the refusal
/// is the time in which the excess drains; callers of this function spread retries with
/// [`super::RetrySchedule`].
pub fn check_deadline(wait: &WaitInputs, deadline: Duration) -> Result<Admission> {
    let Some(expected_wait) = expected_wait(wait) else {
        return Ok(Admission {
            expected_wait: None,
        });
    };
    let usable = deadline * USABLE_DEADLINE_PERCENT / 100;
    if expected_wait <= usable {
        return Ok(Admission {
            expected_wait: Some(expected_wait),
        });
    }
    Err(Refusal {
        cause: Cause::DeadlineUnreachable {
            expected_wait,
            deadline,
        },
        retry_after: expected_wait.saturating_sub(usable),
    })
}
