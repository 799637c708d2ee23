//! The response to one request, with the fault that was planned for it.

use super::state::ServerState;
use crate::fault::Fault;
use crate::header_names;
use crate::server_core::{Action, ServerCore};
use crate::wire::{Connection, Response, chunk};
use std::io;
use tokio::sync::mpsc::UnboundedReceiver;

/// A request id that no client sends.
const FOREIGN_ID: &str = "f0f0f0f0f0f0f0f0";

/// What becomes of a connection after a response.
pub(super) enum Disposition {
    /// It may carry another request.
    KeepAlive,
    /// It is closed with a FIN.
    Close,
    /// It is closed with an RST.
    Reset,
}

/// Writes what the core answers to one request, until the response or the connection ends.
pub(super) struct ResponseWriter<'a, C> {
    state: &'a ServerState<C>,
    connection: &'a mut Connection,
    fault: Option<Fault>,
    /// Events of a stream that were sent completely.
    sent_events: usize,
    /// Whether the response asks to close its connection.
    closes: bool,
    /// Whether the end of the connection is still watched for.
    is_watching: bool,
}

impl<'a, C: ServerCore> ResponseWriter<'a, C> {
    pub fn new(
        state: &'a ServerState<C>, connection: &'a mut Connection, fault: Option<Fault>,
    ) -> ResponseWriter<'a, C> {
        ResponseWriter { state, connection, fault, sent_events: 0, closes: false, is_watching: true }
    }

    /// Writes the actions of a call.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn write(mut self, mut actions: UnboundedReceiver<Action>) -> io::Result<Disposition> {
        while let Some(action) = self.next_action(&mut actions).await {
            self.state.wait_while_blackholed().await;
            let disposition = match &self.fault {
                Some(Fault::DropResponse) => dropped(&action),
                _ => self.write_action(action).await?,
            };
            if let Some(disposition) = disposition {
                return Ok(disposition);
            }
        }
        Ok(Disposition::Close)
    }

    /// The next action; `None` if the call is over, or the caller has closed the connection and calls end with it.
    async fn next_action(&mut self, actions: &mut UnboundedReceiver<Action>) -> Option<Action> {
        loop {
            tokio::select! {
                biased;
                action = actions.recv() => return action,
                filled = self.connection.fill(), if self.is_watching => match filled {
                    Ok(0) | Err(_) if self.state.options.cancels_on_close => return None,
                    Ok(0) | Err(_) => self.is_watching = false,
                    Ok(_) => {}
                },
            }
        }
    }

    /// Writes one action; the last one of a call says what becomes of the connection.
    async fn write_action(&mut self, action: Action) -> io::Result<Option<Disposition>> {
        match action {
            Action::Respond { response, .. } => {
                self.closes = response.headers.has_token(header_names::CONNECTION, "close");
                let response = self.with_planned_id(response);
                self.connection.write(&response.encode()).await?;
                self.finish().await.map(Some)
            }
            Action::Head { head, .. } => {
                self.closes = head.headers.has_token(header_names::CONNECTION, "close");
                let head = self.with_planned_id(head);
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

    /// Writes an event, or half of it where the stream is to be truncated.
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

    fn with_planned_id(&self, response: Response) -> Response {
        match self.fault {
            Some(Fault::WrongRequestId) => response.with(header_names::REQUEST_ID, FOREIGN_ID),
            _ => response,
        }
    }

    /// What follows a complete response.
    async fn finish(&mut self) -> io::Result<Disposition> {
        match self.fault {
            Some(Fault::ResetAfterResponse) => return Ok(Disposition::Reset),
            Some(Fault::SurplusResponse) => {
                let mut surplus = Response::new(200).with(header_names::REQUEST_ID, FOREIGN_ID);
                surplus.body = b"belongs to no request".to_vec();
                self.connection.write(&surplus.encode()).await?;
            }
            _ => {}
        }
        Ok(if self.closes { Disposition::Close } else { Disposition::KeepAlive })
    }
}

/// A response that is dropped: the request is executed to its end, then the connection is reset.
fn dropped(action: &Action) -> Option<Disposition> {
    let is_last = matches!(action, Action::Respond { .. } | Action::End { .. } | Action::Truncate { .. });
    is_last.then_some(Disposition::Reset)
}
