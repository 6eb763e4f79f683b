//! Members and the view of all live members.

use crate::core::id::{Address, NodeId, RegionId, VmId, ZoneId};

/// State of a member. At the same incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a recent probe; still counts as a member.
    Suspect,
    /// Announced that it is leaving; accepts no new work but still answers probes.
    Leaving,
    /// Left or failed.
    Dead,
}

/// Membership record of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the node, unique for each start of the process.
    pub node: NodeId,
    /// VM on which it runs.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address for connections from other nodes.
    pub peer_address: Address,
    /// Address for connections from callers.
    pub caller_address: Address,
    /// Address for connections from operators.
    pub operator_address: Address,
    /// Last known state.
    pub state: MemberState,
    /// Raised by the member itself to refute a suspicion.
    pub incarnation: u64,
}

impl Member {
    /// Returns whether the member accepts new work.
    pub fn accepts_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// The members that a node knows, including itself, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Members that are not dead.
    pub members: Vec<Member>,
}

impl MemberView {
    /// Returns the member named `node`.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.node == node)
    }

    /// Returns the members that accept new work.
    pub fn accepting_work(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.accepts_work())
    }

    /// Returns the members of a region that accept new work.
    pub fn accepting_work_in_region<'a>(
        &'a self,
        region: &'a str,
    ) -> impl Iterator<Item = &'a Member> {
        self.accepting_work()
            .filter(move |member| &*member.region == region)
    }
}
