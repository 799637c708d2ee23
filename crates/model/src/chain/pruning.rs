//! Removes messages that no receiver would act on, which reduces the number of states.

use super::guards::{Guard, Guards};
use super::identity::{Identity, machine_of};
use super::message::Message;
use super::node::Records;
use super::state::State;

impl State {
    /// Removes the messages in flight that no machine would act on.
    pub fn prune(&mut self, guards: Guards) {
        // Without these guards a delayed message may still have an effect: it may be taken as part of a new
        // proposal, or reach a member that has lost its disk, and so no longer knows that it has already
        // acted on the message.
        if !guards.proposals_are_unique() || !guards.has(Guard::NewDiskNewIdentity) {
            return;
        }
        let mut in_flight = std::mem::take(&mut self.in_flight);
        in_flight.retain(|message| self.has_receiver(message));
        self.in_flight = in_flight;
    }

    fn has_receiver(&self, message: &Message) -> bool {
        let is_in_progress = |proposal| {
            let mut attempts = self.nodes.iter().filter_map(|node| node.attempt);
            attempts.any(|attempt| attempt.proposal == proposal)
        };
        match *message {
            Message::Prepare { instance, proposal } => self.has_receiving_acceptor(instance, |records| {
                records.promised.is_none_or(|promised| proposal > promised)
            }),
            Message::Accept { proposal, view } => self.has_receiving_acceptor(view.number, |records| {
                records.promised.is_none_or(|promised| proposal >= promised)
                    && records.accepted.is_none_or(|accepted| accepted.0 != proposal)
            }),
            Message::Promise { proposal, .. } | Message::Accepted { proposal, .. } => {
                is_in_progress(proposal)
            }
            Message::State { view, .. } => {
                let chain = self.decided_views[usize::from(view) - 1].chain;
                let lacks = |records: &Records| records.installed < view;
                chain.items().iter().any(|replica| self.has_receiving_replica(*replica, view, lacks))
            }
            Message::Replicate { view, sender, index, .. } => {
                let successor = self.decided_views[usize::from(view) - 1].successor(sender);
                let lacks = |records: &Records| {
                    records.installed < view || records.history.len() < usize::from(index)
                };
                successor.is_some_and(|replica| self.has_receiving_replica(replica, view, lacks))
            }
        }
    }

    /// The written and the synced records of an identity; none if the machine has left or has lost this disk.
    fn records_of(&self, identity: Identity) -> impl Iterator<Item = &Records> {
        let machine = machine_of(identity);
        let node = &self.nodes[machine];
        let is_present = node.identity == identity && !node.has_left;
        [&node.records, self.synced_records_of(machine)].into_iter().filter(move |_| is_present)
    }

    /// Whether a member would act on a message about view `instance`, now or once it has entered the previous
    /// view. `acts` tells whether a member in the previous view would act, given its records.
    fn has_receiving_acceptor(&self, instance: u8, acts: impl Fn(&Records) -> bool) -> bool {
        let members = self.decided_views[usize::from(instance) - 2].members;
        members.iter().any(|member| {
            self.records_of(member).any(|records| {
                let number = records.view.number;
                number + 1 < instance || (number + 1 == instance && acts(records))
            })
        })
    }

    /// Whether `replica` is in `view`, or may still enter it, with records for which `lacks` returns true.
    fn has_receiving_replica(&self, replica: Identity, view: u8, lacks: impl Fn(&Records) -> bool) -> bool {
        self.records_of(replica)
            .any(|records| records.view.number < view || (records.view.number == view && lacks(records)))
    }
}
