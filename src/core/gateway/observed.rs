//! Values that several nodes observe and report to each other.
//!
//! A report contains only what the reporting node, or its availability zone, has observed: a value that is
//! reported back to its observer would pass for a new observation, since its age is not known exactly.

use crate::core::time::Moment;

/// Which nodes observed something, from few to many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Observer {
    /// This node.
    Node,
    /// Another node of its availability zone.
    Zone,
    /// A node of another zone.
    Fleet,
}

/// A value, and when it was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation<T> {
    /// When it was observed.
    pub at: Moment,
    /// The value.
    pub value: T,
}

/// The last observation of a value by each group of nodes.
#[derive(Clone, Copy, Debug)]
pub struct Observed<T> {
    by_node: Option<Observation<T>>,
    by_zone: Option<Observation<T>>,
    by_fleet: Option<Observation<T>>,
}

impl<T> Default for Observed<T> {
    fn default() -> Self {
        Self {
            by_node: None,
            by_zone: None,
            by_fleet: None,
        }
    }
}

impl<T: Copy> Observed<T> {
    /// Records an observation, unless the same group has made a later one.
    pub fn record(&mut self, observation: Observation<T>, observer: Observer) {
        let last = match observer {
            Observer::Node => &mut self.by_node,
            Observer::Zone => &mut self.by_zone,
            Observer::Fleet => &mut self.by_fleet,
        };
        if last.is_none_or(|last| last.at <= observation.at) {
            *last = Some(observation);
        }
    }

    /// Returns the last observation.
    pub fn last(&self) -> Option<Observation<T>> {
        self.last_of(Observer::Fleet)
    }

    /// Returns the last observation of `observer` or a smaller group of nodes.
    pub fn last_of(&self, observer: Observer) -> Option<Observation<T>> {
        let by_zone = self.by_zone.filter(|_| observer >= Observer::Zone);
        let by_fleet = self.by_fleet.filter(|_| observer >= Observer::Fleet);
        let all = [self.by_node, by_zone, by_fleet];
        all.into_iter()
            .flatten()
            .max_by_key(|observation| observation.at)
    }
}
