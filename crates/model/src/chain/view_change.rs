//! Steps with which a machine enters a decided view.

use super::ChainModel;
use super::guards::Guard;
use super::message::Message;
use super::node::Node;
use super::property::SOURCE_HOLDS_BASE;
use super::state::State;
use super::step::{Step, Steps};
use super::view::View;

impl ChainModel {
    /// A machine learns of a decided view and enters it.
    pub(super) fn adopt_view(&self, machine: usize, steps: &mut Steps<'_>) {
        let node = &steps.from.nodes[machine];
        for view in steps.from.decided_views {
            if view.number > node.records.view.number && self.is_adoption_observable(steps.from, node, &view)
            {
                steps.add(Step::Adopt { machine, view: view.number }, |state| {
                    self.enter_view(state, machine, view);
                    self.act_on_synced_records(state, machine);
                });
            }
        }
    }

    /// Whether the rest of the run can depend on a machine entering a view. A machine that does not vote,
    /// replicate or confirm in the view has the same effect as a machine that never enters the view.
    fn is_adoption_observable(&self, state: &State, node: &Node, view: &View) -> bool {
        let has_vote =
            state.remaining_proposals.get(usize::from(view.number) - 1).is_some_and(|left| *left > 0);
        let is_in_chain = view.is_in_chain(node.identity);
        let is_asked = has_vote || self.bounds.max_confirmations > 0;
        is_in_chain || (is_asked && view.members.contains(node.identity))
    }

    /// A machine enters a view. The source of the view sends its history as of this moment.
    pub(super) fn enter_view(&self, state: &mut State, machine: usize, view: View) {
        let node = &mut state.nodes[machine];
        node.records.view = view;
        node.records.promised = None;
        node.records.accepted = None;
        node.attempt = None;
        node.is_serving = false;
        node.pending_confirmation = None;
        if view.source != node.identity {
            return;
        }
        let is_below_base = node.records.installed < view.base;
        node.records.installed = view.number;
        let history = node.records.history;
        state.send(Message::State { view: view.number, history });
        if is_below_base && self.guards.has(Guard::SourceHoldsNewestHistory) {
            state.record_violation(SOURCE_HOLDS_BASE);
        }
    }
}
