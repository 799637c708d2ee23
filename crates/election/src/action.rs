//! The actions that an elector asks its driver to execute.

use crate::message::Message;
use crate::token::FencingToken;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies one write of an elector to the log, so that the driver can report its result.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// An action for the driver of an elector. The driver executes actions in the order in which the elector
/// emits them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. Delivery is not guaranteed.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append records to the log, sync it, and report the result with [`crate::Event::Persisted`] or
    /// [`crate::Event::PersistFailed`].
    Persist {
        /// Identifies the write.
        batch: BatchId,
        /// The encoded records.
        records: Vec<Vec<u8>>,
    },
    /// This process has acquired the role, and holds it as long as [`crate::Elector::held_lease`] returns a
    /// lease.
    LeaseAcquired {
        /// The fencing token of the lease.
        token: FencingToken,
    },
    /// This process no longer holds the role.
    LeaseLost,
}
