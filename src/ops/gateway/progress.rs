//! What has been tried for a call so far, and whether it may be tried once more.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::attempt::GatewayContext;
use super::call::Call;
use crate::core::gateway::backends::BackendId;
use crate::core::gateway::retry_budget::RetryBudget;
use crate::core::gateway::silence::Decision;
use crate::core::gateway::software::{AllowedSoftware, SoftwareVersion};
use crate::core::time::Moment;
use crate::core::verdict::Verdict;

/// Number of unreachable back ends after which no more are tried.
const MAX_UNREACHED_BACKENDS: usize = 3;

/// Attempts of a call so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Back ends that were tried, whether or not they were reached.
    pub tried: SmallVec<[BackendId; 4]>,
    /// Back ends that are silent and therefore not to be tried next.
    pub avoided: Vec<BackendId>,
    /// Number of back ends that received the call, or may have.
    pub sends: u32,
    /// Number of back ends that were not reached.
    pub unreached: usize,
    /// Whether the call may have run.
    pub may_have_run: bool,
    /// Whether the next send is the probe of a quarantine entry.
    pub is_probe: bool,
    /// Software of the back ends that sent events, in the order of their events.
    pub software: SmallVec<[SoftwareVersion; 2]>,
    /// Software versions at which the call may be placed.
    pub allowed: AllowedSoftware,
    /// Whether the retry budget has been charged for the next send.
    pub has_retry: bool,
    /// Notified when the next request is sent.
    pub on_send: Option<oneshot::Sender<()>>,
    /// Last decision about a silent back end, until it goes on.
    pub silence: Option<Decision>,
    /// Longest silence of a back end that was waited for.
    pub longest_silence: Duration,
    /// Whether another node forwards the call to this one.
    pub is_forwarded: bool,
    /// Number of nodes through which it was forwarded.
    pub forwards: u32,
}

impl Progress {
    /// Returns whether the call may have run.
    pub fn verdict(&self) -> Verdict {
        match self.may_have_run {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }

    /// Records the software of a back end that has sent events.
    pub fn note_software(&mut self, software: Option<&str>) {
        let software = software.unwrap_or_default();
        if self.software.last().is_none_or(|last| **last != *software) {
            self.software.push(software.into());
        }
    }
}

/// Counts the first send of a call, from which the service's retry budget grows.
pub fn note_send(cx: &GatewayContext, call: &Call, sends: u32) {
    if sends == 1 {
        with_retry_budget(cx, call, RetryBudget::record_call);
    }
}

/// Returns whether the call may be sent to one more back end if the retry budget allows it.
pub fn has_attempts(cx: &GatewayContext, call: &Call, progress: &Progress) -> bool {
    if progress.unreached >= MAX_UNREACHED_BACKENDS {
        return false;
    }
    if progress.sends == 0 {
        return true;
    }
    progress.sends < call.max_backends
        && !cx.state.quarantine.lock().crashes.demands_caution(call.id)
}

/// Returns whether the call may be sent to one more back end, and charges the retry budget if it was
/// sent before and has not been charged for it yet.
pub fn may_retry(cx: &GatewayContext, call: &Call, progress: &mut Progress) -> bool {
    if !has_attempts(cx, call, progress) {
        return false;
    }
    progress.sends == 0
        || std::mem::take(&mut progress.has_retry)
        || with_retry_budget(cx, call, RetryBudget::try_take)
}

fn with_retry_budget<T>(
    cx: &GatewayContext,
    call: &Call,
    f: impl FnOnce(&mut RetryBudget, Moment) -> T,
) -> T {
    let state = &cx.state;
    let now = state.now();
    let bounds = &state.settings.bounds;
    let nodes = state.node_count();
    let mut retries = state.retries.lock();
    let budget = retries.entry(call.service.name.clone()).or_insert_with(|| {
        RetryBudget::new(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window,
            nodes,
            now,
        )
    });
    f(budget, now)
}
