//! Refusal of requests whose deadline cannot be met.

use std::time::Duration;

use super::{Cause, Refusal, Result};

/// Share of the deadline that an expected wait may fill, in percent. The rest covers what is
/// unknown of answers under way and of arrivals more urgent than expected.
const USABLE_DEADLINE_PERCENT: u32 = 90;

/// What decides how long a request waits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wait {
    /// Slots that are free and not already spoken for by waiting requests.
    pub free_slots: u32,
    /// Tokens that are served before the request.
    pub tokens_ahead: u64,
    /// Tokens served a second by all slots; `None` where nothing was measured yet.
    pub tokens_per_second: Option<f64>,
    /// Tokens a second that arrive at more urgent ranks.
    pub urgent_tokens_per_second: f64,
    /// Share of service in percent that the request's rank keeps.
    pub floor_percent: u8,
    /// Share of service in percent that waiting, less urgent ranks keep.
    pub floors_below_percent: u8,
    /// Time until the next slot is likely to become free.
    pub next_free_slot: Duration,
}

/// Returns how long a request is expected to wait for a slot, or `None` where that is unknown.
///
/// Work that is more urgent and still to come delays the request, too: what is ahead drains at the
/// rate that the more urgent arrivals and the floors of less urgent ranks leave, but at least at the
/// rank's own floor.
pub fn expected_wait(wait: &Wait) -> Option<Duration> {
    if wait.free_slots > 0 && wait.tokens_ahead == 0 {
        return Some(Duration::ZERO);
    }
    let rate = wait.tokens_per_second.filter(|rate| *rate > 0.0)?;
    let floor = rate * f64::from(wait.floor_percent) / 100.0;
    let below = rate * f64::from(wait.floors_below_percent.min(100)) / 100.0;
    let left = (rate - below - wait.urgent_tokens_per_second).max(floor);
    if left <= 0.0 {
        return Some(Duration::MAX);
    }
    let seconds = wait.tokens_ahead as f64 / left;
    let queued = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    Some(queued.saturating_add(wait.next_free_slot))
}

/// What was decided about a request whose deadline was checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Expected wait, as told to the caller; `None` where it is unknown.
    pub expected_wait: Option<Duration>,
}

/// Accepts a request whose first token is due after `deadline`, or refuses it.
///
/// An unknown wait is accepted: should it prove too long, the queue gives the request up when its
/// deadline passes.
///
/// # Errors
///
/// Refuses if the wait is expected to fill more than nine tenths of the deadline. The refusal says
/// to come back once the excess has drained; callers of this function spread that over time with
/// [`super::ReturnSchedule`].
pub fn check_deadline(wait: &Wait, deadline: Duration) -> Result<Admission> {
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
