//! The response to one request, with the fault that was planned for it.

use super::state::ServerState;
use crate::fault::Fault;
use crate::header_names;
use crate::server_core::{Action, ServerCore};
use crate::wire::{Connection, Response, chunk};
use std::io;
use tokio::sync::mpsc::UnboundedReceiver;

/// A request id that no client sends.
const UNKNOWN_REQUEST_ID: &str = "f0f0f0f0f0f0f0f0";

/// What happens to a connection after a response.
pub(super) enum Disposition {
    /// The connection is kept open for further requests.
    KeepAlive,
    /// The connection is closed with a FIN.
    Close,
    /// The connection is closed with an RST.
    Reset,
}

/// Writes the response of the core to one request, until the response or the connection ends.
pub(super) struct ResponseWriter<'a, C> {
    state: &'a ServerState<C>,
    connection: &'a mut Connection,
    fault: Option<Fault>,
    /// The number of events that were sent completely.
    sent_events: usize,
    /// Whether the response carries `Connection: close`.
    asks_to_close: bool,
    /// Whether the connection is still read, to detect that the caller has closed the connection.
    detects_close: bool,
}

impl<'a, C: ServerCore> ResponseWriter<'a, C> {
    pub fn new(
        state: &'a ServerState<C>, connection: &'a mut Connection, fault: Option<Fault>,
    ) -> ResponseWriter<'a, C> {
        ResponseWriter { state, connection, fault, sent_events: 0, asks_to_close: false, detects_close: true }
    }

    /// Writes the actions of a call.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn write(mut self, mut actions: UnboundedReceiver<Action>) -> io::Result<Disposition> {
        while let Some(action) = self.next_action(&mut actions).await {
            self.state.wait_while_blackholed().await;
            let disposition = match &self.fault {
                Some(Fault::DropResponse) => disposition_without_response(&action),
                _ => self.write_action(action).await?,
            };
            if let Some(disposition) = disposition {
                return Ok(disposition);
            }
        }
        Ok(Disposition::Close)
    }

    /// The next action; `None` if the call has ended, or if the caller has closed the connection and the
    /// options of the server say that this cancels the call.
    async fn next_action(&mut self, actions: &mut UnboundedReceiver<Action>) -> Option<Action> {
        loop {
            tokio::select! {
                biased;
                action = actions.recv() => return action,
                filled = self.connection.fill(), if self.detects_close => match filled {
                    Ok(0) | Err(_) if self.state.options.cancels_on_close => return None,
                    Ok(0) | Err(_) => self.detects_close = false,
                    Ok(_) => {}
                },
            }
        }
    }

    /// Writes one action. After the last action of a call, returns what happens to the connection.
    async fn write_action(&mut self, action: Action) -> io::Result<Option<Disposition>> {
        match action {
            Action::Respond { response, .. } => {
                self.asks_to_close = response.headers.has_token(header_names::CONNECTION, "close");
                let response = self.with_planned_request_id(response);
                self.connection.write(&response.encode()).await?;
                self.finish().await.map(Some)
            }
            Action::Head { head, .. } => {
                self.asks_to_close = head.headers.has_token(header_names::CONNECTION, "close");
                let head = self.with_planned_request_id(head);
                self.connection.write(&head.encode_chunked_head()).await?;
                Ok(None)
            }
            Action::Event { bytes, .. } => self.write_event(&chunk(&bytes)).await,
            Action::End { .. } => {
                self.connection.write(&chunk(b"")).await?;
                self.finish().await.map(Some)
            }
            Action::Truncate { .. } => Ok(Some(Disposition::Reset)),
            Action::Started { .. } | Action::FetchHandle { .. } => Ok(None),
        }
    }

    /// Writes an event, or half of it if the planned fault truncates the stream here.
    async fn write_event(&mut self, encoded: &[u8]) -> io::Result<Option<Disposition>> {
        if let Some(Fault::TruncateStream { after_events, reset }) = self.fault
            && self.sent_events == after_events
        {
            self.connection.write(encoded.get(..encoded.len() / 2).unwrap_or_default()).await?;
            return Ok(Some(if reset { Disposition::Reset } else { Disposition::Close }));
        }
        self.sent_events += 1;
        self.connection.write(encoded).await?;
        Ok(None)
    }

    /// The response with a wrong request id, if that is the planned fault.
    fn with_planned_request_id(&self, response: Response) -> Response {
        match self.fault {
            Some(Fault::WrongRequestId) => response.with(header_names::REQUEST_ID, UNKNOWN_REQUEST_ID),
            _ => response,
        }
    }

    /// Carries out the faults that follow a complete response. Returns what happens to the connection.
    async fn finish(&mut self) -> io::Result<Disposition> {
        match self.fault {
            Some(Fault::ResetAfterResponse) => return Ok(Disposition::Reset),
            Some(Fault::SurplusResponse) => {
                let mut surplus = Response::new(200).with(header_names::REQUEST_ID, UNKNOWN_REQUEST_ID);
                surplus.body = b"belongs to no request".to_vec();
                self.connection.write(&surplus.encode()).await?;
            }
            _ => {}
        }
        Ok(if self.asks_to_close { Disposition::Close } else { Disposition::KeepAlive })
    }
}

/// For a dropped response: the connection is reset after the last action of the call, when the request has
/// been executed.
fn disposition_without_response(action: &Action) -> Option<Disposition> {
    let is_last = matches!(action, Action::Respond { .. } | Action::End { .. } | Action::Truncate { .. });
    is_last.then_some(Disposition::Reset)
}
