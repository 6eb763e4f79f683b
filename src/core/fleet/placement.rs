//! Placement of the engines of one model: the cheapest one that keeps the floor for urgent work when
//! any single zone loses its reclaimable VMs.

use super::{Market, MicroPrice, Need};
use crate::core::id::ZoneId;

/// A zone and market in which VMs of one class are available.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Availability zone.
    pub zone: ZoneId,
    /// Market of the VMs.
    pub market: Market,
    /// Price of a VM per hour, including the expected cost of reclaims.
    pub price: MicroPrice,
    /// VMs of the model that already run in this place.
    pub running: u32,
    /// Maximum number of VMs in this place, including running ones; `None` for no limit.
    pub available: Option<u32>,
}

/// VMs of one model in one place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed {
    /// Availability zone.
    pub zone: ZoneId,
    /// Market of the VMs.
    pub market: Market,
    /// Number of VMs.
    pub count: u32,
}

/// Placement of the engines of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Engines by place, without places that have none.
    pub placed: Vec<Placed>,
    /// Engines for urgent work that would be missing after the worst loss of a zone.
    pub floor_shortfall: u32,
    /// Engines that are missing without any loss.
    pub shortfall: u32,
    /// Total price per hour, with the discount for VMs that already run.
    pub cost: MicroPrice,
}

impl Placement {
    /// Returns the number of engines.
    pub fn total(&self) -> u32 {
        self.placed.iter().map(|placed| placed.count).sum()
    }

    /// Returns the number of engines that remain when the worst zone loses its reclaimable VMs.
    pub fn remaining_after_zone_loss(&self) -> u32 {
        let reclaimable = self
            .placed
            .iter()
            .filter(|p| p.market == Market::Reclaimable);
        self.total() - reclaimable.map(|p| p.count).max().unwrap_or(0)
    }

    /// Returns the number of engines in a place.
    pub fn count(&self, zone: &str, market: Market) -> u32 {
        let matching = self.placed.iter();
        matching
            .filter(|p| &*p.zone == zone && p.market == market)
            .map(|p| p.count)
            .sum()
    }

    /// Returns the sort key for the comparison of placements: missing engines first, then cost. Smaller is
    /// better.
    pub fn rank(&self) -> (u32, u32, MicroPrice) {
        (self.floor_shortfall, self.shortfall, self.cost)
    }
}

/// VMs of one place with the same price.
#[derive(Clone, Copy, Debug)]
struct Segment {
    place: usize,
    price: MicroPrice,
    count: u32,
}

/// Places engines at the lowest cost that keeps the floor.
///
/// VMs that already run are discounted by `running_discount_percent`. This hysteresis prevents moves
/// after small price changes. Each zone must have at most one place in each market.
///
/// If a zone has at most `cap` reclaimable VMs, `floor + cap` engines are enough to keep the floor
/// after the loss of any zone, and a greedy choice by price is optimal. Trying every cap therefore finds
/// the best placement. A cap above `wanted` only adds engines.
pub fn place(need: Need, places: &[Place], running_discount_percent: u64) -> Placement {
    let segments = segments(places, running_discount_percent);
    (0..=need.wanted)
        .map(|cap| place_with_cap(need, places, &segments, cap))
        .min_by_key(Placement::rank)
        .unwrap_or_default()
}

/// Returns the available VMs, cheapest first.
fn segments(places: &[Place], running_discount_percent: u64) -> Vec<Segment> {
    let mut segments = Vec::with_capacity(places.len() * 2);
    for (place, offered) in places.iter().enumerate() {
        let available = offered.available.unwrap_or(u32::MAX);
        let running = offered.running.min(available);
        segments.push(Segment {
            place,
            price: offered.price - offered.price * running_discount_percent / 100,
            count: running,
        });
        segments.push(Segment {
            place,
            price: offered.price,
            count: available - running,
        });
    }
    segments.sort_by_key(|segment| (segment.price, segment.place));
    segments
}

/// Places engines greedily by price, with at most `cap` reclaimable VMs in each zone.
fn place_with_cap(need: Need, places: &[Place], segments: &[Segment], cap: u32) -> Placement {
    let total = need
        .wanted
        .max(need.floor.saturating_add(cap))
        .min(need.max);
    let mut counts = vec![0; places.len()];
    let mut unplaced = total;
    let mut cost = 0;
    for segment in segments {
        let limit = match places[segment.place].market {
            Market::Reclaimable => cap - counts[segment.place],
            Market::OnDemand => u32::MAX,
        };
        let taken = segment.count.min(limit).min(unplaced);
        counts[segment.place] += taken;
        unplaced -= taken;
        cost += MicroPrice::from(taken) * segment.price;
    }
    let placed = places.iter().zip(counts).filter(|(_, count)| *count > 0);
    let placed = placed.map(|(place, count)| Placed {
        zone: place.zone.clone(),
        market: place.market,
        count,
    });
    let mut placement = Placement {
        placed: placed.collect(),
        cost,
        ..Placement::default()
    };
    placement.floor_shortfall = need
        .floor
        .saturating_sub(placement.remaining_after_zone_loss());
    placement.shortfall = need.wanted.saturating_sub(placement.total());
    placement
}
