//! The pool of idle connections to upstreams, and the limit on all connections to upstreams.
//!
//! The pools of HTTP client libraries are not used: when an idle connection breaks during a request, these
//! libraries send the request again by themselves, so that it may run twice.

use crate::connection::TcpConnection;
use bytes::Bytes;
use http_body_util::Full;
use lugwharf_sidecar::api::Outcome;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// An idle connection is no longer used once no more than the upstream's keep-alive time divided by this is
/// left.
const KEEP_ALIVE_MARGIN_DIVISOR: u32 = 10;
/// The cooldown of a connection after an answer: the last byte of the next request is not written before the
/// cooldown ends. Some upstreams send an answer twice, the second copy up to 6 ms after the first. If the
/// next request were complete by then, the copy would be taken for its answer. In tests the cooldown is long
/// enough that the copy arrives within it on any machine.
const COOLDOWN: Duration = Duration::from_millis(if cfg!(test) { 1_000 } else { 10 });
/// A request waits for the cooldown of a connection only if at least this much of its time is left
/// afterwards.
const MIN_TIME_AFTER_COOLDOWN: Duration = Duration::from_millis(50);
/// The limit on idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 8;
/// The interval at which idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Counts a connection against the limit, from before the connection is opened until it is dropped.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection of the pool.
pub struct PooledConnection {
    pub connection: TcpConnection<Full<Bytes>>,
    /// How long the connection took to be established.
    connect_time: Duration,
    /// When the cooldown after the last answer ends.
    cooldown_ends_at: Instant,
    _slot: Slot,
}

impl PooledConnection {
    /// Records the start of a request. Its last byte is held back if `hold_back` is set, and in any case
    /// until the cooldown of the connection ends.
    pub fn begin_request(&self, hold_back: bool) {
        let is_past_cooldown = Instant::now() >= self.cooldown_ends_at;
        self.connection.begin_request((hold_back || !is_past_cooldown).then_some(self.cooldown_ends_at));
    }
}

/// An idle connection.
struct IdleConnection {
    pooled: PooledConnection,
    idle_since: Instant,
}

/// The destination of an attempt: one process of a server at its address. An endpoint owns its idle
/// connections, so a process that starts later at the same address does not inherit them.
pub struct Endpoint {
    pub address: SocketAddr,
    is_open: AtomicBool,
    /// The idle connections, in the order in which they became idle.
    idle: Mutex<Vec<IdleConnection>>,
}

impl Endpoint {
    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the server list still names the endpoint as ready.
    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    /// Closes the endpoint when the server list no longer names it as ready: no new attempt uses it.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
        self.idle().clear();
    }
}

/// The connections to all upstreams.
#[derive(Clone)]
pub struct Pool {
    endpoints: Arc<Mutex<Vec<Weak<Endpoint>>>>,
    /// The number of connections, including idle ones and those that are being opened.
    open_count: Arc<AtomicUsize>,
    max_connections: usize,
    max_idle: Duration,
    connect_timeout: Duration,
    has_handshake_price: bool,
}

impl Pool {
    /// Returns a pool of up to `max_connections` connections. Upstreams close a connection that is idle for
    /// `keep_alive`. A connection that is not established within `connect_timeout` has failed. With a
    /// handshake price, a request waits for the cooldown of an idle connection rather than opening another.
    pub fn new(
        max_connections: usize, keep_alive: Duration, connect_timeout: Duration, has_handshake_price: bool,
    ) -> Self {
        let (endpoints, open_count) = Default::default();
        let max_idle = keep_alive - keep_alive / KEEP_ALIVE_MARGIN_DIVISOR;
        Pool { endpoints, open_count, max_connections, max_idle, connect_timeout, has_handshake_price }
    }

