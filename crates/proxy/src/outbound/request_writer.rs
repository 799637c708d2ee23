//! Writes a request to a connection. If that fails, the result indicates whether the server may have executed
//! the request.
//!
//! A server starts to execute a request when it has received the last byte, except for a server that responds
//! before it has read the complete body. So a request whose last byte was not sent is known to be unexecuted
//! only if no byte of a response has been received. Until the last byte is sent, the writer therefore also
//! watches for input on the connection.

use crate::outbound::connection::{Connection, StreamState};
use crate::outbound::request::{MAX_INLINE_BODY_BYTES, OutboundRequest};
use std::io;
use std::time::Duration;
use tokio::time::timeout;

/// The outcome of writing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The complete request was sent.
    Complete,
    /// The server has begun to respond, or has sent bytes that can't be distinguished from a response. The
    /// rest of the request was not sent, and the connection must not be reused.
    EarlyResponse,
}

/// Writes one request to one connection.
pub struct RequestWriter<'a> {
    connection: &'a mut Connection,
    request: &'a OutboundRequest,
    /// Whether the writer watches for input. It stops after a response to another request, which is discarded
    /// later.
    watches_for_response: bool,
}

impl<'a> RequestWriter<'a> {
    /// Creates the writer for one exchange.
    pub fn new(connection: &'a mut Connection, request: &'a OutboundRequest) -> RequestWriter<'a> {
        RequestWriter { connection, request, watches_for_response: true }
    }

    /// Writes the head and the body, the last byte only after `last_byte_delay`.
    ///
    /// # Errors
    /// The connection failed before the complete request was sent, and the server has not begun to respond.
    /// The request was not executed and never will be, provided that the caller closes the connection.
    pub async fn write(
        &mut self, mut head: Vec<u8>, last_byte_delay: Option<Duration>,
    ) -> io::Result<WriteOutcome> {
        let body = &self.request.body;
        let (first, second) = if body.len() <= MAX_INLINE_BODY_BYTES {
            head.extend_from_slice(body);
            (head, &[][..])
        } else {
            (head, &body[..])
        };
        if second.is_empty() {
            return self.write_with_last_byte_delayed(&first, last_byte_delay).await;
        }
        match self.write_part(&first).await? {
            WriteOutcome::Complete => self.write_with_last_byte_delayed(second, last_byte_delay).await,
            WriteOutcome::EarlyResponse => Ok(WriteOutcome::EarlyResponse),
        }
    }

    /// Writes `bytes`, the last of them only after `last_byte_delay`, if there is one.
    async fn write_with_last_byte_delayed(
        &mut self, bytes: &[u8], last_byte_delay: Option<Duration>,
    ) -> io::Result<WriteOutcome> {
        let Some((delay, (last, others))) = last_byte_delay.zip(bytes.split_last()) else {
            return self.write_part(bytes).await;
        };
        if self.write_part(others).await? == WriteOutcome::EarlyResponse
            || self.responds_within(delay).await?
        {
            return self.stop_for_early_response();
        }
        self.write_part(&[*last]).await
    }

    /// Writes `bytes`, and stops if the server begins to respond.
    async fn write_part(&mut self, mut bytes: &[u8]) -> io::Result<WriteOutcome> {
        while !bytes.is_empty() {
            let ready = self.connection.ready(self.watches_for_response).await?;
            if self.watches_for_response && ready.is_readable() && self.has_response_begun()? {
                return self.stop_for_early_response();
            }
            if !ready.is_writable() {
                continue;
            }
            match self.connection.try_write(bytes) {
                Ok(written) => bytes = bytes.get(written..).unwrap_or_default(),
                Err(error) => return self.handle_write_error(error),
            }
        }
        Ok(WriteOutcome::Complete)
    }

    /// Returns whether the server begins to respond within `time`.
    async fn responds_within(&mut self, time: Duration) -> io::Result<bool> {
        let watch = async {
            while self.watches_for_response {
                self.connection.readable().await?;
                if self.has_response_begun()? {
                    return Ok(true);
                }
            }
            std::future::pending().await
        };
        // The runtime polls the socket before its timers, so that input that arrived in time is detected.
        timeout(time, watch).await.unwrap_or(Ok(false))
    }

    /// Reads the available input. Returns whether it is, or may be, the beginning of a response to this
    /// request.
    fn has_response_begun(&mut self) -> io::Result<bool> {
        if self.connection.read_available() == StreamState::Closed {
            return if self.connection.has_unread_bytes() {
                Ok(true)
            } else {
                Err(io::ErrorKind::ConnectionReset.into())
            };
        }
        match self.connection.peek_head() {
            Ok(None) => Ok(false),
            Ok(Some(head)) if self.connection.is_reused && !self.request.matches_response(&head) => {
                self.watches_for_response = false;
                Ok(false)
            }
            Ok(Some(_)) | Err(_) => Ok(true),
        }
    }

    /// Handles a failed write: the server may have responded before the connection broke.
    fn handle_write_error(&mut self, error: io::Error) -> io::Result<WriteOutcome> {
        self.connection.read_available();
        if self.connection.has_unread_bytes() { self.stop_for_early_response() } else { Err(error) }
    }

    /// Stops writing. The connection can't be reused, since the rest of the request is missing on it.
    fn stop_for_early_response(&mut self) -> io::Result<WriteOutcome> {
        self.connection.must_close = true;
        Ok(WriteOutcome::EarlyResponse)
    }
}
