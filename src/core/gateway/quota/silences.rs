//! Holders that did not answer lately, and are not asked for a while.

use std::collections::HashMap;
use std::time::Duration;

use crate::core::gateway::members::NodeName;
use crate::core::time::Moment;

/// Time for which a holder is not asked after it has not answered once; it doubles each time up to the second value.
const PAUSES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

#[derive(Clone, Copy, Debug)]
struct Silence {
    pause: Duration,
    until: Moment,
}

/// Holders that did not answer lately.
#[derive(Debug, Default)]
pub struct Silences {
    silences: HashMap<NodeName, Silence>,
}

impl Silences {
    /// Records that a holder has not answered in time.
    pub fn record(&mut self, holder: &str, now: Moment) {
        let (first, longest) = PAUSES;
        let known = self.silences.get(holder);
        if known.is_some_and(|known| known.until > now) {
            return;
        }
        let pause = known.map_or(first, |known| (known.pause * 2).min(longest));
        let until = now + pause;
        self.silences
            .insert(holder.into(), Silence { pause, until });
    }

    /// Records that a holder has answered.
    pub fn clear(&mut self, holder: &str) {
        self.silences.remove(holder);
    }

    /// Returns whether a holder is not to be asked.
    pub fn is_silent(&self, holder: &str, now: Moment) -> bool {
        let known = self.silences.get(holder);
        known.is_some_and(|known| known.until > now)
    }

    /// Removes the state of nodes for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.silences.retain(|name, _| is_known(name));
    }
}
