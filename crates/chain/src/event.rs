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
    /// Time has passed. The driver should send a tick every 20 to 50 ms.
    Tick,
    /// A message has arrived.
    Message {
        /// The peer address under which the sender listens.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The connection to a peer was closed. The peer is then suspected earlier than by missing heartbeats
    /// alone.
    LinkDown {
        /// The peer.
        peer: SocketAddr,
    },
    /// The operator submits a configuration that has already been validated.
    Submit {
        /// The identity of the request, which is repeated in [`crate::Action::Respond`].
        id: OperatorRequestId,
        /// The version on which the configuration is based (`If-Match`).
        base: u64,
        /// The version of the configuration.
        version: u64,
        /// The hash of the request from which the configuration was computed; `None` if the operator sent a
        /// full configuration.
        request_hash: Option<Blake3>,
        /// The encoded configuration. Empty if the base is no longer available to compute the configuration
        /// from: such a change is accepted if it is already committed, otherwise rejected because its base is
        /// outdated, and never written.
        bytes: Arc<[u8]>,
    },
    /// The operator requests the newest committed configuration.
    Read {
        /// The identity of the request, which is repeated in [`crate::Action::Respond`].
        id: OperatorRequestId,
    },
    /// The operator has disconnected, so no response is needed.
    Cancel {
        /// The request.
        id: OperatorRequestId,
    },
    /// The process is shutting down and requests a view without itself; see [`crate::LeaveState`].
    Leave,
    /// A batch was synced to disk.
    Persisted {
        /// The batch, as identified in [`crate::Action::Persist`] or [`crate::Action::RewriteLog`].
        batch: BatchId,
    },
    /// A batch could not be written. The driver must remove what the failed append left on disk before the
    /// next batch.
    PersistFailed {
        /// The batch.
        batch: BatchId,
    },
}
