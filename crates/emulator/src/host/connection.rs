//! Serves the requests on one connection of a caller, with the faults that were planned for them.

use super::response::{Disposition, ResponseWriter};
use super::state::ServerState;
use crate::fault::{Fault, Reachability};
use crate::header_names;
use crate::server_core::{CallId, ServerCore, ServerEvent, ServerRequest};
use crate::sync::lock;
use crate::wire::{Connection, Request, Response, WireError};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// The idle time after which a connection is dropped by a server that drops idle connections.
const IDLE_DROP_DELAY: Duration = Duration::from_millis(300);

/// Serves a connection until the connection or the server ends.
pub(super) async fn serve<C: ServerCore>(state: Arc<ServerState<C>>, stream: TcpStream) {
    let mut reachability = state.reachability.subscribe();
    let mut connection = Connection::new(stream);
    let disposition = tokio::select! {
        disposition = serve_requests(&state, &mut connection) => disposition,
        _ = reachability.wait_for(|reachability| {
            matches!(reachability, Reachability::Down | Reachability::Refusing)
        }) => Disposition::Reset,
    };
    match disposition {
        Disposition::Reset => connection.reset(),
        Disposition::KeepAlive | Disposition::Close => connection.close().await,
    }
}

async fn serve_requests<C: ServerCore>(state: &ServerState<C>, connection: &mut Connection) -> Disposition {
    let mut is_reused = false;
    loop {
        state.wait_while_blackholed().await;
        if std::mem::replace(&mut is_reused, true) && is_dropped_while_idle(state, connection).await {
            return Disposition::Reset;
        }
        let read = timeout(state.options.idle_timeout, connection.read_request()).await;
        state.wait_while_blackholed().await;
        let request = match read {
            Ok(Ok(Some(request))) => request,
            Ok(Err(WireError::Malformed(_))) => {
                // The connection is closed in any case, so a write error does not matter.
                let _ = connection.write(&Response::new(400).encode()).await;
                return Disposition::Close;
            }
            _ => return Disposition::Close,
        };
        match serve_request(state, connection, request).await {
            Ok(Disposition::KeepAlive) => {}
            Ok(disposition) => return disposition,
            Err(_) => return Disposition::Close,
        }
    }
}

/// Whether the server had dropped an idle connection before the next request arrived on it.
async fn is_dropped_while_idle<C: ServerCore>(state: &ServerState<C>, connection: &mut Connection) -> bool {
    let idle_since = Instant::now();
    let received = timeout(state.options.idle_timeout, connection.fill()).await;
    let has_received = matches!(received, Ok(Ok(bytes)) if bytes > 0);
    has_received
        && idle_since.elapsed() >= IDLE_DROP_DELAY
        && state.drops_idle_connections.load(Ordering::Relaxed)
}

async fn serve_request<C: ServerCore>(
    state: &ServerState<C>, connection: &mut Connection, request: Request,
) -> io::Result<Disposition> {
    let fault = lock(&state.faults).take(&request);
    let asks_to_close = request.headers.has_token(header_names::CONNECTION, "close");
    let request = ServerRequest::from(request);
    state.record_arrival(&request);
    if let Some(disposition) = serve_unexecuted(state, connection, &request, fault.as_ref()).await? {
        return Ok(disposition);
    }
    let (call, actions) = state.open_call(&request);
    let mut guard = CancelOnDrop { state, call, is_armed: true };
    state.dispatch(ServerEvent::Request { call, request });
    let disposition = ResponseWriter::new(state, connection, fault).write(actions).await;
    guard.is_armed = !matches!(disposition, Ok(Disposition::KeepAlive));
    drop(guard);
    match disposition? {
        Disposition::KeepAlive if asks_to_close => Ok(Disposition::Close),
        disposition => Ok(disposition),
    }
}

/// Carries out a fault that keeps the request from being executed. Returns `None` if there is no such fault,
/// so that the request must be executed.
async fn serve_unexecuted<C: ServerCore>(
    state: &ServerState<C>, connection: &mut Connection, request: &ServerRequest, fault: Option<&Fault>,
) -> io::Result<Option<Disposition>> {
    match fault {
        Some(Fault::ResetBeforeExecution) => Ok(Some(Disposition::Reset)),
        Some(Fault::Garbage) => {
            connection.write(b"\x00\x01no answer at all\r\n\r\n").await?;
            Ok(Some(Disposition::Close))
        }
        Some(Fault::Hang) => {
            while connection.fill().await? > 0 {}
            Ok(Some(Disposition::Close))
        }
        Some(Fault::Reject) => {
            let rejection = lock(&state.core).identity().rejection(503, request);
            connection.write(&rejection.encode()).await?;
            Ok(Some(Disposition::KeepAlive))
        }
        _ => Ok(None),
    }
}

/// Cancels a call when dropped, if the connection ended before the call. Has no effect on a call that has
/// ended.
struct CancelOnDrop<'a, C: ServerCore> {
    state: &'a ServerState<C>,
    call: CallId,
    is_armed: bool,
}

impl<C: ServerCore> Drop for CancelOnDrop<'_, C> {
    fn drop(&mut self) {
        if self.is_armed && self.state.options.cancels_on_close {
            self.state.cancel(self.call);
        }
    }
}
