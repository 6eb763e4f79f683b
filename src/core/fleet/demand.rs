//! How many engines a model needs.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use crate::core::id::ModelName;
use crate::core::time::Moment;

/// Capacity kept beyond urgent demand, in percent of it. Other ranks may wait instead.
const URGENT_HEADROOM_PERCENT: u64 = 25;

/// Work that callers ask of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Tokens a second by rank level, the most urgent first; what waits is counted in.
    pub tokens_per_second: SmallVec<[u64; 4]>,
}

impl ModelDemand {
    /// Returns the demand of the most urgent rank in tokens a second.
    pub fn urgent(&self) -> u64 {
        self.tokens_per_second.first().copied().unwrap_or(0)
    }

    /// Returns the demand of the other ranks in tokens a second.
    pub fn other(&self) -> u64 {
        self.tokens_per_second.iter().skip(1).sum()
    }
}

/// Fewest and most engines that the operators allow for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineBounds {
    /// Engines kept for urgent work at all times.
    pub min: u32,
    /// Most engines.
    pub max: u32,
}

/// Engines that a model needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Engines for all work.
    pub wanted: u32,
    /// Engines for urgent work, to be left when any zone loses its reclaimable VMs.
    pub floor: u32,
    /// Most engines.
    pub max: u32,
}

/// Returns the engines that a demand needs where one engine makes `tokens_per_second`.
pub fn size(demand: &ModelDemand, bounds: EngineBounds, tokens_per_second: u64) -> Need {
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

/// Remembers needs for a while, so that a short dip of demand stops no engine.
#[derive(Clone, Debug)]
pub struct NeedWindow {
    length: Duration,
    /// Needs in order of time.
    needs: VecDeque<(Moment, Need)>,
}

impl NeedWindow {
    /// Creates a window of a length.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            needs: VecDeque::new(),
        }
    }

    /// Adds the need of now and returns the largest one of the window.
    pub fn update(&mut self, need: Need, now: Moment) -> Need {
        let oldest = now.saturating_sub(self.length);
        while self.needs.front().is_some_and(|(at, _)| *at < oldest) {
            self.needs.pop_front();
        }
        // A need that is nowhere larger than a later one never counts again.
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