    fn endpoints(&self) -> MutexGuard<'_, Vec<Weak<Endpoint>>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn live_endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.endpoints().iter().filter_map(Weak::upgrade).collect()
    }

    /// Returns a new endpoint without connections.
    pub fn endpoint(&self, address: SocketAddr) -> Arc<Endpoint> {
        let endpoint = Arc::new(Endpoint { address, is_open: AtomicBool::new(true), idle: Mutex::default() });
        let mut endpoints = self.endpoints();
        endpoints.retain(|endpoint| endpoint.strong_count() > 0);
        endpoints.push(Arc::downgrade(&endpoint));
        endpoint
    }

    /// Closes connections that have been idle for too long or have broken. Never returns.
    pub async fn sweep(self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for endpoint in self.live_endpoints() {
                endpoint.idle().retain(|idle| self.is_usable(idle));
            }
        }
    }

    /// Returns an idle connection, or opens one. The error is the outcome of an attempt that has no
    /// connection: none was established in time, or the endpoint was closed meanwhile.
    pub async fn connection(
        &self, endpoint: &Endpoint, deadline: Instant,
    ) -> Result<PooledConnection, Outcome> {
        if let Some(idle) = self.take_idle(endpoint, deadline).filter(|_| endpoint.is_open()) {
            return Ok(idle);
        }
        let pooled = self.open(endpoint, deadline).await.ok_or(Outcome::ConnectFailed)?;
        // The server may have begun to drain while the connection was being established.
        if endpoint.is_open() { Ok(pooled) } else { Err(Outcome::NotSent) }
    }

    /// Opens a connection; `None` if there is no capacity for one, or it is not established in time.
    async fn open(&self, endpoint: &Endpoint, deadline: Instant) -> Option<PooledConnection> {
        let since = Instant::now();
        let deadline = deadline.min(since + self.connect_timeout);
        let slot = self.reserve_slot()?;
        let opened = timeout_at(deadline, TcpConnection::open(endpoint.address)).await;
        let mut connection = opened.ok()?.ok()?;
        connection.sender.ready().await.ok()?;
        let cooldown_ends_at = Instant::now();
        Some(PooledConnection {
            connection,
            connect_time: cooldown_ends_at - since,
            cooldown_ends_at,
            _slot: slot,
        })
    }

    /// Returns a connection to the pool for the next request. The HTTP library must be ready for one.
    pub fn put_back(&self, endpoint: &Endpoint, mut pooled: PooledConnection) {
        let (mut idle, idle_since) = (endpoint.idle(), Instant::now());
        if endpoint.is_open() && idle.len() < MAX_IDLE_PER_ENDPOINT {
            pooled.cooldown_ends_at = idle_since + COOLDOWN;
            idle.push(IdleConnection { pooled, idle_since });
        }
    }

    /// Takes the most recently used idle connection that is usable and past its cooldown, or else the one
    /// whose cooldown ends first, if that is worth the wait. On a connection that its upstream has closed, or
    /// is about to close, the request would end as a reset and might have run.
    fn take_idle(&self, endpoint: &Endpoint, deadline: Instant) -> Option<PooledConnection> {
        let (mut idle, now) = (endpoint.idle(), Instant::now());
        loop {
            let past_cooldown = idle.iter().rposition(|idle| idle.pooled.cooldown_ends_at <= now);
            let first = || idle.first().filter(|idle| self.is_worth_waiting_for(&idle.pooled, now, deadline));
            let index = past_cooldown.or_else(|| first().map(|_| 0))?;
            let taken = idle.remove(index);
            if self.is_usable(&taken) {
                return Some(taken.pooled);
            }
        }
    }

    fn is_usable(&self, idle: &IdleConnection) -> bool {
        idle.idle_since.elapsed() < self.max_idle && idle.pooled.connection.is_reusable()
    }

    /// Returns whether waiting for the connection's cooldown is better than opening another connection, which
    /// may have a price and is expected to take as long as this one took to be established.
    fn is_worth_waiting_for(&self, pooled: &PooledConnection, now: Instant, deadline: Instant) -> bool {
        let is_cheaper = self.has_handshake_price || pooled.cooldown_ends_at <= now + pooled.connect_time;
        is_cheaper && pooled.cooldown_ends_at + MIN_TIME_AFTER_COOLDOWN <= deadline
    }

    /// Reserves capacity for one more connection. At the limit, the connection that has been idle longest is
    /// closed; `None` if there is no idle one.
    fn reserve_slot(&self) -> Option<Slot> {
        if self.open_count.load(Ordering::Relaxed) >= self.max_connections {
            let endpoints = self.live_endpoints();
            let idle_since = |endpoint: &Arc<Endpoint>| endpoint.idle().first().map(|idle| idle.idle_since);
            let with_idle = endpoints.iter().filter_map(|endpoint| Some((idle_since(endpoint)?, endpoint)));
            let (_, endpoint) = with_idle.min_by_key(|(since, _)| *since)?;
            drop(endpoint.idle().remove(0));
        }
        self.open_count.fetch_add(1, Ordering::Relaxed);
        Some(Slot(self.open_count.clone()))
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
