//! The acceptor of the next view, and what follows once a view is agreed.

use super::Replica;
use crate::action::Action;
use crate::heartbeat::HistoryPosition;
use crate::log_event::LogEvent;
use crate::message::Message;
use crate::paxos::ProposalNumber;
use crate::paxos::{Acceptor, Held};
use crate::record::Record;
use crate::view::View;
use lugwharf_invariants::{Invariant, check};
use std::net::SocketAddr;
use std::sync::Arc;

impl Replica {
    /// Whether a message about agreeing on this view is for this process now. Helps the sender if it is behind.
    fn votes_on(&mut self, from: SocketAddr, instance: u64) -> bool {
        let next = self.view.number + 1;
        if instance < next {
            self.on_view_request(from, instance - 1);
        }
        if instance > next {
            self.send(from, Message::ViewRequest { above: self.view.number });
        }
        instance == next && self.is_acceptor() && self.disk_healthy()
    }

    fn reject(&mut self, to: SocketAddr, instance: u64, proposal: ProposalNumber) {
        if let Some(promised) = self.acceptor.promised {
            self.send(to, Message::Rejected { instance, proposal, promised });
        }
    }

    pub(super) fn on_prepare(&mut self, from: SocketAddr, instance: u64, proposal: ProposalNumber) {
        if instance == 0 || !self.votes_on(from, instance) {
            return;
        }
        if !self.acceptor.admits(proposal) {
            return self.reject(from, instance, proposal);
        }
        self.promise(instance, proposal);
        let accepted = self.acceptor.accepted.clone();
        let position = HistoryPosition {
            installed_view: self.installation.installed,
            last_index: self.history.last_index(),
        };
        let sender = self.identity;
        self.send_synced(from, Message::Promise { sender, instance, proposal, accepted, position });
    }

    pub(super) fn on_accept(&mut self, from: SocketAddr, proposal: ProposalNumber, view: View) {
        let instance = view.number;
        if instance == 0 || !self.votes_on(from, instance) {
            return;
        }
        if !self.acceptor.admits(proposal) {
            return self.reject(from, instance, proposal);
        }
        match self.acceptor.compare(proposal, &view) {
            Held::Same => {}
            Held::Lower => {
                self.seal(proposal);
                self.acceptor.accepted = Some(Box::new((proposal, view.clone())));
                self.record(&Record::Accept { proposal, view });
            }
            Held::OtherValue => {
                check(Invariant::OneValuePerBallot, false, || {
                    format!("view {instance}, proposal {proposal:?}")
                });
                return self.log(LogEvent::ProposalNumberReused { number: instance });
            }
        }
        self.send_synced(from, Message::Accepted { instance, proposal });
    }

    /// Takes part in no proposal below this one, and in the present view no more.
    pub(super) fn promise(&mut self, instance: u64, proposal: ProposalNumber) {
        if self.acceptor.promised != Some(proposal) {
            self.seal(proposal);
            self.record(&Record::Promise { instance, proposal });
        }
    }

    /// Ends this process's part in the present view.
    fn seal(&mut self, proposal: ProposalNumber) {
        self.acceptor.promised = Some(proposal);
        self.proposer.highest_round = self.proposer.highest_round.max(proposal.round);
        if proposal.proposer != self.identity {
            self.yield_to_other();
        }
    }

    pub(super) fn on_decided(&mut self, view: View) {
        if view.number == self.view.number {
            let held = &self.view;
            check(Invariant::OneViewPerNumber, view == **held, || format!("held {held:?}, told {view:?}"));
        }
        if view.number > self.view.number {
            self.adopt(view);
        }
    }

    /// Goes over to a view that was agreed.
    pub(super) fn adopt(&mut self, view: View) {
        for replica in self.view.chain.clone() {
            if !view.chain.contains(&replica) {
                self.peers.strike(replica.address);
            }
        }
        self.record(&Record::Decided { view: view.clone() });
        self.acceptor = Acceptor::default();
        self.proposer.attempt = None;
        self.proposer.failures = 0;
        self.proposer.not_before = self.now;
        self.proposer.desired_since = None;
        self.view = Arc::new(view);
        self.view_since = self.now;
        for member in self.view.members.clone() {
            self.peers.learn(member.address, self.now);
        }
        self.head.clear();
        self.tail.clear();
        self.successor.clear();
        self.follower.clear();
        self.out.push(Action::ViewChanged(self.view.clone()));
        self.begin_installation();
        self.beat_all();
        self.drive_calls();
    }
}
