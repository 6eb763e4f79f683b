//! JSON format of the list of VMs.

use serde::Deserialize;
use serde_json::Value;

use crate::core::fleet::{Backend, BackendKind, EntryVm, FleetView, Market, RejectedVm, VmListing};
use crate::core::id::Address;

#[derive(Debug, Deserialize)]
pub(super) struct ListWire {
    revision: u64,
    vms: Vec<Value>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindWire {
    Entry,
    Engine,
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MarketWire {
    Reclaimable,
    OnDemand,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateWire {
    Live,
    Leaving,
}

#[derive(Debug, Deserialize)]
struct VmWire {
    vm: Box<str>,
    kind: KindWire,
    zone: Box<str>,
    region: Box<str>,
    #[serde(default)]
    class: Box<str>,
    market: MarketWire,
    state: StateWire,
    address: Address,
    #[serde(default)]
    peer_address: Option<Address>,
    #[serde(default)]
    serves: Vec<Box<str>>,
}

/// A VM of the list, by kind.
enum Listed {
    Entry(EntryVm),
    Backend(Backend),
}

impl From<ListWire> for VmListing {
    fn from(list: ListWire) -> Self {
        let mut listing = Self {
            fleet: FleetView {
                revision: list.revision,
                backends: Vec::with_capacity(list.vms.len()),
            },
            ..Self::default()
        };
        for vm in list.vms {
            match Listed::try_from(vm) {
                Ok(Listed::Entry(entry)) => listing.entries.push(entry),
                Ok(Listed::Backend(backend)) => listing.fleet.backends.push(backend),
                Err(rejected) => listing.rejected.push(rejected),
            }
        }
        listing.entries.sort_by(|a, b| a.vm.cmp(&b.vm));
        listing.fleet.backends.sort_by(|a, b| a.vm.cmp(&b.vm));
        listing
    }
}

impl TryFrom<Value> for Listed {
    type Error = RejectedVm;

    fn try_from(value: Value) -> Result<Self, RejectedVm> {
        let name = value["vm"].as_str().unwrap_or_default().to_owned();
        let reject = |reason: String| RejectedVm {
            vm: name.into(),
            reason: reason.into(),
        };
        let wire: VmWire = match serde_json::from_value(value) {
            Ok(wire) => wire,
            Err(e) => return Err(reject(e.to_string())),
        };
        match wire.kind {
            KindWire::Engine => Ok(Self::Backend(wire.backend(BackendKind::Engine))),
            KindWire::Service => Ok(Self::Backend(wire.backend(BackendKind::Service))),
            KindWire::Entry => match wire.peer_address {
                Some(peer_address) => Ok(Self::Entry(wire.entry(peer_address))),
                None => Err(reject("an entry VM has no peer_address".into())),
            },
        }
    }
}

impl VmWire {
    fn backend(self, kind: BackendKind) -> Backend {
        Backend {
            vm: self.vm,
            kind,
            region: self.region,
            zone: self.zone,
            class: self.class,
            market: match self.market {
                MarketWire::Reclaimable => Market::Reclaimable,
                MarketWire::OnDemand => Market::OnDemand,
            },
            address: self.address,
            serves: self.serves.into(),
            reclaim_at: None,
            is_leaving: self.state == StateWire::Leaving,
        }
    }

    fn entry(self, peer_address: Address) -> EntryVm {
        EntryVm {
            vm: self.vm,
            region: self.region,
            zone: self.zone,
            peer_address,
            caller_address: self.address,
            is_leaving: self.state == StateWire::Leaving,
        }
    }
}
