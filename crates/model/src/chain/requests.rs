//! Operator requests: changes at the head, reads at the tail, and the confirmation of the view that both rely
//! on.

use super::ChainModel;
use super::collections::SmallSet;
use super::guards::Guard;
use super::node::{Node, PendingConfirmation};
use super::property::{COMMITTED_NEVER_REJECTED, NO_STALE_REPLY};
use super::state::State;
use super::step::{Step, Steps};
use super::view::CHANGE_COUNT;

impl ChainModel {
    fn is_serving_head(&self, node: &Node) -> bool {
        node.is_serving && self.is_active(node) && node.records.view.head() == Some(node.identity)
    }

    fn is_serving_tail(&self, node: &Node) -> bool {
        node.is_serving && self.is_active(node) && node.records.view.tail() == Some(node.identity)
    }

    /// The head appends a change, rejects it, or requests a confirmation of the view before it rejects the
    /// change.
    pub(super) fn submit_change(&self, machine: usize, change: u8, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        if !self.is_serving_head(node) || !self.may_be_submitted(state, change) {
            return;
        }
        let history = node.records.history;
        let committed = state.committed_prefix_len(&history);
        if history.position(change).is_some() && self.guards.has(Guard::RetriesDeduplicated) {
            return;
        }
        if history.len() > committed && self.guards.has(Guard::OneChangeInFlight) {
            return;
        }
        let current = self.version_of(history.items());
        let submitted = self.bounds.changes[usize::from(change)];
        if submitted.base > current && self.guards.has(Guard::RejectionsConfirmed) {
            return self.request_confirmation(machine, Some(change), Step::Submit { machine, change }, steps);
        }
        steps.add(Step::Submit { machine, change }, |state| {
            if submitted.base == current && submitted.version > current && history.len() < CHANGE_COUNT {
                state.nodes[machine].records.history.push(change);
                self.act_on_synced_records(state, machine);
            } else {
                let is_base_unknown = submitted.base > current;
                self.reject_change(state, change, is_base_unknown, state.acknowledged());
            }
        });
    }

    /// Whether an operator may submit the change: the change has no base, or its base has been acknowledged.
    fn may_be_submitted(&self, state: &State, change: u8) -> bool {
        let base = self.bounds.changes[usize::from(change)].base;
        let is_base = |other: &u8| self.bounds.changes[usize::from(*other)].version == base;
        base == 0 || state.committed.items().iter().any(is_base)
    }

    /// Rejects a change. `is_base_unknown` tells whether the reason is that the replica does not know the
    /// base of the change; `acknowledged_before` is the set of changes that were acknowledged before the
    /// request.
    fn reject_change(
        &self, state: &mut State, change: u8, is_base_unknown: bool, acknowledged_before: SmallSet,
    ) {
        if state.committed.position(change).is_some() {
            state.record_violation(COMMITTED_NEVER_REJECTED);
        }
        let base = self.bounds.changes[usize::from(change)].base;
        let is_base = |other: u8| self.bounds.changes[usize::from(other)].version == base;
        if is_base_unknown && acknowledged_before.iter().any(is_base) {
            state.record_violation(NO_STALE_REPLY);
        }
        state.rejected = state.rejected.with(change);
    }

    /// The tail starts a read, which waits for the confirmation of the view.
    pub(super) fn start_read(&self, machine: usize, steps: &mut Steps<'_>) {
        let node = &steps.from.nodes[machine];
        if node.records.view.tail() == Some(node.identity) && !node.is_sealed() {
            self.request_confirmation(machine, None, Step::Read { machine }, steps);
        }
    }

    /// Makes a read or a rejection wait until a majority has confirmed the view.
    fn request_confirmation(&self, machine: usize, rejection: Option<u8>, step: Step, steps: &mut Steps<'_>) {
        let state = steps.from;
        if state.remaining_confirmations == 0 || state.nodes[machine].pending_confirmation.is_some() {
            return;
        }
        let pending = PendingConfirmation {
            rejection,
            acknowledged_before: state.acknowledged(),
            confirmers: SmallSet::default(),
        };
        steps.add(step, |state| {
            state.remaining_confirmations -= 1;
            state.nodes[machine].pending_confirmation = Some(pending);
        });
    }

    /// A member that has not promised a later view confirms the current view to a machine that asks.
    pub(super) fn confirm_view(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let is_sealed = node.is_sealed() && self.guards.has(Guard::SealStopsConfirmation);
        if !node.is_member() || is_sealed {
            return;
        }
        for asker in 0..state.nodes.len() {
            let asking = &state.nodes[asker];
            let Some(pending) = asking.pending_confirmation else { continue };
            let same_view = asking.records.view.number == node.records.view.number;
            if same_view && !pending.confirmers.contains(node.identity) {
                let confirmers = pending.confirmers.with(node.identity);
                steps.add(Step::Confirm { machine, asker }, |state| {
                    state.nodes[asker].pending_confirmation =
                        Some(PendingConfirmation { confirmers, ..pending });
                });
            }
        }
    }

    /// Answers the pending read or rejection of a machine once a majority has confirmed the view. A change
    /// whose base has become known meanwhile is not rejected; operators may submit it again.
    pub(super) fn answer_confirmed(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let Some(pending) = node.pending_confirmation else { return };
        let is_confirmed = pending.confirmers.len() >= node.records.view.majority();
        let history = node.records.history;
        let committed = state.committed_prefix_len(&history);
        match pending.rejection {
            None if self.is_serving_tail(node)
                && (is_confirmed || !self.guards.has(Guard::ReadsConfirmed)) =>
            {
                steps.add(Step::Answer { machine }, |state| {
                    state.nodes[machine].pending_confirmation = None;
                    if !pending.acknowledged_before.is_subset_of(history.set_of_first(committed)) {
                        state.record_violation(NO_STALE_REPLY);
                    }
                });
            }
            Some(change) if self.is_serving_head(node) && is_confirmed && history.len() <= committed => {
                let is_base_unknown =
                    self.bounds.changes[usize::from(change)].base > self.version_of(history.items());
                steps.add(Step::Answer { machine }, |state| {
                    state.nodes[machine].pending_confirmation = None;
                    if is_base_unknown {
                        self.reject_change(state, change, true, pending.acknowledged_before);
                    }
                });
            }
            _ => {}
        }
    }
}
