//! The registry of client connections, and the limit on their number.

use lugwharf_invariants::{Invariant, check};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The share of the available file descriptors that client connections may use, in tenths. The rest is for
/// connections to servers.
const CLIENT_SHARE_TENTHS: usize = 6;
/// The number of file descriptors that the platform reserves.
const RESERVED_DESCRIPTORS: usize = 200;
/// The minimum for the limit on client connections.
const MIN_CLIENT_CONNECTIONS: usize = 16;

/// The state of a client connection that is shared with other tasks.
#[derive(Debug, Default)]
pub struct ConnectionSlot {
    /// The time since when no request has been in progress on the connection, or `None` while one is.
    pub idle_since: Cell<Option<Instant>>,
    /// Whether the connection has been asked to close. A request that has just arrived is still served, and
    /// its response announces the close.
    is_close_requested: Cell<bool>,
    close_requested: Notify,
    abort_requested: Notify,
    /// Whether bytes of a further request have been received while one is in progress.
    pub has_read_ahead: Cell<bool>,
}

impl ConnectionSlot {
    /// Asks the connection to close once no request is in progress on it.
    pub fn request_close(&self) {
        self.is_close_requested.set(true);
        self.close_requested.notify_one();
    }

    /// Returns whether the connection has been asked to close.
    pub fn is_close_requested(&self) -> bool {
        self.is_close_requested.get()
    }

    /// Waits until the connection is asked to close.
    pub async fn wait_for_close_request(&self) {
        self.close_requested.notified().await;
    }

    /// Waits until the request in progress is to be aborted.
    pub async fn wait_for_abort_request(&self) {
        self.abort_requested.notified().await;
    }
}

/// All open client connections.
#[derive(Debug)]
pub struct ClientConnections {
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    next_id: Cell<u64>,
    max_connections: usize,
    /// Notified when a connection has been unregistered.
    closed: Notify,
}

impl ClientConnections {
    /// Creates an empty registry for a process that may open `descriptors` file descriptors.
    pub fn new(descriptors: usize) -> Rc<ClientConnections> {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let max_connections = (available * CLIENT_SHARE_TENTHS / 10).max(MIN_CLIENT_CONNECTIONS);
        let (slots, next_id) = (RefCell::default(), Cell::new(0));
        Rc::new(ClientConnections { slots, next_id, max_connections, closed: Notify::new() })
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Asks all connections that have been idle for at least `min_idle` to close.
    pub fn close_idle(&self, min_idle: Duration) {
        let slots = self.slots.borrow();
        let is_idle = |slot: &&Rc<ConnectionSlot>| {
            slot.idle_since.get().is_some_and(|since| since.elapsed() >= min_idle)
        };
        slots.values().filter(is_idle).for_each(|slot| slot.request_close());
    }

    /// Asks all connections to abort the request in progress.
    pub fn abort_requests(&self) {
        self.slots.borrow().values().for_each(|slot| slot.abort_requested.notify_one());
    }

    /// Waits until a connection closes.
    pub async fn wait_for_close(&self) {
        self.closed.notified().await;
    }

    /// Registers a connection. Returns its id, for [`ClientConnections::unregister`], and its shared state.
    pub fn register(&self) -> (u64, Rc<ConnectionSlot>) {
        let (id, slot) = (self.next_id.get(), Rc::<ConnectionSlot>::default());
        slot.idle_since.set(Some(Instant::now()));
        self.next_id.set(id + 1);
        self.slots.borrow_mut().insert(id, slot.clone());
        let open = self.count();
        check(Invariant::ClientConnectionsBounded, open <= self.max_connections, || {
            format!("{open} client connections are open, the limit is {}", self.max_connections)
        });
        (id, slot)
    }

    /// Unregisters a connection that has closed.
    pub fn unregister(&self, id: u64) {
        self.slots.borrow_mut().remove(&id);
        self.closed.notify_one();
    }

    /// Returns whether one more connection may be admitted.
    pub fn has_capacity(&self) -> bool {
        self.count() < self.max_connections
    }

    /// Asks the connection that has been idle for the longest time to close. Returns whether there was an
    /// idle connection.
    pub fn evict_longest_idle(&self) -> bool {
        let slots = self.slots.borrow();
        let idle = slots.values().filter_map(|slot| Some((slot.idle_since.get()?, slot)));
        let longest_idle = idle.min_by_key(|(since, _)| *since);
        longest_idle.inspect(|(_, slot)| {
            // The connection no longer counts as idle, so that it is not evicted again.
            slot.idle_since.set(None);
            slot.request_close();
        });
        longest_idle.is_some()
    }

    /// Waits until one more connection may be admitted. Evicts idle connections to make room.
    pub async fn wait_for_capacity(&self) {
        while !self.has_capacity() {
            if self.evict_longest_idle() {
                tokio::task::yield_now().await;
            } else {
                self.wait_for_close().await;
            }
        }
    }
}
