//! The acceptor of the instance that decides the next view: Paxos phases 1b and 2b.
//!
//! Every promise and acceptance is synced before it is sent.

use super::Replica;
use crate::heartbeat::HistoryPosition;
use crate::log_event::LogEvent;
use crate::message::Message;
use crate::paxos::{AcceptedComparison, AcceptedProposal, ProposalNumber};
use crate::record::Record;
use crate::view::View;
use lugwharf_invariants::{Invariant, check};
use std::net::SocketAddr;

impl Replica {
    /// Whether this process votes in an instance now. Also exchanges the newest view if the sender or this
    /// process is behind.
    fn votes_in(&mut self, from: SocketAddr, instance: u64) -> bool {
        let next = self.view.number + 1;
        if instance < next {
            self.on_view_request(from, instance - 1);
        }
        if instance > next {
            self.outbox.send(from, Message::ViewRequest { above: self.view.number });
        }
        instance == next && self.is_acceptor() && self.disk_healthy()
    }

    fn reject(&mut self, to: SocketAddr, instance: u64, proposal: ProposalNumber) {
        if let Some(promised) = self.acceptor.promised {
            self.outbox.send(to, Message::Rejected { instance, proposal, promised });
        }
    }

    pub(super) fn on_prepare(&mut self, from: SocketAddr, instance: u64, proposal: ProposalNumber) {
        if instance == 0 || !self.votes_in(from, instance) {
            return;
        }
        if !self.acceptor.admits(proposal) {
            return self.reject(from, instance, proposal);
        }
        self.promise(instance, proposal);
        let accepted = self.acceptor.accepted.clone();
        let installed_view = self.state_transfer.installed_view;
        let position = HistoryPosition { installed_view, last_index: self.history.last_index() };
        let sender = self.identity;
        self.send_after_sync(from, Message::Promise { sender, instance, proposal, accepted, position });
    }

    pub(super) fn on_accept(&mut self, from: SocketAddr, proposal: ProposalNumber, view: View) {
        let instance = view.number;
        if instance == 0 || !self.votes_in(from, instance) {
            return;
        }
        if !self.acceptor.admits(proposal) {
            return self.reject(from, instance, proposal);
        }
        match self.acceptor.compare_accepted(proposal, &view) {
            // The message is a duplicate. The reply may have been lost, so it is sent again.
            AcceptedComparison::Identical => {}
            AcceptedComparison::Newer => {
                self.seal(proposal);
                self.acceptor.accepted =
                    Some(Box::new(AcceptedProposal { number: proposal, view: view.clone() }));
                self.append_record(&Record::Accept { proposal, view });
            }
            AcceptedComparison::OtherView => {
                let details = || format!("view {instance}, proposal {proposal:?}");
                check(Invariant::OneValuePerBallot, false, details);
                return self.outbox.log(LogEvent::ProposalNumberReused { view_number: instance });
            }
        }
        self.send_after_sync(from, Message::Accepted { instance, proposal });
    }

    /// Promises to accept no lower-numbered proposal, which seals the current view.
    pub(super) fn promise(&mut self, instance: u64, proposal: ProposalNumber) {
        if self.acceptor.promised != Some(proposal) {
            self.seal(proposal);
            self.append_record(&Record::Promise { instance, proposal });
        }
    }

    /// Records the promise. From then on this process no longer participates in the current view.
    fn seal(&mut self, proposal: ProposalNumber) {
        self.acceptor.promised = Some(proposal);
        self.proposer.highest_round = self.proposer.highest_round.max(proposal.round);
        if proposal.proposer != self.identity {
            self.yield_to_other_proposer();
        }
    }
}
