//! Status of the node and its view of the other nodes and the back ends.

use crate::core::fleet::{Backend, BackendKind, Market};
use crate::core::membership::{Member, MemberState};
use crate::node::Phase;
use crate::operators::wire::{BackendBody, NodeBody, QueueBody, StatusBody};
use crate::operators::{OperatorContext, QueueStatus};

impl OperatorContext {
    /// Returns the status of the node and its view of the cluster.
    pub(super) fn status(&self) -> StatusBody {
        let board = &self.blackboard;
        let queues = self.control.queues();
        StatusBody {
            node: board.identity.node.clone(),
            phase: phase_name(*board.phase.read()).into(),
            revision: board.config.read().revision,
            nodes: board
                .members
                .read()
                .members
                .iter()
                .map(NodeBody::from)
                .collect(),
            backends: board
                .fleet
                .read()
                .backends
                .iter()
                .map(BackendBody::from)
                .collect(),
            queues: queues.into_iter().map(QueueBody::from).collect(),
        }
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Leaving => "leaving",
        Phase::Stopped => "stopped",
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

impl From<&Member> for NodeBody {
    fn from(member: &Member) -> Self {
        Self {
            node: member.node.clone(),
            vm: member.vm.clone(),
            region: member.region.clone(),
            zone: member.zone.clone(),
            state: state_name(member.state).into(),
            caller_address: member.caller_address.to_string().into(),
            operator_address: member.operator_address.to_string().into(),
        }
    }
}

impl From<&Backend> for BackendBody {
    fn from(backend: &Backend) -> Self {
        let kind = match backend.kind {
            BackendKind::Engine => "engine",
            BackendKind::Service => "service",
        };
        let market = match backend.market {
            Market::Reclaimable => "reclaimable",
            Market::OnDemand => "on demand",
        };
        Self {
            vm: backend.vm.clone(),
            kind: kind.into(),
            zone: backend.zone.clone(),
            class: backend.class.clone(),
            market: market.into(),
            serves: backend.serves.to_vec(),
            is_leaving: backend.is_leaving,
            reclaim_at: backend.reclaim_at,
        }
    }
}

impl From<QueueStatus> for QueueBody {
    fn from(queue: QueueStatus) -> Self {
        Self {
            model: queue.model,
            rank: queue.rank,
            waiting: queue.waiting,
            running: queue.running,
        }
    }
}
