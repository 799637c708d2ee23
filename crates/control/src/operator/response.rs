//! Responses of the operator API. All of them are JSON, except for the metrics.

use crate::operator_error::{ErrorKind, OperatorError};
use serde::Serialize;
use trillium::{Conn, KnownHeaderName};

/// The `Retry-After` header of a 503 response, in seconds. The operator may then send the same request again.
const RETRY_AFTER_S: &str = "0.2";
const JSON: &str = "application/json";

/// A successful response with status 200.
pub struct Response {
    content_type: &'static str,
    body: Vec<u8>,
}

impl Response {
    /// Creates a response from a body that is already JSON.
    pub fn from_json_bytes(body: Vec<u8>) -> Response {
        Response { content_type: JSON, body }
    }

    /// Creates a response with a value encoded as JSON.
    pub fn json(value: &impl Serialize) -> Response {
        Response::from_json_bytes(to_json(value))
    }

    /// Creates a response with a text of the given content type.
    pub fn text(content_type: &'static str, text: String) -> Response {
        Response { content_type, body: text.into_bytes() }
    }

    /// Sends this response on `conn`.
    pub fn send(self, conn: Conn) -> Conn {
        send(conn, 200, self)
    }
}

/// Responds with an error. A 503 response includes `Retry-After`.
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

/// Encodes a value as JSON. This can't fail for the response types of this crate, which have only string keys
/// and finite numbers.
fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
