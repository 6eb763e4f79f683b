//! Whose sums over an availability zone are taken.
//!
//! One node of each zone tells the zone's sums to the others. While that changes, or nodes disagree on which
//! one it is, several tell: the sums of one at a time are taken, as those of two say the same twice.

use std::collections::HashMap;
use std::time::Duration;

use super::origin::ZoneName;
use super::usage::Incarnation;
use crate::core::time::Moment;

/// Silence after which the sums of another node are taken.
const TELLER_SILENCE: Duration = Duration::from_millis(1500);

/// The node whose sums over a zone are taken.
#[derive(Clone, Copy, Debug)]
struct Teller {
    incarnation: Incarnation,
    number: u64,
    at: Moment,
}

/// The nodes whose sums are taken, by zone.
#[derive(Debug, Default)]
pub struct ZoneTellers {
    tellers: HashMap<ZoneName, Teller>,
}

impl ZoneTellers {
    /// Returns whether sums are to be taken that a process tells as its `number`th: each is taken once.
    pub fn takes(
        &mut self,
        zone: &str,
        incarnation: Incarnation,
        number: u64,
        now: Moment,
    ) -> bool {
        let known = self.tellers.get(zone);
        let is_due = known.is_none_or(|known| match known.incarnation == incarnation {
            true => number > known.number,
            false => now.saturating_sub(known.at) > TELLER_SILENCE,
        });
        if is_due {
            let teller = Teller {
                incarnation,
                number,
                at: now,
            };
            self.tellers.insert(zone.into(), teller);
        }
        is_due
    }
}
