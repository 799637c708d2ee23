//! What a response of a server means for retries: the response classification of linkerd2-proxy.

use crate::http::ResponseHead;

/// The class of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A success with `Server-Stamp`, which proves that the server made it.
    Success,
    /// A failure of the server's own. The server has executed the request.
    Failure,
    /// The server did not execute the request and never will: it is invalid. Goes to the client; not retried.
    InvalidRequest,
    /// The server did not execute the request since it is saturated or draining. May be retried.
    Rejected,
    /// The server did not execute the request since it is another one, or does not serve the stage or model. May be retried.
    Misdirected,
    /// The response must not go to the client. The server may have executed the request.
    Unusable,
}

/// Classifies a response that carries the id of the request.
///
/// A status alone proves nothing: only `Not-Executed` with a status that goes with it, or a 421, proves that the request was not
/// executed.
pub fn classify(head: &ResponseHead) -> ResponseClass {
    let is_unexecuted = head.headers.has("not-executed");
    let has_stamp = head.headers.has("server-stamp");
    match head.status {
        421 => ResponseClass::Misdirected,
        429 | 503 if is_unexecuted => ResponseClass::Rejected,
        400 if is_unexecuted => ResponseClass::InvalidRequest,
        200..300 if has_stamp => ResponseClass::Success,
        200..300 => ResponseClass::Unusable,
        // To the client these would promise that nothing was executed, which the server did not say.
        408 | 429 | 503 => ResponseClass::Unusable,
        _ => ResponseClass::Failure,
    }
}
