//! Which view would suit what is known of the peers now.

use crate::heartbeat::Heartbeat;
use crate::log_event::ViewChangeReason;
use crate::member::MemberId;
use crate::peers::Peers;
use crate::settings::ReplicaSettings;
use crate::view::View;
use std::net::SocketAddr;
use std::time::Duration;

/// A learner may lack this many of the newest entries: a heartbeat is old by as many as the operators send meanwhile.
const CATCH_UP_SLACK: u64 = 32;

/// Members and chain of a view that could be proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The members.
    pub members: Vec<MemberId>,
    /// The chain, head first.
    pub chain: Vec<MemberId>,
}

/// What a plan is made from.
pub struct Planner<'a> {
    /// The present view.
    pub view: &'a View,
    /// This process.
    pub me: MemberId,
    /// Whether its disk takes batches.
    pub disk_healthy: bool,
    /// Whether this process may take part in bootstrapping.
    pub may_bootstrap: bool,
    /// Whether it is about to end.
    pub leaving: bool,
    /// The newest view whose history it holds.
    pub installed: u64,
    /// The newest entry that it knows to be committed.
    pub committed: u64,
    /// The others.
    pub peers: &'a Peers,
    /// The settings.
    pub settings: &'a ReplicaSettings,
    /// The steady time.
    pub now: Duration,
}

