//! A node as others know it.

use crate::core::id::{Address, NodeId, RegionId, VmId, ZoneId};

/// State of a member, in the order in which one overrides another at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Has not answered lately; still counted as a member.
    Suspect,
    /// Has said that it leaves; takes no new work but answers.
    Leaving,
    /// Gone.
    Dead,
}

/// A node as others know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of this life of the process.
    pub node: NodeId,
    /// VM on which it runs.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Where other nodes connect.
    pub peer_address: Address,
    /// Where callers connect.
    pub caller_address: Address,
    /// Where operators connect.
    pub operator_address: Address,
    /// State as last heard.
    pub state: MemberState,
    /// Raised by the member itself to refute a suspicion.
    pub incarnation: u64,
}

impl Member {
    /// Returns whether new work may be given to the member.
    pub fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// The members that a node knows, itself among them, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Members that are not dead.
    pub members: Vec<Member>,
}

impl MemberView {
    /// Returns the member with the name.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.node == node)
    }

    /// Returns the members that take new work.
    pub fn working(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.takes_work())
    }

    /// Returns the members of a region that take new work.
    pub fn working_in_region<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Member> {
        self.working()
            .filter(move |member| &*member.region == region)
    }
}
