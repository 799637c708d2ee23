//! Forwards requests for processes that cannot reach an end of the chain.
//!
//! A process without a bidirectional link to the head or the tail sends its request to a peer that has one.
//! That peer forwards the request under its own address and returns the outcome. A request is forwarded only
//! once, since two processes that know different views could otherwise forward it in a loop. Forwarding is
//! best effort: a lost request is sent again by the process that received it from the operator, and commits
//! also spread with heartbeats.

use super::{Replica, change_queue::SubmittedChange};
use crate::digest::Digest;
use crate::message::Message;
use crate::request::{RequestId, RequestOutcome};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of forwarded requests: as many as two other processes accept from their operators.
const MAX_FORWARDED: usize = 256;
/// A request is forgotten after this time, when the process that received it from the operator has already
/// responded.
const FORGET_AFTER: Duration = Duration::from_millis(1_500);
/// If several peers can forward a request, the next one is used after this time.
const NEXT_HOP_ROTATION: Duration = Duration::from_millis(300);

/// The forwarded requests without an outcome.
#[derive(Debug, Default)]
pub struct ForwardedRequests {
    requests: BTreeMap<RequestId, ForwardedRequest>,
}

#[derive(Debug)]
struct ForwardedRequest {
    /// The process to which the outcome is sent.
    origin: SocketAddr,
    forwarded_at: Duration,
}

impl Replica {
    /// The address to which a message for `target` is sent: the target itself or, if this process cannot
    /// reach it, a peer that can.
    pub(super) fn next_hop(&self, target: SocketAddr) -> SocketAddr {
        if target == self.identity.address || self.peers.is_bidirectional(target, self.now) {
            return target;
        }
        let can_forward = |peer: &SocketAddr| {
            *peer != target
                && self.peers.is_bidirectional(*peer, self.now)
                && self.peers.reports_link(*peer, target, self.now)
        };
        let live_peers = self.peers.live_addresses(self.now).into_iter();
        let forwarders: Vec<SocketAddr> = live_peers.filter(can_forward).collect();
        let rotation = (self.now.as_millis() / NEXT_HOP_ROTATION.as_millis()) as usize;
        // If there is no forwarder, the link to the target may be up but not yet known to be bidirectional.
        forwarders.get(rotation % forwarders.len().max(1)).copied().unwrap_or(target)
    }

    pub(super) fn forward_submit(&mut self, origin: SocketAddr, change: SubmittedChange) {
        let SubmittedChange { request_id, base, version, request_hash, bytes } = change;
        let Some(head) = self.view.head().map(|head| head.address) else { return };
        let digest = Digest::of(&bytes).fnv;
        let message =
            Message::Submit { request_id, base, version, digest, bytes, request_hash, forwarded: true };
        self.forward(origin, request_id, head, message);
    }

    pub(super) fn forward_read(&mut self, origin: SocketAddr, request_id: RequestId) {
        let Some(tail) = self.view.tail().map(|tail| tail.address) else { return };
        self.forward(origin, request_id, tail, Message::Read { request_id, forwarded: true });
    }

    fn forward(&mut self, origin: SocketAddr, request_id: RequestId, target: SocketAddr, message: Message) {
        let now = self.now;
        let requests = &mut self.forwarded_requests.requests;
        requests.retain(|_, request| now < request.forwarded_at + FORGET_AFTER);
        let is_full = requests.len() >= MAX_FORWARDED;
        if origin == target || !self.peers.is_bidirectional(target, now) || is_full {
            return;
        }
        requests.insert(request_id, ForwardedRequest { origin, forwarded_at: now });
        self.outbox.send(target, message);
    }

    /// Forwards an outcome to the process that received the request from the operator.
    pub(super) fn forward_outcome(&mut self, request_id: RequestId, outcome: RequestOutcome) {
        if let Some(request) = self.forwarded_requests.requests.remove(&request_id) {
            self.outbox.send(request.origin, Message::Outcome { request_id, outcome });
        }
    }
}
