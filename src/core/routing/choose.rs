//! Selection among candidate homes or engines.

use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::link::{LinkBudget, LinkDecision, TrafficKind};
use crate::core::time::Moment;

/// Excess over the best candidate's cost, in percent, up to which another candidate counts as
/// equally good. Waits computed from late reports are no more accurate than this.
const NEAR_EQUAL_PERCENT: u32 = 20;
/// Round-trip times to another zone and to another region.
const SAME_REGION_RTT: Duration = Duration::from_millis(3);
const OTHER_REGION_RTT: Duration = Duration::from_millis(24);

/// Network distance of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    SameZone,
    /// Another availability zone of the same region.
    SameRegion,
    /// Another region, across the inter-region link.
    OtherRegion,
}

/// A home or an engine that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Network distance.
    pub distance: Distance,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens that are probably in its cache.
    pub cached_tokens: u32,
    /// Price per hour in thousandths of the currency unit; 0 if unknown.
    pub price_per_hour: u32,
}

/// Properties of a request that decide its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// Time until the first token is due.
    pub deadline: Duration,
    /// Prefill time of one prompt token on an engine.
    pub prefill_per_token: Duration,
    /// Size of prompt and answer, charged to the inter-region link.
    pub bytes: u64,
    /// Cost difference up to which two candidates count as equally good: [`NEAR_EQUAL_ENGINES`] or
    /// [`NEAR_EQUAL_HOMES`].
    pub near_equal: Duration,
}

/// Cost difference up to which two engines count as equally good. Their load is known exactly.
pub const NEAR_EQUAL_ENGINES: Duration = Duration::from_millis(20);
/// Cost difference up to which two homes count as equally good. Their load reports arrive late.
pub const NEAR_EQUAL_HOMES: Duration = Duration::from_millis(300);

/// Result of [`choose`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Use the candidate with this index, in the same region.
    Local(usize),
    /// Use the candidate with this index, in another region. The link budget has been charged.
    CrossRegion(usize),
    /// There is no candidate.
    None,
}

/// Chooses the candidate that serves a request.
///
/// A request stays in its region unless only another region can start it in time and the link
/// budget allows the transfer. Among equally good candidates the choice is random, weighted by
/// slots, so that nodes that received the same report do not all choose the same candidate. If none
/// of the equally good candidates has a wait, only the cheapest of them are considered.
pub fn choose(
    candidates: &[Candidate],
    request: &RouteRequest,
    link: &mut LinkBudget,
    now: Moment,
    rng: &mut impl Rng,
) -> Choice {
    let is_local = |c: &Candidate| c.distance != Distance::OtherRegion;
    let local = lowest_cost(candidates, request, is_local);
    let is_in_time = |cost: Duration| cost <= request.deadline;
    if let Some(cost) = local.filter(|cost| is_in_time(*cost)) {
        return draw_near_equal(candidates, request, cost, is_local, rng)
            .map_or(Choice::None, Choice::Local);
    }
    let remote = lowest_cost(candidates, request, |c| !is_local(c));
    let leaves_region = match (local, remote) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(_), Some(remote)) => is_in_time(remote),
    };
    if let Some(cost) = remote.filter(|_| leaves_region)
        && link.take(TrafficKind::Request, request.bytes, now) == LinkDecision::Granted
    {
        return draw_near_equal(candidates, request, cost, |c| !is_local(c), rng)
            .map_or(Choice::None, Choice::CrossRegion);
    }
    let Some(cost) = local else {
        return Choice::None;
    };
    draw_near_equal(candidates, request, cost, is_local, rng).map_or(Choice::None, Choice::Local)
}

/// Returns the time until a candidate has computed the prompt, less the prefill time that every
/// candidate needs.
fn cost(candidate: &Candidate, most_cached: u32, request: &RouteRequest) -> Duration {
    let latency = match candidate.distance {
        Distance::SameZone => Duration::ZERO,
        Distance::SameRegion => SAME_REGION_RTT,
        Distance::OtherRegion => OTHER_REGION_RTT,
    };
    let recomputed = most_cached.saturating_sub(candidate.cached_tokens);
    candidate
        .wait
        .saturating_add(latency)
        .saturating_add(request.prefill_per_token.saturating_mul(recomputed))
}

fn most_cached(candidates: &[Candidate]) -> u32 {
    let cached = candidates.iter().map(|c| c.cached_tokens);
    cached.max().unwrap_or(0)
}

fn lowest_cost(
    candidates: &[Candidate],
    request: &RouteRequest,
    is_eligible: impl Fn(&Candidate) -> bool,
) -> Option<Duration> {
    let most_cached = most_cached(candidates);
    candidates
        .iter()
        .filter(|c| is_eligible(c))
        .map(|c| cost(c, most_cached, request))
        .min()
}

/// Draws a random candidate, weighted by slots, from those that count as equally good as the best.
fn draw_near_equal(
    candidates: &[Candidate],
    request: &RouteRequest,
    lowest: Duration,
    is_eligible: impl Fn(&Candidate) -> bool,
    rng: &mut impl Rng,
) -> Option<usize> {
    let most_cached = most_cached(candidates);
    let margin = request
        .near_equal
        .max(lowest.saturating_mul(NEAR_EQUAL_PERCENT) / 100);
    let limit = lowest.saturating_add(margin);
    let mut near_equal: SmallVec<[usize; 16]> = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| is_eligible(c) && cost(c, most_cached, request) <= limit)
        .map(|(index, _)| index)
        .collect();
    retain_cheapest(candidates, &mut near_equal);
    let total: u64 = near_equal.iter().map(|i| weight(&candidates[*i])).sum();
    let mut drawn = rng.random_range(0..total.max(1));
    for index in &near_equal {
        let weight = weight(&candidates[*index]);
        if drawn < weight {
            return Some(*index);
        }
        drawn -= weight;
    }
    near_equal.first().copied()
}

fn weight(candidate: &Candidate) -> u64 {
    u64::from(candidate.slots.max(1))
}

/// Retains only the cheapest candidates if all of them can start immediately.
fn retain_cheapest(candidates: &[Candidate], near_equal: &mut SmallVec<[usize; 16]>) {
    if near_equal.iter().any(|i| !candidates[*i].wait.is_zero()) {
        return;
    }
    let prices = near_equal.iter().map(|i| candidates[*i].price_per_hour);
    let cheapest = prices.min().unwrap_or(0);
    near_equal.retain(|i| candidates[*i].price_per_hour == cheapest);
}
