//! The inputs of a replica.

use crate::action::BatchId;
use crate::digest::Blake3;
use crate::message::Message;
use crate::request::OperatorRequestId;
use std::net::SocketAddr;
use std::sync::Arc;

/// An input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Expected every 20 to 50 ms.
    Tick,
    /// A message has arrived.
    Message {
        /// The peer address under which the sender listens.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The connection to a peer broke. A hint that lets the peer be suspected sooner.
    LinkDown {
        /// The peer.
        peer: SocketAddr,
    },
    /// The operator submits a configuration that was already validated.
    Submit {
        /// The request, named again in its [`crate::Action::Respond`].
        id: OperatorRequestId,
        /// The version that it builds on (`If-Match`).
        base: u64,
        /// Its own version.
        version: u64,
        /// The hash of the request that the configuration was computed from; `None` if the operator sent a full configuration.
        request_hash: Option<Blake3>,
        /// The configuration, byte for byte. Empty if the base is not available to compute it from: such a change is
        /// recognised if it was accepted before, otherwise refused because its base is not current, and never written.
        bytes: Arc<[u8]>,
    },
    /// The operator reads the newest committed configuration.
    Read {
        /// The request, named again in its [`crate::Action::Respond`].
        id: OperatorRequestId,
    },
    /// The operator has disconnected; no response is wanted.
    Cancel {
        /// The request.
        id: OperatorRequestId,
    },
    /// The process is shutting down and asks to be left out of the next view; see [`crate::LeaveState`].
    Leave,
    /// A batch is synced to disk.
    Persisted {
        /// The batch, as named in [`crate::Action::Persist`] or [`crate::Action::RewriteLog`].
        batch: BatchId,
    },
    /// The disk refused a batch. What the append left on disk must be removed before the next batch.
    PersistFailed {
        /// The batch.
        batch: BatchId,
    },
}
