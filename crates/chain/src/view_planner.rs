//! Plans the next view from what heartbeats tell.
//!
//! Members are replaced one at a time: a view has the same number of members as the one before, and at most one of them is new,
//! so that enough members who know the history remain. The chain is the largest set of members that all reach each other, since
//! a change passes through each of its replicas. A planner proposes nothing that could not serve.

use crate::heartbeat::Heartbeat;
use crate::log_event::ViewChangeReason;
use crate::member::MemberId;
use crate::peers::Peers;
use crate::settings::ReplicaSettings;
use crate::view::View;
use std::net::SocketAddr;
use std::time::Duration;

/// A learner may lack this many of the newest entries and still counts as caught up. What a heartbeat reports is old by as many
/// entries as operators submit between two of them.
const MAX_LEARNER_LAG: u64 = 32;

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
    /// The steady time.
    pub now: Duration,
}

impl ViewPlanner<'_> {
    /// Plans a view. Its chain contains one of `holders` if that is possible: the members that are known to hold every
    /// acknowledged entry, none before promises tell. `None` if this process is not fit to propose.
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

    fn reaches_majority(&self) -> bool {
        let members = self.view.members.iter();
        let reached = members.filter(|member| {
            member.address == self.local_member.address
                || self.peers.is_bidirectional(member.address, self.now)
        });
        self.view.has_member_at(self.local_member.address) && reached.count() >= self.view.majority()
    }

    fn identity(&self, address: SocketAddr) -> Option<MemberId> {
        if address == self.local_member.address {
            Some(self.local_member)
        } else {
            self.peers.live_identity(address, self.now)
        }
    }

    fn bootstrap_members(&self) -> Vec<MemberId> {
        let seeds = self.view.members.iter().map(|member| member.address);
        let may_bootstrap = |address: SocketAddr| {
            if address == self.local_member.address {
                return self.may_bootstrap;
            }
            let heartbeat = self.peers.live_heartbeat(address, self.now);
            self.peers.is_bidirectional(address, self.now)
                && heartbeat.is_some_and(|heartbeat| heartbeat.may_bootstrap)
        };
        seeds.filter(|address| may_bootstrap(*address)).filter_map(|address| self.identity(address)).collect()
    }

    /// The members of the next view: vacancies are filled, or a surplus member is removed, or one member is replaced. Replacing
    /// more than one at a time would leave too few members that know the history.
    fn next_members(&self, holders: &[MemberId]) -> Vec<MemberId> {
        let mut members = self.view.members.clone();
        let added = self.added_members();
        if !added.is_empty() {
            members.extend(added);
        } else if members.len() > self.view.target_member_count() {
            if let Some(position) = self.surplus_position(holders) {
                members.remove(position);
            }
        } else if let Some((position, learner)) = self.replacement(holders) {
            members[position] = learner;
        }
        members
    }

    /// The learners that fill the vacancies.
    fn added_members(&self) -> Vec<MemberId> {
        let member_count = self.view.members.len();
        let mut added = self.ready_learners();
        added.truncate(self.view.target_member_count().saturating_sub(member_count));
        // An even number of members bears no more losses than the odd number below it.
        if self.view.may_serve() && (member_count + added.len()).is_multiple_of(2) {
            added.pop();
        }
        added
    }

    /// The position of the member to remove if there are more than the target. Only a log of an earlier version names so many.
    fn surplus_position(&self, holders: &[MemberId]) -> Option<usize> {
        let members = &self.view.members;
        let priority = |member: &MemberId| {
            let is_in_chain = self.view.position(*member).is_some();
            (self.should_be_replaced(*member), !is_in_chain, *member != self.local_member)
        };
        let is_dispensable = |position: &usize| self.is_dispensable(members[*position], holders);
        (0..members.len()).filter(is_dispensable).max_by_key(|position| priority(&members[*position]))
    }

    /// The position of a member to replace, and the learner that replaces it: the process at the same address with a new disk if
    /// it is ready, else any.
    fn replacement(&self, holders: &[MemberId]) -> Option<(usize, MemberId)> {
        let learners = self.ready_learners();
        let members = self.view.members.iter().enumerate();
        let replaceable = members.filter(|(_, member)| {
            self.should_be_replaced(**member) && self.is_dispensable(**member, holders)
        });
        let mut replacements = replaceable.filter_map(|(position, member)| {
            let returned = self.identity(member.address).filter(|identity| self.is_ready_learner(*identity));
            Some((position, returned.or_else(|| learners.first().copied())?))
        });
        replacements.next()
    }

    /// Whether the view can do without a member: its disk is lost, or enough other members hold the history. A process that is
    /// no member is never asked for its history again.
    fn is_dispensable(&self, member: MemberId, holders: &[MemberId]) -> bool {
        let remains = |other: &&MemberId| **other != member && self.holds_history(**other, holders);
        let copies = self.view.members.iter().filter(remains).count();
        self.has_lost_disk(member) || copies > self.view.fault_tolerance as usize
    }

    /// Whether a member holds the history: as promises tell, or as its heartbeat tells while there are none.
    fn holds_history(&self, member: MemberId, holders: &[MemberId]) -> bool {
        if !holders.is_empty() {
            return holders.contains(&member);
        }
        if member == self.local_member {
            return self.installed_view == self.view.number;
        }
        let heartbeat = self.peers.live_heartbeat(member.address, self.now);
        heartbeat.is_some_and(|heartbeat| {
            heartbeat.sender == member && heartbeat.installed_view == self.view.number
        })
    }

    /// Whether a process with another disk is alive at a member's address.
    fn has_lost_disk(&self, member: MemberId) -> bool {
        self.identity(member.address).is_some_and(|identity| identity != member)
    }

    /// The learners that may replace any member.
    fn ready_learners(&self) -> Vec<MemberId> {
        let addresses = self.peers.live_addresses(self.now).into_iter();
        let learners = addresses.filter(|address| !self.view.has_member_at(*address));
        let identities = learners.filter_map(|address| self.identity(address));
        identities.filter(|identity| self.is_ready_learner(*identity)).collect()
    }

    /// Whether some learner is ready to replace a member.
    pub fn has_ready_learner(&self) -> bool {
        !self.ready_learners().is_empty()
    }

    /// Whether a process that is no member may become one: it counts for the quorum, is healthy, does not leave, and holds the
    /// committed history.
    fn is_ready_learner(&self, identity: MemberId) -> bool {
        let heartbeat = self.peers.live_heartbeat(identity.address, self.now);
        let is_eligible = heartbeat.is_some_and(|heartbeat| {
            heartbeat.counts_for_quorum && !heartbeat.is_leaving && self.is_caught_up(heartbeat)
        });
        let is_member = self.view.members.contains(&identity);
        is_eligible
            && !is_member
            && self.peers.is_healthy_for(identity.address, self.settings.rejoin_after, self.now)
    }

    /// Whether a process holds the committed history but for the newest entries, which it gets once it is a member.
    fn is_caught_up(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.durable_commit_index.is_none_or(|index| index + MAX_LEARNER_LAG >= self.committed_index)
    }

    /// Whether a member has lost its disk, is leaving or is gone.
    fn should_be_replaced(&self, member: MemberId) -> bool {
        let heartbeat = self.peers.live_heartbeat(member.address, self.now);
        let is_leaving = heartbeat.is_some_and(|heartbeat| heartbeat.is_leaving);
        self.has_lost_disk(member) || is_leaving || self.is_gone(member)
    }

    /// Whether a member is lost to this process and to every other that is alive.
    fn is_gone(&self, member: MemberId) -> bool {
        let address = member.address;
        self.peers.is_lost(address, self.settings.replace_after, self.now)
            && !self.peers.is_heard_by_others(address, self.now)
    }

    /// Whether a replica of the current chain is unusable, or two of its replicas do not reach each other.
    fn is_chain_broken(&self) -> bool {
        let chain = &self.view.chain;
        let has_unusable = chain.iter().any(|replica| self.is_unusable(*replica));
        let is_severed = |one: &MemberId| {
            chain.iter().any(|other| self.peers.is_severed(one.address, other.address, self.now))
        };
        has_unusable || chain.iter().any(is_severed)
    }

    /// Whether a replica of the current chain lost its disk, has an unhealthy one, leaves or is unreachable.
    fn is_unusable(&self, replica: MemberId) -> bool {
        if replica.address == self.local_member.address {
            return replica != self.local_member || !self.disk_healthy;
        }
        match self.peers.live_heartbeat(replica.address, self.now) {
            Some(heartbeat) => heartbeat.sender != replica || !heartbeat.disk_healthy || heartbeat.is_leaving,
            None => !self.peers.is_heard_by_others(replica.address, self.now),
        }
    }

    /// The chain of the next view: the largest set of members that all reach each other and include this process, with one of
    /// `holders` if possible and with as many replicas of the current chain as possible, in the order of the current chain.
    fn next_chain(&self, members: &[MemberId], holders: &[MemberId]) -> Vec<MemberId> {
        let mut candidates: Vec<MemberId> =
            members.iter().copied().filter(|member| self.may_be_replica(*member, holders)).collect();
        candidates.sort_by_key(|member| (self.view.position(*member).unwrap_or(usize::MAX), member.address));
        let mut best = self.largest_clique(&candidates, holders);
        let max_length = self.max_chain_length(members.len());
        if best.len() > max_length {
            let surplus = best.split_off(max_length);
            let holder = surplus.into_iter().find(|member| holders.contains(member));
            let has_holder = best.iter().any(|member| holders.contains(member));
            // A surplus replica is only needed for a history that no other holds.
            if let Some(holder) = holder.filter(|_| !has_holder) {
                best.pop_if(|last| *last != self.local_member);
                best.push(holder);
            }
        }
        best
    }

    /// The best clique of the link graph among the candidates. Tries all subsets: there are no more candidates than members.
    fn largest_clique(&self, candidates: &[MemberId], holders: &[MemberId]) -> Vec<MemberId> {
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
            let is_better = self.chain_rank(&chosen, holders) > self.chain_rank(&best, holders);
            if is_better && chosen.contains(&self.local_member) && is_clique(&chosen) {
                best = chosen;
            }
        }
        best
    }

    /// The length of the longest useful chain. More replicas make each change slower.
    fn max_chain_length(&self, member_count: usize) -> usize {
        (self.view.min_members as usize).max(member_count.div_ceil(2))
    }

    /// The rank of a chain, the most important criterion first: it contains a holder, its length, its links to all processes, and
    /// how many replicas it shares with the current chain.
    fn chain_rank(&self, chain: &[MemberId], holders: &[MemberId]) -> (bool, usize, usize, usize) {
        let has_holder = chain.iter().any(|member| holders.contains(member));
        let kept = chain.iter().filter(|member| self.view.position(**member).is_some()).count();
        let links = chain.iter().map(|member| self.link_count(*member)).sum();
        (has_holder, chain.len(), links, kept)
    }

    /// The number of processes that a member has a link with. Operators send requests to any process, which forwards them to the
    /// ends of the chain.
    fn link_count(&self, member: MemberId) -> usize {
        let others = self.peers.live_addresses(self.now).into_iter();
        others.filter(|other| self.peers.is_linked(member.address, *other, self.now)).count()
    }

    fn may_be_replica(&self, member: MemberId, holders: &[MemberId]) -> bool {
        if member == self.local_member {
            return true;
        }
        let heartbeat = self.peers.live_heartbeat(member.address, self.now);
        let Some(heartbeat) =
            heartbeat.filter(|heartbeat| heartbeat.sender == member && heartbeat.disk_healthy)
        else {
            return false;
        };
        // One that leaves is only needed for a history that no other holds.
        if heartbeat.is_leaving && holders != [member] {
            return false;
        }
        let is_in_chain = self.view.position(member).is_some();
        is_in_chain || self.view.number == 0 || self.may_join_chain(heartbeat)
    }

    /// Whether a member outside the chain may join it. It fetches what it lacks while the view does not serve yet, so it must not
    /// lack much, unless the current view cannot serve without it.
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
