//! What an answer of a server is worth.

use crate::http::ResponseHead;

/// The kinds of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A success with the server's stamp.
    Success,
    /// A failure of the server's own. It has run the request.
    Failure,
    /// The server says that it did not run the request, and why it never will.
    InvalidRequest,
    /// The server did not run the request since it is full or leaving.
    Rejected,
    /// The server did not run the request since it is another one, or has another part.
    Misdirected,
    /// An answer that must not go to the client. The request may have run.
    Unusable,
}

/// Judges an answer that carries the request's id.
pub fn classify(head: &ResponseHead) -> ResponseClass {
    let not_executed = head.headers.has("not-executed");
    let has_stamp = head.headers.has("server-stamp");
    match head.status {
        421 => ResponseClass::Misdirected,
        429 | 503 if not_executed => ResponseClass::Rejected,
        400 if not_executed => ResponseClass::InvalidRequest,
        200..300 if has_stamp => ResponseClass::Success,
        200..300 => ResponseClass::Unusable,
        // These would promise that nothing has run, which the server did not say.
        408 | 429 | 503 => ResponseClass::Unusable,
        _ => ResponseClass::Failure,
    }
}
