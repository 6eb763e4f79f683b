//! Checks of customers' limits.

use super::{Checks, Violation, violation};
use crate::config::{BELOW_LIMIT, CUSTOMERS, Customer, QUOTA_OVERRUN, QUOTA_SLACK, QUOTA_WINDOW};
use crate::history::{Moment, Outcome};

/// Status of a call that exceeds its customer's limit.
const OVER_LIMIT_STATUS: u16 = 429;

/// A call that a back end has executed.
#[derive(Clone, Copy, Debug)]
struct Executed {
    sent: Moment,
    /// When the first back end received it.
    arrived: Moment,
    units: u32,
}

impl Checks<'_> {
    /// Checks that no customer exceeds its limit in a sliding window, whatever faults there are.
    pub(super) fn quotas(&self) -> Vec<Violation> {
        let limited = CUSTOMERS.iter().filter(|c| c.limit.0 > 0.0);
        limited.filter_map(|c| self.quota(c)).collect()
    }

    fn quota(&self, customer: &Customer) -> Option<Violation> {
        let executed = self.executed(customer);
        let units_from = |from: Moment| -> u32 {
            let window = executed.iter().filter(|call| call.sent >= from);
            let window = window.filter(|call| call.arrived <= from + QUOTA_WINDOW);
            window.map(|call| call.units).sum()
        };
        let starts = executed
            .iter()
            .map(|call| (units_from(call.sent), call.sent));
        let (units, from) = starts.max()?;
        let (rate, burst) = customer.limit;
        let in_window = rate * QUOTA_WINDOW.as_secs_f64() + burst;
        let allowed = in_window * (1.0 + QUOTA_OVERRUN) + QUOTA_SLACK;
        let name = customer.name;
        let what = format!("{name} was served {units} units from {from:?}, allowed {allowed:.0}");
        (f64::from(units) > allowed).then(|| violation("customer limits", what))
    }

    /// Returns the customer's calls that were executed.
    fn executed(&self, customer: &Customer) -> Vec<Executed> {
        let attempts = self.events.attempts.iter();
        let of_customer = attempts.filter(|a| a.customer == customer.name);
        let executed = of_customer.filter_map(|a| {
            Some(Executed {
                sent: a.sent,
                arrived: self.runs(a).first()?.at,
                units: a.units,
            })
        });
        executed.collect()
    }

    /// Checks that a customer below its limit is not refused once all nodes have recovered from faults.
    pub(super) fn calls_below_the_limit(&self) -> Vec<Violation> {
        let late = self.events.attempts.iter();
        let late = late.filter(|a| a.sent >= self.span.recovered && a.customer == BELOW_LIMIT.name);
        let refused = late.filter(|a| {
            matches!(a.outcome, Outcome::Answered { status, .. } if status == OVER_LIMIT_STATUS)
        });
        let refused: Vec<_> = refused.map(|a| (&*a.id, a.node, a.sent)).collect();
        match refused.is_empty() {
            true => Vec::new(),
            false => {
                let name = BELOW_LIMIT.name;
                let count = refused.len();
                let what = format!("{count} calls of {name} refused, first {:?}", refused[0]);
                vec![violation("calls below the limit are served", what)]
            }
        }
    }
}
