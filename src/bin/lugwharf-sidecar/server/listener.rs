//! The server's state, and accepting connections.

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

/// The wait after an accept that failed, as when there are no descriptors left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Connections that have carried a request may hold all but this part of the share of descriptors that is for requests.
/// The part stays free for new connections: whoever cannot connect cannot even ask.
const FREE_PART: usize = 4;

/// Locks a mutex whose holders don't panic halfway through a change.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Shared by all connections of the application.
pub struct Server {
    pub(super) config: Arc<Config>,
    pub(super) driver: DriverHandle,
    pub(super) is_draining: AtomicBool,
    pub(super) max_connections: usize,
    /// Of these, connections that have carried a request.
    pub(super) max_used_connections: usize,
    /// Open connections, by the order of accepting.
    pub(super) clients: Mutex<BTreeMap<u64, Arc<ClientConnection>>>,
    /// Notified when a connection has ended or become idle.
    pub(super) capacity_freed: Notify,
    pub(super) last_accepted_at: Mutex<Instant>,
    /// Notified when no more connections are to be accepted.
    pub(super) stop_accepting: Notify,
    /// The ids of requests that are not answered.
    pub(super) open_ids: Mutex<HashSet<HeaderValue>>,
}

impl Server {
    /// A server for so many connections, of which `request_share` may have requests.
    pub fn new(
        config: Arc<Config>, driver: DriverHandle, max_connections: usize, request_share: usize,
    ) -> Arc<Server> {
        let (is_draining, clients, capacity_freed, stop_accepting, open_ids) = Default::default();
        Arc::new(Server {
            config,
            driver,
            is_draining,
            max_connections,
            max_used_connections: request_share - request_share / FREE_PART,
            clients,
            capacity_freed,
            last_accepted_at: Mutex::new(Instant::now()),
            stop_accepting,
            open_ids,
        })
    }

    /// Accepts connections until accepting stops, and then all that the system has accepted by that time.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        let (mut next_number, mut waiting) = (0, None);
        tokio::select! {
            () = self.accept(&listener, &mut next_number, &mut waiting) => {}
            () = self.stop_accepting.notified() => {}
        }
        if let Some(stream) = waiting {
            self.admit(stream, &mut next_number);
        }
        // Asks the system itself: the runtime may not have heard of the last ones.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            if stream.set_nonblocking(true).is_ok()
                && let Ok(stream) = TcpStream::from_std(stream)
            {
                self.admit(stream, &mut next_number);
            }
        }
    }

    /// Accepts connections for ever. One that has to wait for capacity is in `waiting` meanwhile, so that it is not lost when
    /// accepting stops.
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

    /// Serves a connection in a task of its own.
    fn admit(self: &Arc<Self>, stream: TcpStream, next_number: &mut u64) {
        // Without it answers are merely slower.
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
