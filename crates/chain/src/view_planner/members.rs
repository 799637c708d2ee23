//! Plans the members of the next view.

use super::ViewPlanner;
use crate::heartbeat::Heartbeat;
use crate::member::MemberId;
use std::net::SocketAddr;

/// The maximum number of newest entries that a learner may lack and still count as caught up. A heartbeat is
/// out of date by as many entries as operators submit during one heartbeat interval.
const MAX_LEARNER_LAG: u64 = 32;

impl ViewPlanner<'_> {
    /// The members of view 1: the live seeds that may bootstrap.
    pub(super) fn bootstrap_members(&self) -> Vec<MemberId> {
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

    /// The members of the next view: either vacancies are filled, or a surplus member is removed, or one
    /// member is replaced. Replacing several at once would leave too few members that hold the history.
    pub(super) fn next_members(&self, up_to_date_members: &[MemberId]) -> Vec<MemberId> {
        let mut members = self.view.members.clone();
        let added = self.added_members();
        if !added.is_empty() {
            members.extend(added);
        } else if members.len() > self.view.target_member_count() {
            if let Some(position) = self.surplus_position(up_to_date_members) {
                members.remove(position);
            }
        } else if let Some((position, learner)) = self.replacement(up_to_date_members) {
            members[position] = learner;
        }
        members
    }

    /// The learners that fill the vacancies.
    fn added_members(&self) -> Vec<MemberId> {
        let member_count = self.view.members.len();
        let mut added = self.ready_learners();
        added.truncate(self.view.target_member_count().saturating_sub(member_count));
        // An even number of members tolerates no more failures than the odd number below it.
        if self.view.may_serve() && (member_count + added.len()).is_multiple_of(2) {
            added.pop();
        }
        added
    }

    /// The position of the member to remove if there are more members than the target. Only logs of earlier
    /// versions contain such views.
    fn surplus_position(&self, up_to_date_members: &[MemberId]) -> Option<usize> {
        let members = &self.view.members;
        let priority = |member: &MemberId| {
            let is_in_chain = self.view.position(*member).is_some();
            (self.should_be_replaced(*member), !is_in_chain, *member != self.local_member)
        };
        let may_be_removed = |position: &usize| self.may_be_removed(members[*position], up_to_date_members);
        (0..members.len()).filter(may_be_removed).max_by_key(|position| priority(&members[*position]))
    }

    /// The position of a member to replace, and the learner that replaces it. The process at the same address
    /// with a new disk is preferred if it is ready.
    fn replacement(&self, up_to_date_members: &[MemberId]) -> Option<(usize, MemberId)> {
        let learners = self.ready_learners();
        let members = self.view.members.iter().enumerate();
        let replaceable = members.filter(|(_, member)| {
            self.should_be_replaced(**member) && self.may_be_removed(**member, up_to_date_members)
        });
        let mut replacements = replaceable.filter_map(|(position, member)| {
            let same_address =
                self.identity(member.address).filter(|identity| self.is_ready_learner(*identity));
            Some((position, same_address.or_else(|| learners.first().copied())?))
        });
        replacements.next()
    }

    /// Whether a member may be removed: its disk is lost, or enough other members hold the history. A process
    /// that is not a member is never asked for its history.
    fn may_be_removed(&self, member: MemberId, up_to_date_members: &[MemberId]) -> bool {
        let remains =
            |other: &&MemberId| **other != member && self.has_view_history(**other, up_to_date_members);
        let up_to_date_count = self.view.members.iter().filter(remains).count();
        self.has_lost_disk(member) || up_to_date_count > self.view.fault_tolerance as usize
    }

    /// Whether a member holds the history of the view: according to the promises or, while there are none, to
    /// its heartbeat.
    fn has_view_history(&self, member: MemberId, up_to_date_members: &[MemberId]) -> bool {
        if !up_to_date_members.is_empty() {
            return up_to_date_members.contains(&member);
        }
        if member == self.local_member {
            return self.installed_view == self.view.number;
        }
        let heartbeat = self.peers.live_heartbeat(member.address, self.now);
        heartbeat.is_some_and(|heartbeat| {
            heartbeat.sender == member && heartbeat.installed_view == self.view.number
        })
    }

    /// Whether a process with a different disk is alive at a member's address.
    fn has_lost_disk(&self, member: MemberId) -> bool {
        self.identity(member.address).is_some_and(|identity| identity != member)
    }

    /// The learners that are ready to replace a member.
    fn ready_learners(&self) -> Vec<MemberId> {
        let addresses = self.peers.live_addresses(self.now).into_iter();
        let learners = addresses.filter(|address| !self.view.has_member_at(*address));
        let identities = learners.filter_map(|address| self.identity(address));
        identities.filter(|identity| self.is_ready_learner(*identity)).collect()
    }

    /// Whether a learner is ready to replace a member.
    pub fn has_ready_learner(&self) -> bool {
        !self.ready_learners().is_empty()
    }

    /// Whether a process that is not a member may become one: it is eligible, healthy and not leaving, and
    /// holds the committed history.
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

    /// Whether a process holds the committed history except for the newest entries, which it receives once it
    /// is a member.
    pub(super) fn is_caught_up(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.durable_commit_index.is_none_or(|index| index + MAX_LEARNER_LAG >= self.committed_index)
    }

    /// Whether a member has lost its disk, is leaving or has failed.
    fn should_be_replaced(&self, member: MemberId) -> bool {
        let heartbeat = self.peers.live_heartbeat(member.address, self.now);
        let is_leaving = heartbeat.is_some_and(|heartbeat| heartbeat.is_leaving);
        self.has_lost_disk(member) || is_leaving || self.is_failed_for_all(member)
    }

    /// Whether a member is presumed to have failed by this process and by every other live process.
    fn is_failed_for_all(&self, member: MemberId) -> bool {
        let address = member.address;
        self.peers.is_presumed_failed(address, self.settings.replace_after, self.now)
            && !self.peers.is_reachable_by_others(address, self.now)
    }
}
