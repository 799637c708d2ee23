//! Responses of the operator's API. All but the metrics are JSON.

use crate::operator_error::{ErrorKind, OperatorError};
use serde::Serialize;
use trillium::{Conn, KnownHeaderName};

/// `Retry-After`, in seconds, of a 503: nothing is promised, and the operator may send the same request again.
const RETRY_AFTER_S: &str = "0.2";
const JSON: &str = "application/json";

/// A successful response, with status 200.
pub struct Response {
    content_type: &'static str,
    body: Vec<u8>,
}

impl Response {
    /// A body that is JSON already.
    pub fn from_json_bytes(body: Vec<u8>) -> Response {
        Response { content_type: JSON, body }
    }

    /// A value as JSON.
    pub fn json(value: &impl Serialize) -> Response {
        Response::from_json_bytes(to_json(value))
    }

    /// A text of the given type.
    pub fn text(content_type: &'static str, text: String) -> Response {
        Response { content_type, body: text.into_bytes() }
    }

    /// Sends it.
    pub fn send(self, conn: Conn) -> Conn {
        send(conn, 200, self)
    }
}

/// Responds with an error; a 503 says when to retry.
pub fn send_error(conn: Conn, error: &OperatorError) -> Conn {
    let (status, _) = error.kind.status_and_name();
    let conn = match error.kind {
        ErrorKind::Unavailable => conn.with_response_header(KnownHeaderName::RetryAfter, RETRY_AFTER_S),
        _ => conn,
    };
    send(conn, status, Response::json(&error.body))
}

fn send(conn: Conn, status: u16, response: Response) -> Conn {
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, response.content_type)
        .with_body(response.body)
        .halt()
}

/// The types of this crate's responses all serialise: they have string keys and finite numbers.
fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
