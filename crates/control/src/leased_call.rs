//! One HTTP call to a model server under the lease of the list watcher, on a separate connection.
//!
//! Nothing is sent after the lease has expired or was resigned. A call in flight is then aborted and its
//! connection reset, so that the call can't arrive after another process has acquired the lease.

use crate::lease::LeaseWatch;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lugwharf_election::FencingToken;
use lugwharf_http_head::CheckedStream;
use lugwharf_invariants::{Invariant, check};
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The maximum size of a response body.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The reason why a call has no response. The text is logged as `error`.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The lease ended before the call was sent, for example after a pause of this process or a rejection of
    /// its token.
    #[error("the lease ended before the call was sent")]
    LeaseEnded,
    /// The lease ended while the call was in flight.
    #[error("the lease ended while the call was in flight")]
    LeaseEndedInFlight,
    /// The request could not be built, for example because the server id is not a valid header value.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// A request body could not be encoded or a response body could not be decoded.
    #[error(transparent)]
    Body(#[from] serde_json::Error),
    /// The response body was incomplete or too long.
    #[error("reading the response body failed: {0}")]
    IncompleteBody(String),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] std::io::Error),
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// A response whose headers have arrived. Dropping the response resets the connection.
pub struct CallResponse {
    response: Response<Incoming>,
    _connection: ConnectionTask,
}

impl CallResponse {
    /// Returns the status code of the response.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Reads the complete body.
    ///
    /// # Errors
    /// [`CallError::IncompleteBody`].
    pub async fn body(self) -> Result<Bytes, CallError> {
        let body = Limited::new(self.response.into_body(), MAX_BODY_BYTES).collect().await;
        body.map(|body| body.to_bytes()).map_err(|error| CallError::IncompleteBody(error.to_string()))
    }
}

/// The task that drives a connection. Dropping the struct aborts the task.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request to `address` under the lease with this token, and waits for the headers of the response.
///
/// # Errors
/// The lease has ended, or the call failed.
pub async fn call(
    address: SocketAddr, request: Request<Full<Bytes>>, lease: &LeaseWatch, token: FencingToken,
) -> Result<CallResponse, CallError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    let (mut sender, connection) = handshake(TokioIo::new(CheckedStream::new(stream))).await?;
    if !lease.holds(token) {
        return Err(CallError::LeaseEnded);
    }
    check(Invariant::OrderUnderLease, lease.holds(token), || format!("lease not held, token {}", token.0));
    let exchange = sender.send_request(request);
    // An error of the connection also fails the exchange, so it is not handled here.
    let connection = ConnectionTask(tokio::spawn(async move { drop(connection.await) }));
    tokio::select! {
        biased;
        response = exchange => Ok(CallResponse { response: response?, _connection: connection }),
        () = lease.clone().wait_until_lost(token) => Err(CallError::LeaseEndedInFlight),
    }
}
