//! Writes a request, and knows what the server can have made of it where that fails.
//!
//! A server begins with the last byte of a request, but for one that answers before it has read a long body. So a request that
//! ended before its last byte was out has not run only if nothing of an answer has come. The answer's side of the connection is
//! watched until then.

use crate::outbound::connection::{Connection, StreamState};
use crate::outbound::request::{INLINE_BODY, OutboundRequest};
use std::io;
use std::time::Duration;
use tokio::time::timeout;

/// How the writing of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All of it is out.
    Complete,
    /// The server has begun to answer, or what came can't be told from an answer. The rest is not written, and the connection
    /// carries nothing more.
    EarlyResponse,
}

/// Writes one request.
pub struct RequestWriter<'a> {
    connection: &'a mut Connection,
    outbound: &'a OutboundRequest,
    /// Not any more once another request's answer has come: it is read over later.
    watches: bool,
}

impl<'a> RequestWriter<'a> {
    /// For one send.
    pub fn new(connection: &'a mut Connection, outbound: &'a OutboundRequest) -> RequestWriter<'a> {
        RequestWriter { connection, outbound, watches: true }
    }

    /// Writes the head and the body, the last byte of all only after `last_byte_delay`. An error means that the server has not got the
    /// whole request and has not begun to answer, and never will, since the caller gives the connection up.
    pub async fn write(
        &mut self, mut head: Vec<u8>, last_byte_delay: Option<Duration>,
    ) -> io::Result<WriteOutcome> {
        let body = &self.outbound.body;
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
        let Some((last_byte_delay, (last, most))) = last_byte_delay.zip(bytes.split_last()) else {
            return self.write_part(bytes).await;
        };
        if self.write_part(most).await? == WriteOutcome::EarlyResponse
            || self.begins_within(last_byte_delay).await?
        {
            return self.early();
        }
        self.write_part(&[*last]).await
    }

    async fn write_part(&mut self, mut bytes: &[u8]) -> io::Result<WriteOutcome> {
        while !bytes.is_empty() {
            let ready = self.connection.ready(self.watches).await?;
            if self.watches && ready.is_readable() && self.has_begun()? {
                return self.early();
            }
            if !ready.is_writable() {
                continue;
            }
            match self.connection.try_write(bytes) {
                Ok(written) => bytes = bytes.get(written..).unwrap_or_default(),
                Err(error) => return self.failed(error),
            }
        }
        Ok(WriteOutcome::Complete)
    }

    /// Whether the server begins to answer within that time.
    async fn begins_within(&mut self, time: Duration) -> io::Result<bool> {
        let watch = async {
            while self.watches {
                self.connection.readable().await?;
                if self.has_begun()? {
                    return Ok(true);
                }
            }
            std::future::pending().await
        };
        // The runtime hears of what has come before it looks at its timers.
        timeout(time, watch).await.unwrap_or(Ok(false))
    }

    /// Whether an answer to this request has begun, as far as can be told.
    fn has_begun(&mut self) -> io::Result<bool> {
        if self.connection.read_available() == StreamState::ResponseEnd {
            return if self.connection.has_unread_bytes() {
                Ok(true)
            } else {
                Err(io::ErrorKind::ConnectionReset.into())
            };
        }
        match self.connection.peek_head() {
            Ok(None) => Ok(false),
            Ok(Some(head)) if self.connection.is_reused && !self.outbound.is_response_to_this(&head) => {
                self.watches = false;
                Ok(false)
            }
            Ok(Some(_)) | Err(_) => Ok(true),
        }
    }

    /// An answer may have come before the connection broke.
    fn failed(&mut self, error: io::Error) -> io::Result<WriteOutcome> {
        self.connection.read_available();
        if self.connection.has_unread_bytes() { self.early() } else { Err(error) }
    }

    fn early(&mut self) -> io::Result<WriteOutcome> {
        self.connection.must_close = true;
        Ok(WriteOutcome::EarlyResponse)
    }
}
