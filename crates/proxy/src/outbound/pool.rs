//! The connection pool. Connections belong to one incarnation of a server, and are never used for a later
//! incarnation at the same address.

use crate::outbound::connection::{Connection, ConnectionId, ConnectionPermit};
use lugwharf_routing::ServerKey;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum idle time of a pooled connection. Few servers close idle connections earlier, and a new
/// connection is cheap.
const MAX_IDLE: Duration = Duration::from_millis(4_000);
/// The maximum idle time of a connection for a request that is not idempotent, since the server may be about
/// to close the connection.
const MAX_IDLE_NOT_IDEMPOTENT: Duration = Duration::from_millis(2_500);
/// A connection is no longer used this long before its server closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// The maximum number of idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// The minimum for the limit on open connections to one server.
const MIN_CONNECTION_LIMIT: u32 = 6;

/// The connections to one server.
#[derive(Default)]
struct ServerConnections {
    /// The idle connections, with the most recently used one last.
    idle: Vec<Connection>,
    /// The number of open connections, both idle and in use.
    open: Rc<Cell<u32>>,
}

/// The connections to all servers.
#[derive(Default)]
pub struct ConnectionPool {
    servers: RefCell<HashMap<ServerKey, ServerConnections>>,
    next_id: Cell<u64>,
    is_reuse_disabled: bool,
}

impl ConnectionPool {
    /// Creates a pool that keeps no idle connections, so that each connection is closed after its request.
    pub fn without_reuse() -> ConnectionPool {
        ConnectionPool { is_reuse_disabled: true, ..ConnectionPool::default() }
    }

    /// Takes the most recently used connection that is usable and not in `excluded`. Unusable connections
    /// found on the way are closed.
    pub fn checkout(
        &self, key: ServerKey, is_idempotent: bool, excluded: &[ConnectionId],
    ) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(&key)?.idle;
        let max_idle = if is_idempotent { MAX_IDLE } else { MAX_IDLE_NOT_IDEMPOTENT };
        let now = Instant::now();
        for index in (0..idle.len()).rev() {
            if idle.get(index).is_none_or(|connection| excluded.contains(&connection.id())) {
                continue;
            }
            let connection = idle.remove(index);
            if is_fresh(&connection, now, max_idle) && connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    /// Reserves one more open connection to a server that accepts `max` connections from `proxies` proxies
    /// together. Returns `None` if this proxy's share is used up.
    pub fn try_reserve(&self, key: ServerKey, max: Option<u32>, proxies: u32) -> Option<ConnectionPermit> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.entry(key).or_default();
        let limit = max.map_or(u32::MAX, |max| (max / proxies.max(1)).max(MIN_CONNECTION_LIMIT));
        if server.open.get() >= limit {
            return None;
        }
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        Some(ConnectionPermit::new(id, &server.open))
    }

    /// Returns an idle connection to the pool, and keeps the time since when it is idle. The connection is
    /// closed if its server is no longer listed, or already has [`MAX_IDLE_CONNECTIONS`] idle connections, or
    /// if reuse is disabled.
    pub fn checkin(&self, key: ServerKey, connection: Connection) {
        let mut servers = self.servers.borrow_mut();
        let Some(server) = servers.get_mut(&key) else { return };
        if server.idle.len() < MAX_IDLE_CONNECTIONS && !self.is_reuse_disabled {
            server.idle.push(connection);
        }
    }

    /// Closes the idle connections to servers that are no longer listed.
    pub fn retain(&self, is_listed: impl Fn(ServerKey) -> bool) {
        self.servers.borrow_mut().retain(|key, _| is_listed(*key));
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self) {
        let now = Instant::now();
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.retain(|connection| is_fresh(connection, now, MAX_IDLE));
        }
    }
}

/// Returns whether a connection has been idle for less than `max_idle`, and its server does not close it
/// within [`CLOSE_MARGIN`].
fn is_fresh(connection: &Connection, now: Instant, max_idle: Duration) -> bool {
    let is_closing = connection.server_closes_at.is_some_and(|at| now + CLOSE_MARGIN >= at);
    now.duration_since(connection.idle_since) < max_idle && !is_closing
}
