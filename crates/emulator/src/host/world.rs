//! What all servers of a world share: the clock, the record, and the way to each other.

use super::{Shared, lock};
use crate::request_log::RequestLog;
use crate::server_core::{CallId, KvContents, ServerCore};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// A server as others reach it for a handle.
trait HandleSource: Send + Sync {
    fn take(&self, handle: &str) -> Option<KvContents>;
}

impl<C: ServerCore> HandleSource for Shared<C> {
    fn take(&self, handle: &str) -> Option<KvContents> {
        let is_open = *self.reachability.borrow() == crate::fault::Reachability::Serving;
        let contents = is_open.then(|| lock(&self.core).take_handle(handle, self.world.now())).flatten();
        self.wake.notify_one();
        contents
    }
}

struct Inner {
    started: Instant,
    calls: AtomicU64,
    request_log: RequestLog,
    servers: Mutex<HashMap<SocketAddr, Weak<dyn HandleSource>>>,
}

/// One world; clones share it. Needs a tokio runtime for its clock.
#[derive(Clone)]
pub struct World {
    inner: Arc<Inner>,
}

impl Default for World {
    fn default() -> Self {
        World::new()
    }
}

impl World {
    /// A world that starts now.
    pub fn new() -> World {
        let inner = Inner {
            started: Instant::now(),
            calls: AtomicU64::new(0),
            request_log: RequestLog::new(),
            servers: Mutex::default(),
        };
        World { inner: Arc::new(inner) }
    }

    /// The record of arrivals and runs.
    pub fn request_log(&self) -> &RequestLog {
        &self.inner.request_log
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.inner.started.elapsed()
    }

    pub(crate) fn instant(&self, at: Duration) -> Instant {
        self.inner.started + at
    }

    pub(crate) fn next_call(&self) -> CallId {
        CallId(self.inner.calls.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) fn register<C: ServerCore>(&self, address: SocketAddr, server: &Arc<Shared<C>>) {
        let source: Arc<dyn HandleSource> = Arc::clone(server) as _;
        lock(&self.inner.servers).insert(address, Arc::downgrade(&source));
    }

    pub(super) fn deregister(&self, address: SocketAddr) {
        lock(&self.inner.servers).remove(&address);
    }

    pub(super) fn take_handle(&self, address: SocketAddr, handle: &str) -> Option<KvContents> {
        let source = lock(&self.inner.servers).get(&address).and_then(Weak::upgrade)?;
        source.take(handle)
    }
}
