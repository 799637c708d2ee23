//! Drives a server core on a loopback socket: the only place where a server meets sockets and the clock.

mod connection;
mod world;

pub use world::World;

use crate::fault::{Fault, FaultPlan, Matcher, Reachability};
use crate::model_server::ModelServer;
use crate::platform::StageSource;
use crate::request_log::{Completion, Execution};
use crate::server_core::{Action, CallId, ServerCore, ServerEvent};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};

/// How a server treats connections.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Connections from all callers together; more are reset.
    pub max_connections: usize,
    /// Connections that rest for longer are closed.
    pub idle: Duration,
    /// Whether a request is dropped when its connection closes.
    pub drops_on_close: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions { max_connections: 350, idle: Duration::from_secs(30), drops_on_close: true }
    }
}

/// What is known of a call while it is at the core.
#[derive(Debug)]
struct OpenCall {
    actions: mpsc::UnboundedSender<Action>,
    request_id: String,
    content: u64,
}

/// What the tasks of one server share.
pub(crate) struct Shared<C> {
    core: Mutex<C>,
    calls: Mutex<HashMap<CallId, OpenCall>>,
    faults: Mutex<FaultPlan>,
    reachability: watch::Sender<Reachability>,
    /// Whether it forgets connections that rest.
    drops_idle: AtomicBool,
    wake: Notify,
    world: World,
    options: ServerOptions,
    address: SocketAddr,
}

