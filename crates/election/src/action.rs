//! What an elector wants done.

use crate::message::Message;
use crate::token::FencingToken;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies one write of an elector to the log, so that its result can be reported.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// What the driver of an elector has to do, in the order of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append records to the log, sync it, and report the result by [`crate::Event::Persisted`] or [`crate::Event::PersistFailed`].
    Persist {
        /// Identifies the write.
        batch: BatchId,
        /// The encoded records.
        records: Vec<Vec<u8>>,
    },
    /// This process holds the role from now on, for as long as [`crate::Elector::held_lease`] says so.
    LeaseAcquired {
        /// The fencing token of the lease.
        token: FencingToken,
    },
    /// This process no longer holds the role.
    LeaseLost,
}
