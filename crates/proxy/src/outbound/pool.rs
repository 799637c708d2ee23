//! Connections that rest between requests, by the server's incarnation: nothing at its address later on inherits them.

use crate::outbound::connection::{Connection, ConnectionId, ConnectionPermit};
use lugwharf_routing::ServerKey;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that has rested for longer is closed: few servers keep theirs for less, and a new one costs little.
const MAX_IDLE: Duration = Duration::from_millis(4_000);
/// The same for a request that can't be sent again: its server may be about to close it.
const MAX_IDLE_NOT_IDEMPOTENT: Duration = Duration::from_millis(2_500);
/// A connection is not used in this last part of the time after which its server closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// Connections that rest to one server.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// The least bound on own connections to a server.
const MIN_CONNECTION_LIMIT: u32 = 6;

#[derive(Default)]
struct Entry {
    idle: Vec<Connection>,
    open: Rc<Cell<u32>>,
}

/// The connections to all servers.
#[derive(Default)]
pub struct ConnectionPool {
    entries: RefCell<HashMap<ServerKey, Entry>>,
    next_id: Cell<u64>,
    reuse_is_off: bool,
}

impl ConnectionPool {
    /// One that closes each connection after its request.
    pub fn without_reuse() -> ConnectionPool {
        ConnectionPool { reuse_is_off: true, ..ConnectionPool::default() }
    }

    /// The connection used last that is still good, and is none of `excluded`.
    pub fn take(&self, key: ServerKey, idempotent: bool, excluded: &[ConnectionId]) -> Option<Connection> {
        let mut entries = self.entries.borrow_mut();
        let idle = &mut entries.get_mut(&key)?.idle;
        let most = if idempotent { MAX_IDLE } else { MAX_IDLE_NOT_IDEMPOTENT };
        let now = Instant::now();
        for at in (0..idle.len()).rev() {
            if idle.get(at).is_none_or(|connection| excluded.contains(&connection.id())) {
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
    pub fn try_reserve(&self, key: ServerKey, most: Option<u32>, proxies: u32) -> Option<ConnectionPermit> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(key).or_default();
        let share = most.map_or(u32::MAX, |most| (most / proxies.max(1)).max(MIN_CONNECTION_LIMIT));
        if entry.open.get() >= share {
            return None;
        }
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        Some(ConnectionPermit::new(id, &entry.open))
    }

    /// Takes a connection that rests; for how long it has rested stays as it is.
    pub fn put(&self, key: ServerKey, connection: Connection) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&key) else { return };
        if entry.idle.len() < MAX_IDLE_CONNECTIONS && !self.reuse_is_off {
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
            entry.idle.retain(|connection| is_young(connection, now, MAX_IDLE));
        }
    }
}

fn is_young(connection: &Connection, now: Instant, most: Duration) -> bool {
    let closes = connection.server_closes_at.is_some_and(|at| now + CLOSE_MARGIN >= at);
    now.duration_since(connection.idle_since) < most && !closes
}
