//! Plans the next view from the heartbeats of the peers.
//!
//! Members are replaced one at a time, so that enough of the remaining members hold the history. The chain is
//! the largest set of members that can all reach each other, since each change passes through all replicas of
//! the chain. A view that may serve is only replaced by another view that may serve.

mod chain;
mod members;
#[cfg(test)]
mod tests;

use crate::log_event::ViewChangeReason;
use crate::member::MemberId;
use crate::peers::Peers;
use crate::settings::ReplicaSettings;
use crate::view::View;
use std::net::SocketAddr;
use std::time::Duration;

/// The members and the chain of a view that could be proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The members.
    pub members: Vec<MemberId>,
    /// The replicas of the chain, head first.
    pub chain: Vec<MemberId>,
}

/// The state from which a view is planned.
pub struct ViewPlanner<'a> {
    /// The current view.
    pub view: &'a View,
    /// The identity of this process.
    pub local_member: MemberId,
    /// Whether the disk of this process completes batches in time.
    pub disk_healthy: bool,
    /// Whether this process may take part in bootstrapping the first view.
    pub may_bootstrap: bool,
    /// Whether this process is shutting down.
    pub is_leaving: bool,
    /// The number of the newest view whose history this process holds on disk.
    pub installed_view: u64,
    /// The index of the newest entry that this process knows to be committed.
    pub committed_index: u64,
    /// The state of the other processes.
    pub peers: &'a Peers,
    /// The settings of the replica.
    pub settings: &'a ReplicaSettings,
    /// The current monotonic time.
    pub now: Duration,
}

impl ViewPlanner<'_> {
    /// Plans a view. The chain contains one of `up_to_date_members` if possible. These are the members known
    /// to hold every acknowledged entry; the slice is empty while no promises were received. Returns `None`
    /// if this process must not propose a view.
    pub fn plan(&self, up_to_date_members: &[MemberId]) -> Option<Plan> {
        if !self.disk_healthy || self.is_leaving || !self.reaches_majority() {
            return None;
        }
        let members = if self.view.number == 0 {
            self.bootstrap_members()
        } else {
            self.next_members(up_to_date_members)
        };
        if !members.contains(&self.local_member) {
            return None;
        }
        let chain = self.next_chain(&members, up_to_date_members);
        Some(Plan { members, chain })
    }

    /// The reason why this plan should replace the current view, if there is one.
    pub fn change_reason(&self, plan: &Plan) -> Option<ViewChangeReason> {
        if !self.is_admissible(plan) {
            return None;
        }
        if self.view.number == 0 {
            return Some(ViewChangeReason::Bootstrap);
        }
        if self.is_chain_broken() {
            return Some(ViewChangeReason::ChainBroken);
        }
        if plan.members != self.view.members {
            return Some(ViewChangeReason::MembershipChange);
        }
        (plan.chain.len() > self.view.chain.len()).then_some(ViewChangeReason::ChainExtension)
    }

    /// Whether the plan may follow the current view. A view that may serve is only replaced by another view
    /// that may serve.
    pub fn is_admissible(&self, plan: &Plan) -> bool {
        if self.view.number == 0 {
            return plan.members.len() >= self.view.majority();
        }
        let is_sufficient = self.view.is_sufficient(plan.members.len(), plan.chain.len());
        is_sufficient || (!self.view.may_serve() && plan.members.len() >= self.view.members.len())
    }

    /// Whether this process has the address of a member and bidirectional links to a majority of the members.
    fn reaches_majority(&self) -> bool {
        let members = self.view.members.iter();
        let reached = members.filter(|member| {
            member.address == self.local_member.address
                || self.peers.is_bidirectional(member.address, self.now)
        });
        self.view.has_member_at(self.local_member.address) && reached.count() >= self.view.majority()
    }

    /// The identity of the live process at an address.
    fn identity(&self, address: SocketAddr) -> Option<MemberId> {
        if address == self.local_member.address {
            Some(self.local_member)
        } else {
            self.peers.live_identity(address, self.now)
        }
    }
}
