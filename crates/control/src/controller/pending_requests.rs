//! Operator requests that wait for a decision of the replica.

use crate::reply::send_reply;
use lugwharf_chain::{OperatorRequestId, OperatorResponse};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The requests in flight, by the id that the replica uses for them. Ids start at 1 and are not reused.
pub struct PendingRequests {
    next_id: u64,
    by_id: BTreeMap<u64, oneshot::Sender<OperatorResponse>>,
}

impl Default for PendingRequests {
    fn default() -> PendingRequests {
        PendingRequests { next_id: 1, by_id: BTreeMap::new() }
    }
}

impl PendingRequests {
    /// Registers a request and returns its id. The response to that id is sent to `reply`.
    pub fn register(&mut self, reply: oneshot::Sender<OperatorResponse>) -> OperatorRequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.by_id.insert(id, reply);
        OperatorRequestId(id)
    }

    /// Responds to a request, unless it has been abandoned.
    pub fn respond(&mut self, id: OperatorRequestId, response: OperatorResponse) {
        if let Some(reply) = self.by_id.remove(&id.0) {
            send_reply(reply, response);
        }
    }

    /// Removes the requests whose requester no longer waits, and returns their ids in ascending order.
    pub fn remove_abandoned(&mut self) -> Vec<OperatorRequestId> {
        let abandoned = self.by_id.iter().filter(|(_, reply)| reply.is_closed());
        let abandoned: Vec<u64> = abandoned.map(|(id, _)| *id).collect();
        for id in &abandoned {
            self.by_id.remove(id);
        }
        abandoned.into_iter().map(OperatorRequestId).collect()
    }
}
