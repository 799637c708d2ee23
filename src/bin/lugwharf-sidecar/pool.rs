//! The idle connections to upstreams, and the limit on all connections to them.
//!
//! This is a pool of our own: those of client libraries send a request again by themselves when an idle connection breaks
//! under it, and so may run it twice.

use crate::connection::TcpConnection;
use bytes::Bytes;
use http_body_util::Full;
use lugwharf_sidecar::api::Outcome;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// An idle connection is not used in the last part, one of so many, of the time after which its upstream closes it.
const KEEP_ALIVE_MARGIN_DIVISOR: u32 = 10;
/// How long a connection rests after an answer before the last byte of the next request is written to it. Some upstreams
/// send an answer twice, the second up to 6 ms behind the first; on a connection with a complete request out it would be
/// taken for that request's answer. In tests it rests for so long that the second answer comes first on any machine.
const REST_TIME: Duration = Duration::from_millis(if cfg!(test) { 1_000 } else { 10 });
/// With less time than this left after a connection's rest, a request cannot wait for it.
const MIN_TIME_AFTER_REST: Duration = Duration::from_millis(50);
/// Idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 8;
/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Counts a connection against the limit, from before it is opened until it is dropped.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection of the pool.
pub struct PooledConnection {
    pub connection: TcpConnection<Full<Bytes>>,
    /// How long it took to come up.
    connect_time: Duration,
    /// When its rest after the last answer is over.
    rested_at: Instant,
    _slot: Slot,
}

impl PooledConnection {
    /// A request begins. Its last byte is held back if there is time for that, and in any case until the connection has
    /// rested.
    pub fn begin_request(&self, hold_back: bool) {
        let has_rested = Instant::now() >= self.rested_at;
        self.connection.begin_request((hold_back || !has_rested).then_some(self.rested_at));
    }
}

struct Idle {
    pooled: PooledConnection,
    since: Instant,
}

/// Where an attempt goes: one start of a server at its address. It owns its idle connections, so nothing that comes up at
/// that address later inherits them.
pub struct Endpoint {
    pub address: SocketAddr,
    is_open: AtomicBool,
    /// In the order in which they became idle.
    idle: Mutex<Vec<Idle>>,
}

impl Endpoint {
    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the list still has it.
    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    /// The list has withdrawn it: nothing new goes there.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
        self.idle().clear();
    }
}

/// The connections to all upstreams.
#[derive(Clone)]
pub struct Pool {
    endpoints: Arc<Mutex<Vec<Weak<Endpoint>>>>,
    /// Connections, idle ones and those that are being opened included.
    open: Arc<AtomicUsize>,
    max_connections: usize,
    max_idle: Duration,
    connect_timeout: Duration,
    has_handshake_price: bool,
}

impl Pool {
    /// A pool of so many connections. An upstream closes one that is idle for `keep_alive`; one that does not come up in
    /// `connect_timeout` has failed. With a handshake price an idle connection is waited for rather than opening another.
    pub fn new(
        max_connections: usize, keep_alive: Duration, connect_timeout: Duration, has_handshake_price: bool,
    ) -> Self {
        let (endpoints, open) = Default::default();
        let max_idle = keep_alive - keep_alive / KEEP_ALIVE_MARGIN_DIVISOR;
        Pool { endpoints, open, max_connections, max_idle, connect_timeout, has_handshake_price }
    }

