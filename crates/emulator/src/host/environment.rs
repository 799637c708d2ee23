//! What all servers of a environment share: the clock, the request log, and the transfer of KV caches.

use crate::request_log::RequestLog;
use crate::server_core::{CallId, KvContents};
use crate::sync::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// A server from which others fetch KV caches.
pub(super) trait HandleSource: Send + Sync {
    /// Hands out the KV cache behind a handle, once; `None` also while the server can't be reached.
    fn take(&self, handle: &str) -> Option<KvContents>;
}

struct Inner {
    started: Instant,
    calls: AtomicU64,
    request_log: RequestLog,
    servers: Mutex<HashMap<SocketAddr, Weak<dyn HandleSource>>>,
}

/// The surroundings of a test's servers; clones share them. Its clock is that of the tokio runtime.
#[derive(Clone)]
pub struct Environment {
    inner: Arc<Inner>,
}

impl Default for Environment {
    fn default() -> Self {
        Environment::new()
    }
}

impl Environment {
    /// A environment that starts now.
    pub fn new() -> Environment {
        let inner = Inner {
            started: Instant::now(),
            calls: AtomicU64::new(0),
            request_log: RequestLog::new(),
            servers: Mutex::default(),
        };
        Environment { inner: Arc::new(inner) }
    }

    /// The log of arrivals, executions and orders.
    pub fn request_log(&self) -> &RequestLog {
        &self.inner.request_log
    }

    /// The time since the start of the environment.
    pub fn now(&self) -> Duration {
        self.inner.started.elapsed()
    }

    /// The instant that is so long after the start.
    pub(crate) fn instant(&self, at: Duration) -> Instant {
        self.inner.started + at
    }

    /// A call id that was not used before.
    pub(crate) fn next_call(&self) -> CallId {
        CallId(self.inner.calls.fetch_add(1, Ordering::Relaxed))
    }

    /// Registers the server at an address, in place of an earlier one.
    pub(super) fn register(&self, address: SocketAddr, server: Weak<dyn HandleSource>) {
        lock(&self.inner.servers).insert(address, server);
    }

    /// Removes the server at an address.
    pub(super) fn deregister(&self, address: SocketAddr) {
        lock(&self.inner.servers).remove(&address);
    }

    /// Fetches the KV cache behind a handle of the server at an address.
    pub(super) fn take_handle(&self, address: SocketAddr, handle: &str) -> Option<KvContents> {
        let source = lock(&self.inner.servers).get(&address).and_then(Weak::upgrade)?;
        source.take(handle)
    }
}
