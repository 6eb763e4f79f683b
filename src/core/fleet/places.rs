//! Places that are available to the models of one plan.

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

/// Available engines during the computation of one plan.
pub(super) struct Planner<'a> {
    input: &'a PlanInput<'a>,
    counts: EngineCounts<'a>,
    /// Unassigned engines without a model, for those supplies whose starts were refused.
    unassigned: HashMap<Supply, u32>,
}

impl<'a> Planner<'a> {
    /// Starts a plan. In a supply whose starts were refused, a model can use only its own engines
    /// and the unassigned engines without a model; models planned earlier get those first.
    pub(super) fn new(input: &'a PlanInput<'a>, now: Moment) -> Self {
        let counts = EngineCounts::new(input.engines);
        let mut unassigned = HashMap::new();
        for offer in input.offers {
            for market in [Market::Reclaimable, Market::OnDemand] {
                let supply = offer.supply(market);
                if input.refusals.until(&supply, now).is_some() {
                    let count = counts.get(&supply, None);
                    unassigned.insert(supply, count);
                }
            }
        }
        Self {
            input,
            counts,
            unassigned,
        }
    }

    /// Returns the places that are available to a model for engines of a class.
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
                    available: self
                        .unassigned
                        .get(&supply)
                        .map(|unassigned| unassigned + running),
                });
            }
        }
        places
    }

    /// Marks the engines without a model that a plan uses as assigned.
    pub(super) fn assign_idle_engines(&mut self, plan: &ModelPlan) {
        for placed in &plan.placement.placed {
            let supply = plan.supply(placed);
            let running = self.counts.get(&supply, Some(&plan.model));
            if let Some(unassigned) = self.unassigned.get_mut(&supply) {
                *unassigned = unassigned.saturating_sub(placed.count.saturating_sub(running));
            }
        }
    }

    fn is_allowed(&self, zone: &ZoneId) -> bool {
        self.input.zones.is_empty() || self.input.zones.contains(zone)
    }

    /// Returns the price per hour of useful service. The time in which a replacement for a reclaimed VM
    /// starts is paid for without service, so expected reclaims raise the price.
    fn price_with_risk(&self, offer: &Offer, market: Market) -> MicroPrice {
        let price = offer.price(market);
        if market == Market::OnDemand {
            return price;
        }
        let risk = self.input.risks.iter().find(|r| r.zone == offer.zone);
        let reclaims = risk.map_or(0, |risk| risk.reclaims_per_thousand_hours);
        let unserved_seconds =
            u128::from(reclaims) * u128::from(self.input.replacement_time.as_secs());
        let extra_cost = u128::from(price) * unserved_seconds / THOUSAND_HOURS_SECONDS;
        price.saturating_add(MicroPrice::try_from(extra_cost).unwrap_or(MicroPrice::MAX))
    }
}