    fn endpoints(&self) -> MutexGuard<'_, Vec<Weak<Endpoint>>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn live_endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.endpoints().iter().filter_map(Weak::upgrade).collect()
    }

    /// A new endpoint, without connections.
    pub fn endpoint(&self, address: SocketAddr) -> Arc<Endpoint> {
        let endpoint = Arc::new(Endpoint { address, is_open: AtomicBool::new(true), idle: Mutex::default() });
        let mut endpoints = self.endpoints();
        endpoints.retain(|endpoint| endpoint.strong_count() > 0);
        endpoints.push(Arc::downgrade(&endpoint));
        endpoint
    }

    /// Closes connections that have been idle for too long or have broken. Never ends.
    pub async fn sweep(self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for endpoint in self.live_endpoints() {
                endpoint.idle().retain(|idle| self.is_usable(idle));
            }
        }
    }

    /// An idle connection, or a new one. The error is how the attempt ends without one: no connection came up in time, or
    /// the list has withdrawn the endpoint meanwhile.
    pub async fn connection(
        &self, endpoint: &Endpoint, deadline: Instant,
    ) -> Result<PooledConnection, Outcome> {
        if let Some(idle) = self.take_idle(endpoint, deadline).filter(|_| endpoint.is_open()) {
            return Ok(idle);
        }
        let pooled = self.open(endpoint, deadline).await.ok_or(Outcome::ConnectFailed)?;
        // The server may have begun to drain while the connection came up.
        if endpoint.is_open() { Ok(pooled) } else { Err(Outcome::NotSent) }
    }

    /// Opens a connection; `None` if there is no capacity for one, or it does not come up in time.
    async fn open(&self, endpoint: &Endpoint, deadline: Instant) -> Option<PooledConnection> {
        let since = Instant::now();
        let deadline = deadline.min(since + self.connect_timeout);
        let slot = self.reserve_slot()?;
        let opened = timeout_at(deadline, TcpConnection::open(endpoint.address)).await;
        let mut connection = opened.ok()?.ok()?;
        connection.sender.ready().await.ok()?;
        let rested_at = Instant::now();
        Some(PooledConnection { connection, connect_time: rested_at - since, rested_at, _slot: slot })
    }

    /// Keeps a connection for the next request, once HTTP is ready for one.
    pub fn put_back(&self, endpoint: &Endpoint, mut pooled: PooledConnection) {
        let (mut idle, since) = (endpoint.idle(), Instant::now());
        if endpoint.is_open() && idle.len() < MAX_IDLE_PER_ENDPOINT {
            pooled.rested_at = since + REST_TIME;
            idle.push(Idle { pooled, since });
        }
    }

    /// The idle connection used last that has rested and is usable, or else the first that will have rested, if that is
    /// worth the wait. One that its upstream has closed, or is about to close, would end the request as a reset, which
    /// might have run.
    fn take_idle(&self, endpoint: &Endpoint, deadline: Instant) -> Option<PooledConnection> {
        let (mut idle, now) = (endpoint.idle(), Instant::now());
        loop {
            let rested = idle.iter().rposition(|idle| idle.pooled.rested_at <= now);
            let first = || idle.first().filter(|idle| self.is_worth_waiting_for(&idle.pooled, now, deadline));
            let at = rested.or_else(|| first().map(|_| 0))?;
            let taken = idle.remove(at);
            if self.is_usable(&taken) {
                return Some(taken.pooled);
            }
        }
    }

    fn is_usable(&self, idle: &Idle) -> bool {
        idle.since.elapsed() < self.max_idle && idle.pooled.connection.is_clean()
    }

    /// Returns whether waiting for its rest is better than opening another connection, which may have a price and takes
    /// its time as well, by what this one took.
    fn is_worth_waiting_for(&self, pooled: &PooledConnection, now: Instant, deadline: Instant) -> bool {
        let is_cheaper = self.has_handshake_price || pooled.rested_at <= now + pooled.connect_time;
        is_cheaper && pooled.rested_at + MIN_TIME_AFTER_REST <= deadline
    }

    /// Reserves capacity for one more connection. At the limit, the one that has been idle for longest is closed.
    fn reserve_slot(&self) -> Option<Slot> {
        if self.open.load(Ordering::Relaxed) >= self.max_connections {
            let endpoints = self.live_endpoints();
            let idle_since = |endpoint: &Arc<Endpoint>| endpoint.idle().first().map(|idle| idle.since);
            let with_idle = endpoints.iter().filter_map(|endpoint| Some((idle_since(endpoint)?, endpoint)));
            let (_, endpoint) = with_idle.min_by_key(|(since, _)| *since)?;
            drop(endpoint.idle().remove(0));
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(Slot(self.open.clone()))
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
