//! The commands that the tasks around the controller send it. The controller handles them one at a time.
//!
//! A command that asks for something carries a `reply` channel. Its requester may be gone before the reply: see
//! [`crate::reply::send_reply`].

use crate::message::{Announcement, PeerMessage, PersistOutcome};
use crate::pulls::Frame;
use crate::shutdown::ShutdownOutcome;
use crate::status::Status;
use lugwharf_chain::Blake3;
use lugwharf_election::FencingToken;
use lugwharf_protocol::{AgentRequest, ServerEntry};
use lugwharf_settings::Settings;
use lugwharf_stages::{OrderOutcome, StageReport};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// A command to the controller.
pub enum Command {
    /// Time has passed.
    Tick,
    /// A message of another control process has arrived.
    Peer {
        /// The peer address of the sender.
        from: SocketAddr,
        /// The message.
        body: PeerMessage,
    },
    /// A connection on which messages of a control process arrived has ended.
    PeerDisconnected {
        /// The peer address of that process.
        peer: SocketAddr,
    },
    /// The storage thread has finished a batch.
    Persisted(PersistOutcome),
    /// An agent pulls what it lacks, or a process announces control processes.
    Pull {
        /// The request.
        request: AgentRequest,
        /// Takes the encoded reply. Dropped without one, the connection is closed.
        reply: oneshot::Sender<Frame>,
    },
    /// The operator submits a configuration that is valid by itself.
    Submit {
        /// The version it is based on.
        base: u64,
        /// Its version.
        version: u64,
        /// The hash of the operator's request, where the configuration was computed from a patch.
        request: Option<Blake3>,
        /// Its JSON; empty as in [`lugwharf_chain::Event::Submit`].
        bytes: Arc<[u8]>,
        /// Takes the decision.
        reply: oneshot::Sender<lugwharf_chain::OperatorResponse>,
    },
    /// The operator reads the newest committed configuration.
    Read {
        /// Takes the configuration.
        reply: oneshot::Sender<lugwharf_chain::OperatorResponse>,
    },
    /// The operator reads the status of this process.
    Status {
        /// Takes the status.
        reply: oneshot::Sender<Status>,
    },
    /// A collector reads the metrics.
    Metrics {
        /// Takes the text.
        reply: oneshot::Sender<String>,
    },
    /// The list watcher has read the platform's list.
    ListRead {
        /// The fencing token under which it was read; the epoch of the server list.
        token: FencingToken,
        /// The complete list.
        entries: Vec<ServerEntry>,
    },
    /// Asks whether this process still has no server list at all.
    NeedsInitialList {
        /// Takes the answer.
        reply: oneshot::Sender<bool>,
    },
    /// The platform's list was read once after the start, without a lease.
    InitialListRead {
        /// The complete list.
        entries: Vec<ServerEntry>,
    },
    /// The list watcher could not read the platform's list.
    ListReadFailed {
        /// The fencing token under which it tried.
        token: FencingToken,
        /// Whether the platform has been unreachable for so long that another process should try.
        should_step_down: bool,
    },
    /// An order to a model server has ended.
    OrderCompleted {
        /// The server's id, which is new with each incarnation.
        id: String,
        /// The fencing token under which it was sent.
        token: FencingToken,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// A model server has reported its stage.
    ServerReported {
        /// The server's id.
        id: String,
        /// The fencing token under which it was asked.
        token: FencingToken,
        /// The report.
        report: StageReport,
    },
    /// Asks what to announce to seeds.
    GetAnnouncement {
        /// Takes the announcement.
        reply: oneshot::Sender<Announcement>,
    },
    /// A seed has named control processes by their agent addresses.
    PeersAnnounced {
        /// The addresses.
        addresses: Vec<SocketAddr>,
    },
    /// The settings file was read again.
    Reload {
        /// The new settings.
        settings: Box<Settings>,
    },
    /// The process got SIGTERM.
    Shutdown {
        /// Takes the outcome once the process may end.
        done: oneshot::Sender<ShutdownOutcome>,
    },
}

/// Hands a command to the controller. Its queue is closed only while the process ends, and then the command is moot.
pub async fn notify(commands: &mpsc::Sender<Command>, command: Command) {
    let _ = commands.send(command).await;
}
