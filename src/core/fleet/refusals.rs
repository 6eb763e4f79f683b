//! Which starts the cloud has refused lately.

use std::collections::HashMap;
use std::time::Duration;

use super::Market;
use crate::core::id::{MachineClass, ZoneId};
use crate::core::time::Moment;

/// Wait after the first refusal; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(30);
/// Longest wait after a refusal.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Where VMs of one kind are had.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Supply {
    /// Availability zone.
    pub zone: ZoneId,
    /// Class of VM.
    pub class: MachineClass,
    /// How the VMs are paid for.
    pub market: Market,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    backoff: Duration,
    until: Moment,
}

/// Starts that the cloud has refused lately, with a time before which none is tried again.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    by_supply: HashMap<Supply, Refusal>,
    /// Refusals that others met, with the time before which none is tried again.
    heard: HashMap<Supply, Moment>,
}

impl Refusals {
    /// Notes a refused start and returns when to try again.
    pub fn refused(&mut self, supply: Supply, now: Moment) -> Moment {
        let backoff = match self.by_supply.get(&supply) {
            Some(last) => (last.backoff * 2).min(MAX_BACKOFF),
            None => FIRST_BACKOFF,
        };
        let until = now + backoff;
        self.by_supply.insert(supply, Refusal { backoff, until });
        until
    }

    /// Notes a start that succeeded.
    pub fn started(&mut self, supply: &Supply) {
        self.by_supply.remove(supply);
    }

    /// Replaces the refusals that others met.
    pub fn heard(&mut self, refused: impl IntoIterator<Item = (Supply, Moment)>) {
        self.heard = refused.into_iter().collect();
    }

    /// Returns the refusals met here, with the time before which no start is tried.
    pub fn own(&self, now: Moment) -> impl Iterator<Item = (&Supply, Moment)> {
        let refused = self.by_supply.iter();
        let refused = refused.map(|(supply, refusal)| (supply, refusal.until));
        refused.filter(move |(_, until)| now < *until)
    }

    /// Returns until when no start is tried, if there was a refusal lately.
    pub fn until(&self, supply: &Supply, now: Moment) -> Option<Moment> {
        let own = self.by_supply.get(supply).map(|refusal| refusal.until);
        let until = own.max(self.heard.get(supply).copied())?;
        (now < until).then_some(until)
    }
}
