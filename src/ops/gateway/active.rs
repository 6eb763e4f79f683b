//! Calls that a process is serving, counted by stage, so that a stop can wait for them and name what it waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::state::GatewayState;

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its body is arriving, or its quota is being charged.
    Reading,
    /// It waits for a back end, or for the answer of one.
    Serving,
    /// Events are passed on to its caller.
    Streaming,
}

/// Numbers of active calls. A call counts until its response has been made, not until it has been sent; a stream
/// counts until its last event has been passed on.
#[derive(Debug, Default)]
pub struct ActiveCalls {
    reading: AtomicU64,
    serving: AtomicU64,
    streaming: AtomicU64,
    forwarded: AtomicU64,
}

impl ActiveCalls {
    /// Returns the number of calls at a stage.
    pub fn at(&self, stage: Stage) -> u64 {
        self.count(stage).load(Ordering::Relaxed)
    }

    /// Returns the number of calls that other nodes forward, at any stage.
    pub fn forwarded(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Returns the number of all calls.
    pub fn total(&self) -> u64 {
        let stages = [Stage::Reading, Stage::Serving, Stage::Streaming];
        stages.into_iter().map(|stage| self.at(stage)).sum()
    }

    fn count(&self, stage: Stage) -> &AtomicU64 {
        match stage {
            Stage::Reading => &self.reading,
            Stage::Serving => &self.serving,
            Stage::Streaming => &self.streaming,
        }
    }
}

/// Guard that counts a call as active.
pub struct ActiveCall {
    state: Arc<GatewayState>,
    stage: Stage,
    is_forwarded: bool,
}

impl ActiveCall {
    /// Begins to count a call of which the head has arrived.
    pub fn begin(state: &Arc<GatewayState>, is_forwarded: bool) -> Self {
        let stage = Stage::Reading;
        let active = &state.active;
        active.count(stage).fetch_add(1, Ordering::Relaxed);
        if is_forwarded {
            active.forwarded.fetch_add(1, Ordering::Relaxed);
        }
        Self {
            state: Arc::clone(state),
            stage,
            is_forwarded,
        }
    }

    /// Counts the call at its next stage.
    pub fn enter(&mut self, stage: Stage) {
        let active = &self.state.active;
        active.count(stage).fetch_add(1, Ordering::Relaxed);
        active.count(self.stage).fetch_sub(1, Ordering::Relaxed);
        self.stage = stage;
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        let active = &self.state.active;
        active.count(self.stage).fetch_sub(1, Ordering::Relaxed);
        if self.is_forwarded {
            active.forwarded.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
