//! Backoff after VM starts that the cloud has refused.

use std::collections::HashMap;
use std::time::Duration;

use super::Market;
use crate::core::id::{MachineClass, ZoneId};
use crate::core::time::Moment;

/// Backoff after the first refusal; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(30);
/// Maximum backoff after a refusal.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Capacity pool of the cloud: VMs of one class in one zone and market.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Supply {
    /// Availability zone.
    pub zone: ZoneId,
    /// Class of VM.
    pub class: MachineClass,
    /// Market of the VMs.
    pub market: Market,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    backoff: Duration,
    until: Moment,
}

/// Recently refused starts by supply, each with the time before which no start is tried again.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    by_supply: HashMap<Supply, Refusal>,
    /// Refusals that other keepers report, with the time before which no start is tried again.
    remote: HashMap<Supply, Moment>,
}

impl Refusals {
    /// Records a refused start and returns the time of the next attempt.
    pub fn refused(&mut self, supply: Supply, now: Moment) -> Moment {
        let backoff = match self.by_supply.get(&supply) {
            Some(last) => (last.backoff * 2).min(MAX_BACKOFF),
            None => FIRST_BACKOFF,
        };
        let until = now + backoff;
        self.by_supply.insert(supply, Refusal { backoff, until });
        until
    }

    /// Records a successful start, which resets the backoff.
    pub fn started(&mut self, supply: &Supply) {
        self.by_supply.remove(supply);
    }

    /// Replaces the refusals that other keepers report.
    pub fn set_remote_refusals(&mut self, refused: impl IntoIterator<Item = (Supply, Moment)>) {
        self.remote = refused.into_iter().collect();
    }

    /// Returns the active refusals of this keeper, with the time before which no start is tried.
    pub fn local_refusals(&self, now: Moment) -> impl Iterator<Item = (&Supply, Moment)> {
        let refused = self.by_supply.iter();
        let refused = refused.map(|(supply, refusal)| (supply, refusal.until));
        refused.filter(move |(_, until)| now < *until)
    }

    /// Returns the end of the backoff of a supply, if there is one.
    pub fn until(&self, supply: &Supply, now: Moment) -> Option<Moment> {
        let local_refusals = self.by_supply.get(supply).map(|refusal| refusal.until);
        let until = local_refusals.max(self.remote.get(supply).copied())?;
        (now < until).then_some(until)
    }
}
