//! The outputs of a replica.

use crate::entry::CommittedConfig;
use crate::log_event::LogEvent;
use crate::message::Message;
use crate::request::OperatorRequestId;
use crate::view::View;
use std::net::SocketAddr;
use std::sync::Arc;

/// The identity of a batch of records, unique within one run of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// An output of a replica. The driver carries actions out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer. It may be lost; messages to one peer keep their order.
    Send {
        /// The peer.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append records to the log and sync it. Answered by [`crate::Event::Persisted`] or [`crate::Event::PersistFailed`]. At
    /// most one batch is in flight, rewrites included.
    Persist {
        /// The batch.
        batch: BatchId,
        /// The encoded records, in order.
        records: Vec<Vec<u8>>,
    },
    /// Replace the whole log by these records. Answered as a batch.
    RewriteLog {
        /// The batch.
        batch: BatchId,
        /// All records that the log needs.
        records: Vec<Vec<u8>>,
    },
    /// Respond to a request of the operator.
    Respond {
        /// The request.
        id: OperatorRequestId,
        /// The response.
        response: OperatorResponse,
    },
    /// A newer committed configuration is known here. Versions increase from one of these actions to the next.
    Committed {
        /// The configuration.
        config: Arc<CommittedConfig>,
    },
    /// A newer view is known here.
    ViewChanged(Arc<View>),
    /// Write an event to the process log.
    Log(LogEvent),
}

/// The response to a request of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// The configuration is committed.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// The base of the change is not the current version (412).
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The change builds on the current version, but its own version is not above it (4xx).
    StaleVersion {
        /// The current version.
        current: u64,
    },
    /// The outcome is unknown (503): the change may or may not be committed.
    Unavailable,
    /// The newest committed configuration, if there is any.
    Config(Option<Arc<CommittedConfig>>),
}
