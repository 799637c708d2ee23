//! Connections between control processes.
//!
//! Each process opens one connection to each other process for what it sends; a connection that another process opened is only
//! read. Delivery is best effort: a message that can't be sent soon is dropped, since the state machines retransmit what
//! matters. Nothing here fails a caller; a connection that fails is opened again with the next message.

use crate::acceptor::{self, AcceptLimits};
use crate::command::{Command, notify};
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

/// Connecting takes a few ms on an idle network. A lost SYN is retransmitted only after a second, so a new attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A write that takes longer means that the peer does not read or can't be reached.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause before connecting again to a peer that could not be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Messages queued for one peer; when it is full the newest is dropped.
const QUEUE_LENGTH: usize = 64;
/// Peers with a queue at most: machines of the control plane, and those that replaced them.
const MAX_PEERS: usize = 128;
/// Connections that peers may have open to this process.
const MAX_CONNECTIONS: usize = 128;
/// A connection without a message for so long was abandoned by its peer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// One frame of a connection. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Debug, Serialize, Deserialize)]
struct PeerFrame {
    /// The peer address of the sender.
    from: SocketAddr,
    body: PeerMessage,
}

/// The connections that this process opens, with a queue for each peer.
pub struct PeerTransport {
    local_address: SocketAddr,
    /// The address that connections come from, where the settings name one.
    source: Option<IpAddr>,
    queues: HashMap<SocketAddr, mpsc::Sender<Arc<[u8]>>>,
}

impl PeerTransport {
    /// Sends in the name of the process at `local_address`.
    pub fn new(local_address: SocketAddr, source: Option<IpAddr>) -> PeerTransport {
        PeerTransport { local_address, source, queues: HashMap::new() }
    }

    /// Queues a message, or drops it if the queue of this peer is full.
    pub fn send(&mut self, to: SocketAddr, body: PeerMessage) {
        match encode(&PeerFrame { from: self.local_address, body }) {
            Ok(frame) => self.send_frame(to, frame.into()),
            Err(error) => error!("message", kv: { outcome = "not_encoded", error: = error }),
        }
    }

    /// Queues one message for several peers. It is encoded once.
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
            let (queue, frames) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(write_frames(to, self.source, frames));
            self.queues.insert(to, queue);
        }
        if let Some(queue) = self.queues.get(&to) {
            // A full queue drops the message: the state machines retransmit what matters.
            let _ = queue.try_send(frame);
        }
    }

    /// Closes the connections to all peers but these.
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

/// Writes the queued frames of one peer until its queue is closed.
async fn write_frames(to: SocketAddr, source: Option<IpAddr>, mut frames: mpsc::Receiver<Arc<[u8]>>) {
    let mut connection: Option<TcpStream> = None;
    while let Some(frame) = frames.recv().await {
        let written = match &mut connection {
            Some(stream) => write_frame(stream, &frame).await,
            None => WriteResult::Closed,
        };
        // The peer restarted, or a reset came between two frames. The frame has not arrived, and the peer may take this one's
        // absence for a failure of this process.
        if written == WriteResult::Closed {
            connection = connect(to, source).await.ok();
            let Some(stream) = &mut connection else {
                sleep(RECONNECT_DELAY).await;
                // Whatever was queued meanwhile is out of date.
                while frames.try_recv().is_ok() {}
                continue;
            };
            if write_frame(stream, &frame).await == WriteResult::Written {
                continue;
            }
        }
        if written != WriteResult::Written {
            connection = None;
        }
    }
}

/// What became of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteResult {
    /// It was handed to the system.
    Written,
    /// The connection is closed, and the peer has not received the complete frame.
    Closed,
    /// The peer does not read, or can't be reached.
    TimedOut,
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> WriteResult {
    match timeout(WRITE_TIMEOUT, stream.write_all(frame)).await {
        Ok(Ok(())) => WriteResult::Written,
        Ok(Err(_)) => WriteResult::Closed,
        Err(_) => WriteResult::TimedOut,
    }
}

/// Accepts other control processes for as long as the process runs.
pub async fn accept(listener: TcpListener, commands: mpsc::Sender<Command>) {
    let limits = AcceptLimits { kind: "peer", max_connections: MAX_CONNECTIONS };
    acceptor::accept(listener, limits, commands, read_frames).await;
}

/// Reads the frames of one connection until it ends, and reports the end, which tells of a process that was killed before its
/// heartbeats are missed.
async fn read_frames(mut stream: TcpStream, commands: mpsc::Sender<Command>) -> Result<(), FrameError> {
    let mut peer = None;
    let ended = read_frames_of(&mut stream, &commands, &mut peer).await;
    if let Some(peer) = peer {
        notify(&commands, Command::PeerDisconnected { peer }).await;
    }
    ended
}

/// Reads the frames of one connection; `peer` becomes the sender that the last one names.
async fn read_frames_of(
    stream: &mut TcpStream, commands: &mpsc::Sender<Command>, peer: &mut Option<SocketAddr>,
) -> Result<(), FrameError> {
    loop {
        let frame = timeout(IDLE_TIMEOUT, read_frame::<PeerFrame>(stream)).await;
        let Some(PeerFrame { from, body }) = frame.map_err(std::io::Error::from)?? else { return Ok(()) };
        *peer = Some(from);
        if commands.send(Command::Peer { from, body }).await.is_err() {
            return Ok(());
        }
    }
}
