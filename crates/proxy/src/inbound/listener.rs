//! Accepts client connections.

use crate::inbound::connection;
use crate::inbound::connections::ClientConnections;
use crate::state::ProxyState;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts and admits connections. Never returns.
pub async fn listen(state: &Rc<ProxyState>, connections: &Rc<ClientConnections>, listener: &TcpListener) {
    let mut is_failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                is_failing = false;
                connections.wait_for_capacity().await;
                admit(state, connections, stream);
            }
            Err(error) => {
                // Logged once per series of failures, not for each of them.
                if !std::mem::replace(&mut is_failing, true) {
                    spdlog::warn!("accept outcome=failed error={error}");
                }
                connections.evict_longest_idle();
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Admits the connections that the kernel has already accepted, including those that the runtime has not seen
/// yet, and closes the listener.
pub fn admit_accepted(state: &Rc<ProxyState>, connections: &Rc<ClientConnections>, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else { return };
    while connections.has_capacity()
        && let Ok((stream, _)) = listener.accept()
    {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            admit(state, connections, stream);
        }
    }
}

/// Registers a connection and spawns the task that serves it.
fn admit(state: &Rc<ProxyState>, connections: &Rc<ClientConnections>, stream: TcpStream) {
    // The error is ignored: without `TCP_NODELAY` responses are only slower.
    drop(stream.set_nodelay(true));
    state.record_admission();
    let (id, slot) = connections.register();
    let (state, connections) = (state.clone(), connections.clone());
    tokio::task::spawn_local(async move {
        connection::serve(&state, stream, &slot).await;
        connections.unregister(id);
    });
}
