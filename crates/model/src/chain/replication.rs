//! Replication along the chain (van Renesse and Schneider, Chain Replication, OSDI 2004), and commit at the
//! tail.

use super::ChainModel;
use super::guards::Guard;
use super::message::Message;
use super::node::{Node, Records};
use super::property::{ONE_CHANGE_PER_BASE, REJECTED_NEVER_COMMITTED};
use super::state::State;
use super::step::{Step, Steps};

impl ChainModel {
    /// Whether a machine participates in the replication of its current view.
    pub(super) fn is_active(&self, node: &Node) -> bool {
        let view = &node.records.view;
        let is_sealed = node.is_sealed() && self.guards.has(Guard::SealStopsReplication);
        view.is_in_chain(node.identity) && node.records.installed == view.number && !is_sealed
    }

    /// A replica appends the next entry of the history, sent by its predecessor.
    pub(super) fn receive_entry(&self, machine: usize, message: &Message, steps: &mut Steps<'_>) {
        let Message::Replicate { view, sender, index, change } = *message else { return };
        let node = &steps.from.nodes[machine];
        let records = &node.records;
        let is_next = usize::from(index) == records.history.len() + 1;
        let is_from_predecessor =
            records.view.number == view && records.view.successor(sender) == Some(node.identity);
        if self.is_active(node) && is_from_predecessor && is_next {
            steps.add(Step::Replicate { machine, view, index, change }, |state| {
                state.nodes[machine].records.history.push(change);
                self.act_on_synced_records(state, machine);
            });
        }
    }

    /// Performs the actions that follow from the synced records of a machine. The machine announces which
    /// history it has installed. A serving replica then forwards its last entry to its successor if the entry
    /// is uncommitted, and the tail commits it.
    pub(super) fn act_on_synced_records(&self, state: &mut State, machine: usize) {
        let synced = *state.synced_records_of(machine);
        let node = state.nodes[machine];
        if synced.installed > 0 {
            let announced = &mut state.installed_members[usize::from(synced.installed) - 1];
            *announced = announced.with(node.identity);
        }
        if !self.is_active(&node) || !node.is_serving {
            return;
        }
        let is_synced_view = synced.installed == node.records.installed;
        let synced_length = if is_synced_view { synced.history.len() } else { 0 };
        let last_index = if self.guards.has(Guard::ReplicateAfterSync) {
            synced_length
        } else {
            node.records.history.len()
        };
        if last_index <= state.committed_prefix_len(&node.records.history) {
            return;
        }
        let view = node.records.view;
        let index = last_index as u8;
        let change = node.records.history.items()[last_index - 1];
        if view.successor(node.identity).is_some() {
            state.send(Message::Replicate { view: view.number, sender: node.identity, index, change });
        } else {
            self.commit_up_to(state, machine, last_index);
        }
    }

    /// The tail commits the entries of its history up to `last_index`.
    fn commit_up_to(&self, state: &mut State, machine: usize, last_index: usize) {
        let Records { history, view, .. } = state.nodes[machine].records;
        for (position, change) in history.items()[..last_index].iter().enumerate() {
            match state.committed.items().get(position) {
                Some(known) if known == change => {}
                Some(_) => state.record_violation(ONE_CHANGE_PER_BASE),
                None => self.commit_change(state, *change, view.number),
            }
        }
    }

    /// Commits a change. The model acknowledges it in the same step.
    fn commit_change(&self, state: &mut State, change: u8, view: u8) {
        let current = self.version_of(state.committed.items());
        if self.bounds.changes[usize::from(change)].base != current {
            state.record_violation(ONE_CHANGE_PER_BASE);
        }
        if state.rejected.contains(change) {
            state.record_violation(REJECTED_NEVER_COMMITTED);
        }
        state.committed_in_view[state.committed.len()] = view;
        state.committed.push(change);
    }

    /// The version of the last change in `history`; 0 if there is none.
    pub(super) fn version_of(&self, history: &[u8]) -> u8 {
        history.last().map_or(0, |change| self.bounds.changes[usize::from(*change)].version)
    }
}
