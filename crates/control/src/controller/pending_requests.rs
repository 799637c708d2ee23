//! Requests of the operator that wait for the decision of the replica.

use crate::reply::send_reply;
use lugwharf_chain::{OperatorRequestId, OperatorResponse};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The requests in flight, by the id under which the replica knows them. Ids start at 1 and are not used again.
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
    /// Registers a request; the response to the returned id goes to `reply`.
    pub fn register(&mut self, reply: oneshot::Sender<OperatorResponse>) -> OperatorRequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.by_id.insert(id, reply);
        OperatorRequestId(id)
    }

    /// Responds to a request, unless it was abandoned.
    pub fn respond(&mut self, id: OperatorRequestId, response: OperatorResponse) {
        if let Some(reply) = self.by_id.remove(&id.0) {
            send_reply(reply, response);
        }
    }

    /// Removes the requests whose requester has gone, and returns their ids in ascending order.
    pub fn remove_abandoned(&mut self) -> Vec<OperatorRequestId> {
        let abandoned = self.by_id.iter().filter(|(_, reply)| reply.is_closed());
        let abandoned: Vec<u64> = abandoned.map(|(id, _)| *id).collect();
        for id in &abandoned {
            self.by_id.remove(id);
        }
        abandoned.into_iter().map(OperatorRequestId).collect()
    }
}
