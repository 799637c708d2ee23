//! The acceptor role: phases 1b and 2b of Paxos for the next view.

use super::ChainModel;
use super::guards::Guard;
use super::message::Message;
use super::node::Records;
use super::state::State;
use super::step::{Step, Steps};
use super::view::{ProposalNumber, View};

impl ChainModel {
    /// Phase 1b: an acceptor promises to accept no proposal below `proposal`.
    pub(super) fn promise_proposal(
        &self, machine: usize, instance: u8, proposal: ProposalNumber, steps: &mut Steps<'_>,
    ) {
        let node = &steps.from.nodes[machine];
        let records = node.records;
        if !node.is_member() || records.view.number + 1 != instance || !self.may_accept(&records, proposal) {
            return;
        }
        // Only a proposer that lost its records in a restart sends a second `Prepare` under one number.
        if records.promised == Some(proposal) && self.guards.proposals_are_unique() {
            return;
        }
        steps.add(Step::Promise { machine, proposal }, |state| self.record_promise(state, machine, proposal));
    }

    /// Records a promise, and sends it once the record is synced.
    pub(super) fn record_promise(&self, state: &mut State, machine: usize, proposal: ProposalNumber) {
        let node = &mut state.nodes[machine];
        node.seal(proposal);
        let Records { view, accepted, installed, history, .. } = node.records;
        let (instance, sender, last_index) = (view.number + 1, node.identity, history.len() as u8);
        let promise = Message::Promise { instance, proposal, sender, accepted, installed, last_index };
        self.send_after_sync(state, machine, promise, Guard::PromiseAfterSync);
    }

    /// Phase 2b: an acceptor accepts `view` under `proposal`.
    pub(super) fn accept_view(
        &self, machine: usize, proposal: ProposalNumber, view: View, steps: &mut Steps<'_>,
    ) {
        let node = &steps.from.nodes[machine];
        let records = node.records;
        let instance = view.number;
        if !node.is_member() || records.view.number + 1 != instance || !self.may_accept(&records, proposal) {
            return;
        }
        let previous = records.accepted.filter(|(accepted, _)| *accepted == proposal);
        let is_same_view = previous.is_some_and(|(_, accepted)| accepted == view);
        if is_same_view || (previous.is_some() && self.guards.has(Guard::OneViewPerProposal)) {
            return;
        }
        let sender = node.identity;
        steps.add(Step::Accept { machine, proposal, view }, |state| {
            if previous.is_none() {
                state.nodes[machine].seal(proposal);
                state.nodes[machine].records.accepted = Some((proposal, view));
            }
            let accepted = Message::Accepted { instance, proposal, sender };
            self.send_after_sync(state, machine, accepted, Guard::AcceptedAfterSync);
        });
    }

    /// Whether an acceptor with these records may promise or accept `proposal`.
    fn may_accept(&self, records: &Records, proposal: ProposalNumber) -> bool {
        !self.guards.has(Guard::LowerProposalsRejected)
            || records.promised.is_none_or(|promised| proposal >= promised)
    }

    /// Sends `message` once the records of the machine are synced, or immediately if `guard` is disabled.
    pub(super) fn send_after_sync(&self, state: &mut State, machine: usize, message: Message, guard: Guard) {
        if self.guards.has(guard) {
            state.send_synced(machine, message);
        } else {
            state.send(message);
        }
    }
}
