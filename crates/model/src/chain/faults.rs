//! Disk syncs, and faults: restarts, lost disks, and members that leave.

use super::ChainModel;
use super::guards::Guard;
use super::identity::{MACHINE_COUNT, next_identity};
use super::node::{Node, Records};
use super::state::State;
use super::step::{Step, Steps};

impl ChainModel {
    /// Adds the sync step and the faults of a machine.
    pub(super) fn fault_steps(&self, machine: usize, steps: &mut Steps<'_>) {
        self.sync_records(machine, steps);
        self.restart(machine, steps);
        self.lose_disk(machine, steps);
        self.leave_permanently(machine, steps);
    }

    fn sync_records(&self, machine: usize, steps: &mut Steps<'_>) {
        if !steps.from.has_unsynced(machine) {
            return;
        }
        steps.add(Step::Sync { machine }, |state| {
            state.synced_records = state.nodes[machine].records;
            for message in std::mem::take(&mut state.unsynced_messages) {
                state.send(message);
            }
            self.act_on_synced_records(state, machine);
        });
    }

    /// A restart loses the unsynced records and messages. A run has at most one restart.
    fn restart(&self, machine: usize, steps: &mut Steps<'_>) {
        if !steps.from.has_sync_step(machine) {
            return;
        }
        steps.add(Step::Crash { machine }, |state| {
            let records = state.synced_records;
            let Node { identity, .. } = state.nodes[machine];
            let recovered = records.promised.filter(|_| self.guards.has(Guard::RoundRecoveredOnRestart));
            state.nodes[machine] = Node {
                identity,
                records,
                highest_round: recovered.map_or(0, |proposal| proposal.round),
                ..Node::default()
            };
            end_sync_steps(state);
        });
    }

    /// A machine loses its disk and restarts with an empty one.
    fn lose_disk(&self, machine: usize, steps: &mut Steps<'_>) {
        let Node { identity, .. } = steps.from.nodes[machine];
        if !steps.from.may_lose_disk || (identity == super::INITIAL_LEARNER && !self.bounds.may_add_learner) {
            return;
        }
        steps.add(Step::LoseDisk { machine }, |state| {
            state.may_lose_disk = false;
            let new_identity =
                if self.guards.has(Guard::NewDiskNewIdentity) { next_identity(identity) } else { identity };
            state.nodes[machine] = Node { identity: new_identity, ..Node::default() };
            if state.has_sync_step(machine) {
                end_sync_steps(state);
            }
        });
    }

    /// A member leaves permanently, and its disk is no longer available.
    fn leave_permanently(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let is_replaced = (0..MACHINE_COUNT - 1).any(|view_index| {
            let view = state.decided_views[view_index];
            view.number > 0
                && !view.members.contains(node.identity)
                && view.chain.set().is_subset_of(state.installed_members[view_index])
        });
        let is_initial_member = usize::from(node.identity) < super::INITIAL_MEMBER_COUNT;
        let is_too_early = !is_replaced && self.guards.has(Guard::LeaveAfterNextView);
        if !state.may_leave || !is_initial_member || is_too_early {
            return;
        }
        steps.add(Step::Leave { machine }, |state| {
            state.may_leave = false;
            let Node { identity, .. } = state.nodes[machine];
            state.nodes[machine] = Node { identity, has_left: true, ..Node::default() };
            if state.has_sync_step(machine) {
                end_sync_steps(state);
            }
        });
    }
}

/// Ends the modelling of syncs as separate steps. No other restart is possible, so all machines now sync
/// immediately.
fn end_sync_steps(state: &mut State) {
    state.crashing_machine = None;
    state.synced_records = Records::default();
    state.unsynced_messages = Vec::new();
}
