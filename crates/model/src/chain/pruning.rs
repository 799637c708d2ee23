//! Dropping messages without a receiver that would act on them, which keeps the number of states small.

use super::guards::{Guard, Guards};
use super::identity::{Identity, machine_of};
use super::message::Message;
use super::node::Records;
use super::state::State;

impl State {
    /// Drops messages that no machine will act on.
    pub fn prune(&mut self, guards: Guards) {
        // Without these guards a late message may count for a new proposal, or for a member that has forgotten it.
        if !guards.proposals_are_unique() || !guards.has(Guard::NewDiskNewIdentity) {
            return;
        }
        let mut in_flight = std::mem::take(&mut self.in_flight);
        in_flight.retain(|message| self.concerns_any(message));
        self.in_flight = in_flight;
    }

    fn concerns_any(&self, message: &Message) -> bool {
        let is_in_progress = |proposal| {
            let mut attempts = self.nodes.iter().filter_map(|node| node.attempt);
            attempts.any(|attempt| attempt.proposal == proposal)
        };
        match *message {
            Message::Prepare { instance, proposal } => self.concerns_acceptor(instance, |records| {
                records.promised.is_none_or(|promised| proposal > promised)
            }),
            Message::Accept { proposal, view } => self.concerns_acceptor(view.number, |records| {
                records.promised.is_none_or(|promised| proposal >= promised)
                    && records.accepted.is_none_or(|accepted| accepted.0 != proposal)
            }),
            Message::Promise { proposal, .. } | Message::Accepted { proposal, .. } => {
                is_in_progress(proposal)
            }
            Message::State { view, .. } => {
                let chain = self.decided_views[usize::from(view) - 1].chain;
                let lacks = |records: &Records| records.installed < view;
                chain.items().iter().any(|replica| self.concerns_replica(*replica, view, lacks))
            }
            Message::Replicate { view, sender, index, .. } => {
                let successor = self.decided_views[usize::from(view) - 1].successor(sender);
                let lacks = |records: &Records| {
                    records.installed < view || records.history.len() < usize::from(index)
                };
                successor.is_some_and(|replica| self.concerns_replica(replica, view, lacks))
            }
        }
    }

    /// What an identity has written and what it has synced, unless it is gone.
    fn records_of(&self, identity: Identity) -> impl Iterator<Item = &Records> {
        let machine = machine_of(identity);
        let node = &self.nodes[machine];
        let is_present = node.identity == identity && !node.has_left;
        [&node.records, self.synced_records_of(machine)].into_iter().filter(move |_| is_present)
    }

    /// Whether a member that votes on view `instance`, now or once it knows the view before, would act.
    fn concerns_acceptor(&self, instance: u8, acts: impl Fn(&Records) -> bool) -> bool {
        let members = self.decided_views[usize::from(instance) - 2].members;
        members.iter().any(|member| {
            self.records_of(member).any(|records| {
                let number = records.view.number;
                number + 1 < instance || (number + 1 == instance && acts(records))
            })
        })
    }

    /// Whether a replica that is in a view, or may enter it yet, lacks something.
    fn concerns_replica(&self, replica: Identity, view: u8, lacks: impl Fn(&Records) -> bool) -> bool {
        self.records_of(replica)
            .any(|records| records.view.number < view || (records.view.number == view && lacks(records)))
    }
}
