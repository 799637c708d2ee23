//! The view change, and restarts of voters.

use super::ElectionModel;
use super::guards::Guard;
use super::node::{GrantedLease, LEASE_TICKS, Node, SyncedVote, members};
use super::state::{State, Step, Steps};

impl ElectionModel {
    /// Adds the view change and the restarts of a machine.
    pub(super) fn fault_steps(&self, machine: usize, steps: &mut Steps<'_>) {
        self.change_view(machine, steps);
        self.restart(machine, steps);
    }

    fn change_view(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        if !self.bounds.may_change_view {
            return;
        }
        if node.view == 1 && node.sealed == 0 {
            steps.add(Step::AcceptView(machine), |state| state.nodes[machine].sealed = 1);
        }
        // A machine that is neither a member nor a holder would only stop, which has the same effect as
        // sending nothing.
        let is_observable = members(2).contains(&machine) || node.elector.is_lease_holder();
        if node.view < 2 && is_observable && state.has_second_view() {
            steps.add(Step::EnterView(machine), |state| self.enter_second_view(state, machine));
        }
    }

    fn enter_second_view(&self, state: &mut State, machine: usize) {
        let votes_from = state.now + LEASE_TICKS;
        let is_member = members(2).contains(&machine);
        // A holder that stays a member keeps its lease; a candidate of the first view ends its campaign.
        if !state.nodes[machine].elector.is_lease_holder() {
            self.release_lease(state, machine);
        }
        let node = &mut state.nodes[machine];
        node.view = 2;
        node.sealed = 1;
        if self.guards.has(Guard::NoVotesAfterViewChange) {
            node.votes_from = node.votes_from.max(votes_from);
        }
        if !is_member {
            self.release_lease(state, machine);
        }
    }

    fn restart(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        if state.remaining_crashes == 0 {
            return;
        }
        let synced = state.nodes[machine].synced_vote;
        steps.add(Step::Restart(machine), |state| self.restart_with(state, machine, synced));
        if !self.guards.has(Guard::VoteAfterSync) && synced.is_some() {
            steps.add(Step::RestartUnsynced(machine), |state| self.restart_with(state, machine, None));
        }
    }

    /// Restarts a machine that finds `synced_vote` on its disk.
    fn restart_with(&self, state: &mut State, machine: usize, synced_vote: Option<SyncedVote>) {
        state.remaining_crashes -= 1;
        let lease_end = state.now + LEASE_TICKS;
        let Node { view, sealed, .. } = state.nodes[machine];
        let mut node = Node { view, sealed, synced_vote, ..Node::default() };
        if let Some(SyncedVote { token, holder }) = synced_vote {
            node.highest_token = token;
            if self.guards.has(Guard::RegrantAfterRestart) {
                node.granted_lease = Some(GrantedLease { holder, token, expires_at: lease_end });
            }
        } else if self.guards.has(Guard::QuarantineWithoutRecord) {
            node.quarantined_until = lease_end;
        }
        if self.guards.has(Guard::NoVotesAfterRestart) {
            node.votes_from = lease_end;
        }
        state.nodes[machine] = node;
    }
}
