//! Writes a request, and knows whether the server can have executed it if that fails.
//!
//! A server starts to execute with the last byte of a request, except one that responds before it has read a long body. So a
//! request that broke off before its last byte was not executed only if no byte of a response has come. The reading side of the
//! connection is watched until then.

use crate::outbound::connection::{Connection, StreamState};
use crate::outbound::request::{INLINE_BODY, OutboundRequest};
use std::io;
use std::time::Duration;
use tokio::time::timeout;

/// How the writing of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The complete request was sent.
    Complete,
    /// The server has begun to respond, or what came can't be told from a response. The rest was not sent, and the connection is
    /// not reused.
    EarlyResponse,
}

/// Writes one request to one connection.
pub struct RequestWriter<'a> {
    connection: &'a mut Connection,
    request: &'a OutboundRequest,
    /// Whether bytes that come are looked at. Not after a response to another request: it is discarded later.
    is_watching: bool,
}

impl<'a> RequestWriter<'a> {
    /// For one exchange.
    pub fn new(connection: &'a mut Connection, request: &'a OutboundRequest) -> RequestWriter<'a> {
        RequestWriter { connection, request, is_watching: true }
    }

    /// Writes head and body; the very last byte only after `last_byte_delay`.
    ///
    /// # Errors
    /// The server has not received the complete request and has not begun to respond, and never will: the caller closes the
    /// connection.
    pub async fn write(
        &mut self, mut head: Vec<u8>, last_byte_delay: Option<Duration>,
    ) -> io::Result<WriteOutcome> {
        let body = &self.request.body;
        let (first, second) = if body.len() <= INLINE_BODY {
            head.extend_from_slice(body);
            (head, &[][..])
        } else {
            (head, &body[..])
        };
        if second.is_empty() {
            return self.write_last(&first, last_byte_delay).await;
        }
        match self.write_part(&first).await? {
            WriteOutcome::Complete => self.write_last(second, last_byte_delay).await,
            WriteOutcome::EarlyResponse => Ok(WriteOutcome::EarlyResponse),
        }
    }

    async fn write_last(
        &mut self, bytes: &[u8], last_byte_delay: Option<Duration>,
    ) -> io::Result<WriteOutcome> {
        let Some((delay, (last, others))) = last_byte_delay.zip(bytes.split_last()) else {
            return self.write_part(bytes).await;
        };
        if self.write_part(others).await? == WriteOutcome::EarlyResponse
            || self.responds_within(delay).await?
        {
            return self.end_early();
        }
        self.write_part(&[*last]).await
    }

    async fn write_part(&mut self, mut bytes: &[u8]) -> io::Result<WriteOutcome> {
        while !bytes.is_empty() {
            let ready = self.connection.ready(self.is_watching).await?;
            if self.is_watching && ready.is_readable() && self.has_response_begun()? {
                return self.end_early();
            }
            if !ready.is_writable() {
                continue;
            }
            match self.connection.try_write(bytes) {
                Ok(written) => bytes = bytes.get(written..).unwrap_or_default(),
                Err(error) => return self.end_broken(error),
            }
        }
        Ok(WriteOutcome::Complete)
    }

    /// Whether the server begins to respond within that time.
    async fn responds_within(&mut self, time: Duration) -> io::Result<bool> {
        let watch = async {
            while self.is_watching {
                self.connection.readable().await?;
                if self.has_response_begun()? {
                    return Ok(true);
                }
            }
            std::future::pending().await
        };
        // The runtime polls the socket before its timers, so that bytes that came in time are seen.
        timeout(time, watch).await.unwrap_or(Ok(false))
    }

    /// Whether a response to this request has begun, as far as can be told.
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
            Ok(Some(head)) if self.connection.is_reused && !self.request.is_response_to_this(&head) => {
                self.is_watching = false;
                Ok(false)
            }
            Ok(Some(_)) | Err(_) => Ok(true),
        }
    }

    /// The write failed; a response may have come before the connection broke.
    fn end_broken(&mut self, error: io::Error) -> io::Result<WriteOutcome> {
        self.connection.read_available();
        if self.connection.has_unread_bytes() { self.end_early() } else { Err(error) }
    }

    fn end_early(&mut self) -> io::Result<WriteOutcome> {
        self.connection.must_close = true;
        Ok(WriteOutcome::EarlyResponse)
    }
}
