//! Observed reclaim rates of zones.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ZoneRisk;
use crate::core::id::ZoneId;

/// Observed VM time of a zone after which the counts are halved, so that old observations decay.
const HALVING_VM_TIME: Duration = Duration::from_secs(14 * 24 * 3600);
/// Seconds in a thousand hours.
const THOUSAND_HOURS_SECONDS: u128 = 3_600_000;

#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    reclaims: u64,
    vm_time: Duration,
}

/// Counts reclaims and VM running time by zone.
#[derive(Clone, Debug, Default)]
pub struct RiskMeter {
    zones: BTreeMap<ZoneId, Observed>,
}

impl RiskMeter {
    /// Adds running time of one VM of a zone, and whether a reclaim of the VM was announced.
    pub fn observe(&mut self, zone: &ZoneId, ran: Duration, is_reclaimed: bool) {
        let observed = self.zones.entry(zone.clone()).or_default();
        observed.vm_time += ran;
        observed.reclaims += u64::from(is_reclaimed);
        if observed.vm_time > HALVING_VM_TIME {
            observed.vm_time /= 2;
            observed.reclaims /= 2;
        }
    }

    /// Returns the reclaim rate of each zone that had a reclaim.
    pub fn risks(&self) -> Vec<ZoneRisk> {
        let zones = self.zones.iter().filter(|(_, o)| o.reclaims > 0);
        zones.map(|(zone, observed)| observed.risk(zone)).collect()
    }
}

impl Observed {
    fn risk(&self, zone: &ZoneId) -> ZoneRisk {
        // At least one hour, so that a reclaim after a short observation does not give an extreme rate.
        let seconds = u128::from(self.vm_time.as_secs().max(3600));
        let per_thousand = u128::from(self.reclaims) * THOUSAND_HOURS_SECONDS / seconds;
        ZoneRisk {
            zone: zone.clone(),
            reclaims_per_thousand_hours: u64::try_from(per_thousand).unwrap_or(u64::MAX),
        }
    }
}
