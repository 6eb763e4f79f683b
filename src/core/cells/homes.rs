//! Homes of all engines, computed once per change of members or engines.

use std::collections::BTreeMap;

use super::owner;
use super::roles::engine_job;
use crate::core::fleet::{Backend, BackendKind, FleetView};
use crate::core::id::{NodeId, RegionId, VmId, ZoneId};
use crate::core::membership::MemberView;

/// Homes of engines. A lookup replaces the scan of all members in [`super::home_of`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    by_engine: BTreeMap<VmId, NodeId>,
}

type NodeNames<'a> = Vec<&'a str>;

/// Members that accept work, by region and by zone.
#[derive(Default)]
struct MembersByLocation<'a> {
    regions: BTreeMap<&'a RegionId, NodeNames<'a>>,
    zones: BTreeMap<(&'a RegionId, &'a ZoneId), NodeNames<'a>>,
}

impl<'a> MembersByLocation<'a> {
    fn of(view: &'a MemberView) -> Self {
        let mut members = Self::default();
        for member in view.accepting_work() {
            let node = &*member.node;
            members
                .regions
                .entry(&member.region)
                .or_default()
                .push(node);
            let zone = members.zones.entry((&member.region, &member.zone));
            zone.or_default().push(node);
        }
        members
    }

    fn home_of(&self, engine: &Backend) -> Option<&'a str> {
        let zone = self.zones.get(&(&engine.region, &engine.zone));
        let nodes = zone.or_else(|| self.regions.get(&engine.region))?;
        owner(&engine_job(&engine.vm), nodes.iter().copied())
    }
}

impl Homes {
    /// Computes the homes of all engines of a region, or of all regions for `None`. Engines in a region
    /// without a member that accepts work have no home.
    pub fn of(fleet: &FleetView, view: &MemberView, region: Option<&str>) -> Self {
        let members = MembersByLocation::of(view);
        let engines = fleet
            .backends
            .iter()
            .filter(|backend| backend.kind == BackendKind::Engine)
            .filter(|backend| region.is_none_or(|region| *backend.region == *region));
        let by_engine = engines
            .filter_map(|engine| Some((engine.vm.clone(), members.home_of(engine)?.into())))
            .collect();
        Self { by_engine }
    }

    /// Returns the home of an engine.
    pub fn get(&self, engine: &str) -> Option<&NodeId> {
        self.by_engine.get(engine)
    }

    /// Returns all engines with their homes, sorted by the engine's VM.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &NodeId)> {
        self.by_engine.iter()
    }

    /// Returns the number of engines that have a home.
    pub fn len(&self) -> usize {
        self.by_engine.len()
    }

    /// Returns whether no engine has a home.
    pub fn is_empty(&self) -> bool {
        self.by_engine.is_empty()
    }
}
