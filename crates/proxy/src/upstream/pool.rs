//! Connections that rest between requests, by the server's incarnation: nothing at its address later on inherits them.

use crate::upstream::connection::{Connection, ConnectionId, OpenCount};
use lugwharf_routing::ServerKey;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that has rested for longer is closed: few servers keep theirs for less, and a new one costs little.
const IDLE_MOST: Duration = Duration::from_millis(4_000);
/// The same for a request that can't be sent again: its server may be about to close it.
const IDLE_MOST_UNSAFE: Duration = Duration::from_millis(2_500);
/// A connection is not used in this last part of the time after which its server closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// Connections that rest to one server.
const IDLE_EACH: usize = 16;
/// The least bound on own connections to a server.
const CONNECTIONS_FLOOR: u32 = 6;

#[derive(Default)]
struct Entry {
    idle: Vec<Connection>,
    open: Rc<Cell<u32>>,
}

/// The connections to all servers.
#[derive(Default)]
pub struct Pool {
    entries: RefCell<HashMap<ServerKey, Entry>>,
    next_id: Cell<u64>,
    keeps_none: bool,
}

impl Pool {
    /// One that closes each connection after its request.
    pub fn keeping_none() -> Pool {
        Pool { keeps_none: true, ..Pool::default() }
    }

    /// The connection used last that is still good, and is none of `barred`.
    pub fn take(&self, key: ServerKey, idempotent: bool, barred: &[ConnectionId]) -> Option<Connection> {
        let mut entries = self.entries.borrow_mut();
        let idle = &mut entries.get_mut(&key)?.idle;
        let most = if idempotent { IDLE_MOST } else { IDLE_MOST_UNSAFE };
        let now = Instant::now();
        for at in (0..idle.len()).rev() {
            if idle.get(at).is_none_or(|connection| barred.contains(&connection.id())) {
                continue;
            }
            let connection = idle.remove(at);
            if is_young(&connection, now, most) && connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    /// Room for one more connection to a server that takes `most` from all proxies, of which there are `proxies`.
    pub fn open_count(&self, key: ServerKey, most: Option<u32>, proxies: u32) -> Option<OpenCount> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(key).or_default();
        let share = most.map_or(u32::MAX, |most| (most / proxies.max(1)).max(CONNECTIONS_FLOOR));
        if entry.open.get() >= share {
            return None;
        }
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        Some(OpenCount::new(id, &entry.open))
    }

    /// Takes a connection that rests; for how long it has rested stays as it is.
    pub fn put(&self, key: ServerKey, connection: Connection) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&key) else { return };
        if entry.idle.len() < IDLE_EACH && !self.keeps_none {
            entry.idle.push(connection);
        }
    }

    /// Closes what rests to servers that are gone.
    pub fn retain(&self, is_listed: impl Fn(ServerKey) -> bool) {
        self.entries.borrow_mut().retain(|key, _| is_listed(*key));
    }

    /// Closes what has rested for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        for entry in self.entries.borrow_mut().values_mut() {
            entry.idle.retain(|connection| is_young(connection, now, IDLE_MOST));
        }
    }
}

fn is_young(connection: &Connection, now: Instant, most: Duration) -> bool {
    let closes = connection.closes_at.is_some_and(|at| now + CLOSE_MARGIN >= at);
    now.duration_since(connection.idle_since) < most && !closes
}
