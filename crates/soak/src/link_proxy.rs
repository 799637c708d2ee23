//! Links between machines that can be cut, reset and slowed, for each pair and direction.
//!
//! Each machine is reached under an address at which a relay listens; the process itself listens on another one and opens
//! its connections from there, so that the relay knows both ends of a connection.

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

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;

/// How a link carries bytes in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// At once.
    Open,
    /// Not at all, and without a word: bytes wait until the link is open again.
    Blackholed,
    /// Connections are reset.
    Reset,
    /// Each piece this much later.
    Delayed(Duration),
}

/// A direction between two machines, by the addresses at which the processes listen.
pub type Link = (Ipv4Addr, Ipv4Addr);

/// The states of all links; clones share them.
#[derive(Clone, Debug)]
pub struct LinkTable {
    states: Arc<Mutex<HashMap<Link, LinkState>>>,
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

    /// Changes one direction.
    pub fn set(&self, link: Link, state: LinkState) {
        self.states().insert(link, state);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Opens all links.
    pub fn open_all(&self) {
        self.states().clear();
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// How one direction carries bytes now.
    pub fn state(&self, link: Link) -> LinkState {
        self.states().get(&link).copied().unwrap_or(LinkState::Open)
    }

    /// Waits until a direction carries bytes, and returns how much later; `None` if connections on it are reset.
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

    /// Waits until connections in one of the directions are reset.
    async fn wait_for_reset(&self, there: Link, back: Link) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if [there, back].iter().any(|link| self.state(*link) == LinkState::Reset) {
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Listens on `public` and passes connections on to `target`, until it is dropped.
#[derive(Debug)]
pub struct LinkProxy {
    task: tokio::task::JoinHandle<()>,
}

impl LinkProxy {
    /// Starts to listen.
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

async fn proxy_connection(links: LinkTable, near: TcpStream, from: SocketAddr, target: SocketAddr) {
    let (SocketAddr::V4(from), SocketAddr::V4(to)) = (from, target) else { return };
    let (there, back) = ((*from.ip(), *to.ip()), (*to.ip(), *from.ip()));
    // An opening packet needs both ways.
    let is_open =
        links.wait_until_passable(there).await.is_some() && links.wait_until_passable(back).await.is_some();
    let far = if is_open { TcpStream::connect(target).await.ok() } else { None };
    let Some(far) = far else { return abort(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // A pair of sockets that is dropped with unread bytes resets both ends, which is what a reset is to do.
    let _ = (
        SockRef::from(&near).set_linger(Some(Duration::ZERO)),
        SockRef::from(&far).set_linger(Some(Duration::ZERO)),
    );
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    tokio::select! {
        _ = async { tokio::join!(copy_one_way(&links, there, near_read, far_write), copy_one_way(&links, back, far_read, near_write)) } => {}
        () = links.wait_for_reset(there, back) => {}
    }
}

fn abort(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes bytes on in one direction until its end, which goes on as well.
async fn copy_one_way(links: &LinkTable, link: Link, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let Ok(length) = from.read(&mut chunk).await else { return };
        let Some(delay) = links.wait_until_passable(link).await else { return };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        // The link may have been cut meanwhile.
        if links.wait_until_passable(link).await.is_none() {
            return;
        }
        if length == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
