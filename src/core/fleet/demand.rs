//! Number of engines that a model needs.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use crate::core::id::ModelName;
use crate::core::time::Moment;

/// Spare capacity in percent of the urgent demand. Other ranks get none, because they can wait.
const URGENT_HEADROOM_PERCENT: u64 = 25;

/// Demand of callers for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Tokens per second by rank level, most urgent first, including queued requests.
    pub tokens_per_second: SmallVec<[u64; 4]>,
}

impl ModelDemand {
    /// Returns the demand of the most urgent rank in tokens per second.
    pub fn urgent(&self) -> u64 {
        self.tokens_per_second.first().copied().unwrap_or(0)
    }

    /// Returns the demand of the other ranks in tokens per second.
    pub fn other(&self) -> u64 {
        self.tokens_per_second.iter().skip(1).sum()
    }
}

/// Minimum and maximum number of engines of a model, as configured by the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineBounds {
    /// Minimum number of engines for urgent work.
    pub min: u32,
    /// Maximum number of engines.
    pub max: u32,
}

/// Number of engines that a model needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Engines for all work.
    pub wanted: u32,
    /// Engines for urgent work, which must remain when any single zone loses its reclaimable VMs.
    pub floor: u32,
    /// Maximum number of engines.
    pub max: u32,
}

/// Returns the number of engines for a demand, given the `tokens_per_second` of one engine.
pub fn compute_need(demand: &ModelDemand, bounds: EngineBounds, tokens_per_second: u64) -> Need {
    let urgent = demand.urgent() * (100 + URGENT_HEADROOM_PERCENT) / 100;
    let engines = |tokens: u64| -> u32 {
        let count = tokens.div_ceil(tokens_per_second.max(1));
        u32::try_from(count).unwrap_or(u32::MAX)
    };
    let floor = engines(urgent).max(bounds.min).min(bounds.max);
    let wanted = engines(urgent + demand.other());
    Need {
        wanted: wanted.clamp(floor, bounds.max),
        floor,
        max: bounds.max,
    }
}

/// Sliding-window maximum of needs, so that a short dip in demand stops no engine.
#[derive(Clone, Debug)]
pub struct NeedWindow {
    length: Duration,
    /// Needs in order of time.
    needs: VecDeque<(Moment, Need)>,
}

impl NeedWindow {
    /// Creates an empty window.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            needs: VecDeque::new(),
        }
    }

    /// Adds the current need and returns the maximum of each field over the window.
    pub fn update(&mut self, need: Need, now: Moment) -> Need {
        let oldest = now.saturating_sub(self.length);
        while self.needs.front().is_some_and(|(at, _)| *at < oldest) {
            self.needs.pop_front();
        }
        // An older need that exceeds the new one in no field cannot determine the maximum any more.
        let covers = |old: &Need| need.wanted >= old.wanted && need.floor >= old.floor;
        while self.needs.back().is_some_and(|(_, old)| covers(old)) {
            self.needs.pop_back();
        }
        self.needs.push_back((now, need));
        self.largest(need.max)
    }

    fn largest(&self, max: u32) -> Need {
        let needs = self.needs.iter().map(|(_, need)| need);
        let largest = needs.fold(Need::default(), |a, b| Need {
            wanted: a.wanted.max(b.wanted),
            floor: a.floor.max(b.floor),
            max,
        });
        Need {
            wanted: largest.wanted.min(max),
            floor: largest.floor.min(max),
            max,
        }
    }
}
