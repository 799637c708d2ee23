//! Response classification, as in linkerd2-proxy: what the response of a server means for retries.

use crate::http::ResponseHead;

/// The class of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A success with `Server-Stamp`, which proves that the server produced the response.
    Success,
    /// An error response. The server has executed the request, or may have.
    Failure,
    /// The server did not execute the request and never will, because it is invalid. The response is
    /// forwarded, and the request is not retried.
    InvalidRequest,
    /// The server did not execute the request because it is saturated or draining. The request may be
    /// retried.
    Rejected,
    /// The server did not execute the request because it is another incarnation, or does not serve the stage,
    /// the model or its version. The request may be retried.
    Misdirected,
    /// The response must not be forwarded to the client. The server may have executed the request.
    Unusable,
}

/// Classifies a response that carries the id of the request.
///
/// A request counts as unexecuted only if the response has `Not-Executed` and a matching status (400, 429 or
/// 503), or if the status is 421. Any other status proves nothing on its own.
pub fn classify(head: &ResponseHead) -> ResponseClass {
    let is_unexecuted = head.headers.has("not-executed");
    let has_stamp = head.headers.has("server-stamp");
    match head.status {
        421 => ResponseClass::Misdirected,
        429 | 503 if is_unexecuted => ResponseClass::Rejected,
        400 if is_unexecuted => ResponseClass::InvalidRequest,
        200..300 if has_stamp => ResponseClass::Success,
        200..300 => ResponseClass::Unusable,
        // These would guarantee to the client that the request was not executed, which the server did not
        // state.
        408 | 429 | 503 => ResponseClass::Unusable,
        _ => ResponseClass::Failure,
    }
}
