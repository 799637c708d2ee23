//! One request and its answer on a connection.

use crate::pool::PooledConnection;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};

/// The most bytes that a body may have, of a request or an answer.
pub const MAX_BODY: usize = 64 * 1024;
/// Connections that one attempt or probe may find dead.
pub(super) const MAX_CONNECTIONS: usize = 3;

/// An answer that was read to its end.
pub(super) struct CompleteAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// How an exchange ended.
pub(super) enum Exchange {
    /// The request's last byte was not written, so nothing ran. Nor is it written later, since the caller drops the
    /// connection.
    NeverWritten,
    /// The connection broke, or the answer was not complete. It may have run.
    Broken,
    Answered(CompleteAnswer),
}

/// Sends a request and reads its answer. With `hold_back` its last byte waits for a moment, in which a connection that was
/// closed meanwhile is noticed.
pub(super) async fn exchange(
    pooled: &mut PooledConnection, request: Request<Full<Bytes>>, hold_back: bool,
) -> Exchange {
    pooled.begin_request(hold_back);
    let connection = &mut pooled.connection;
    match connection.sender.try_send_request(request).await {
        // The second copy of an earlier answer: an upstream starts with a request's last byte, so what comes before that
        // byte is out was not made for this request.
        Ok(_) if connection.write_progress().is_incomplete() => Exchange::NeverWritten,
        Ok(answer) => read_complete(answer).await.map_or(Exchange::Broken, Exchange::Answered),
        Err(mut error) => {
            // A request that is given back never left.
            let never_written = error.take_message().is_some() || connection.write_progress().is_incomplete();
            if never_written { Exchange::NeverWritten } else { Exchange::Broken }
        }
    }
}

/// Reads an answer to its end. `None` for one that is not complete or cannot be known to be: it has to state its length in
/// exactly one way, and that much has to come. A change of protocol, which nobody asked for, is none either.
async fn read_complete(answer: Response<Incoming>) -> Option<CompleteAnswer> {
    let (head, body) = answer.into_parts();
    let has_one_length =
        head.headers.contains_key(TRANSFER_ENCODING) != head.headers.contains_key(CONTENT_LENGTH);
    let fits = body.size_hint().exact().is_none_or(|length| length <= MAX_BODY as u64);
    if head.status.is_informational() || !has_one_length || !fits {
        return None;
    }
    let body = Limited::new(body, MAX_BODY).collect().await.ok()?;
    Some(CompleteAnswer { status: head.status, headers: head.headers, body: body.to_bytes() })
}
