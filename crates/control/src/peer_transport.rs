//! Links between control processes. Each process opens a link to each other one for what it sends; what comes in on a
//! link that another process opened is only read. A message that can't be sent soon is dropped: the state machines send
//! again what matters.

use crate::acceptor::{self, AcceptLimits};
use crate::command::Command;
use crate::message::PeerMessage;
use lugwharf_protocol::{FrameError, connect_from, encode, read_frame};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use spdlog::prelude::*;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

#[cfg(test)]
#[path = "peer_transport_tests.rs"]
mod peer_transport_tests;

/// A connection on a calm network takes a few ms. A dropped opening packet is sent again only after a second, so that a new
/// attempt is sooner through.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A write that takes longer means that the peer does not read or can't be reached.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long sent bytes may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause before a peer that could not be reached is tried again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Messages that wait for one peer; beyond it the newest are dropped.
const QUEUE: usize = 64;
/// PeerTransport that are known at most: machines of the core, and those that replaced them.
const MAX_PEERS: usize = 128;
/// Links that others may have open to this process.
const MAX_CONNECTIONS: usize = 128;
/// A link on which nothing came for so long has been given up by its other end.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// One frame of a link.
#[derive(Debug, Serialize, Deserialize)]
struct PeerFrame {
    /// The peer address of the sender.
    from: SocketAddr,
    body: PeerMessage,
}

/// The links that this process opens.
pub struct PeerTransport {
    local_address: SocketAddr,
    /// The address that links come from, where it matters.
    source: Option<IpAddr>,
    queues: HashMap<SocketAddr, mpsc::Sender<Arc<[u8]>>>,
}

impl PeerTransport {
    /// Links from the process at `local_address`.
    pub fn new(local_address: SocketAddr, source: Option<IpAddr>) -> PeerTransport {
        PeerTransport { local_address, source, queues: HashMap::new() }
    }

    /// Sends a message, or drops it if too many wait already.
    pub fn send(&mut self, to: SocketAddr, body: PeerMessage) {
        match encode(&PeerFrame { from: self.local_address, body }) {
            Ok(frame) => self.send_frame(to, frame.into()),
            Err(error) => error!("message", kv: { outcome = "not_encoded", error: = error }),
        }
    }

    /// Sends one message to several.
    pub fn send_all(&mut self, to: &[SocketAddr], body: PeerMessage) {
        match encode(&PeerFrame { from: self.local_address, body }) {
            Ok(frame) => {
                let frame: Arc<[u8]> = frame.into();
                to.iter().for_each(|&to| self.send_frame(to, frame.clone()));
            }
            Err(error) => error!("message", kv: { outcome = "not_encoded", error: = error }),
        }
    }

    fn send_frame(&mut self, to: SocketAddr, frame: Arc<[u8]>) {
        if to == self.local_address {
            return;
        }
        if !self.queues.contains_key(&to) {
            if self.queues.len() >= MAX_PEERS {
                return;
            }
            let (queue, frames) = mpsc::channel(QUEUE);
            tokio::spawn(write_frames(to, self.source, frames));
            self.queues.insert(to, queue);
        }
        if let Some(queue) = self.queues.get(&to) {
            drop(queue.try_send(frame));
        }
    }

    /// Closes the links to all but these.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.queues.retain(|address, _| keep(address));
    }
}

async fn connect(to: SocketAddr, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, connect_from(source, to)).await??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(stream)
}

/// Writes what is queued for one peer until the queue is closed.
async fn write_frames(to: SocketAddr, source: Option<IpAddr>, mut frames: mpsc::Receiver<Arc<[u8]>>) {
    let mut link: Option<TcpStream> = None;
    while let Some(frame) = frames.recv().await {
        if link.is_none() {
            link = connect(to, source).await.ok();
        }
        let Some(stream) = &mut link else {
            sleep(RECONNECT_DELAY).await;
            // What was queued meanwhile is old.
            while frames.try_recv().is_ok() {}
            continue;
        };
        let written = timeout(WRITE_TIMEOUT, stream.write_all(&frame)).await;
        if !matches!(written, Ok(Ok(()))) {
            link = None;
        }
    }
}

/// Lets other control processes open their links.
pub async fn accept(listener: TcpListener, commands: mpsc::Sender<Command>) {
    acceptor::accept(
        listener,
        AcceptLimits { kind: "peer", max_connections: MAX_CONNECTIONS },
        commands,
        read_frames,
    )
    .await;
}

async fn read_frames(mut stream: TcpStream, commands: mpsc::Sender<Command>) -> Result<(), FrameError> {
    loop {
        let frame = timeout(IDLE_TIMEOUT, read_frame::<PeerFrame>(&mut stream)).await;
        let Some(PeerFrame { from, body }) = frame.map_err(std::io::Error::from)?? else { return Ok(()) };
        if commands.send(Command::Peer { from, body }).await.is_err() {
            return Ok(());
        }
    }
}
