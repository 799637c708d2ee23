//! Outputs of a server core.

use super::request::CallId;
use crate::wire::Response;
use std::net::SocketAddr;

/// An output of a server core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a complete response.
    Respond {
        /// For that call.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// Sends the head of a stream.
    Head {
        /// For that call.
        call: CallId,
        /// Status and headers.
        head: Response,
    },
    /// Sends one event of a stream.
    Event {
        /// For that call.
        call: CallId,
        /// The bytes of the event.
        bytes: Vec<u8>,
    },
    /// Ends a stream as complete.
    End {
        /// For that call.
        call: CallId,
    },
    /// Breaks an incomplete stream off.
    Truncate {
        /// For that call.
        call: CallId,
    },
    /// Records that the execution of a request has started.
    Started {
        /// The call.
        call: CallId,
        /// The request whose KV cache it goes on from, if one was fetched.
        kv_owner: Option<String>,
    },
    /// Fetches the KV cache behind a handle of another server.
    FetchHandle {
        /// For that call.
        call: CallId,
        /// The server that has it.
        address: SocketAddr,
        /// The handle.
        handle: String,
    },
}
