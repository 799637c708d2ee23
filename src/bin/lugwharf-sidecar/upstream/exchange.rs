//! An exchange: one request and its answer on a connection.

use crate::pool::PooledConnection;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};

/// The limit on the body of a request or an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The limit on the connections that one attempt or probe tries, as each may prove closed by the upstream.
pub(super) const MAX_CONNECTIONS: usize = 3;

/// An answer that was read to its end.
pub(super) struct CompleteAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// How an exchange ended.
pub(super) enum Exchange {
    /// The last byte of the request was not written, so the request did not run. The byte is not written
    /// later either, since the caller drops the connection.
    NeverWritten,
    /// The connection broke, or the answer was not complete. The request may have run.
    Broken,
    /// A complete answer was read.
    Answered(CompleteAnswer),
}

/// Sends a request and reads its answer. With `hold_back`, the last byte of the request is delayed for a
/// moment, in which a connection that the upstream has closed is noticed.
pub(super) async fn exchange(
    pooled: &mut PooledConnection, request: Request<Full<Bytes>>, hold_back: bool,
) -> Exchange {
    pooled.begin_request(hold_back);
    let connection = &mut pooled.connection;
    match connection.sender.try_send_request(request).await {
        // The second copy of an earlier answer: an upstream starts to execute a request when its last byte
        // arrives, so an answer that arrives before that byte is written does not belong to this request.
        Ok(_) if connection.write_progress().is_incomplete() => Exchange::NeverWritten,
        Ok(answer) => read_complete(answer).await.map_or(Exchange::Broken, Exchange::Answered),
        Err(mut error) => {
            // A request that the HTTP library returns was never written.
            let never_written = error.take_message().is_some() || connection.write_progress().is_incomplete();
            if never_written { Exchange::NeverWritten } else { Exchange::Broken }
        }
    }
}

/// Reads an answer to its end. `None` for an answer that is not complete, or cannot be known to be: the
/// answer has to state its length in exactly one way, and that many bytes have to arrive. An informational
/// status, such as a switch of protocols, which the sidecar never requests, counts as no answer either.
async fn read_complete(answer: Response<Incoming>) -> Option<CompleteAnswer> {
    let (head, body) = answer.into_parts();
    let has_one_length =
        head.headers.contains_key(TRANSFER_ENCODING) != head.headers.contains_key(CONTENT_LENGTH);
    let fits = body.size_hint().exact().is_none_or(|length| length <= MAX_BODY_BYTES as u64);
    if head.status.is_informational() || !has_one_length || !fits {
        return None;
    }
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(CompleteAnswer { status: head.status, headers: head.headers, body: body.to_bytes() })
}