/// A locked value; a panic elsewhere does not matter here.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<C: ServerCore> Shared<C> {
    /// Takes an event through the core and carries out what follows.
    fn dispatch(&self, event: ServerEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut wanted = Vec::new();
            {
                let mut core = lock(&self.core);
                let mut actions = Vec::new();
                core.handle(event, self.world.now(), &mut actions);
                for action in actions {
                    match action {
                        Action::FetchHandle { call, address, handle } => wanted.push((call, address, handle)),
                        Action::Started { call, kv_owner } => self.record_execution(&core, call, kv_owner),
                        other => self.forward(other),
                    }
                }
            }
            for (call, address, handle) in wanted {
                let contents = self.world.take_handle(address, &handle);
                events.push(ServerEvent::HandleFetched { call, contents });
            }
        }
        self.wake.notify_one();
    }

    fn record_execution(&self, core: &C, call: CallId, kv_owner: Option<String>) {
        let calls = lock(&self.calls);
        let Some(open) = calls.get(&call) else {
            return;
        };
        self.world.request_log().record_execution(Execution {
            at: self.world.now(),
            instance: core.identity().instance.clone(),
            service: core.identity().service.clone(),
            request_id: open.request_id.clone(),
            content: open.content,
            kv_owner,
        });
    }

    fn forward(&self, action: Action) {
        let call = match &action {
            Action::Respond { call, .. }
            | Action::Head { call, .. }
            | Action::Event { call, .. }
            | Action::End { call }
            | Action::Truncate { call } => *call,
            Action::Started { .. } | Action::FetchHandle { .. } => return,
        };
        let is_last = matches!(action, Action::Respond { .. } | Action::End { .. } | Action::Truncate { .. });
        let mut calls = lock(&self.calls);
        if let Some(open) = calls.get(&call) {
            let _ = open.actions.send(action);
        }
        let ended = if is_last { calls.remove(&call) } else { None };
        drop(calls);
        if let Some(open) = ended {
            self.record_completion(open);
        }
    }

    fn open(&self, request: &crate::server_core::ServerRequest) -> (CallId, mpsc::UnboundedReceiver<Action>) {
        let call = self.world.next_call();
        let (actions, receiver) = mpsc::unbounded_channel();
        let request_id = request.request_id().unwrap_or_default().to_owned();
        lock(&self.calls).insert(call, OpenCall { actions, request_id, content: request.content });
        (call, receiver)
    }

    /// Notes that the server is done with a call, whole or not.
    fn record_completion(&self, open: OpenCall) {
        let end = Completion { at: self.world.now(), request_id: open.request_id };
        self.world.request_log().record_completion(end);
    }

    fn cancel(&self, call: CallId) {
        let open = lock(&self.calls).remove(&call);
        if let Some(open) = open {
            self.record_completion(open);
        }
        self.dispatch(ServerEvent::Cancelled { call });
    }

    async fn run_timers(self: Arc<Self>) {
        let mut reachability = self.reachability.subscribe();
        loop {
            let next = lock(&self.core).next_wake();
            let due = async {
                match next {
                    Some(at) => tokio::time::sleep_until(self.world.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => self.dispatch(ServerEvent::Wake),
                () = self.wake.notified() => {}
                _ = reachability.wait_for(|reachability| *reachability == Reachability::Down) => return,
            }
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut reachability = self.reachability.subscribe();
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
            let is_refused = *self.reachability.borrow() == Reachability::Refusing;
            if is_refused || connections >= self.options.max_connections {
                reset(stream);
                continue;
            }
            let guard = Arc::clone(&open);
            let shared = Arc::clone(&self);
            tokio::spawn(async move {
                connection::serve(shared, stream).await;
                drop(guard);
            });
        }
    }
}

fn reset(stream: TcpStream) {
    crate::wire::Connection::new(stream).reset();
}

/// A server on its socket. Dropping it ends the server as a crash does.
pub struct EmulatedServer<C: ServerCore> {
    shared: Arc<Shared<C>>,
}

impl<C: ServerCore> EmulatedServer<C> {
    /// Starts the server at the address; port 0 takes any.
    pub async fn start(
        world: &World, address: SocketAddr, core: C, options: ServerOptions,
    ) -> io::Result<EmulatedServer<C>> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            core: Mutex::new(core),
            calls: Mutex::default(),
            faults: Mutex::default(),
            reachability: watch::Sender::new(Reachability::Serving),
            drops_idle: AtomicBool::new(false),
            wake: Notify::new(),
            world: world.clone(),
            options,
            address,
        });
        world.register(address, &shared);
        tokio::spawn(Arc::clone(&shared).accept(listener));
        tokio::spawn(Arc::clone(&shared).run_timers());
        Ok(EmulatedServer { shared })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Its incarnation.
    pub fn instance(&self) -> String {
        lock(&self.shared.core).identity().instance.clone()
    }

    /// Adds a fault for the next `times` requests that fit.
    pub fn inject(&self, matcher: Matcher, fault: Fault, times: usize) {
        lock(&self.shared.faults).add(matcher, fault, times);
    }

    /// Forgets all faults that were not used.
    pub fn clear_faults(&self) {
        lock(&self.shared.faults).clear();
    }

    /// Changes whether it can be reached. [`Reachability::Down`] is for good: listener and timers end.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.shared.reachability.send_replace(reachability);
    }

    /// Lets the server forget its connections between two requests without a word: what is sent on one next is reset before
    /// anybody reads it.
    pub fn drop_idle_connections(&self, drops_idle: bool) {
        self.shared.drops_idle.store(drops_idle, Ordering::Relaxed);
    }

    /// Gives the server an event of its own, such as [`ServerEvent::Drain`].
    pub fn tell(&self, event: ServerEvent) {
        self.shared.dispatch(event);
    }

    /// Looks at, or changes, the core.
    pub fn with_core<T>(&self, look: impl FnOnce(&mut C) -> T) -> T {
        let result = look(&mut lock(&self.shared.core));
        self.shared.wake.notify_one();
        result
    }

    /// Ends the process: nothing listens, open connections are reset, and what ran is gone. Returns once the address is
    /// free.
    pub async fn crash(self) -> SocketAddr {
        let address = self.address();
        self.set_reachability(Reachability::Down);
        self.shared.world.deregister(address);
        drop(self);
        while TcpListener::bind(address).await.is_err() {
            tokio::task::yield_now().await;
        }
        address
    }
}

impl EmulatedServer<ModelServer> {
    /// Tells the server's stage for as long as it runs.
    pub fn stage_source(&self) -> StageSource {
        let server = Arc::downgrade(&self.shared);
        Box::new(move || server.upgrade().map(|server| lock(&server.core).stage()))
    }
}

impl<C: ServerCore> Drop for EmulatedServer<C> {
    fn drop(&mut self) {
        self.set_reachability(Reachability::Down);
    }
}
