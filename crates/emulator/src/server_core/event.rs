//! Inputs of a server core.

use super::kv::KvContents;
use super::request::{CallId, ServerRequest};

/// An input of a server core.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// A complete request arrived.
    Request {
        /// The call that identifies the request.
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
        /// The call that the KV cache was fetched for.
        call: CallId,
        /// The KV cache; `None` if the handle does not exist or the other server cannot be reached.
        contents: Option<KvContents>,
    },
    /// The time that [`ServerCore::next_wake`](super::ServerCore::next_wake) returned has come.
    Wake,
    /// The server starts to drain: health checks fail, and responses carry `Connection: close`.
    Drain,
    /// Sets whether health checks fail and every execution ends with a status of 500 from now on.
    SetFailing(bool),
}
