//! Inputs of a server core.

use super::kv::KvContents;
use super::request::{CallId, ServerRequest};

/// An input of a server core.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// A complete request arrived.
    Request {
        /// Its call.
        call: CallId,
        /// The request.
        request: ServerRequest,
    },
    /// The connection of a call was closed.
    Cancelled {
        /// The call.
        call: CallId,
    },
    /// The result of [`Action::FetchHandle`](super::Action::FetchHandle).
    HandleFetched {
        /// The call that asked.
        call: CallId,
        /// The KV cache; `None` if the handle is gone or the other server can't be reached.
        contents: Option<KvContents>,
    },
    /// The time that [`ServerCore::next_wake`](super::ServerCore::next_wake) named has come.
    Wake,
    /// The server drains: health checks fail, and responses ask to close their connections.
    Drain,
    /// Whether health checks fail and each execution ends with the server's own 500 from now on.
    SetFailing(bool),
}
