//! The state of the server, and accepting connections.

use crate::client_connection::ClientConnection;
use crate::config::Config;
use crate::events::DriverHandle;
use hyper::header::HeaderValue;
use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// The wait after a failed accept, for example when there are no file descriptors left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The descriptors for requests, divided by this, stay free for new connections: a client that cannot connect
/// cannot send a request at all. Connections that have carried a request may hold the rest.
const RESERVE_DIVISOR: usize = 4;

/// Locks a mutex whose holders don't panic halfway through a change.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The state that all connections of the application share.
pub struct Server {
    pub(super) config: Arc<Config>,
    pub(super) driver: DriverHandle,
    pub(super) is_draining: AtomicBool,
    pub(super) max_connections: usize,
    /// The limit on connections that have carried a request.
    pub(super) max_used_connections: usize,
    /// Open connections by their number, which counts accepted connections.
    pub(super) clients: Mutex<BTreeMap<u64, Arc<ClientConnection>>>,
    /// Notified when a connection has ended or become idle.
    pub(super) capacity_freed: Notify,
    pub(super) last_accepted_at: Mutex<Instant>,
    /// Notified when accepting connections has to stop.
    pub(super) stop_accepting: Notify,
    /// The ids of requests that are not answered yet.
    pub(super) open_ids: Mutex<HashSet<HeaderValue>>,
}

impl Server {
    /// Returns a server for up to `max_connections` connections. Of these, up to `request_descriptors`, less
    /// a reserve, may have carried a request.
    pub fn new(
        config: Arc<Config>, driver: DriverHandle, max_connections: usize, request_descriptors: usize,
    ) -> Arc<Server> {
        let (is_draining, clients, capacity_freed, stop_accepting, open_ids) = Default::default();
        Arc::new(Server {
            config,
            driver,
            is_draining,
            max_connections,
            max_used_connections: request_descriptors - request_descriptors / RESERVE_DIVISOR,
            clients,
            capacity_freed,
            last_accepted_at: Mutex::new(Instant::now()),
            stop_accepting,
            open_ids,
        })
    }

    /// Accepts connections until accepting is stopped, and then all connections in the kernel's backlog at
    /// that time.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        let (mut next_number, mut waiting) = (0, None);
        tokio::select! {
            () = self.accept(&listener, &mut next_number, &mut waiting) => {}
            () = self.stop_accepting.notified() => {}
        }
        if let Some(stream) = waiting {
            self.admit(stream, &mut next_number);
        }
        // Asks the kernel directly: the runtime may not have been notified of the last connections.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            if stream.set_nonblocking(true).is_ok()
                && let Ok(stream) = TcpStream::from_std(stream)
            {
                self.admit(stream, &mut next_number);
            }
        }
    }

    /// Accepts connections and never returns. A connection that has to wait for capacity is kept in
    /// `waiting`, so that it is not lost when accepting is stopped.
    async fn accept(
        self: &Arc<Self>, listener: &TcpListener, next_number: &mut u64, waiting: &mut Option<TcpStream>,
    ) {
        let mut is_failing = false;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    is_failing = false;
                    *lock(&self.last_accepted_at) = Instant::now();
                    *waiting = Some(stream);
                    self.make_room().await;
                    if let Some(stream) = waiting.take() {
                        self.admit(stream, next_number);
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        eprintln!("accept: {error}");
                    }
                    self.evict(|_| true);
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Starts a task that serves a connection.
    fn admit(self: &Arc<Self>, stream: TcpStream, next_number: &mut u64) {
        // A failure is ignored: without `TCP_NODELAY`, answers are merely slower.
        drop(stream.set_nodelay(true));
        *next_number += 1;
        let (server, client, number) = (self.clone(), ClientConnection::new(stream), *next_number);
        lock(&self.clients).insert(number, client.clone());
        tokio::spawn(async move {
            server.serve(client).await;
            lock(&server.clients).remove(&number);
            server.capacity_freed.notify_one();
        });
    }
}
