//! TCP proxies between the machines of a fleet, whose links can be blackholed, reset and delayed, one direction at a time.
//!
//! A machine is reached at a public address, where a [`LinkProxy`] listens. Its process listens at another address and opens
//! its own connections from there. The proxy so knows both ends of a connection, and with them its two links.

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

/// How a link carries bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Without delay.
    Open,
    /// Not at all: bytes wait until the link is passable again, and no end is notified.
    Blackholed,
    /// Connections over it are reset.
    Reset,
    /// Each chunk after this delay.
    Delayed(Duration),
}

/// One direction between two machines, by the addresses at which their processes listen.
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

/// The states of all links; clones share them. A link that was never set is open.
#[derive(Clone, Debug)]
pub struct LinkTable {
    states: Arc<Mutex<HashMap<Link, LinkState>>>,
    /// Counts changes, and so wakes those who wait for one.
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

    /// Waits until a link carries bytes and returns its delay; `None` if connections over it are reset.
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

    /// Waits until connections are reset in one direction of a link or the other.
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

/// Listens at a public address and forwards connections to a process, until it is dropped.
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
    // A handshake needs both directions.
    let is_passable = links.wait_until_passable(outbound).await.is_some()
        && links.wait_until_passable(inbound).await.is_some();
    let server = if is_passable { TcpStream::connect(target).await.ok() } else { None };
    let Some(server) = server else { return reset_on_close(&client) };
    // A socket that has closed meanwhile takes no options; the copies then end at once.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    // Without linger, dropping the sockets resets both ends, which is what a reset link has to do.
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

/// Makes the end of a socket a reset (RST) instead of an orderly close (FIN).
fn reset_on_close(stream: &TcpStream) {
    // A socket that is closed already needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Copies bytes over one link until the end of input, which is forwarded as well.
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
            // A receiver that is gone needs no end of input.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
