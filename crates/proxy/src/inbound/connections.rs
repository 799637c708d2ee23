//! The registry of clients' connections, and the limit on them.

use lugwharf_invariants::{Invariant, check};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The share of the available descriptors that clients' connections may use, in tenths. Servers' connections need the rest.
const CLIENT_SHARE_TENTHS: usize = 6;
/// Descriptors that the platform reserves.
const RESERVED_DESCRIPTORS: usize = 200;
/// The least limit on clients' connections.
const MIN_CLIENT_CONNECTIONS: usize = 16;

/// What other tasks see of a client's connection.
#[derive(Debug, Default)]
pub struct ConnectionSlot {
    /// Since when no request is in progress on it; `None` while one is.
    pub idle_since: Cell<Option<Instant>>,
    /// Whether it is to close. A request that crosses this is served first, and its response announces the close.
    is_closing: Cell<bool>,
    close_requested: Notify,
}

impl ConnectionSlot {
    /// Asks the connection to close as soon as no request is in progress on it.
    pub fn request_close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
    }

    /// Whether the connection was asked to close.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Waits until the connection is asked to close.
    pub async fn wait_for_close_request(&self) {
        self.close_requested.notified().await;
    }
}

/// All open connections of clients.
#[derive(Debug)]
pub struct ClientConnections {
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    next_id: Cell<u64>,
    max: usize,
    /// Notified when a connection has closed.
    closed: Notify,
}

impl ClientConnections {
    /// An empty registry for a process that may open `descriptors`.
    pub fn new(descriptors: usize) -> Rc<ClientConnections> {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let max = (available * CLIENT_SHARE_TENTHS / 10).max(MIN_CLIENT_CONNECTIONS);
        let (slots, next_id) = (RefCell::default(), Cell::new(0));
        Rc::new(ClientConnections { slots, next_id, max, closed: Notify::new() })
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Asks all connections to close that have been idle for `min_idle`.
    pub fn close_idle(&self, min_idle: Duration) {
        let slots = self.slots.borrow();
        let is_idle = |slot: &&Rc<ConnectionSlot>| {
            slot.idle_since.get().is_some_and(|since| since.elapsed() >= min_idle)
        };
        slots.values().filter(is_idle).for_each(|slot| slot.request_close());
    }

    /// Waits until a connection closes.
    pub async fn wait_for_close(&self) {
        self.closed.notified().await;
    }

    /// Registers a connection; its id is for [`ClientConnections::unregister`].
    pub fn register(&self) -> (u64, Rc<ConnectionSlot>) {
        let (id, slot) = (self.next_id.get(), Rc::<ConnectionSlot>::default());
        slot.idle_since.set(Some(Instant::now()));
        self.next_id.set(id + 1);
        self.slots.borrow_mut().insert(id, slot.clone());
        let open = self.count();
        check(Invariant::ClientConnectionsBounded, open <= self.max, || format!("{open} of {}", self.max));
        (id, slot)
    }

    /// A connection has closed.
    pub fn unregister(&self, id: u64) {
        self.slots.borrow_mut().remove(&id);
        self.closed.notify_one();
    }

    /// Whether one more connection may be admitted.
    pub fn has_capacity(&self) -> bool {
        self.count() < self.max
    }

    /// Asks the connection that has been idle for longest to close; returns whether there was one.
    pub fn evict_idlest(&self) -> bool {
        let slots = self.slots.borrow();
        let idle = slots.values().filter_map(|slot| Some((slot.idle_since.get()?, slot)));
        let idlest = idle.min_by_key(|(since, _)| *since);
        idlest.inspect(|(_, slot)| {
            // Not to be evicted twice.
            slot.idle_since.set(None);
            slot.request_close();
        });
        idlest.is_some()
    }

    /// Waits until one more connection may be admitted, which idle ones are evicted for.
    pub async fn wait_for_capacity(&self) {
        while !self.has_capacity() {
            if self.evict_idlest() {
                tokio::task::yield_now().await;
            } else {
                self.wait_for_close().await;
            }
        }
    }
}
