//! Descriptions of plans and steps for operators.

use std::fmt::{self, Display, Formatter};

use super::steps::{Step, StepCause};
use super::{Market, ModelPlan};

impl Display for Market {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reclaimable => "reclaimable",
            Self::OnDemand => "on-demand",
        })
    }
}

impl Display for ModelPlan {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} needs {} engines of class {}; {} of them are for urgent work and must be left when \
             any zone loses its reclaimable VMs.",
            self.model, self.need.wanted, self.class, self.need.floor
        )?;
        for placed in &self.placement.placed {
            write!(f, " {} {} in {}.", placed.count, placed.market, placed.zone)?;
        }
        if self.placement.shortfall > 0 {
            write!(f, " {} cannot be had now.", self.placement.shortfall)?;
        }
        if self.placement.floor_shortfall > 0 {
            let missing = self.placement.floor_shortfall;
            write!(
                f,
                " The loss of a zone would leave {missing} too few for urgent work."
            )?;
        }
        Ok(())
    }
}

impl Display for StepCause {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FloorIsShort => "too few engines run for urgent work",
            Self::DemandIsShort => "too few engines run for all work",
            Self::FloorIsAtRisk => "the loss of a zone would leave too few for urgent work",
            Self::Surplus => "more engines run than are needed",
        })
    }
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load {
                vm, model, cause, ..
            } => write!(f, "load {model} on {vm}: {cause}"),
            Self::Start {
                supply,
                model,
                cause,
            } => write!(
                f,
                "start a {} VM of class {} in {} for {model}: {cause}",
                supply.market, supply.class, supply.zone
            ),
            Self::Retire { vm, supply } => {
                let cause = StepCause::Surplus;
                write!(f, "retire {vm} in {}: {cause}", supply.zone)
            }
        }
    }
}
