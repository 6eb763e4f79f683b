//! Limits that back ends in need name on the calls a second that they take from all nodes together.
//!
//! Designed for limits of about one call a second, which hundreds of nodes cannot share: even one call of each
//! node would be too many. So only a few nodes send calls to such a back end. They are chosen by rendezvous
//! hashing, without coordination, and each uses an equal share. The shares add up to less than the limit, as
//! nodes with different views of the fleet may choose more senders for a moment.

use std::time::Duration;

use super::backends::Backend;
use super::members::{Member, Members};
use super::placement::Regions;
use crate::core::cells;
use crate::core::time::Moment;

/// Number of nodes that send calls to a back end with a limit.
const SENDERS: usize = 3;
/// Part of the limit that the senders use together.
const USED_PART: f64 = 0.85;
/// Lower bound of the limit in calls a second: only an answer can show that a limit has ended.
const MIN_PER_SECOND: f64 = 0.1;
/// Largest number of calls that a sender saves up.
const MAX_TOKENS: f64 = 1.0;
/// Time without a message of a node after which it is not chosen as a sender.
const NODE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Limit of one back end, with this node's token bucket.
#[derive(Clone, Debug)]
pub struct CallLimit {
    /// Calls a second that the back end takes from all nodes.
    per_second: f64,
    /// Part of the limit that this node may use; 0 if it is no sender.
    share: f64,
    tokens: f64,
    refilled_at: Moment,
}

impl CallLimit {
    /// Creates a limit that this node has just learned of, without a share in it.
    pub fn new(per_second: f64, now: Moment) -> Self {
        Self {
            per_second,
            share: 0.0,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Returns the calls a second that the back end takes from all nodes.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Changes the limit.
    pub fn set_per_second(&mut self, per_second: f64, now: Moment) {
        self.refill(now);
        self.per_second = per_second;
    }

    /// Changes the part of the limit that this node may use.
    pub fn set_share(&mut self, share: f64, now: Moment) {
        self.refill(now);
        self.share = share;
    }

    /// Returns whether this node may send a call.
    pub fn has_token(&self, now: Moment) -> bool {
        self.share > 0.0 && self.tokens_at(now) >= 1.0
    }

    /// Takes the token of a call. Returns whether there was one.
    pub fn try_take(&mut self, now: Moment) -> bool {
        self.refill(now);
        let is_taken = self.has_token(now);
        if is_taken {
            self.tokens -= 1.0;
        }
        is_taken
    }

    /// Returns the time until this node may send a call, or `None` if it is no sender.
    pub fn next_token_in(&self, now: Moment) -> Option<Duration> {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        (self.share > 0.0).then(|| Duration::from_secs_f64(missing / self.rate()))
    }

    /// Returns the calls a second that this node may send.
    fn rate(&self) -> f64 {
        self.per_second.max(MIN_PER_SECOND) * self.share
    }

    fn tokens_at(&self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens + self.rate() * elapsed).min(MAX_TOKENS)
    }

    fn refill(&mut self, now: Moment) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }
}

/// Chooses the nodes that send calls to back ends with a limit.
pub struct SenderChoice<'a> {
    own: &'a str,
    regions: &'a dyn Regions,
    members: Vec<(&'a Member, bool)>,
}

impl<'a> SenderChoice<'a> {
    /// Creates the choice as node `own` sees the fleet now.
    pub fn new(own: &'a str, members: &'a Members, regions: &'a dyn Regions, now: Moment) -> Self {
        let is_heard =
            |m: &Member| &*m.name == own || !members.is_silent(&m.name, now, NODE_TIMEOUT);
        let able = members.iter().filter(|m| m.is_ready || &*m.name == own);
        let members: Vec<_> = able.map(|m| (m, is_heard(m))).collect();
        Self {
            own,
            regions,
            members,
        }
    }

    /// Returns the part of a back end's limit that this node may use; 0 if it is no sender. The senders are
    /// nodes of the back end's region, if there are any.
    pub fn share(&self, backend: &Backend) -> f64 {
        let in_region = |m: &Member| self.regions.is_same_region(&m.zone, &backend.zone);
        let mut candidates: Vec<_> = self.members.iter().filter(|(m, _)| in_region(m)).collect();
        if candidates.is_empty() {
            candidates = self.members.iter().collect();
        }
        // A node that hears only few of the others may itself be the one that is cut off, and must not take
        // over from them.
        let heard = candidates.iter().filter(|(_, is_heard)| *is_heard).count();
        if heard * 2 > candidates.len() {
            candidates.retain(|(_, is_heard)| *is_heard);
        }
        let names = candidates.iter().map(|(m, _)| &*m.name);
        let mut senders = cells::ranked(&backend.id, names);
        senders.truncate(SENDERS);
        match senders.contains(&self.own) {
            true => USED_PART / senders.len() as f64,
            false => 0.0,
        }
    }
}
