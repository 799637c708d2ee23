//! The environment that all servers of a test share: the clock, the request log, and the transfer of KV
//! caches.

use crate::request_log::RequestLog;
use crate::server_core::{CallId, KvContents};
use crate::sync::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// A server that other servers fetch KV caches from.
pub(super) trait HandleSource: Send + Sync {
    /// Hands out the KV cache of a handle. Each handle can be taken once. `None` also while the server cannot
    /// be reached.
    fn take(&self, handle: &str) -> Option<KvContents>;
}

struct Shared {
    started_at: Instant,
    next_call: AtomicU64,
    request_log: RequestLog,
    servers: Mutex<HashMap<SocketAddr, Weak<dyn HandleSource>>>,
}

/// The environment of the servers of a test. Clones refer to the same environment. The clock is that of the
/// tokio runtime.
#[derive(Clone)]
pub struct Environment {
    shared: Arc<Shared>,
}

impl Default for Environment {
    fn default() -> Self {
        Environment::new()
    }
}

impl Environment {
    /// An environment that starts now.
    pub fn new() -> Environment {
        let shared = Shared {
            started_at: Instant::now(),
            next_call: AtomicU64::new(0),
            request_log: RequestLog::new(),
            servers: Mutex::default(),
        };
        Environment { shared: Arc::new(shared) }
    }

    /// The log of arrivals, executions, completions and orders.
    pub fn request_log(&self) -> &RequestLog {
        &self.shared.request_log
    }

    /// The time since the start of the environment.
    pub fn now(&self) -> Duration {
        self.shared.started_at.elapsed()
    }

    /// The instant at the time `at` after the start of the environment.
    pub(crate) fn instant(&self, at: Duration) -> Instant {
        self.shared.started_at + at
    }

    /// A new call id.
    pub(crate) fn next_call(&self) -> CallId {
        CallId(self.shared.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Registers the server at an address. It replaces an earlier server at the same address.
    pub(super) fn register(&self, address: SocketAddr, server: Weak<dyn HandleSource>) {
        lock(&self.shared.servers).insert(address, server);
    }

    /// Removes the server at an address.
    pub(super) fn deregister(&self, address: SocketAddr) {
        lock(&self.shared.servers).remove(&address);
    }

    /// Takes the KV cache of a handle from the server at an address.
    pub(super) fn take_handle(&self, address: SocketAddr, handle: &str) -> Option<KvContents> {
        let source = lock(&self.shared.servers).get(&address).and_then(Weak::upgrade)?;
        source.take(handle)
    }
}
