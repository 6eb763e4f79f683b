//! Places in which a model's engines can be had, while one plan is made.

use std::collections::HashMap;

use super::counts::EngineCounts;
use super::placement::Place;
use super::plan::{ModelPlan, PlanInput};
use super::refusals::Supply;
use super::{Market, MicroPrice, Offer};
use crate::core::id::{MachineClass, ModelName, ZoneId};
use crate::core::time::Moment;

/// Seconds in a thousand hours.
const THOUSAND_HOURS_SECONDS: u128 = 3_600_000;

/// What is left for the models that are not planned yet.
pub(super) struct Planner<'a> {
    input: &'a PlanInput<'a>,
    counts: EngineCounts<'a>,
    /// Engines without a model, by supply whose starts were refused.
    idle: HashMap<Supply, u32>,
}

impl<'a> Planner<'a> {
    /// Begins a plan. Where starts were refused, a model can have its own engines and, if it is the first
    /// one that asks, those without a model.
    pub(super) fn new(input: &'a PlanInput<'a>, now: Moment) -> Self {
        let counts = EngineCounts::new(input.engines);
        let mut idle = HashMap::new();
        for offer in input.offers {
            for market in [Market::Reclaimable, Market::OnDemand] {
                let supply = offer.supply(market);
                if input.refusals.until(&supply, now).is_some() {
                    let count = counts.get(&supply, None);
                    idle.insert(supply, count);
                }
            }
        }
        Self {
            input,
            counts,
            idle,
        }
    }

    /// Returns the places in which a model can have engines of a class.
    pub(super) fn places(&self, model: &ModelName, class: &MachineClass) -> Vec<Place> {
        let offers = self.input.offers.iter();
        let offers = offers.filter(|o| o.class == *class && self.is_allowed(&o.zone));
        let mut places = Vec::new();
        for offer in offers {
            for market in [Market::Reclaimable, Market::OnDemand] {
                let supply = offer.supply(market);
                let running = self.counts.get(&supply, Some(model));
                places.push(Place {
                    zone: offer.zone.clone(),
                    market,
                    price: self.price_with_risk(offer, market),
                    running,
                    available: self.idle.get(&supply).map(|idle| idle + running),
                });
            }
        }
        places
    }

    /// Takes the engines without a model that a plan uses.
    pub(super) fn take(&mut self, plan: &ModelPlan) {
        for placed in &plan.placement.placed {
            let supply = plan.supply(placed);
            let running = self.counts.get(&supply, Some(&plan.model));
            if let Some(idle) = self.idle.get_mut(&supply) {
                *idle = idle.saturating_sub(placed.count.saturating_sub(running));
            }
        }
    }

    fn is_allowed(&self, zone: &ZoneId) -> bool {
        self.input.zones.is_empty() || self.input.zones.contains(zone)
    }

    /// Returns the price of an hour of service: while a lost VM is replaced, the hours of its replacement
    /// are paid for and serve nothing.
    fn price_with_risk(&self, offer: &Offer, market: Market) -> MicroPrice {
        let price = offer.price(market);
        if market == Market::OnDemand {
            return price;
        }
        let risk = self.input.risks.iter().find(|r| r.zone == offer.zone);
        let reclaims = risk.map_or(0, |risk| risk.reclaims_per_thousand_hours);
        let lost_seconds = u128::from(reclaims) * u128::from(self.input.replacement_time.as_secs());
        let lost = u128::from(price) * lost_seconds / THOUSAND_HOURS_SECONDS;
        price.saturating_add(MicroPrice::try_from(lost).unwrap_or(MicroPrice::MAX))
    }
}
