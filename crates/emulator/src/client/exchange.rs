//! One request of a client and the response to it.

use super::outcome::{AttemptEnd, AttemptOutcome, FailedCheck};
use super::request::ClientRequest;
use crate::events::EventParser;
use crate::header_names;
use crate::server_core::duration_from_ms;
use crate::wire::{Connection, Framing, Response, WireError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// The default timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client with at most one open connection to a front-end node.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
    connect_timeout: Duration,
    /// The pause between the two halves of a request; zero sends the request at once.
    mid_request_pause: Duration,
}

impl Client {
    /// A client of the front-end node at `address`. It connects with the first request, with a connect
    /// timeout of 1 s.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            connection: None,
            connect_timeout: CONNECT_TIMEOUT,
            mid_request_pause: Duration::ZERO,
        }
    }

    /// The same client with another connect timeout, for example where many clients connect to a busy machine
    /// at once.
    pub fn with_connect_timeout(self, connect_timeout: Duration) -> Client {
        Client { connect_timeout, ..self }
    }

    /// The same client as a slow sender, which pauses in the middle of each request.
    pub fn with_mid_request_pause(self, mid_request_pause: Duration) -> Client {
        Client { mid_request_pause, ..self }
    }

    /// Whether the connection of the last request is open for another request.
    pub fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    /// Opens a connection ahead of its first request, if none is open. A failure shows when the request is
    /// sent.
    pub async fn connect(&mut self) {
        if self.connection.is_none() {
            let opened = timeout(self.connect_timeout, Connection::open(self.address)).await;
            self.connection = opened.ok().and_then(Result::ok);
        }
    }

    /// Sends a request, on a new connection if none is open. Reads and checks the response, until the
    /// deadline of the request.
    pub async fn send(&mut self, request: &ClientRequest) -> AttemptOutcome {
        let deadline = Instant::now() + duration_from_ms(request.deadline_ms as f64);
        let mut outcome = request.outcome();
        let mut connection = match self.take_connection(&mut outcome, deadline).await {
            Some(connection) => connection,
            None => return outcome,
        };
        match timeout_at(deadline, exchange(&mut connection, request, self.mid_request_pause, &mut outcome))
            .await
        {
            Err(_) => outcome.ending = AttemptEnd::TimedOut,
            Ok(Err(WireError::Malformed(_) | WireError::TooLong)) => {
                outcome.ending = AttemptEnd::Malformed;
                outcome.failed_checks.push(FailedCheck::MalformedResponse);
            }
            Ok(Err(_)) => outcome.ending = AttemptEnd::Truncated,
            Ok(Ok(())) => {
                outcome.ending = AttemptEnd::Complete;
                if !outcome.headers.has_token(header_names::CONNECTION, "close") {
                    self.connection = Some(connection);
                }
            }
        }
        outcome.check();
        outcome
    }

    async fn take_connection(
        &mut self, outcome: &mut AttemptOutcome, deadline: Instant,
    ) -> Option<Connection> {
        if let Some(mut connection) = self.connection.take() {
            connection.fill_now();
            if connection.unread().is_empty() {
                return Some(connection);
            }
            outcome.failed_checks.push(FailedCheck::SurplusBytes);
        }
        let deadline = deadline.min(Instant::now() + self.connect_timeout);
        match timeout_at(deadline, Connection::open(self.address)).await {
            Ok(Ok(connection)) => Some(connection),
            Ok(Err(_)) | Err(_) => {
                outcome.ending = AttemptEnd::ConnectFailed;
                None
            }
        }
    }

    /// The bytes that arrived on the open connection while no request was waiting for a response.
    pub fn surplus_bytes(&mut self) -> Vec<u8> {
        let Some(connection) = &mut self.connection else {
            return Vec::new();
        };
        connection.fill_now();
        connection.unread().to_vec()
    }
}

async fn exchange(
    connection: &mut Connection, request: &ClientRequest, pause: Duration, outcome: &mut AttemptOutcome,
) -> Result<(), WireError> {
    let bytes = request.to_wire().encode();
    let (first, second) = bytes.split_at(if pause.is_zero() { 0 } else { bytes.len() / 2 });
    if !pause.is_zero() {
        connection.write(first).await?;
        tokio::time::sleep(pause).await;
    }
    connection.write(second).await?;
    let (head, mut framing): (Response, Framing) = connection.read_response_head().await?;
    outcome.status = Some(head.status);
    outcome.stamp = head.headers.get(header_names::SERVER_STAMP).and_then(|stamp| stamp.parse().ok());
    outcome.headers = head.headers;
    let mut parser = EventParser::default();
    let is_stream = outcome.headers.get(header_names::CONTENT_TYPE) == Some(header_names::EVENT_STREAM);
    while let Some(chunk_bytes) = connection.read_body_chunk(&mut framing).await? {
        outcome.body.extend_from_slice(&chunk_bytes);
        if is_stream {
            outcome.events.extend(parser.push(&chunk_bytes));
        }
    }
    if parser.has_partial_event() {
        outcome.failed_checks.push(FailedCheck::PartialEvent);
    }
    Ok(())
}
