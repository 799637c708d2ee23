//! State transfer: a replica installs the history of its view, and starts to serve once all replicas have
//! done so.

use super::ChainModel;
use super::collections::SmallSet;
use super::guards::Guard;
use super::step::{Step, Steps};
use super::view::History;

impl ChainModel {
    /// A replica installs the history that the source of its view has sent.
    pub(super) fn install_history(&self, machine: usize, view: u8, history: History, steps: &mut Steps<'_>) {
        let node = &steps.from.nodes[machine];
        let records = &node.records;
        let is_in_chain = records.view.is_in_chain(node.identity);
        let is_sealed = node.is_sealed() && self.guards.has(Guard::SealStopsInstall);
        if records.view.number != view || !is_in_chain || is_sealed || records.installed >= view {
            return;
        }
        steps.add(Step::Install { machine, view }, |state| {
            let records = &mut state.nodes[machine].records;
            records.history = history;
            records.installed = view;
            self.act_on_synced_records(state, machine);
        });
    }

    /// A replica learns that all replicas of its chain have installed the history, and starts to serve.
    pub(super) fn start_serving(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let view = node.records.view;
        let is_in_chain = view.is_in_chain(node.identity);
        if node.is_serving || !is_in_chain || !self.may_serve(&view) {
            return;
        }
        let mut required = view.chain.set();
        if !self.guards.has(Guard::ServeAfterInstall) {
            required = SmallSet::of(&[node.identity]);
        }
        if required.is_subset_of(state.installed_members[usize::from(view.number) - 1]) {
            steps.add(Step::StartServing { machine, view: view.number }, |state| {
                state.nodes[machine].is_serving = true;
                self.act_on_synced_records(state, machine);
            });
        }
    }

    /// A machine outside the chain, member or not, learns the committed history. Its `installed` view number
    /// does not change.
    pub(super) fn learn_committed(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let is_outside_chain = !node.records.view.is_in_chain(node.identity);
        if is_outside_chain && state.committed_prefix_len(&node.records.history) < state.committed.len() {
            steps.add(Step::LearnCommitted { machine }, |state| {
                state.nodes[machine].records.history = state.committed;
                self.act_on_synced_records(state, machine);
            });
        }
    }
}
