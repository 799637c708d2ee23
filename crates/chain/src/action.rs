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

/// An output of a replica. The driver executes actions in the order in which they were emitted.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer. Messages may be lost; messages to one peer must not be reordered.
    Send {
        /// The peer.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append records to the log and sync the log. Completed by [`crate::Event::Persisted`] or
    /// [`crate::Event::PersistFailed`]. At most one batch is in flight, including rewrites.
    Persist {
        /// The batch.
        batch: BatchId,
        /// The encoded records, in order.
        records: Vec<Vec<u8>>,
    },
    /// Replace the whole log by these records (log compaction). Completed in the same way as
    /// [`Action::Persist`].
    RewriteLog {
        /// The batch.
        batch: BatchId,
        /// The complete content of the new log, in order.
        records: Vec<Vec<u8>>,
    },
    /// Respond to a request of the operator.
    Respond {
        /// The request.
        id: OperatorRequestId,
        /// The response.
        response: OperatorResponse,
    },
    /// This process has learned a newer committed configuration. Versions increase from one of these actions
    /// to the next.
    Committed {
        /// The configuration.
        config: Arc<CommittedConfig>,
    },
    /// This process has entered a newer view.
    ViewChanged(Arc<View>),
    /// Write an event to the process log.
    Log(LogEvent),
}

/// The response to a request of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// The submitted configuration is committed.
    Accepted {
        /// The version of the committed configuration.
        version: u64,
    },
    /// The base version of the change is not the current version (412).
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The change is based on the current version, but its own version is not higher (409).
    StaleVersion {
        /// The current version.
        current: u64,
    },
    /// The outcome is unknown (503): the change may or may not be committed.
    Unavailable,
    /// The newest committed configuration, or `None` if nothing was committed yet.
    Config(Option<Arc<CommittedConfig>>),
}
