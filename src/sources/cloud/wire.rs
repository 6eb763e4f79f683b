//! JSON messages of the cloud API.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{StartVm, VmRole};
use crate::core::fleet::{Market, MicroPrice, Offer, ReclaimNotice};

/// Millionths in one unit of the currency.
const MICROS: f64 = 1e6;
/// Highest price per hour, in the currency, that is accepted as plausible.
const MAX_HOURLY_PRICE: f64 = 1e6;

/// A price out of range.
#[derive(Debug, Error)]
#[error("price {price} for {class} in {zone} is not between 0 and {MAX_HOURLY_PRICE}")]
pub(super) struct PriceError {
    price: f64,
    class: Box<str>,
    zone: Box<str>,
}

#[derive(Debug, Deserialize)]
pub(super) struct PriceWire {
    zone: Box<str>,
    class: Box<str>,
    reclaimable_per_hour: f64,
    on_demand_per_hour: f64,
    currency: Box<str>,
}

impl TryFrom<PriceWire> for Offer {
    type Error = PriceError;

    fn try_from(wire: PriceWire) -> Result<Self, PriceError> {
        let micros = |price: f64| -> Result<MicroPrice, PriceError> {
            if (0.0..=MAX_HOURLY_PRICE).contains(&price) {
                return Ok((price * MICROS).round() as MicroPrice);
            }
            Err(PriceError {
                price,
                class: wire.class.clone(),
                zone: wire.zone.clone(),
            })
        };
        Ok(Self {
            reclaimable: micros(wire.reclaimable_per_hour)?,
            on_demand: micros(wire.on_demand_per_hour)?,
            zone: wire.zone,
            class: wire.class,
            currency: wire.currency,
        })
    }
}

#[derive(Debug, Serialize)]
pub(super) struct StartRequest<'a> {
    zone: &'a str,
    class: &'a str,
    kind: &'static str,
    market: &'static str,
    token: &'a str,
}

impl<'a> From<&'a StartVm> for StartRequest<'a> {
    fn from(req: &'a StartVm) -> Self {
        Self {
            zone: &req.zone,
            class: &req.class,
            kind: match req.role {
                VmRole::Engine => "engine",
                VmRole::Service => "service",
                VmRole::Entry => "entry",
            },
            market: match req.market {
                Market::Reclaimable => "reclaimable",
                Market::OnDemand => "on_demand",
            },
            token: &req.token,
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct StartedWire {
    pub(super) vm: Box<str>,
}

/// A response whose content is ignored.
#[derive(Debug, Deserialize)]
pub(super) struct IgnoredBody {}

#[derive(Debug, Deserialize)]
pub(super) struct NoticeWire {
    vm: Box<str>,
    reclaim_at: u64,
    announced_at: u64,
}

impl From<NoticeWire> for ReclaimNotice {
    fn from(wire: NoticeWire) -> Self {
        Self {
            vm: wire.vm,
            reclaim_at: wire.reclaim_at,
            announced_at: wire.announced_at,
        }
    }
}
