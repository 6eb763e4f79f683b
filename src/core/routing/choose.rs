//! The choice among homes or engines.

use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::link::{LinkAnswer, LinkBudget, TrafficKind};
use crate::core::time::Moment;

/// Part of the best candidate's wait, in percent, by which another's may be longer and near-equal:
/// waits that come from late reports are no more exact than that.
const NEAR_EQUAL_PERCENT: u32 = 20;
/// One-way times between zones and regions, there and back.
const SAME_REGION: Duration = Duration::from_millis(3);
const OTHER_REGION: Duration = Duration::from_millis(24);

/// How far away a candidate is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// Behind the link between regions.
    OtherRegion,
}

/// A home or an engine that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// How far away it is.
    pub distance: Distance,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it probably has cached.
    pub cached_tokens: u32,
    /// Price an hour in thousandths of the currency's unit; 0 where it is unknown.
    pub price_per_hour: u32,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRequest {
    /// Time until the first token is due.
    pub deadline: Duration,
    /// Time that an engine takes to compute one prompt token.
    pub prefill_per_token: Duration,
    /// Bytes of prompt and answer, for the link between regions.
    pub bytes: u64,
    /// Difference below which two candidates are as good as each other, see [`NEAR_EQUAL_ENGINES`]
    /// and [`NEAR_EQUAL_HOMES`].
    pub near_equal: Duration,
}

/// Difference below which two engines, whose use is known, are as good as each other.
pub const NEAR_EQUAL_ENGINES: Duration = Duration::from_millis(20);
/// Difference below which two homes, whose load is reported late, are as good as each other.
pub const NEAR_EQUAL_HOMES: Duration = Duration::from_millis(300);

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To the candidate with the index.
    Take(usize),
    /// To the candidate with the index, behind the link, whose budget is charged.
    Cross(usize),
    /// Nowhere: there are no candidates.
    None,
}

/// Chooses a candidate.
///
/// A request stays in its region unless only another one can start it in time and the link has budget.
/// Among near-equal candidates one is drawn by its slots, so that nodes with the same late report do
/// not all choose the same one; among near-equal ones without a wait the cheapest are drawn from.
pub fn choose(
    candidates: &[Candidate],
    request: &RouteRequest,
    link: &mut LinkBudget,
    now: Moment,
    rng: &mut impl Rng,
) -> Choice {
    let is_local = |c: &Candidate| c.distance != Distance::OtherRegion;
    let local = best(candidates, request, is_local);
    let is_in_time = |cost: Duration| cost <= request.deadline;
    if let Some(cost) = local.filter(|cost| is_in_time(*cost)) {
        return draw(candidates, request, cost, is_local, rng).map_or(Choice::None, Choice::Take);
    }
    let remote = best(candidates, request, |c| !is_local(c));
    let crosses = match (local, remote) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(_), Some(remote)) => is_in_time(remote),
    };
    if let Some(cost) = remote.filter(|_| crosses)
        && link.take(TrafficKind::Request, request.bytes, now) == LinkAnswer::Granted
    {
        return draw(candidates, request, cost, |c| !is_local(c), rng)
            .map_or(Choice::None, Choice::Cross);
    }
    let Some(cost) = local else {
        return Choice::None;
    };
    draw(candidates, request, cost, is_local, rng).map_or(Choice::None, Choice::Take)
}

/// Returns the time until a candidate has computed the prompt, less the time that all would need.
fn cost(candidate: &Candidate, most_cached: u32, request: &RouteRequest) -> Duration {
    let way = match candidate.distance {
        Distance::SameZone => Duration::ZERO,
        Distance::SameRegion => SAME_REGION,
        Distance::OtherRegion => OTHER_REGION,
    };
    let recomputed = most_cached.saturating_sub(candidate.cached_tokens);
    candidate
        .wait
        .saturating_add(way)
        .saturating_add(request.prefill_per_token.saturating_mul(recomputed))
}

fn most_cached(candidates: &[Candidate]) -> u32 {
    let cached = candidates.iter().map(|c| c.cached_tokens);
    cached.max().unwrap_or(0)
}

fn best(
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

/// Draws one of the candidates that are near-equal to the best.
fn draw(
    candidates: &[Candidate],
    request: &RouteRequest,
    best: Duration,
    is_eligible: impl Fn(&Candidate) -> bool,
    rng: &mut impl Rng,
) -> Option<usize> {
    let most_cached = most_cached(candidates);
    let margin = request
        .near_equal
        .max(best.saturating_mul(NEAR_EQUAL_PERCENT) / 100);
    let limit = best.saturating_add(margin);
    let mut near: SmallVec<[usize; 16]> = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| is_eligible(c) && cost(c, most_cached, request) <= limit)
        .map(|(index, _)| index)
        .collect();
    keep_cheapest(candidates, &mut near);
    let total: u64 = near.iter().map(|i| weight(&candidates[*i])).sum();
    let mut drawn = rng.random_range(0..total.max(1));
    for index in &near {
        let weight = weight(&candidates[*index]);
        if drawn < weight {
            return Some(*index);
        }
        drawn -= weight;
    }
    near.first().copied()
}

fn weight(candidate: &Candidate) -> u64 {
    u64::from(candidate.slots.max(1))
}

/// Keeps the cheapest of the candidates if all of them can start at once.
fn keep_cheapest(candidates: &[Candidate], near: &mut SmallVec<[usize; 16]>) {
    if near.iter().any(|i| !candidates[*i].wait.is_zero()) {
        return;
    }
    let prices = near.iter().map(|i| candidates[*i].price_per_hour);
    let cheapest = prices.min().unwrap_or(0);
    near.retain(|i| candidates[*i].price_per_hour == cheapest);
}
