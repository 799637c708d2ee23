//! One connection of a caller to a server, with the faults that were planned for it.

use super::Shared;
use crate::fault::{Fault, Reachability};
use crate::names;
use crate::request_log::{Arrival, ReceivedOrder};
use crate::server_core::{Action, ServerCore, ServerEvent, ServerRequest};
use crate::wire::{Connection, Request, Response, chunk};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

/// An id that no client sends.
const FOREIGN_ID: &str = "f0f0f0f0f0f0f0f0";

/// A server that forgets connections forgets those that have rested for so long.
const DROPPED_AFTER_IDLE: Duration = Duration::from_millis(300);

/// What becomes of a connection after a request.
enum After {
    Keep,
    Close,
    Reset,
}

/// Serves a connection until it ends or the server does.
pub(super) async fn serve<C: ServerCore>(shared: Arc<Shared<C>>, stream: TcpStream) {
    let mut reachability = shared.reachability.subscribe();
    let mut connection = Connection::new(stream);
    let after = tokio::select! {
        after = serve_requests(&shared, &mut connection) => after,
        _ = reachability.wait_for(|reachability| matches!(reachability, Reachability::Down | Reachability::Refusing)) => After::Reset,
    };
    match after {
        After::Reset => connection.reset(),
        After::Keep | After::Close => connection.close().await,
    }
}

async fn serve_requests<C: ServerCore>(shared: &Shared<C>, connection: &mut Connection) -> After {
    let mut is_kept = false;
    loop {
        shared.wait_while_blackholed().await;
        if std::mem::replace(&mut is_kept, true) && is_dropped_while_idle(shared, connection).await {
            return After::Reset;
        }
        let read = tokio::time::timeout(shared.options.idle, connection.read_request()).await;
        shared.wait_while_blackholed().await;
        let request = match read {
            Ok(Ok(Some(request))) => request,
            Ok(Err(crate::wire::WireError::Malformed(_))) => {
                let _ = connection.write(&Response::new(400).encode()).await;
                return After::Close;
            }
            _ => return After::Close,
        };
        match serve_request(shared, connection, request).await {
            Ok(After::Keep) => {}
            Ok(after) => return after,
            Err(_) => return After::Close,
        }
    }
}

/// Whether a kept connection is forgotten by the time at which something comes on it.
async fn is_dropped_while_idle<C: ServerCore>(shared: &Shared<C>, connection: &mut Connection) -> bool {
    let rested_since = tokio::time::Instant::now();
    let came = tokio::time::timeout(shared.options.idle, connection.fill()).await;
    let has_come = matches!(came, Ok(Ok(bytes)) if bytes > 0);
    has_come && rested_since.elapsed() >= DROPPED_AFTER_IDLE && shared.drops_idle.load(Ordering::Relaxed)
}

async fn serve_request<C: ServerCore>(
    shared: &Shared<C>, connection: &mut Connection, request: Request,
) -> io::Result<After> {
    let fault = super::lock(&shared.faults).draw(&request);
    let closes = request.headers.has_token(names::CONNECTION, "close");
    let request = ServerRequest::from(request);
    shared.record(&request);
    match fault {
        Some(Fault::ResetBeforeExecution) => return Ok(After::Reset),
        Some(Fault::Garbage) => {
            connection.write(b"\x00\x01no answer at all\r\n\r\n").await?;
            return Ok(After::Close);
        }
        Some(Fault::Hang) => {
            while connection.fill().await? > 0 {}
            return Ok(After::Close);
        }
        Some(Fault::Reject) => {
            let rejection = super::lock(&shared.core).identity().rejection(503, &request);
            connection.write(&rejection.encode()).await?;
            return Ok(After::Keep);
        }
        _ => {}
    }
    let (call, actions) = shared.open(&request);
    let mut guard = CancelOnDrop { shared, call, is_armed: true };
    shared.dispatch(ServerEvent::Request { call, request });
    let after = relay(shared, connection, actions, fault).await;
    guard.is_armed = !matches!(after, Ok(After::Keep));
    drop(guard);
    after.map(|after| if closes && matches!(after, After::Keep) { After::Close } else { after })
}

/// Tells the core that a call is over when its connection is; harmless for a call that has ended.
struct CancelOnDrop<'a, C: ServerCore> {
    shared: &'a Shared<C>,
    call: crate::server_core::CallId,
    is_armed: bool,
}

