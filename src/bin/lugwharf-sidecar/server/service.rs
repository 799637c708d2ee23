//! Serving one connection: passing its requests to the driver, and returning the answers in HTTP.
//!
//! An answer is what the driver returns for a request ([`FinalAnswer`]); a response is the HTTP message that
//! carries it.

use super::listener::{Server, lock};
use crate::client_connection::{ClientConnection, ClientPhase, ClientStream};
use crate::connection::{MAX_BUFFER_BYTES, MAX_HEADERS};
use crate::events::{ClientRequest, FinalAnswer};
use crate::request::{self, InvalidRequest};
use crate::upstream::{ForwardedRequest, MAX_BODY_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// The time-out for reading a complete request, counted from the connect of its client or, on a connection
/// that has had an answer, from the request's head. A client that stops halfway must be answered within 3 s.
const MAX_REQUEST_READ_TIME: Duration = Duration::from_millis(2_500);
/// The shortest time-out for reading a body.
const MIN_BODY_TIMEOUT: Duration = Duration::from_millis(400);

/// Releases the id of a request when dropped, however the request ends.
struct OpenId<'a> {
    server: &'a Server,
    id: HeaderValue,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        lock(&self.server.open_ids).remove(&self.id);
    }
}

impl Server {
    /// Serves a connection until it ends, its client has disconnected, or the connection is asked to close.
    pub(super) async fn serve(self: &Arc<Self>, client: Arc<ClientConnection>) {
        let service = service_fn(|request| {
            let (server, client) = (self.clone(), client.clone());
            async move {
                let reading_since = client.start_reading_body();
                server.evict_idle_over_limit();
                let response = server.respond(request, &client, reading_since).await;
                client.start_writing_answer();
                Ok::<_, Infallible>(response)
            }
        });
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER_BYTES).max_headers(MAX_HEADERS);
        let connection = http.serve_connection(TokioIo::new(ClientStream(client.clone())), service);
        tokio::pin!(connection);
        loop {
            tokio::select! {
                // The HTTP connection is polled first, so that the other branches see what it has read.
                biased;
                // However the connection ended, a client that was waiting has disconnected.
                _ = connection.as_mut() => return,
                () = client.disconnected() => return,
                () = client.answer_written() => {
                    self.evict_idle_over_limit();
                    self.capacity_freed.notify_one();
                }
                () = client.close_requested() => match client.phase() {
                    _ if client.may_close() => return,
                    // The client does not read its answer.
                    (ClientPhase::WritingAnswer, age) if age >= self.max_unread_time() => return,
                    // A request that is being read is served, and its response says that the connection
                    // closes after it. Behind a response that did not say so, the client may send its next
                    // request: the connection closes once it has been idle.
                    _ => {}
                }
            }
        }
    }

    /// Returns the response to a request.
    async fn respond(
        &self, request: Request<Incoming>, client: &ClientConnection, reading_since: Instant,
    ) -> Response<Full<Bytes>> {
        let is_draining = || self.is_draining.load(Ordering::Relaxed);
        let (mut response, is_invalid) = if request.uri().path() == "/health/ready" {
            let is_ready = self.driver.is_ready() && !is_draining();
            let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            (plain_response(status, ""), false)
        } else {
            match self.execute(request, client, reading_since).await {
                Ok(answer) => (to_response(answer), false),
                Err(invalid) => (plain_response(invalid.status, invalid.reason), true),
            }
        };
        // Nothing more is read on a connection with an invalid request.
        if is_invalid || client.is_closing() || is_draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Validates a request, reads it completely and passes it to the driver. An incomplete request is not
    /// forwarded.
    async fn execute(
        &self, request: Request<Incoming>, client: &ClientConnection, reading_since: Instant,
    ) -> Result<FinalAnswer, InvalidRequest> {
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        let metadata = request::check(&head, &self.config)?;
        let left = MAX_REQUEST_READ_TIME.saturating_sub(reading_since.elapsed());
        let body_timeout = left.max(MIN_BODY_TIMEOUT).min(metadata.client_timeout);
        let body = timeout(body_timeout, Limited::new(body, MAX_BODY_BYTES).collect()).await;
        let body =
            body.map_err(|_| InvalidRequest::new(StatusCode::REQUEST_TIMEOUT, "a body that does not end"))?;
        let body = body.map_err(|_| InvalidRequest::new(StatusCode::BAD_REQUEST, "a broken body"))?;
        // An upstream may confuse two concurrent requests with the same id.
        if !lock(&self.open_ids).insert(metadata.id.clone()) {
            return Err(InvalidRequest::new(StatusCode::CONFLICT, "the id of an open request"));
        }
        let _open_id = OpenId { server: self, id: metadata.id };
        let headers = request::forwarded_headers(head.headers);
        let forwarded =
            ForwardedRequest { method: head.method, uri: head.uri, headers, body: body.to_bytes() };
        client.start_awaiting_answer();
        let request = ClientRequest {
            forwarded,
            class: metadata.class,
            cost: metadata.cost,
            origin: metadata.origin,
            client_timeout: metadata.client_timeout,
            received_at,
        };
        Ok(self.driver.execute(request).await)
    }
}

fn plain_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns the response for a final answer: 200 with the body and the `Content-Type` of the upstream's
/// response, and none of its other headers; 502 for a failure; 503 for a rejection, with `Retry-After` if the
/// balancer advises a delay. The header has seconds with three decimals, which the operators' clients read,
/// although RFC 9110 defines whole seconds only.
fn to_response(answer: FinalAnswer) -> Response<Full<Bytes>> {
    match answer {
        FinalAnswer::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            response.headers_mut().extend(served.content_type.map(|value| (CONTENT_TYPE, value)));
            response
        }
        FinalAnswer::Failed => plain_response(StatusCode::BAD_GATEWAY, "failed"),
        FinalAnswer::Rejected { retry_after } => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let seconds = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
            let value = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok());
            response.headers_mut().extend(value.map(|value| (RETRY_AFTER, value)));
            response
        }
    }
}
