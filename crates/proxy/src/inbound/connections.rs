//! The clients' connections that are open, and a bound on them.

use lugwharf_invariants::{Invariant, check};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Of the descriptors that are not reserved, this share is for clients, in tenths.
const CLIENTS_TENTHS: usize = 6;
/// Descriptors reserved by the platform.
const RESERVED: usize = 200;
const MIN_CLIENT_CONNECTIONS: usize = 16;

/// One client's connection as others see it.
#[derive(Debug, Default)]
pub struct ConnectionSlot {
    /// Since when no request is open on it.
    pub idle_since: Cell<Option<Instant>>,
    /// Told when it is to be closed as soon as nothing is owed on it.
    pub close: Notify,
}

/// All clients' connections.
#[derive(Debug)]
pub struct ClientConnections {
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    next: Cell<u64>,
    most: usize,
    /// Told when a connection has ended.
    ended: Notify,
}

impl ClientConnections {
    /// For a process that may hold `descriptors`.
    pub fn new(descriptors: usize) -> Rc<ClientConnections> {
        let most = (descriptors.saturating_sub(RESERVED) * CLIENTS_TENTHS / 10).max(MIN_CLIENT_CONNECTIONS);
        Rc::new(ClientConnections {
            slots: RefCell::default(),
            next: Cell::new(0),
            most,
            ended: Notify::new(),
        })
    }

    /// Connections that are open.
    pub fn count(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Asks all to close that have rested for so long.
    pub fn close_idle(&self, rested: Duration) {
        let slots = self.slots.borrow();
        let rests =
            |slot: &&Rc<ConnectionSlot>| slot.idle_since.get().is_some_and(|since| since.elapsed() >= rested);
        slots.values().filter(rests).for_each(|slot| slot.close.notify_one());
    }

    /// Waits until a connection ends.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Counts one more; its number gives it back to [`ClientConnections::remove`].
    pub fn add(&self) -> (u64, Rc<ConnectionSlot>) {
        let (number, slot) = (self.next.get(), Rc::<ConnectionSlot>::default());
        slot.idle_since.set(Some(Instant::now()));
        self.next.set(number + 1);
        self.slots.borrow_mut().insert(number, slot.clone());
        let open = self.count();
        check(Invariant::ClientConnectionsBounded, open <= self.most, || format!("{open} of {}", self.most));
        (number, slot)
    }

    /// One has ended.
    pub fn remove(&self, number: u64) {
        self.slots.borrow_mut().remove(&number);
        self.ended.notify_one();
    }

    /// Whether one more may be let in.
    pub fn has_capacity(&self) -> bool {
        self.count() < self.most
    }

    /// The connection that has rested for longest gives way.
    pub fn evict_idlest(&self) -> bool {
        let slots = self.slots.borrow();
        let idle = slots.values().filter_map(|slot| Some((slot.idle_since.get()?, slot)));
        let oldest = idle.min_by_key(|(since, _)| *since);
        oldest.inspect(|(_, slot)| {
            slot.idle_since.set(None);
            slot.close.notify_one();
        });
        oldest.is_some()
    }

    /// Waits until one more may be let in.
    pub async fn wait_for_capacity(&self) {
        while !self.has_capacity() {
            if self.evict_idlest() {
                tokio::task::yield_now().await;
            } else {
                self.ended().await;
            }
        }
    }
}