impl Planner<'_> {
    /// The view that suits now, its chain with one of the holders if that can be. `None` if this process is not fit to
    /// propose one.
    pub fn plan(&self, holders: &[MemberId]) -> Option<Plan> {
        if !self.disk_healthy || self.leaving || !self.reaches_majority() {
            return None;
        }
        let members = if self.view.number == 0 { self.founders() } else { self.members(holders) };
        if !members.contains(&self.me) {
            return None;
        }
        let chain = self.chain(&members, holders);
        Some(Plan { members, chain })
    }

    /// Why the present view should give way to this plan.
    pub fn reason(&self, plan: &Plan) -> Option<ViewChangeReason> {
        if !self.admissible(plan) {
            return None;
        }
        if self.view.number == 0 {
            return Some(ViewChangeReason::Bootstrap);
        }
        if self.chain_broken() {
            return Some(ViewChangeReason::ChainBroken);
        }
        if plan.members != self.view.members {
            return Some(ViewChangeReason::MembershipChange);
        }
        (plan.chain.len() > self.view.chain.len()).then_some(ViewChangeReason::ChainExtension)
    }

    /// Whether the plan may follow the present view: a view that may serve gives way only to one that may.
    pub fn admissible(&self, plan: &Plan) -> bool {
        if self.view.number == 0 {
            return plan.members.len() >= self.view.majority();
        }
        let is_sufficient = self.view.is_sufficient(plan.members.len(), plan.chain.len());
        is_sufficient || (!self.view.may_serve() && plan.members.len() >= self.view.members.len())
    }

    fn reaches_majority(&self) -> bool {
        let members = self.view.members.iter();
        let reached = members.filter(|member| {
            member.address == self.me.address || self.peers.bidirectional(member.address, self.now)
        });
        self.view.has_member_at(self.me.address) && reached.count() >= self.view.majority()
    }

    fn identity(&self, address: SocketAddr) -> Option<MemberId> {
        if address == self.me.address { Some(self.me) } else { self.peers.identity(address, self.now) }
    }

    fn founders(&self) -> Vec<MemberId> {
        let seeds = self.view.members.iter().map(|member| member.address);
        let founds = |address: SocketAddr| {
            if address == self.me.address {
                return self.may_bootstrap;
            }
            let beat = self.peers.fresh_beat(address, self.now);
            self.peers.bidirectional(address, self.now) && beat.is_some_and(|beat| beat.may_bootstrap)
        };
        seeds.filter(|address| founds(*address)).filter_map(|address| self.identity(address)).collect()
    }

    /// The members of the next view: empty places are filled, or one place changes hands. More than one at a time would leave too
    /// few who know the history.
    fn members(&self, holders: &[MemberId]) -> Vec<MemberId> {
        let mut members = self.view.members.clone();
        let newcomers = self.newcomers();
        if !newcomers.is_empty() {
            members.extend(newcomers);
        } else if members.len() > self.view.target_member_count() {
            if let Some(position) = self.surplus(holders) {
                members.remove(position);
            }
        } else if let Some((position, standby)) = self.swap(holders) {
            members[position] = standby;
        }
        members
    }

    /// Who takes the empty places.
    fn newcomers(&self) -> Vec<MemberId> {
        let members = self.view.members.len();
        let mut newcomers = self.standbys();
        newcomers.truncate(self.view.target_member_count().saturating_sub(members));
        // Of a view that serves, an even number of members would bear no more losses than one less.
        if self.view.may_serve() && (members + newcomers.len()).is_multiple_of(2) {
            newcomers.pop();
        }
        newcomers
    }

    /// The member that gives up its place where there are more than there should be, as a log of before may name.
    fn surplus(&self, holders: &[MemberId]) -> Option<usize> {
        let members = &self.view.members;
        let wanted = |member: &MemberId| {
            let in_chain = self.view.position(*member).is_some();
            (self.vacated(*member), !in_chain, *member != self.me)
        };
        let spared = |position: &usize| self.spared(members[*position], holders);
        (0..members.len()).filter(spared).max_by_key(|position| wanted(&members[*position]))
    }

    /// A place whose member does not do any more, and who takes it.
    fn swap(&self, holders: &[MemberId]) -> Option<(usize, MemberId)> {
        let standbys = self.standbys();
        let places = self.view.members.iter().enumerate();
        let vacated = places.filter(|(_, member)| self.vacated(**member) && self.spared(**member, holders));
        let mut swaps = vacated.filter_map(|(position, member)| {
            let returned = self.identity(member.address).filter(|identity| self.stands_by(*identity));
            Some((position, returned.or_else(|| standbys.first().copied())?))
        });
        swaps.next()
    }

    /// Whether a member can do without its place: its disk is lost, or enough others that stay hold the history. A process that is no
    /// member is never asked for its history again.
    fn spared(&self, member: MemberId, holders: &[MemberId]) -> bool {
        let stays = |other: &&MemberId| **other != member && self.holds(**other, holders);
        let copies = self.view.members.iter().filter(stays).count();
        self.lost_disk(member) || copies > self.view.fault_tolerance as usize
    }

    /// Whether a member holds the history: as promises tell, or as was heard where there are none yet.
    fn holds(&self, member: MemberId, holders: &[MemberId]) -> bool {
        if !holders.is_empty() {
            return holders.contains(&member);
        }
        if member == self.me {
            return self.installed == self.view.number;
        }
        let beat = self.peers.fresh_beat(member.address, self.now);
        beat.is_some_and(|beat| beat.sender == member && beat.installed_view == self.view.number)
    }

    /// Whether another disk answers at a member's address.
    fn lost_disk(&self, member: MemberId) -> bool {
        self.identity(member.address).is_some_and(|identity| identity != member)
    }

    /// The learners that may take any place.
    fn standbys(&self) -> Vec<MemberId> {
        let addresses = self.peers.fresh_addresses(self.now).into_iter();
        let strangers = addresses.filter(|address| !self.view.has_member_at(*address));
        let identities = strangers.filter_map(|address| self.identity(address));
        identities.filter(|identity| self.stands_by(*identity)).collect()
    }

    /// Whether a learner stands ready to take the place of a member.
    pub fn has_standby(&self) -> bool {
        !self.standbys().is_empty()
    }

    /// Whether a process that is no member may become one: it counts, is well, stays, and holds the committed history.
    fn stands_by(&self, identity: MemberId) -> bool {
        let beat = self.peers.fresh_beat(identity.address, self.now);
        let fit = beat.is_some_and(|beat| beat.counts_for_quorum && !beat.is_leaving && self.caught_up(beat));
        let member = self.view.members.contains(&identity);
        fit && !member && self.peers.well_for(identity.address, self.settings.rejoin_after, self.now)
    }

    /// Whether a process holds the committed history, but for the newest entries: those it gets when it takes its place.
    fn caught_up(&self, beat: &Heartbeat) -> bool {
        beat.durable_commit_index.is_none_or(|held| held + CATCH_UP_SLACK >= self.committed)
    }

    /// Whether a member has lost its disk, leaves or is gone.
    fn vacated(&self, member: MemberId) -> bool {
        let beat = self.peers.fresh_beat(member.address, self.now);
        let leaves = beat.is_some_and(|beat| beat.is_leaving);
        self.lost_disk(member) || leaves || self.gone(member)
    }

    fn gone(&self, member: MemberId) -> bool {
        let address = member.address;
        self.peers.departed(address, self.settings.replace_after, self.now)
            && !self.peers.heard_by_others(address, self.now)
    }

    /// Whether a replica of the present chain does not do any more.
    fn chain_broken(&self) -> bool {
        let chain = &self.view.chain;
        let unfit = chain.iter().any(|replica| self.unfit(*replica));
        let severed = |one: &MemberId| {
            chain.iter().any(|other| self.peers.severed(one.address, other.address, self.now))
        };
        unfit || chain.iter().any(severed)
    }

    fn unfit(&self, replica: MemberId) -> bool {
        if replica.address == self.me.address {
            return replica != self.me || !self.disk_healthy;
        }
        match self.peers.fresh_beat(replica.address, self.now) {
            Some(beat) => beat.sender != replica || !beat.disk_healthy || beat.is_leaving,
            None => !self.peers.heard_by_others(replica.address, self.now),
        }
    }

    /// The largest set of members that all reach each other and this process, with one of the holders if that can be
    /// and with as many of the present chain as can be, in the order of the present chain.
    fn chain(&self, members: &[MemberId], holders: &[MemberId]) -> Vec<MemberId> {
        let mut candidates: Vec<MemberId> =
            members.iter().copied().filter(|member| self.replica_fit(*member, holders)).collect();
        candidates.sort_by_key(|member| (self.view.position(*member).unwrap_or(usize::MAX), member.address));
        let mut best = self.largest_clique(&candidates, holders);
        let longest = self.longest_chain(members.len());
        if best.len() > longest {
            let surplus = best.split_off(longest);
            let holder = surplus.into_iter().find(|member| holders.contains(member));
            let holds = best.iter().any(|member| holders.contains(member));
            // The surplus is wanted only for a history that nobody else holds.
            if let Some(holder) = holder.filter(|_| !holds) {
                best.pop_if(|last| *last != self.me);
                best.push(holder);
            }
        }
        best
    }

    fn largest_clique(&self, candidates: &[MemberId], holders: &[MemberId]) -> Vec<MemberId> {
        let linked =
            |one: &MemberId, other: &MemberId| self.peers.linked(one.address, other.address, self.now);
        let clique = |set: &[MemberId]| set.iter().all(|one| set.iter().all(|other| linked(one, other)));
        if clique(candidates) {
            return candidates.to_vec();
        }
        let mut best = Vec::new();
        for subset in 0..1_u32 << candidates.len() {
            let chosen = pick(candidates, subset);
            let better = self.rank(&chosen, holders) > self.rank(&best, holders);
            if better && chosen.contains(&self.me) && clique(&chosen) {
                best = chosen;
            }
        }
        best
    }

    fn longest_chain(&self, members: usize) -> usize {
        (self.view.min_members as usize).max(members.div_ceil(2))
    }

    /// What makes one chain better than another, the most important first.
    fn rank(&self, chain: &[MemberId], holders: &[MemberId]) -> (bool, usize, usize, usize) {
        let holds = chain.iter().any(|member| holders.contains(member));
        let kept = chain.iter().filter(|member| self.view.position(**member).is_some()).count();
        let reached = chain.iter().map(|member| self.reached_by(*member)).sum();
        (holds, chain.len(), reached, kept)
    }

    /// How many processes a replica has a link with: calls of the operator come to any of them, and go on to the ends of the chain.
    fn reached_by(&self, member: MemberId) -> usize {
        let others = self.peers.fresh_addresses(self.now).into_iter();
        others.filter(|other| self.peers.linked(member.address, *other, self.now)).count()
    }

    fn replica_fit(&self, member: MemberId, holders: &[MemberId]) -> bool {
        if member == self.me {
            return true;
        }
        let beat = self.peers.fresh_beat(member.address, self.now);
        let Some(beat) = beat.filter(|beat| beat.sender == member && beat.disk_healthy) else { return false };
        // One that leaves is wanted only for a history that nobody else holds.
        if beat.is_leaving && holders != [member] {
            return false;
        }
        let in_chain = self.view.position(member).is_some();
        in_chain || self.view.number == 0 || self.joins(beat)
    }

    /// Whether a member may come into the chain. What it lacks is fetched while the view does not serve yet, so that it must be
    /// little, unless the chain cannot do without it.
    fn joins(&self, beat: &Heartbeat) -> bool {
        let calm = self.peers.well_for(beat.sender.address, self.settings.rejoin_after, self.now);
        calm && (self.caught_up(beat) || !self.view.may_serve())
    }
}

fn pick(candidates: &[MemberId], subset: u32) -> Vec<MemberId> {
    let chosen = candidates.iter().enumerate().filter(|(index, _)| subset & (1 << index) != 0);
    chosen.map(|(_, member)| *member).collect()
}
