//! Whether this node reaches the back ends of a service at all.
//!
//! One back end that cannot be connected to says nothing about this node. Several of them, without one that answers in
//! between, mean that the node may be cut off. It then lets other nodes forward its calls, while it tries to connect
//! from time to time. If the back ends are gone, the other nodes do not reach them either, and say so at once.

use std::collections::HashMap;

use smallvec::SmallVec;

use super::backends::BackendId;
use super::routes::ServiceName;

/// Number of back ends in a row that cannot be connected to before the node counts as cut off from their service.
const MIN_UNREACHED: usize = 3;

/// What changed for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The node now counts as cut off.
    CutOff,
    /// The node reaches the back ends again.
    Regained,
}

#[derive(Debug, Default)]
struct ServiceReach {
    /// Back ends that could not be connected to since one answered.
    unreached: SmallVec<[BackendId; MIN_UNREACHED]>,
    is_cut_off: bool,
}

/// Reachability of the back ends of all services from this node.
#[derive(Debug, Default)]
pub struct Reachability {
    services: HashMap<ServiceName, ServiceReach>,
}

impl Reachability {
    /// Records that a back end answered or accepted a connection.
    pub fn record_reached(&mut self, service: &str) -> Change {
        let Some(reach) = self.services.get_mut(service) else {
            return Change::None;
        };
        reach.unreached.clear();
        match std::mem::take(&mut reach.is_cut_off) {
            true => Change::Regained,
            false => Change::None,
        }
    }

    /// Records that no connection could be made to a back end of a service that has `listed` back ends.
    pub fn record_unreached(&mut self, service: &str, backend: &str, listed: usize) -> Change {
        let reach = self.services.entry(service.into()).or_default();
        let is_new = reach.unreached.iter().all(|known| **known != *backend);
        if is_new && reach.unreached.len() < MIN_UNREACHED {
            reach.unreached.push(backend.into());
        }
        if reach.is_cut_off || reach.unreached.len() < MIN_UNREACHED.min(listed) {
            return Change::None;
        }
        reach.is_cut_off = true;
        Change::CutOff
    }

    /// Returns whether the node counts as cut off from the back ends of a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.is_cut_off)
    }

    /// Returns the services from whose back ends the node counts as cut off.
    pub fn cut_off(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        services
            .filter(|(_, reach)| reach.is_cut_off)
            .map(|(service, _)| service)
    }
}