impl<C: ServerCore> Drop for CancelOnDrop<'_, C> {
    fn drop(&mut self) {
        if self.is_armed && self.shared.options.drops_on_close {
            self.shared.cancel(self.call);
        }
    }
}

/// Writes what the core answers, until the response or the connection ends.
async fn relay<C: ServerCore>(
    shared: &Shared<C>, connection: &mut Connection, mut actions: UnboundedReceiver<Action>,
    fault: Option<Fault>,
) -> io::Result<After> {
    let mut events = 0;
    let mut closes = false;
    let mut is_watching = true;
    loop {
        let action = tokio::select! {
            biased;
            action = actions.recv() => action,
            filled = connection.fill(), if is_watching => {
                match filled {
                    Ok(0) | Err(_) if shared.options.drops_on_close => return Ok(After::Close),
                    Ok(0) | Err(_) => is_watching = false,
                    Ok(_) => {}
                }
                continue;
            }
        };
        let Some(action) = action else {
            return Ok(After::Close);
        };
        shared.wait_while_blackholed().await;
        if fault == Some(Fault::DropResponse) {
            match action {
                Action::Respond { .. } | Action::End { .. } | Action::Truncate { .. } => {
                    return Ok(After::Reset);
                }
                _ => continue,
            }
        }
        match action {
            Action::Respond { response, .. } => {
                closes = response.headers.has_token(names::CONNECTION, "close");
                connection.write(&with_fault_id(response, &fault).encode()).await?;
                return finish(connection, &fault, closes).await;
            }
            Action::Head { head, .. } => {
                closes = head.headers.has_token(names::CONNECTION, "close");
                connection.write(&with_fault_id(head, &fault).encode_chunked_head()).await?;
            }
            Action::Event { bytes, .. } => {
                if let Some(Fault::TruncateStream { after_events, reset }) = fault
                    && events == after_events
                {
                    let whole = chunk(&bytes);
                    connection.write(whole.get(..whole.len() / 2).unwrap_or_default()).await?;
                    return Ok(if reset { After::Reset } else { After::Close });
                }
                events += 1;
                connection.write(&chunk(&bytes)).await?;
            }
            Action::End { .. } => {
                connection.write(&chunk(b"")).await?;
                return finish(connection, &fault, closes).await;
            }
            Action::Truncate { .. } => return Ok(After::Reset),
            Action::Started { .. } | Action::FetchHandle { .. } => {}
        }
    }
}

fn with_fault_id(response: Response, fault: &Option<Fault>) -> Response {
    match fault {
        Some(Fault::WrongRequestId) => response.with(names::REQUEST_ID, FOREIGN_ID),
        _ => response,
    }
}

/// What follows a whole response.
async fn finish(connection: &mut Connection, fault: &Option<Fault>, closes: bool) -> io::Result<After> {
    match fault {
        Some(Fault::ResetAfterResponse) => return Ok(After::Reset),
        Some(Fault::SurplusResponse) => {
            let mut surplus = Response::new(200).with(names::REQUEST_ID, FOREIGN_ID);
            surplus.body = b"belongs to no request".to_vec();
            connection.write(&surplus.encode()).await?;
        }
        _ => {}
    }
    Ok(if closes { After::Close } else { After::Keep })
}

impl<C: ServerCore> Shared<C> {
    /// Waits while the server is dark.
    async fn wait_while_blackholed(&self) {
        let mut reachability = self.reachability.subscribe();
        let _ = reachability.wait_for(|reachability| *reachability != Reachability::Blackholed).await;
    }

    fn record(&self, request: &ServerRequest) {
        let identity = super::lock(&self.core).identity().clone();
        let request_log = self.world.request_log();
        if request.method == "POST" && request.path() == "/order" {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            request_log.record_order(ReceivedOrder {
                at: self.world.now(),
                instance: identity.instance,
                body,
            });
            return;
        }
        request_log.record_arrival(Arrival {
            at: self.world.now(),
            instance: identity.instance,
            service: identity.service,
            address: self.address,
            request_id: request.request_id().map(str::to_owned),
            method: request.method.clone(),
            target: request.target.clone(),
            headers: request.headers.clone(),
            content: request.content,
            body_bytes: request.body.len(),
        });
    }
}
