//! Responses of servers: the response to a request, and unmatched responses, which belong to other requests.

use crate::http::{BodyDecoder, Decoded, Framing, ResponseHead, response_framing};
use crate::outbound::connection::{Connection, ReadError};
use crate::outbound::error::ExchangeError;
use crate::outbound::request::OutboundRequest;
use crate::state::ProxyState;
use lugwharf_routing::ServerKey;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The maximum number of bytes of unmatched responses that are discarded before the expected response.
pub const MAX_UNMATCHED_BYTES: usize = 64 * 1024;

/// A response whose head has been received, and whose body has not been read yet.
#[derive(Debug)]
pub struct ServerResponse {
    /// The head.
    pub head: ResponseHead,
    /// The framing of the body.
    pub framing: Framing,
    /// The decoder of the body.
    pub decoder: BodyDecoder,
    /// The connection on which the response is received.
    pub connection: Connection,
    /// The key of the server.
    pub key: ServerKey,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl ServerResponse {
    /// Returns the connection to the pool if the body was read completely and the server keeps the connection
    /// open. Closes the connection otherwise.
    pub fn release_connection(mut self, state: &ProxyState) {
        if !self.decoder.is_done()
            || self.head.closes_connection_after()
            || self.framing == Framing::CloseDelimited
        {
            return;
        }
        let timeout = keep_alive_timeout(&self.head);
        // A time that the clock can't represent is as good as none.
        self.connection.server_closes_at = timeout.and_then(|timeout| Instant::now().checked_add(timeout));
        if let Some(connection) = self.connection.into_idle() {
            state.pool.checkin(self.key, connection);
        }
    }

    /// Discards the part of the body that has been received, and releases the connection, which is reused
    /// only if the body is complete.
    pub fn discard_body(mut self, state: &ProxyState) {
        while let Ok(Decoded::Data(_)) = self.connection.decode(&mut self.decoder) {}
        self.release_connection(state);
    }

    /// Waits for more bytes of the body.
    pub async fn fill(&mut self) -> Result<(), ReadError> {
        self.connection.fill_body(&mut self.decoder).await
    }

    /// Reads the complete body.
    ///
    /// # Errors
    /// [`ExchangeError::Timeout`] if `deadline` passed; [`ExchangeError::ConnectionBroken`] if the connection
    /// broke or the body is larger than `max` bytes.
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

/// Returns the `timeout` of the `Keep-Alive` field: how long the server keeps the idle connection open.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get_text("keep-alive")?;
    let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Reads the head of the response to `request`, recognised by its id. On a reused connection, unmatched
/// responses are discarded: a server may send a duplicate of an earlier response, which arrives late.
pub(super) async fn read_response_head(
    connection: &mut Connection, request: &OutboundRequest,
) -> Result<ResponseHead, ReadError> {
    let mut remaining = MAX_UNMATCHED_BYTES;
    loop {
        let head = connection.read_head().await?;
        if request.matches_response(&head) {
            return Ok(head);
        }
        if !connection.is_reused {
            return Err(ReadError::Unexpected);
        }
        discard_response(connection, &head, &mut remaining).await?;
    }
}

/// Reads and discards the body of an unmatched response. The size of its head and body is subtracted from
/// `remaining`.
///
/// # Errors
/// The connection broke, the end of the body can't be determined, or the response is larger than `remaining`.
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
