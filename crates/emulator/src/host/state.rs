//! The state that the tasks of one server share.

use super::environment::{Environment, HandleSource};
use super::options::ServerOptions;
use crate::fault::{FaultPlan, Reachability};
use crate::request_log::{Arrival, Completion, Execution, ReceivedOrder};
use crate::server_core::{Action, CallId, KvContents, ServerCore, ServerEvent, ServerRequest};
use crate::sync::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, mpsc, watch};

/// A call whose response the core has not completed.
#[derive(Debug)]
struct OpenCall {
    actions: mpsc::UnboundedSender<Action>,
    request_id: String,
    content_hash: u64,
}

/// The core of a server with its open calls, planned faults and environment. Locks are taken in the order of
/// the fields.
pub(super) struct ServerState<C> {
    pub core: Mutex<C>,
    calls: Mutex<HashMap<CallId, OpenCall>>,
    pub faults: Mutex<FaultPlan>,
    pub reachability: watch::Sender<Reachability>,
    /// Whether idle connections are dropped silently.
    pub drops_idle_connections: AtomicBool,
    /// Notified when the next wake-up of the core may have changed.
    pub wake: Notify,
    pub environment: Environment,
    pub options: ServerOptions,
    pub address: SocketAddr,
}

impl<C: ServerCore> ServerState<C> {
    /// The state of a server that can be reached.
    pub fn new(
        environment: &Environment, address: SocketAddr, core: C, options: ServerOptions,
    ) -> ServerState<C> {
        ServerState {
            core: Mutex::new(core),
            calls: Mutex::default(),
            faults: Mutex::default(),
            reachability: watch::Sender::new(Reachability::Serving),
            drops_idle_connections: AtomicBool::new(false),
            wake: Notify::new(),
            environment: environment.clone(),
            options,
            address,
        }
    }

    /// Registers the server, so that other servers of the environment can fetch KV caches from it.
    pub fn register(state: &Arc<ServerState<C>>) {
        let source: Arc<dyn HandleSource> = Arc::clone(state) as _;
        state.environment.register(state.address, Arc::downgrade(&source));
    }

    /// Passes an event to the core and carries out the resulting actions. KV caches are fetched without
    /// holding a lock, because the server that has them may be this one.
    pub fn dispatch(&self, event: ServerEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut fetches = Vec::new();
            {
                let mut core = lock(&self.core);
                let mut actions = Vec::new();
                core.handle(event, self.environment.now(), &mut actions);
                for action in actions {
                    match action {
                        Action::FetchHandle { call, address, handle } => {
                            fetches.push((call, address, handle))
                        }
                        Action::Started { call, kv_owner } => self.record_execution(&core, call, kv_owner),
                        other => self.forward(other),
                    }
                }
            }
            for (call, address, handle) in fetches {
                let contents = self.environment.take_handle(address, &handle);
                events.push(ServerEvent::HandleFetched { call, contents });
            }
        }
        self.wake.notify_one();
    }

    /// Opens a call for a request. Returns the receiver of the actions of the call.
    pub fn open_call(&self, request: &ServerRequest) -> (CallId, mpsc::UnboundedReceiver<Action>) {
        let call = self.environment.next_call();
        let (actions, receiver) = mpsc::unbounded_channel();
        let request_id = request.request_id().unwrap_or_default().to_owned();
        lock(&self.calls).insert(call, OpenCall { actions, request_id, content_hash: request.content_hash });
        (call, receiver)
    }

    /// Cancels a call. Has no effect on a call that has ended.
    pub fn cancel(&self, call: CallId) {
        let open = lock(&self.calls).remove(&call);
        if let Some(open) = open {
            self.record_completion(open);
        }
        self.dispatch(ServerEvent::Cancelled { call });
    }

    /// Forwards an action to the connection of its call. The last action of a call closes the call.
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
            // The send fails if the connection has ended, and then the action is not needed.
            let _ = open.actions.send(action);
        }
        let ended = if is_last { calls.remove(&call) } else { None };
        drop(calls);
        if let Some(open) = ended {
            self.record_completion(open);
        }
    }

    /// Sends the core its wake-ups when they are due, until the server is down.
    pub async fn run_timers(self: Arc<Self>) {
        let mut reachability = self.reachability.subscribe();
        loop {
            let next = lock(&self.core).next_wake();
            let due = async {
                match next {
                    Some(at) => tokio::time::sleep_until(self.environment.instant(at)).await,
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

    /// Waits while the server is blackholed.
    pub async fn wait_while_blackholed(&self) {
        let mut reachability = self.reachability.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = reachability.wait_for(|reachability| *reachability != Reachability::Blackholed).await;
    }

    /// Records the arrival of a request or an order.
    pub fn record_arrival(&self, request: &ServerRequest) {
        let identity = lock(&self.core).identity().clone();
        let request_log = self.environment.request_log();
        if request.method == "POST" && request.path() == "/order" {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            request_log.record_order(ReceivedOrder {
                at: self.environment.now(),
                instance: identity.instance,
                body,
            });
            return;
        }
        request_log.record_arrival(Arrival {
            at: self.environment.now(),
            instance: identity.instance,
            service: identity.service,
            address: self.address,
            request_id: request.request_id().map(str::to_owned),
            method: request.method.clone(),
            target: request.target.clone(),
            headers: request.headers.clone(),
            content_hash: request.content_hash,
            body_bytes: request.body.len(),
        });
    }

    fn record_execution(&self, core: &C, call: CallId, kv_owner: Option<String>) {
        let calls = lock(&self.calls);
        let Some(open) = calls.get(&call) else {
            return;
        };
        self.environment.request_log().record_execution(Execution {
            at: self.environment.now(),
            instance: core.identity().instance.clone(),
            service: core.identity().service.clone(),
            request_id: open.request_id.clone(),
            content_hash: open.content_hash,
            kv_owner,
        });
    }

    /// Records that a call has ended: by a complete response, by truncation of a stream or by cancellation.
    fn record_completion(&self, open: OpenCall) {
        let completion = Completion { at: self.environment.now(), request_id: open.request_id };
        self.environment.request_log().record_completion(completion);
    }
}

impl<C: ServerCore> HandleSource for ServerState<C> {
    fn take(&self, handle: &str) -> Option<KvContents> {
        let is_serving = *self.reachability.borrow() == Reachability::Serving;
        let contents =
            is_serving.then(|| lock(&self.core).take_handle(handle, self.environment.now())).flatten();
        self.wake.notify_one();
        contents
    }
}
