//! Limits how many fleets run at once, so that cases do not slow each other down.

use std::sync::{Condvar, Mutex, PoisonError};

/// Fleets that run at once; each has about 20 processes.
const MAX_FLEETS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// The right to run a fleet; it is given back when this is dropped.
pub(crate) struct Slot(());

/// Waits until another fleet may run.
pub(crate) fn acquire() -> Slot {
    let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut running = ENDED
        .wait_while(running, |running| *running >= MAX_FLEETS)
        .unwrap_or_else(PoisonError::into_inner);
    *running += 1;
    Slot(())
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        *running -= 1;
        ENDED.notify_one();
    }
}
