//! Connections between control processes.
//!
//! Each process opens one connection to each other process for sending, and only reads from connections that
//! other processes opened. Delivery is best effort: a message that can't be sent soon is dropped, because the
//! state machines retransmit what matters. No function here returns an error to its caller; a failed
//! connection is opened again for the next message.

use crate::command::{Command, send_command};
use crate::connection_listener::{self, AcceptLimits};
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

/// The timeout for connecting, which takes a few ms on an idle network. The kernel retransmits a lost SYN
/// only after 1 s, so a new attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The timeout of a write. A longer write means that the peer does not read or is unreachable.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The delay before the next attempt to connect to an unreachable peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The capacity of the message queue of one peer. When it is full, new messages are dropped.
const QUEUE_CAPACITY: usize = 64;
/// The maximum number of peers with a queue: the machines of the control plane and their replacements.
const MAX_PEERS: usize = 128;
/// The maximum number of connections that peers may have open to this process.
const MAX_CONNECTIONS: usize = 128;
/// A connection without a message for this long is closed, because its peer has abandoned it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// One frame of a connection. The encoded names must not change; see `docs/GLOSSARY.md`.
#[derive(Debug, Serialize, Deserialize)]
struct PeerFrame {
    /// The peer address of the sender.
    from: SocketAddr,
    body: PeerMessage,
}

/// The connections that this process opens, with a queue for each peer.
pub struct PeerTransport {
    local_address: SocketAddr,
    /// The local address to connect from, if the settings specify one.
    source: Option<IpAddr>,
    queues: HashMap<SocketAddr, mpsc::Sender<Arc<[u8]>>>,
}

impl PeerTransport {
    /// Creates a transport that names `local_address` as the sender of its messages.
    pub fn new(local_address: SocketAddr, source: Option<IpAddr>) -> PeerTransport {
        PeerTransport { local_address, source, queues: HashMap::new() }
    }

    /// Queues a message for a peer, or drops it if the queue of this peer is full.
    pub fn send(&mut self, to: SocketAddr, body: PeerMessage) {
        match encode(&PeerFrame { from: self.local_address, body }) {
            Ok(frame) => self.send_frame(to, frame.into()),
            Err(error) => error!("message", kv: { outcome = "not_encoded", error: = error }),
        }
    }

    /// Queues one message for several peers. The message is encoded only once.
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
            let (queue, frames) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(write_frames(to, self.source, frames));
            self.queues.insert(to, queue);
        }
        if let Some(queue) = self.queues.get(&to) {
            // If the queue is full, the message is dropped: the state machines retransmit what matters.
            let _ = queue.try_send(frame);
        }
    }

    /// Closes the connections to all peers for which `keep` returns false.
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
        // The peer restarted, or the connection was reset between two frames. The frame has not arrived, so
        // it is sent again on a new connection: without it, the peer may consider this process failed.
        if written == WriteResult::Closed {
            connection = connect(to, source).await.ok();
            let Some(stream) = &mut connection else {
                sleep(RECONNECT_DELAY).await;
                // Messages that were queued in the meantime are out of date.
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

/// The result of writing a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteResult {
    /// The complete frame was passed to the kernel.
    Written,
    /// The connection is closed, and the peer has not received the complete frame.
    Closed,
    /// The peer does not read or is unreachable.
    TimedOut,
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> WriteResult {
    match timeout(WRITE_TIMEOUT, stream.write_all(frame)).await {
        Ok(Ok(())) => WriteResult::Written,
        Ok(Err(_)) => WriteResult::Closed,
        Err(_) => WriteResult::TimedOut,
    }
}

/// Accepts connections from other control processes until the process ends.
pub async fn accept(listener: TcpListener, commands: mpsc::Sender<Command>) {
    let limits = AcceptLimits { kind: "peer", max_connections: MAX_CONNECTIONS };
    connection_listener::accept(listener, limits, commands, read_frames).await;
}

/// Reads the frames of one connection until it ends, then reports the disconnection. This detects a killed
/// process before its heartbeats are missed.
async fn read_frames(mut stream: TcpStream, commands: mpsc::Sender<Command>) -> Result<(), FrameError> {
    let mut peer = None;
    let ended = read_frames_of(&mut stream, &commands, &mut peer).await;
    if let Some(peer) = peer {
        send_command(&commands, Command::PeerDisconnected { peer }).await;
    }
    ended
}

/// Reads the frames of one connection until it ends. `peer` is set to the sender stated in the last frame.
async fn read_frames_of(
    stream: &mut TcpStream, commands: &mpsc::Sender<Command>, peer: &mut Option<SocketAddr>,
) -> Result<(), FrameError> {
    loop {
        let frame = timeout(IDLE_TIMEOUT, read_frame::<PeerFrame>(stream)).await;
        let Some(PeerFrame { from, body }) = frame.map_err(std::io::Error::from)?? else { return Ok(()) };
        *peer = Some(from);
        if commands.send(Command::PeerMessageReceived { from, body }).await.is_err() {
            return Ok(());
        }
    }
}
