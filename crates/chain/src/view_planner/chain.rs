//! Plans the chain of the next view.

use super::ViewPlanner;
use crate::heartbeat::Heartbeat;
use crate::log_event::{FaultyReplica, ReplicaFault};
use crate::member::MemberId;

/// The rank of a chain. Fields are compared in this order, so the most important one comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ChainRank {
    /// Whether the chain contains a member that is known to hold every acknowledged entry.
    has_up_to_date_member: bool,
    length: usize,
    /// The number of links between the replicas of the chain and all processes.
    links: usize,
    /// The number of replicas that are also in the current chain.
    kept_replicas: usize,
}

impl ViewPlanner<'_> {
    /// Whether a replica of the current chain is unusable, or two of its replicas cannot reach each other.
    pub(super) fn is_chain_broken(&self) -> bool {
        self.faulty_of(&self.view.chain).is_some()
    }

    /// The first faulty replica of the current chain, or else the first faulty member outside the chain.
    /// `None` before the first view, whose members are known only by address.
    pub fn faulty_replica(&self) -> Option<FaultyReplica> {
        if self.view.number == 0 {
            return None;
        }
        let outside = self.view.members.iter().filter(|member| self.view.position(**member).is_none());
        let outside: Vec<MemberId> = outside.copied().collect();
        self.faulty_of(&self.view.chain).or_else(|| self.faulty_of(&outside))
    }

    /// The first of these processes that is unusable, or else the one with the most severed links to the
    /// others.
    fn faulty_of(&self, processes: &[MemberId]) -> Option<FaultyReplica> {
        let unusable = processes.iter().find_map(|process| {
            self.fault_of(*process).map(|fault| FaultyReplica { address: process.address, fault })
        });
        unusable.or_else(|| {
            let severed = self.process_with_most_severed_links(processes)?;
            Some(FaultyReplica { address: severed.address, fault: ReplicaFault::LinkSevered })
        })
    }

    /// The process that has the most severed links to the others; `None` if no link is severed. Among
    /// processes with equally many severed links, the first one is chosen, and the local process last: it
    /// observes that a peer does not answer, but not why.
    fn process_with_most_severed_links(&self, processes: &[MemberId]) -> Option<MemberId> {
        let severed_links = |one: &MemberId| {
            let is_link_severed =
                |other: &&MemberId| self.peers.is_link_severed(one.address, other.address, self.now);
            processes.iter().filter(is_link_severed).count()
        };
        let rank = |one: &MemberId| (severed_links(one), *one != self.local_member);
        let severed = processes.iter().rev().copied().filter(|one| severed_links(one) > 0);
        severed.max_by_key(rank)
    }

    /// The fault that makes a process unusable as a replica, if there is one.
    fn fault_of(&self, replica: MemberId) -> Option<ReplicaFault> {
        if replica.address == self.local_member.address {
            if replica != self.local_member {
                return Some(ReplicaFault::DiskLost);
            }
            return (!self.disk_healthy).then_some(ReplicaFault::DiskFault);
        }
        match self.peers.live_heartbeat(replica.address, self.now) {
            Some(heartbeat) if heartbeat.sender != replica => Some(ReplicaFault::DiskLost),
            Some(heartbeat) if !heartbeat.disk_healthy => Some(ReplicaFault::DiskFault),
            Some(heartbeat) if heartbeat.is_leaving => Some(ReplicaFault::Leaving),
            Some(_) => None,
            None => (!self.peers.is_reachable_by_others(replica.address, self.now))
                .then_some(ReplicaFault::Unreachable),
        }
    }

    /// The chain of the next view: the largest set of members that can all reach each other and include this
    /// process. The chain contains one of `up_to_date_members` if possible, and as many replicas of the
    /// current chain as possible, in their current order.
    pub(super) fn next_chain(&self, members: &[MemberId], up_to_date_members: &[MemberId]) -> Vec<MemberId> {
        let mut candidates: Vec<MemberId> = members
            .iter()
            .copied()
            .filter(|member| self.may_be_replica(*member, up_to_date_members))
            .collect();
        candidates.sort_by_key(|member| (self.view.position(*member).unwrap_or(usize::MAX), member.address));
        let mut best = self.largest_clique(&candidates, up_to_date_members);
        let max_length = self.max_chain_length(members.len());
        if best.len() > max_length {
            let surplus = best.split_off(max_length);
            let up_to_date_member = surplus.into_iter().find(|member| up_to_date_members.contains(member));
            let has_up_to_date_member = best.iter().any(|member| up_to_date_members.contains(member));
            // A replica beyond the maximum length is needed only if no other one holds the history.
            if let Some(member) = up_to_date_member.filter(|_| !has_up_to_date_member) {
                best.pop_if(|last| *last != self.local_member);
                best.push(member);
            }
        }
        best
    }

    /// The clique of the link graph with the highest rank among the candidates. Tries all subsets, which is
    /// affordable since there are no more candidates than members.
    fn largest_clique(&self, candidates: &[MemberId], up_to_date_members: &[MemberId]) -> Vec<MemberId> {
        let is_linked =
            |one: &MemberId, other: &MemberId| self.peers.is_linked(one.address, other.address, self.now);
        let is_clique =
            |set: &[MemberId]| set.iter().all(|one| set.iter().all(|other| is_linked(one, other)));
        if is_clique(candidates) {
            return candidates.to_vec();
        }
        let mut best = Vec::new();
        for subset in 0..1_u32 << candidates.len() {
            let chosen = select(candidates, subset);
            let is_better =
                self.chain_rank(&chosen, up_to_date_members) > self.chain_rank(&best, up_to_date_members);
            if is_better && chosen.contains(&self.local_member) && is_clique(&chosen) {
                best = chosen;
            }
        }
        best
    }

    /// The maximum length of a chain. Each further replica adds latency to every change.
    fn max_chain_length(&self, member_count: usize) -> usize {
        (self.view.min_members as usize).max(member_count.div_ceil(2))
    }

    fn chain_rank(&self, chain: &[MemberId], up_to_date_members: &[MemberId]) -> ChainRank {
        let has_up_to_date_member = chain.iter().any(|member| up_to_date_members.contains(member));
        let kept_replicas = chain.iter().filter(|member| self.view.position(**member).is_some()).count();
        let links = chain.iter().map(|member| self.link_count(*member)).sum();
        ChainRank { has_up_to_date_member, length: chain.len(), links, kept_replicas }
    }

    /// The number of processes to which a member has a link. Operators send requests to any process, which
    /// forwards them to the ends of the chain.
    fn link_count(&self, member: MemberId) -> usize {
        let others = self.peers.live_addresses(self.now).into_iter();
        others.filter(|other| self.peers.is_linked(member.address, *other, self.now)).count()
    }

    /// Whether a member may be a replica of the next chain, apart from its links.
    fn may_be_replica(&self, member: MemberId, up_to_date_members: &[MemberId]) -> bool {
        if member == self.local_member {
            return true;
        }
        let heartbeat = self.peers.live_heartbeat(member.address, self.now);
        let Some(heartbeat) =
            heartbeat.filter(|heartbeat| heartbeat.sender == member && heartbeat.disk_healthy)
        else {
            return false;
        };
        // A leaving member is needed only if no other one holds the history.
        if heartbeat.is_leaving && up_to_date_members != [member] {
            return false;
        }
        let is_in_chain = self.view.position(member).is_some();
        is_in_chain || self.view.number == 0 || self.may_join_chain(heartbeat)
    }

    /// Whether a member outside the chain may join it. The view does not serve while the member fetches the
    /// entries that it lacks, so it must lack only a few, unless the current view cannot serve without it.
    fn may_join_chain(&self, heartbeat: &Heartbeat) -> bool {
        let is_healthy =
            self.peers.is_healthy_for(heartbeat.sender.address, self.settings.rejoin_after, self.now);
        is_healthy && (self.is_caught_up(heartbeat) || !self.view.may_serve())
    }
}

/// The candidates whose bits are set in `subset`.
fn select(candidates: &[MemberId], subset: u32) -> Vec<MemberId> {
    let chosen = candidates.iter().enumerate().filter(|(index, _)| subset & (1 << index) != 0);
    chosen.map(|(_, member)| *member).collect()
}
