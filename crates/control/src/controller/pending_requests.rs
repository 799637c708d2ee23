//! Calls of the operator that wait for the replica's answer.

use super::Controller;
use lugwharf_chain::{Event, OperatorRequestId, OperatorResponse};
use tokio::sync::oneshot;

impl Controller {
    /// Takes a call in.
    pub(super) fn open_request(&mut self, reply: oneshot::Sender<OperatorResponse>) -> OperatorRequestId {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.pending_requests.insert(ticket, reply);
        OperatorRequestId(ticket)
    }

    /// Answers a call. Its caller may have gone.
    pub(super) fn respond(&mut self, ticket: OperatorRequestId, answer: OperatorResponse) {
        if let Some(reply) = self.pending_requests.remove(&ticket.0) {
            drop(reply.send(answer));
        }
    }

    /// Tells the replica of callers that have gone.
    pub(super) fn cancel_abandoned_requests(&mut self) {
        let gone = self.pending_requests.iter().filter(|(_, reply)| reply.is_closed());
        let gone: Vec<u64> = gone.map(|(ticket, _)| *ticket).collect();
        for ticket in gone {
            self.pending_requests.remove(&ticket);
            self.chain(Event::Cancel { id: OperatorRequestId(ticket) });
        }
    }
}
