//! Responses of servers: the one that belongs to a request, and stray ones that don't.

use crate::http::{BodyDecoder, Decoded, Framing, ResponseHead, response_framing};
use crate::outbound::connection::{Connection, ReadError};
use crate::outbound::error::ExchangeError;
use crate::outbound::request::OutboundRequest;
use crate::state::ProxyState;
use lugwharf_routing::ServerKey;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The bytes of responses to other requests that are read and discarded before one's own.
pub const MAX_STRAY_BYTES: usize = 64 * 1024;

/// A response whose head was received. Its body is still to be read.
#[derive(Debug)]
pub struct ServerResponse {
    /// The head.
    pub head: ResponseHead,
    /// How the body ends.
    pub framing: Framing,
    /// The decoder of the body.
    pub decoder: BodyDecoder,
    /// The connection that the body comes on.
    pub connection: Connection,
    /// The server.
    pub key: ServerKey,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl ServerResponse {
    /// Returns the connection to the pool, if the body was read completely and the server keeps the connection open; else closes
    /// it.
    pub fn finish(mut self, state: &ProxyState) {
        if !self.decoder.is_done() || self.head.says_close() || self.framing == Framing::UntilEnd {
            return;
        }
        let timeout = keep_alive_timeout(&self.head);
        self.connection.server_closes_at = timeout.map(|timeout| Instant::now() + timeout);
        if let Some(connection) = self.connection.into_idle() {
            state.pool.checkin(self.key, connection);
        }
    }

    /// Like [`ServerResponse::finish`], without use for the body: the connection is returned if the body has arrived already.
    pub fn discard(mut self, state: &ProxyState) {
        while let Ok(Decoded::Data(_)) = self.connection.decode(&mut self.decoder) {}
        self.finish(state);
    }

    /// Waits for more bytes of the body.
    pub async fn fill(&mut self) -> Result<(), ReadError> {
        self.connection.fill_body(&mut self.decoder).await
    }

    /// Reads the complete body until `deadline`.
    ///
    /// # Errors
    /// The connection broke, the deadline passed, or the body is larger than `max` bytes.
    pub async fn collect(&mut self, max: usize, deadline: Instant) -> Result<Vec<u8>, ExchangeError> {
        let mut body = Vec::new();
        loop {
            let read = self.connection.read_body(&mut self.decoder);
            let data = timeout_at(deadline, read).await.map_err(|_| ExchangeError::Timeout)?;
            let Some(data) = data.map_err(|_| ExchangeError::ConnectionBroken)? else { return Ok(body) };
            if body.len() + data.len() > max {
                return Err(ExchangeError::ConnectionBroken);
            }
            body.extend_from_slice(&data);
        }
    }
}

/// The `timeout` of a `Keep-Alive` field: how long the server keeps the idle connection open.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get_text("keep-alive")?;
    let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Reads the head of the response to `request`, recognised by its id. On a reused connection responses to other requests are
/// discarded: a server may send a response twice, the second one late.
pub(super) async fn read_response_head(
    connection: &mut Connection, request: &OutboundRequest,
) -> Result<ResponseHead, ReadError> {
    let mut remaining = MAX_STRAY_BYTES;
    loop {
        let head = connection.read_head().await?;
        if request.is_response_to_this(&head) {
            return Ok(head);
        }
        if !connection.is_reused {
            return Err(ReadError::Unexpected);
        }
        discard_response(connection, &head, &mut remaining).await?;
    }
}

/// Reads and discards the body of a response to another request. Its size, with the head, is taken off `remaining`.
///
/// # Errors
/// The connection broke, the end of the body can't be determined, or nothing remains.
pub async fn discard_response(
    connection: &mut Connection, head: &ResponseHead, remaining: &mut usize,
) -> Result<(), ReadError> {
    let framing = response_framing(head, false)?;
    let mut decoder = BodyDecoder::new(framing);
    *remaining = remaining.checked_sub(head.headers.size()).ok_or(ReadError::TooLarge)?;
    while let Some(data) = connection.read_body(&mut decoder).await? {
        *remaining = remaining.checked_sub(data.len()).ok_or(ReadError::TooLarge)?;
    }
    Ok(())
}
