//! Plans the next view from the heartbeats of the peers.
//!
//! Members are replaced one at a time, so that enough members that know the history remain. The chain is the largest set of
//! members that all reach each other, since a change passes through each of its replicas. A view that may serve is only replaced
//! by one that may serve.

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
    /// The chain, head first.
    pub chain: Vec<MemberId>,
}

/// The inputs of a plan.
pub struct ViewPlanner<'a> {
    /// The current view.
    pub view: &'a View,
    /// The identity of this process.
    pub local_member: MemberId,
    /// Whether its disk accepts batches in time.
    pub disk_healthy: bool,
    /// Whether it may take part in bootstrapping the first view.
    pub may_bootstrap: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// The number of the newest view whose history it holds on disk.
    pub installed_view: u64,
    /// The index of the newest entry that it knows to be committed.
    pub committed_index: u64,
    /// The other processes.
    pub peers: &'a Peers,
    /// The settings.
    pub settings: &'a ReplicaSettings,
    /// The monotonic time.
    pub now: Duration,
}

impl ViewPlanner<'_> {
    /// Plans a view. Its chain contains one of `holders` if that is possible: the members that are known to hold every
    /// acknowledged entry, none before there are promises. `None` if this process is not fit to propose.
    pub fn plan(&self, holders: &[MemberId]) -> Option<Plan> {
        if !self.disk_healthy || self.is_leaving || !self.reaches_majority() {
            return None;
        }
        let members =
            if self.view.number == 0 { self.bootstrap_members() } else { self.next_members(holders) };
        if !members.contains(&self.local_member) {
            return None;
        }
        let chain = self.next_chain(&members, holders);
        Some(Plan { members, chain })
    }

    /// The reason for which this plan should replace the current view, if there is one.
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

    /// Whether the plan may follow the current view: a view that may serve is only replaced by one that may serve.
    pub fn is_admissible(&self, plan: &Plan) -> bool {
        if self.view.number == 0 {
            return plan.members.len() >= self.view.majority();
        }
        let is_sufficient = self.view.is_sufficient(plan.members.len(), plan.chain.len());
        is_sufficient || (!self.view.may_serve() && plan.members.len() >= self.view.members.len())
    }

    /// Whether this process is at a member's address and has bidirectional links to a majority.
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
