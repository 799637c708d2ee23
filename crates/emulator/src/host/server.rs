//! A running emulated server.

use super::connection;
use super::environment::Environment;
use super::options::ServerOptions;
use super::state::ServerState;
use crate::fault::{Fault, Reachability, RequestMatcher};
use crate::model_server::{ModelServer, Stage};
use crate::server_core::{ServerCore, ServerEvent};
use crate::sync::lock;
use crate::wire::Connection;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::{TcpListener, TcpStream};

/// Returns the current stage of a model server; `None` once the server has ended.
pub type StageSource = Box<dyn Fn() -> Option<Stage> + Send>;

/// An emulated server on its socket. Dropping the value stops the server abruptly, as a crash would.
pub struct EmulatedServer<C: ServerCore> {
    state: Arc<ServerState<C>>,
}

impl<C: ServerCore> EmulatedServer<C> {
    /// Starts the server at `address`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(
        environment: &Environment, address: SocketAddr, core: C, options: ServerOptions,
    ) -> io::Result<EmulatedServer<C>> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServerState::new(environment, address, core, options));
        ServerState::register(&state);
        tokio::spawn(accept(Arc::clone(&state), listener));
        tokio::spawn(Arc::clone(&state).run_timers());
        Ok(EmulatedServer { state })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// The id of the server instance.
    pub fn instance(&self) -> String {
        lock(&self.state.core).identity().instance.clone()
    }

    /// Plans a fault for the next `times` requests that `matcher` selects.
    pub fn inject(&self, matcher: RequestMatcher, fault: Fault, times: usize) {
        lock(&self.state.faults).add(matcher, fault, times);
    }

    /// Removes all planned faults that have not occurred yet.
    pub fn clear_faults(&self) {
        lock(&self.state.faults).clear();
    }

    /// Changes whether the server can be reached. [`Reachability::Down`] is final: the listener and the
    /// timers end.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.state.reachability.send_replace(reachability);
    }

    /// Sets whether the server drops idle connections silently from now on. The next request on a dropped
    /// connection is reset unread.
    pub fn drop_idle_connections(&self, drops: bool) {
        self.state.drops_idle_connections.store(drops, Ordering::Relaxed);
    }

    /// Passes an event, such as [`ServerEvent::Drain`], to the server core.
    pub fn send_event(&self, event: ServerEvent) {
        self.state.dispatch(event);
    }

    /// Gives access to the server core.
    pub fn with_core<T>(&self, access: impl FnOnce(&mut C) -> T) -> T {
        let result = access(&mut lock(&self.state.core));
        self.state.wake.notify_one();
        result
    }

    /// Ends the server as if its process had been killed: nothing listens, open connections are reset, and
    /// running requests are lost. Returns the address once it can be bound again.
    pub async fn crash(self) -> SocketAddr {
        let address = self.address();
        self.set_reachability(Reachability::Down);
        self.state.environment.deregister(address);
        drop(self);
        while TcpListener::bind(address).await.is_err() {
            tokio::task::yield_now().await;
        }
        address
    }
}

impl EmulatedServer<ModelServer> {
    /// A function that returns the stage of the server while it runs.
    pub fn stage_source(&self) -> StageSource {
        let server = Arc::downgrade(&self.state);
        Box::new(move || server.upgrade().map(|server| lock(&server.core).stage()))
    }
}

impl<C: ServerCore> Drop for EmulatedServer<C> {
    fn drop(&mut self) {
        self.set_reachability(Reachability::Down);
    }
}

/// Accepts connections until the server is down. Connections beyond the limit are reset. While the server is
/// [`Reachability::Refusing`], all new connections are reset.
async fn accept<C: ServerCore>(state: Arc<ServerState<C>>, listener: TcpListener) {
    let mut reachability = state.reachability.subscribe();
    // Each open connection holds a clone, so that the strong count tells the number of connections.
    let connection_counter = Arc::new(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = reachability.wait_for(|reachability| *reachability == Reachability::Down) => return,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let connections = Arc::strong_count(&connection_counter) - 1;
        let is_refused = *state.reachability.borrow() == Reachability::Refusing;
        if is_refused || connections >= state.options.max_connections {
            reset(stream);
            continue;
        }
        let guard = Arc::clone(&connection_counter);
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            connection::serve(state, stream).await;
            drop(guard);
        });
    }
}

fn reset(stream: TcpStream) {
    Connection::new(stream).reset();
}
