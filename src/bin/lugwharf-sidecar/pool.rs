//! The connections kept to upstreams, and their limit.
//!
//! The pool is our own, since those of client libraries send a request again by themselves when a kept
//! connection breaks under it, and so may run it twice.

use crate::connection::TcpConnection;
use bytes::Bytes;
use http_body_util::Full;
use lugwharf_sidecar::api::Outcome;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// A kept connection is not used in this last part of the time after which the upstream closes it.
const KEEP_ALIVE_MARGIN_DIVISOR: u32 = 10;
/// How long a connection rests after an answer before the last byte of the next request goes out on it. Some upstreams
/// send an answer twice, the second some milliseconds late: seen up to 6 ms behind the first. On a connection with a
/// whole request out it would be taken for that request's answer.
/// Tests let it rest for so long that the second answer comes first on any machine.
const REST_TIME: Duration = Duration::from_millis(if cfg!(test) { 1_000 } else { 10 });
/// With less than this left after a connection's rest, a request can't wait for it.
const MIN_TIME_AFTER_REST: Duration = Duration::from_millis(50);
/// Idle connections kept to one upstream.
const MAX_IDLE_PER_ENDPOINT: usize = 8;
/// How often connections that are of no more use are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Counts a connection, made or being made, against the limit.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection and its place under the limit.
pub struct Pooled {
    pub connection: TcpConnection<Full<Bytes>>,
    /// How long it took to come up.
    connect_time: Duration,
    rested_at: Instant,
    _slot: Slot,
}

impl Pooled {
    /// A request begins. Its last byte is held back if there is time for that, and always until the connection has
    /// rested.
    pub fn begin(&self, hold_back: bool) {
        let at_rest = Instant::now() >= self.rested_at;
        self.connection.begin((hold_back || !at_rest).then_some(self.rested_at));
    }
}

struct Idle {
    pooled: Pooled,
    since: Instant,
}

/// Where an attempt goes: one start of an upstream at its address. It owns the connections that are kept to it,
/// so nothing at that address later on inherits them.
pub struct Endpoint {
    pub addr: SocketAddr,
    open: AtomicBool,
    idle: Mutex<Vec<Idle>>,
}

impl Endpoint {
    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    /// The list has taken it back: nothing new goes there.
    pub fn close(&self) {
        self.open.store(false, Ordering::Relaxed);
        self.idle().clear();
    }
}

/// The connections to all upstreams.
#[derive(Clone)]
pub struct Pool {
    endpoints: Arc<Mutex<Vec<Weak<Endpoint>>>>,
    open: Arc<AtomicUsize>,
    max_connections: usize,
    max_idle: Duration,
    connect_timeout: Duration,
    /// Has a new connection a price?
    has_handshake_price: bool,
}

impl Pool {
    pub fn new(
        max_connections: usize, keep_alive: Duration, connect_timeout: Duration, has_handshake_price: bool,
    ) -> Self {
        let (endpoints, open) = Default::default();
        Pool {
            endpoints,
            open,
            max_connections,
            max_idle: keep_alive - keep_alive / KEEP_ALIVE_MARGIN_DIVISOR,
            connect_timeout,
            has_handshake_price,
        }
    }

    fn endpoints(&self) -> MutexGuard<'_, Vec<Weak<Endpoint>>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn endpoint(&self, addr: SocketAddr) -> Arc<Endpoint> {
        let endpoint = Arc::new(Endpoint { addr, open: AtomicBool::new(true), idle: Mutex::default() });
        let mut endpoints = self.endpoints();
        endpoints.retain(|endpoint| endpoint.strong_count() > 0);
        endpoints.push(Arc::downgrade(&endpoint));
        endpoint
    }

    fn is_usable(&self, idle: &Idle) -> bool {
        idle.since.elapsed() < self.max_idle && idle.pooled.connection.is_clean()
    }

    /// Closes what has been idle for too long, for good.
    pub async fn sweep(self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let endpoints: Vec<_> = self.endpoints().iter().filter_map(Weak::upgrade).collect();
            endpoints.iter().for_each(|endpoint| endpoint.idle().retain(|idle| self.is_usable(idle)));
        }
    }

    /// The connection used last that has rested and is still good, else the one that will have rested first, if that is
    /// worth the wait. Guards against one that its upstream has closed, or is about to: a request on it would end as a
    /// reset, and might have run.
    fn take_idle(&self, endpoint: &Endpoint, deadline: Instant) -> Option<Pooled> {
        let (mut idle, now) = (endpoint.idle(), Instant::now());
        loop {
            let rested = idle.iter().rposition(|idle| idle.pooled.rested_at <= now);
            let first = || idle.first().filter(|idle| self.is_worth_waiting_for(&idle.pooled, now, deadline));
            let at = rested.or_else(|| first().map(|_| 0))?;
            let kept = idle.remove(at);
            if self.is_usable(&kept) {
                return Some(kept.pooled);
            }
        }
    }

    /// Rather than open another: that may have a price, and takes its time as well, by what this one took.
    fn is_worth_waiting_for(&self, pooled: &Pooled, now: Instant, deadline: Instant) -> bool {
        let cheaper = self.has_handshake_price || pooled.rested_at <= now + pooled.connect_time;
        cheaper && pooled.rested_at + MIN_TIME_AFTER_REST <= deadline
    }

    pub fn put_back(&self, endpoint: &Endpoint, mut pooled: Pooled) {
        let (mut idle, since) = (endpoint.idle(), Instant::now());
        if endpoint.is_open() && idle.len() < MAX_IDLE_PER_ENDPOINT {
            pooled.rested_at = since + REST_TIME;
            idle.push(Idle { pooled, since });
        }
    }

    /// Room for one more connection; the one idle for longest gives way.
    fn reserve_slot(&self) -> Option<Slot> {
        if self.open.load(Ordering::Relaxed) >= self.max_connections {
            let endpoints: Vec<_> = self.endpoints().iter().filter_map(Weak::upgrade).collect();
            let oldest = |endpoint: &Arc<Endpoint>| endpoint.idle().first().map(|idle| idle.since);
            let (_, endpoint) = endpoints.iter().filter_map(|t| Some((oldest(t)?, t))).min_by_key(|t| t.0)?;
            drop(endpoint.idle().remove(0));
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(Slot(self.open.clone()))
    }

    /// Without one, how an attempt ends: none came up in time, or its upstream has been taken back meanwhile.
    pub async fn connection(&self, endpoint: &Endpoint, deadline: Instant) -> Result<Pooled, Outcome> {
        if let Some(kept) = self.take_idle(endpoint, deadline).filter(|_| endpoint.is_open()) {
            return Ok(kept);
        }
        let since = Instant::now();
        let deadline = deadline.min(since + self.connect_timeout);
        let open = async {
            let slot = self.reserve_slot()?;
            let mut connection = timeout_at(deadline, TcpConnection::open(endpoint.addr)).await.ok()?.ok()?;
            connection.sender.ready().await.ok()?;
            let rested_at = Instant::now();
            Some(Pooled { connection, connect_time: rested_at - since, rested_at, _slot: slot })
        };
        let pooled = open.await.ok_or(Outcome::ConnectFailed)?;
        // Guards against sending to an upstream that has begun to drain while the connection came up.
        if endpoint.is_open() { Ok(pooled) } else { Err(Outcome::NotSent) }
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
