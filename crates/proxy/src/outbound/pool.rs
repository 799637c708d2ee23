//! The pool of idle connections, by the server's incarnation: a later server at the same address never inherits them.

use crate::outbound::connection::{Connection, ConnectionId, ConnectionPermit};
use lugwharf_routing::ServerKey;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest idle time of a pooled connection: few servers close theirs earlier, and a new one is cheap.
const MAX_IDLE: Duration = Duration::from_millis(4_000);
/// The same for a request that is not idempotent: the server may be about to close the connection.
const MAX_IDLE_NOT_IDEMPOTENT: Duration = Duration::from_millis(2_500);
/// A connection is not used any more this long before its server closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// Idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// The least limit on open connections to one server.
const MIN_CONNECTION_LIMIT: u32 = 6;

/// The connections to one server.
#[derive(Default)]
struct ServerConnections {
    /// The one used last at the end.
    idle: Vec<Connection>,
    /// Open connections, idle or not.
    open: Rc<Cell<u32>>,
}

/// The connections to all servers.
#[derive(Default)]
pub struct ConnectionPool {
    servers: RefCell<HashMap<ServerKey, ServerConnections>>,
    next_id: Cell<u64>,
    is_reuse_off: bool,
}

impl ConnectionPool {
    /// A pool that retains no connection, so that each is closed after its request.
    pub fn without_reuse() -> ConnectionPool {
        ConnectionPool { is_reuse_off: true, ..ConnectionPool::default() }
    }

    /// Takes the connection that was used last, among those that are usable and none of `excluded`. Unusable ones are closed.
    pub fn checkout(
        &self, key: ServerKey, is_idempotent: bool, excluded: &[ConnectionId],
    ) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(&key)?.idle;
        let max_idle = if is_idempotent { MAX_IDLE } else { MAX_IDLE_NOT_IDEMPOTENT };
        let now = Instant::now();
        for at in (0..idle.len()).rev() {
            if idle.get(at).is_none_or(|connection| excluded.contains(&connection.id())) {
                continue;
            }
            let connection = idle.remove(at);
            if is_fresh(&connection, now, max_idle) && connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    /// Reserves one more open connection to a server that accepts `max` from all `proxies`; `None` if this proxy's share is used
    /// up.
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

    /// Returns an idle connection. It stays idle since when it was; it is closed if the server is no longer listed, or has enough
    /// idle connections.
    pub fn checkin(&self, key: ServerKey, connection: Connection) {
        let mut servers = self.servers.borrow_mut();
        let Some(server) = servers.get_mut(&key) else { return };
        if server.idle.len() < MAX_IDLE_CONNECTIONS && !self.is_reuse_off {
            server.idle.push(connection);
        }
    }

    /// Closes the idle connections to servers that are not listed any more.
    pub fn retain(&self, is_listed: impl Fn(ServerKey) -> bool) {
        self.servers.borrow_mut().retain(|key, _| is_listed(*key));
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.retain(|connection| is_fresh(connection, now, MAX_IDLE));
        }
    }
}

fn is_fresh(connection: &Connection, now: Instant, max_idle: Duration) -> bool {
    let is_closing = connection.server_closes_at.is_some_and(|at| now + CLOSE_MARGIN >= at);
    now.duration_since(connection.idle_since) < max_idle && !is_closing
}
