//! The proposer role: phases 1a and 2a of Paxos for the next view, and the decision.

use super::ChainModel;
use super::collections::SmallSet;
use super::guards::Guard;
use super::message::Message;
use super::node::{ProposalAttempt, Records};
use super::property::ONE_VIEW_PER_NUMBER;
use super::step::{Step, Steps};
use super::view::{MAX_VIEWS, ProposalNumber, View};
use super::view_planning::ReceivedPromise;

impl ChainModel {
    /// Phase 1a: a member starts a proposal for the view after its current one.
    pub(super) fn begin_proposal(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let number = usize::from(node.records.view.number);
        let may_propose = self.bounds.proposers.contains(machine as u8) && node.is_member();
        if !may_propose || number >= MAX_VIEWS || state.remaining_proposals[number - 1] == 0 {
            return;
        }
        let own = node.highest_round;
        // A proposer whose proposal is rejected learns the highest round that was promised.
        let promised = state.nodes.iter().map(|other| self.promised_round(&other.records)).max();
        self.begin_round(machine, own + 1, steps);
        if let Some(promised) = promised.filter(|round| *round > own) {
            self.begin_round(machine, promised + 1, steps);
        }
    }

    fn promised_round(&self, records: &Records) -> u8 {
        records.promised.map_or(0, |proposal| proposal.round)
    }

    fn begin_round(&self, machine: usize, round: u8, steps: &mut Steps<'_>) {
        let node = &steps.from.nodes[machine];
        let number = node.records.view.number;
        let proposal = ProposalNumber { round, proposer: node.identity };
        let instance = number + 1;
        steps.add(Step::Prepare { machine, proposal }, |state| {
            state.remaining_proposals[usize::from(number) - 1] -= 1;
            state.nodes[machine].attempt = Some(ProposalAttempt { proposal, view: None });
            self.record_promise(state, machine, proposal);
            self.send_after_sync(
                state,
                machine,
                Message::Prepare { instance, proposal },
                Guard::PrepareAfterSync,
            );
        });
    }

    /// Phase 2a: a proposer that has the promises of a majority proposes a view.
    pub(super) fn choose_view(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let Some(attempt) = node.attempt.filter(|attempt| attempt.view.is_none()) else { return };
        let current = node.records.view;
        let promises: Vec<ReceivedPromise> = state
            .in_flight
            .iter()
            .filter_map(|message| promise_for(message, &current, attempt.proposal))
            .collect();
        let mut chosen: Vec<View> = Vec::new();
        // The proposer may act on the promises of any majority, so each subset of the promises is tried.
        for subset in 0..1_u32 << promises.len() {
            let indexed = promises.iter().enumerate();
            let received: Vec<ReceivedPromise> =
                indexed.filter(|(index, _)| subset & 1 << index != 0).map(|(_, promise)| *promise).collect();
            let promisers = SmallSet::of(&received.iter().map(|promise| promise.member).collect::<Vec<_>>());
            if promisers.len() < current.majority() || promisers.len() < received.len() {
                continue;
            }
            for view in self.possible_views(state, node, &received) {
                if !chosen.contains(&view) {
                    chosen.push(view);
                    self.propose_view(machine, attempt.proposal, promisers, view, steps);
                }
            }
        }
    }

    fn propose_view(
        &self, machine: usize, proposal: ProposalNumber, promisers: SmallSet, view: View,
        steps: &mut Steps<'_>,
    ) {
        steps.add(Step::Propose { machine, proposal, promisers, view }, |state| {
            state.nodes[machine].attempt = Some(ProposalAttempt { proposal, view: Some(view) });
            state.send(Message::Accept { proposal, view });
        });
    }

    /// A proposer whose view a majority has accepted decides the view and enters it.
    pub(super) fn decide_view(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        let Some(ProposalAttempt { proposal: proposed, view: Some(view) }) = node.attempt else { return };
        let current = node.records.view;
        let acceptors = state.in_flight.iter().filter_map(|message| match message {
            Message::Accepted { instance, proposal, sender }
                if *instance == view.number && *proposal == proposed && current.members.contains(*sender) =>
            {
                Some(*sender)
            }
            _ => None,
        });
        let acceptors = acceptors.fold(SmallSet::default(), SmallSet::with);
        if acceptors.len() < current.majority() {
            return;
        }
        steps.add(Step::Decide { machine, view }, |state| {
            let decided = &mut state.decided_views[usize::from(view.number) - 1];
            if decided.number == 0 {
                *decided = view;
            } else if *decided != view {
                state.record_violation(ONE_VIEW_PER_NUMBER);
            }
            self.enter_view(state, machine, view);
            self.act_on_synced_records(state, machine);
        });
    }
}

/// The promise in `message`, if it is a promise of a member of the current view for the proposal `proposed`.
fn promise_for(message: &Message, current: &View, proposed: ProposalNumber) -> Option<ReceivedPromise> {
    match *message {
        Message::Promise { instance, proposal, sender, accepted, installed, last_index }
            if instance == current.number + 1 && proposal == proposed && current.members.contains(sender) =>
        {
            Some(ReceivedPromise { member: sender, accepted, installed, last_index })
        }
        _ => None,
    }
}
