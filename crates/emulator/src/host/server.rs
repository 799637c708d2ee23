//! A running server.

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

/// Reads the stage that a model server has now; `None` once the server is gone.
pub type StageSource = Box<dyn Fn() -> Option<Stage> + Send>;

/// A server on its socket. Dropping it ends the server as a crash does.
pub struct EmulatedServer<C: ServerCore> {
    state: Arc<ServerState<C>>,
}

impl<C: ServerCore> EmulatedServer<C> {
    /// Starts the server at an address; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Its incarnation.
    pub fn instance(&self) -> String {
        lock(&self.state.core).identity().instance.clone()
    }

    /// Plans a fault for the next `times` requests that match.
    pub fn inject(&self, matcher: RequestMatcher, fault: Fault, times: usize) {
        lock(&self.state.faults).add(matcher, fault, times);
    }

    /// Drops all planned faults that have not been used.
    pub fn clear_faults(&self) {
        lock(&self.state.faults).clear();
    }

    /// Changes whether it can be reached. [`Reachability::Down`] is final: listener and timers end.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.state.reachability.send_replace(reachability);
    }

    /// Whether the server drops idle connections silently from now on: the next request on one is reset unread.
    pub fn drop_idle_connections(&self, drops: bool) {
        self.state.drops_idle.store(drops, Ordering::Relaxed);
    }

    /// Hands the core an event, such as [`ServerEvent::Drain`].
    pub fn send_event(&self, event: ServerEvent) {
        self.state.dispatch(event);
    }

    /// Reads or changes the core.
    pub fn with_core<T>(&self, access: impl FnOnce(&mut C) -> T) -> T {
        let result = access(&mut lock(&self.state.core));
        self.state.wake.notify_one();
        result
    }

    /// Ends the process: nothing listens, open connections are reset, and running requests are lost. Returns the address once
    /// it can be bound again.
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
    /// Reads the server's stage for as long as it runs.
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

/// Accepts connections until the server is down; resets those beyond the limit, and all while it refuses.
async fn accept<C: ServerCore>(state: Arc<ServerState<C>>, listener: TcpListener) {
    let mut reachability = state.reachability.subscribe();
    let open = Arc::new(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = reachability.wait_for(|reachability| *reachability == Reachability::Down) => return,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let connections = Arc::strong_count(&open) - 1;
        let is_refused = *state.reachability.borrow() == Reachability::Refusing;
        if is_refused || connections >= state.options.max_connections {
            reset(stream);
            continue;
        }
        let guard = Arc::clone(&open);
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
