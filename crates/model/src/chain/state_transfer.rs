//! State transfer: installing the history of a view, and when a view starts to serve.

use super::ChainModel;
use super::collections::SmallSet;
use super::guards::Guard;
use super::step::{Step, Steps};
use super::view::History;

impl ChainModel {
    /// A replica installs the history that the source of its view offers.
    pub(super) fn install_history(&self, machine: usize, view: u8, history: History, steps: &mut Steps<'_>) {
        let node = &steps.from.nodes[machine];
        let records = &node.records;
        let in_chain = records.view.has_in_chain(node.identity);
        let is_sealed = node.is_sealed() && self.guards.has(Guard::SealStopsTakeover);
        if records.view.number != view || !in_chain || is_sealed || records.installed >= view {
            return;
        }
        steps.add(Step::Install { machine, view }, |state| {
            let records = &mut state.nodes[machine].records;
            records.history = history;
            records.installed = view;
            self.act_on_synced_records(state, machine);
        });
    }

    /// A replica learns that all replicas of its chain have installed the history, and serves.
    pub(super) fn start_serving(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let view = node.records.view;
        let in_chain = view.has_in_chain(node.identity);
        if node.is_serving || !in_chain || !self.may_serve(&view) {
            return;
        }
        let mut awaited = view.chain.set();
        if !self.guards.has(Guard::ServeAfterInstall) {
            awaited = SmallSet::of(&[node.identity]);
        }
        if awaited.is_subset_of(state.installed_members[usize::from(view.number) - 1]) {
            steps.add(Step::StartServing { machine, view: view.number }, |state| {
                state.nodes[machine].is_serving = true;
                self.act_on_synced_records(state, machine);
            });
        }
    }

    /// A machine outside the chain, member or not, learns what was committed. The view whose history it has installed stays the
    /// same.
    pub(super) fn learn_committed(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let is_outside = !node.records.view.has_in_chain(node.identity);
        if is_outside && state.committed_prefix_len(&node.records.history) < state.committed.len() {
            steps.add(Step::LearnCommitted { machine }, |state| {
                state.nodes[machine].records.history = state.committed;
                self.act_on_synced_records(state, machine);
            });
        }
    }
}
