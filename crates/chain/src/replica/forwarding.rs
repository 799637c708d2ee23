//! Calls passed on for processes that do not reach an end of the chain.
//!
//! A process that is not in two-way contact with the head or the tail, but with a peer that is, sends its call to that peer, which
//! passes it on under its own address and brings the outcome back. A call is passed on once: two processes that know different
//! views would else send it to and fro. Nothing is promised by passing on: whatever is lost is sent again by the process that was
//! called, and an entry that is committed becomes known by heartbeats as well.

use super::{Replica, change_queue::SubmittedChange};
use crate::digest::Digest;
use crate::message::Message;
use crate::request::RequestId;
use crate::request::RequestOutcome;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Calls that are passed on at a time: as many as two other processes take from their operators.
const MAX_RELAYED: usize = 256;
/// The process that was called has given it up by then.
const FORGET_AFTER: Duration = Duration::from_millis(1_500);
/// Where several peers could pass a call on, another one is asked after this.
const NEXT_PEER_AFTER: Duration = Duration::from_millis(300);

/// Where outcomes are brought, by call.
#[derive(Debug, Default)]
pub struct Relayed {
    origins: BTreeMap<RequestId, (SocketAddr, Duration)>,
}

impl Replica {
    /// Whom to send what is for `end`: `end` itself, or a peer that reaches it where this process does not.
    pub(super) fn way_to(&self, end: SocketAddr) -> SocketAddr {
        if end == self.identity.address || self.peers.bidirectional(end, self.now) {
            return end;
        }
        let reaches = |peer: &SocketAddr| {
            *peer != end
                && self.peers.bidirectional(*peer, self.now)
                && self.peers.claims(*peer, end, self.now)
        };
        let peers: Vec<SocketAddr> =
            self.peers.fresh_addresses(self.now).into_iter().filter(reaches).collect();
        let turn = (self.now.as_millis() / NEXT_PEER_AFTER.as_millis()) as usize;
        // Where nobody is known to reach it, contact may only be too young to be known.
        peers.get(turn % peers.len().max(1)).copied().unwrap_or(end)
    }

    pub(super) fn relay_submit(&mut self, origin: SocketAddr, change: SubmittedChange) {
        let SubmittedChange { request_id, base, version, request_hash, bytes } = change;
        let Some(head) = self.view.head().map(|head| head.address) else { return };
        let digest = Digest::of(&bytes).fnv;
        let message =
            Message::Submit { request_id, base, version, digest, bytes, request_hash, forwarded: true };
        self.relay(origin, request_id, head, message);
    }

    pub(super) fn relay_read(&mut self, origin: SocketAddr, request_id: RequestId) {
        let Some(tail) = self.view.tail().map(|tail| tail.address) else { return };
        self.relay(origin, request_id, tail, Message::Read { request_id, forwarded: true });
    }

    fn relay(&mut self, origin: SocketAddr, request_id: RequestId, end: SocketAddr, message: Message) {
        let now = self.now;
        self.forwarded.origins.retain(|_, (_, since)| now < *since + FORGET_AFTER);
        if origin == end || !self.peers.bidirectional(end, now) || self.forwarded.origins.len() >= MAX_RELAYED
        {
            return;
        }
        self.forwarded.origins.insert(request_id, (origin, now));
        self.send(end, message);
    }

    /// Brings an outcome to the process that was called.
    pub(super) fn relay_outcome(&mut self, request_id: RequestId, outcome: RequestOutcome) {
        if let Some((origin, _)) = self.forwarded.origins.remove(&request_id) {
            self.send(origin, Message::Outcome { request_id, outcome });
        }
    }
}
