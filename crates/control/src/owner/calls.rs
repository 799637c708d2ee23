//! Calls of the operator that wait for the replica's answer.

use super::Owner;
use lugwharf_chain::{Event, OperatorRequestId, OperatorResponse};
use tokio::sync::oneshot;

impl Owner {
    /// Takes a call in.
    pub(super) fn open_call(&mut self, reply: oneshot::Sender<OperatorResponse>) -> OperatorRequestId {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.calls.insert(ticket, reply);
        OperatorRequestId(ticket)
    }

    /// Answers a call. Its caller may have gone.
    pub(super) fn answer_call(&mut self, ticket: OperatorRequestId, answer: OperatorResponse) {
        if let Some(reply) = self.calls.remove(&ticket.0) {
            drop(reply.send(answer));
        }
    }

    /// Tells the replica of callers that have gone.
    pub(super) fn drop_abandoned(&mut self) {
        let gone = self.calls.iter().filter(|(_, reply)| reply.is_closed());
        let gone: Vec<u64> = gone.map(|(ticket, _)| *ticket).collect();
        for ticket in gone {
            self.calls.remove(&ticket);
            self.chain(Event::Cancel { id: OperatorRequestId(ticket) });
        }
    }
}
