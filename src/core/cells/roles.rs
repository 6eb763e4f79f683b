//! Selection of the home of an engine, the replica and successor of a request and the owner of a shard.

use super::{owner, ranked};
use crate::core::fleet::Backend;
use crate::core::id::NodeId;
use crate::core::membership::{Member, MemberView};

/// Returns the home of an engine, which owns the engine's queue and slots: a member that accepts work
/// in the engine's zone, or else in its region.
pub fn home_of(engine: &Backend, view: &MemberView) -> Option<NodeId> {
    let job = engine_job(&engine.vm);
    let members_in_region = || view.accepting_work_in_region(&engine.region);
    let members_in_zone = members_in_region().filter(|member| member.zone == engine.zone);
    owner(&job, members_in_zone.map(name))
        .or_else(|| owner(&job, members_in_region().map(name)))
        .map(NodeId::from)
}

/// Returns the nodes that may hold the replica of a request, best first: those in other zones of the
/// serving node's region, then those in its own zone. Leaves out the serving node and leaving nodes.
pub fn replica_candidates(request: &str, serving: &str, view: &MemberView) -> Vec<NodeId> {
    let Some(serving) = view.get(serving) else {
        return Vec::new();
    };
    let members_in_region = || {
        view.accepting_work_in_region(&serving.region)
            .filter(|member| member.node != serving.node)
    };
    let other_zone = members_in_region().filter(|member| member.zone != serving.zone);
    let same_zone = members_in_region().filter(|member| member.zone == serving.zone);
    let mut nodes = ranked(request, other_zone.map(name));
    nodes.extend(ranked(request, same_zone.map(name)));
    nodes.into_iter().map(NodeId::from).collect()
}

/// Returns the nodes that may take over a request, best first: the replica candidates, then the nodes of
/// other regions, which are needed when the last node of a region leaves.
pub fn successor_candidates(request: &str, serving: &str, view: &MemberView) -> Vec<NodeId> {
    let mut candidates = replica_candidates(request, serving, view);
    let Some(own) = view.get(serving) else {
        return candidates;
    };
    let elsewhere = view
        .accepting_work()
        .filter(|member| member.region != own.region);
    let elsewhere = super::ranked(request, elsewhere.map(name));
    candidates.extend(elsewhere.into_iter().map(NodeId::from));
    candidates
}

/// Returns the node that should hold the replica of a request: one in another zone of the serving
/// node's region if there is any, or else one in the same zone.
pub fn replica_of(request: &str, serving: &str, view: &MemberView) -> Option<NodeId> {
    let serving = view.get(serving)?;
    let members_in_region = || {
        view.accepting_work_in_region(&serving.region)
            .filter(|member| member.node != serving.node)
    };
    let other_zone = members_in_region().filter(|member| member.zone != serving.zone);
    owner(request, other_zone.map(name))
        .or_else(|| owner(request, members_in_region().map(name)))
        .map(NodeId::from)
}

/// Returns the owner of a ledger shard: a member that accepts work in the region of the store, or else
/// in any region.
pub fn shard_owner(shard: u32, store_region: Option<&str>, view: &MemberView) -> Option<NodeId> {
    let job = format!("shard/{shard}");
    let owner_in_store_region = store_region
        .and_then(|region| owner(&job, view.accepting_work_in_region(region).map(name)));
    owner_in_store_region
        .or_else(|| owner(&job, view.accepting_work().map(name)))
        .map(NodeId::from)
}

pub(super) fn engine_job(vm: &str) -> String {
    format!("engine/{vm}")
}

fn name(member: &Member) -> &str {
    &member.node
}
