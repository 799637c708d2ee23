//! Outputs of a server core.

use super::request::CallId;
use crate::wire::Response;
use std::net::SocketAddr;

/// An output of a server core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a complete response.
    Respond {
        /// The call that the action belongs to.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// Sends the head of a response whose body is a stream of events.
    Head {
        /// The call that the action belongs to.
        call: CallId,
        /// The status and headers.
        head: Response,
    },
    /// Sends one event of a stream.
    Event {
        /// The call that the action belongs to.
        call: CallId,
        /// The encoded event.
        bytes: Vec<u8>,
    },
    /// Ends a stream after its last event.
    End {
        /// The call that the action belongs to.
        call: CallId,
    },
    /// Ends a stream before it is complete.
    Truncate {
        /// The call that the action belongs to.
        call: CallId,
    },
    /// Records that the execution of a request has started.
    Started {
        /// The call that the action belongs to.
        call: CallId,
        /// The id of the request that the fetched KV cache was prefilled for; `None` if no KV cache was
        /// fetched.
        kv_owner: Option<String>,
    },
    /// Fetches the KV cache of a handle from another server.
    FetchHandle {
        /// The call that the action belongs to.
        call: CallId,
        /// The address of the other server.
        address: SocketAddr,
        /// The handle.
        handle: String,
    },
}
