//! TCP proxies between the machines of a fleet. Each link can be blackholed, reset or delayed, separately per
//! direction.
//!
//! A [`LinkProxy`] listens at the public address of a machine. The process of the machine listens at another
//! address, from which it also opens its own connections. The proxy therefore knows the machines at both ends
//! of a connection, and thus the two links that the connection uses.

use socket2::SockRef;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The size of the buffer of one direction, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// How a link forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are forwarded without delay.
    Open,
    /// Bytes are held back until the link is passable again. Neither end is notified.
    Blackholed,
    /// Connections over the link are reset.
    Reset,
    /// Each chunk is forwarded after this delay.
    Delayed(Duration),
}

/// One direction between two machines, named by the addresses at which their processes listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    /// The sender.
    pub from: Ipv4Addr,
    /// The receiver.
    pub to: Ipv4Addr,
}

impl Link {
    /// The opposite direction.
    pub fn reversed(self) -> Link {
        Link { from: self.to, to: self.from }
    }
}

/// The states of all links, shared by all clones. A link that was never set is open.
#[derive(Clone, Debug)]
pub struct LinkTable {
    states: Arc<Mutex<HashMap<Link, LinkState>>>,
    /// The number of changes so far. Each update wakes the tasks that wait for a change.
    changes: watch::Sender<u64>,
}

impl Default for LinkTable {
    fn default() -> LinkTable {
        LinkTable { states: Arc::default(), changes: watch::Sender::new(0) }
    }
}

impl LinkTable {
    fn states(&self) -> MutexGuard<'_, HashMap<Link, LinkState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the state of one link.
    pub fn set(&self, link: Link, state: LinkState) {
        self.states().insert(link, state);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Opens all links.
    pub fn open_all(&self) {
        self.states().clear();
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// The current state of one link.
    pub fn state(&self, link: Link) -> LinkState {
        self.states().get(&link).copied().unwrap_or(LinkState::Open)
    }

    /// Waits until a link forwards bytes and returns its delay; `None` if connections over it are reset.
    async fn wait_until_passable(&self, link: Link) -> Option<Duration> {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            match self.state(link) {
                LinkState::Open => return Some(Duration::ZERO),
                LinkState::Delayed(delay) => return Some(delay),
                LinkState::Reset => return None,
                LinkState::Blackholed => {}
            }
            if changes.changed().await.is_err() {
                return None;
            }
        }
    }

    /// Waits until connections are reset in either direction of a link.
    async fn wait_for_reset(&self, link: Link) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if [link, link.reversed()].iter().any(|link| self.state(*link) == LinkState::Reset) {
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Listens at a public address and forwards connections to a process. Stops listening when it is dropped.
#[derive(Debug)]
pub struct LinkProxy {
    task: tokio::task::JoinHandle<()>,
}

impl LinkProxy {
    /// Listens at `public` and forwards to `target`.
    ///
    /// # Errors
    /// The address is in use or cannot be bound.
    pub async fn start(links: &LinkTable, public: SocketAddr, target: SocketAddr) -> io::Result<LinkProxy> {
        let listener = TcpListener::bind(public).await?;
        let links = links.clone();
        let task = tokio::spawn(async move {
            loop {
                if let Ok((stream, from)) = listener.accept().await {
                    tokio::spawn(proxy_connection(links.clone(), stream, from, target));
                }
            }
        });
        Ok(LinkProxy { task })
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards one connection in both directions until both have ended or one of its links is reset.
async fn proxy_connection(links: LinkTable, client: TcpStream, from: SocketAddr, target: SocketAddr) {
    let (SocketAddr::V4(from), SocketAddr::V4(to)) = (from, target) else { return };
    let outbound = Link { from: *from.ip(), to: *to.ip() };
    let inbound = outbound.reversed();
    // A TCP handshake needs both directions.
    let is_passable = links.wait_until_passable(outbound).await.is_some()
        && links.wait_until_passable(inbound).await.is_some();
    let server = if is_passable { TcpStream::connect(target).await.ok() } else { None };
    let Some(server) = server else { return reset_on_close(&client) };
    // Setting options fails on a socket that has closed meanwhile; copying then ends immediately.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    // With a linger time of zero, dropping the sockets resets both ends, as a reset link requires.
    reset_on_close(&client);
    reset_on_close(&server);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let copies = async {
        tokio::join!(
            copy_one_way(&links, outbound, client_read, server_write),
            copy_one_way(&links, inbound, server_read, client_write),
        )
    };
    tokio::select! {
        _ = copies => {}
        () = links.wait_for_reset(outbound) => {}
    }
}

/// Makes the socket send a reset (RST) instead of an orderly close (FIN) when it is dropped.
fn reset_on_close(stream: &TcpStream) {
    // An error means that the socket is already closed and needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Copies bytes over one link until the end of input, and forwards the end of input.
async fn copy_one_way(links: &LinkTable, link: Link, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut chunk).await else { return };
        let Some(delay) = links.wait_until_passable(link).await else { return };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        // The link may have changed during the delay.
        if links.wait_until_passable(link).await.is_none() {
            return;
        }
        if length == 0 {
            // An error means that the receiver is gone and needs no end of input.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
