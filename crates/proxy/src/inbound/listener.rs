//! Accepts client connections.

use crate::inbound::connection;
use crate::inbound::connections::ClientConnections;
use crate::state::ProxyState;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

#[cfg(test)]
#[path = "listener_tests.rs"]
mod listener_tests;

/// The delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts and admits client connections.
pub struct ClientListener {
    listener: TcpListener,
    /// A connection that has been accepted and waits for its admission.
    waiting: Option<TcpStream>,
}

impl ClientListener {
    /// Creates a listener that accepts connections from `listener`.
    pub fn new(listener: TcpListener) -> ClientListener {
        ClientListener { listener, waiting: None }
    }

    /// Accepts and admits connections. Never returns. A connection that waits for its admission when the
    /// future is dropped is admitted by the next call.
    pub async fn listen(&mut self, state: &Rc<ProxyState>, connections: &Rc<ClientConnections>) {
        loop {
            if self.waiting.is_none() {
                self.waiting = Some(self.accept(connections).await);
            }
            connections.wait_for_capacity().await;
            self.admit_waiting(state, connections);
        }
    }

    /// Accepts a connection. After a failure, an idle connection is evicted.
    async fn accept(&self, connections: &ClientConnections) -> TcpStream {
        let mut is_failing = false;
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return stream,
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

    /// Admits the connections that the kernel has already accepted, including those that the runtime has not
    /// seen yet, and closes the listener.
    pub fn admit_accepted(mut self, state: &Rc<ProxyState>, connections: &Rc<ClientConnections>) {
        if connections.has_capacity() {
            self.admit_waiting(state, connections);
        }
        let Ok(listener) = self.listener.into_std() else { return };
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

    fn admit_waiting(&mut self, state: &Rc<ProxyState>, connections: &Rc<ClientConnections>) {
        if let Some(stream) = self.waiting.take() {
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
