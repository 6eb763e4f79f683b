//! Faults that are switched on by request.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

/// Faults that every stand-in has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CommonFaults {
    /// Accepts requests and does not answer, neither new nor open ones, until the fault ends.
    pub freeze: bool,
    /// Answers 503 to everything.
    pub refuse: bool,
    /// Number of answers that are lost after their effect; the connection is closed instead.
    pub lose_answer_next: u32,
    /// Waits before each request takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Streams stop without being closed.
    pub drop_silently: bool,
}

/// The faults of one kind of stand-in.
pub trait FaultSet: Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static {
    /// Returns the faults that every stand-in has.
    fn common(&self) -> &CommonFaults;
    /// Returns the faults that every stand-in has.
    fn common_mut(&mut self) -> &mut CommonFaults;
}

impl FaultSet for CommonFaults {
    fn common(&self) -> &CommonFaults {
        self
    }

    fn common_mut(&mut self) -> &mut CommonFaults {
        self
    }
}

/// Implements [`FaultSet`] for a struct with a field `common`.
macro_rules! impl_fault_set {
    ($name:ty) => {
        impl $crate::faults::FaultSet for $name {
            fn common(&self) -> &$crate::faults::CommonFaults {
                &self.common
            }

            fn common_mut(&mut self) -> &mut $crate::faults::CommonFaults {
                &mut self.common
            }
        }
    };
}
pub(crate) use impl_fault_set;

/// Says why faults were not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultError(Box<str>);

impl std::fmt::Display for FaultError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FaultError {}

/// The faults in force.
#[derive(Debug)]
pub(crate) struct FaultBoard<T> {
    tx: watch::Sender<T>,
}

impl<T: FaultSet> FaultBoard<T> {
    pub(crate) fn new() -> Self {
        Self {
            tx: watch::Sender::new(T::default()),
        }
    }

    pub(crate) fn get(&self) -> T {
        self.tx.borrow().clone()
    }

    pub(crate) fn set(&self, faults: T) {
        self.tx.send_replace(faults);
    }

    /// Replaces the faults that `patch` names and returns those in force.
    pub(crate) fn merge(&self, patch: &Value) -> Result<T, FaultError> {
        let refuse = |e: serde_json::Error| FaultError(e.to_string().into());
        let mut merged = serde_json::to_value(self.get()).map_err(refuse)?;
        let patch = patch
            .as_object()
            .ok_or_else(|| FaultError("not a JSON object".into()))?;
        for (name, value) in patch {
            let Some(slot) = merged.get_mut(name) else {
                return Err(FaultError(format!("unknown fault {name:?}").into()));
            };
            *slot = value.clone();
        }
        let faults: T = serde_json::from_value(merged).map_err(refuse)?;
        self.set(faults.clone());
        Ok(faults)
    }

    /// Waits until the faults satisfy a condition.
    pub(crate) async fn wait_for(&self, condition: impl Fn(&T) -> bool + Send) {
        // The sender lives in `self`, so that waiting cannot fail.
        let _ = self.tx.subscribe().wait_for(condition).await;
    }

    /// Waits until the stand-in is not frozen.
    pub(crate) async fn unfrozen(&self) {
        self.wait_for(|faults| !faults.common().freeze).await;
    }

    /// Lowers a counter of the faults by one and returns whether it was above zero.
    pub(crate) fn count_down(&self, counter: impl Fn(&mut T) -> &mut u32) -> bool {
        self.tx.send_if_modified(|faults| {
            let left = counter(faults);
            let counts = *left > 0;
            *left = left.saturating_sub(1);
            counts
        })
    }

    /// Returns whether the next answer is to be lost, and counts it.
    pub(crate) fn loses_answer(&self) -> bool {
        self.count_down(|faults| &mut faults.common_mut().lose_answer_next)
    }
}
