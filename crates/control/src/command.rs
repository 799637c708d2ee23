//! The commands that other tasks send to the controller, which handles them one at a time.
//!
//! A command that requests something carries a `reply` channel. The requester may have stopped waiting before
//! the reply is sent: see [`crate::reply::send_reply`].

use crate::message::{Announcement, PeerMessage, PersistOutcome};
use crate::pulls::ReplyFrame;
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
    /// The period of the timer has passed.
    Tick,
    /// A message from another control process has arrived.
    PeerMessageReceived {
        /// The peer address of the sender.
        from: SocketAddr,
        /// The message.
        body: PeerMessage,
    },
    /// A connection on which messages from another control process arrived has ended.
    PeerDisconnected {
        /// The peer address of that process.
        peer: SocketAddr,
    },
    /// The storage thread has finished a batch, successfully or not.
    Persisted(PersistOutcome),
    /// An agent pulls updates, or another process announces control processes.
    Pull {
        /// The request.
        request: AgentRequest,
        /// Receives the encoded reply. If it is dropped without a reply, the connection is closed.
        reply: oneshot::Sender<ReplyFrame>,
    },
    /// The operator submits a configuration. It has passed validation.
    SubmitConfig {
        /// The version that the configuration is based on.
        base: u64,
        /// The version of the configuration.
        version: u64,
        /// The hash of the operator's request, if the configuration was computed from a patch.
        request: Option<Blake3>,
        /// The JSON text of the configuration. It may be empty as described at
        /// [`lugwharf_chain::Event::Submit`].
        bytes: Arc<[u8]>,
        /// Receives the decision.
        reply: oneshot::Sender<lugwharf_chain::OperatorResponse>,
    },
    /// The operator reads the newest committed configuration.
    ReadConfig {
        /// Receives the configuration.
        reply: oneshot::Sender<lugwharf_chain::OperatorResponse>,
    },
    /// The operator reads the status of this process.
    GetStatus {
        /// Receives the status.
        reply: oneshot::Sender<Status>,
    },
    /// A metrics collector reads the metrics.
    GetMetrics {
        /// Receives the metrics in the OpenMetrics text format.
        reply: oneshot::Sender<String>,
    },
    /// The list watcher has read the platform's server list.
    ListRead {
        /// The fencing token under which the list was read. It becomes the epoch of the server list.
        token: FencingToken,
        /// The complete list.
        entries: Vec<ServerEntry>,
    },
    /// Asks whether this process still has no server list at all.
    NeedsInitialList {
        /// Receives the answer.
        reply: oneshot::Sender<bool>,
    },
    /// The platform's server list was read once after the start, without a lease.
    InitialListRead {
        /// The complete list.
        entries: Vec<ServerEntry>,
    },
    /// The list watcher could not read the platform's server list.
    ListReadFailed {
        /// The fencing token of the failed attempt.
        token: FencingToken,
        /// Whether the platform has been unreachable for so long that another process should try.
        should_step_down: bool,
    },
    /// An order to a model server has completed or failed.
    OrderCompleted {
        /// The id of the server. Each incarnation of a server has a new id.
        id: String,
        /// The fencing token of the order.
        token: FencingToken,
        /// The outcome of the order.
        outcome: OrderOutcome,
    },
    /// A model server has reported its stage.
    ServerReported {
        /// The id of the server.
        id: String,
        /// The fencing token of the request for the report.
        token: FencingToken,
        /// The report.
        report: StageReport,
    },
    /// Requests what to announce to seeds.
    GetAnnouncement {
        /// Receives the announcement.
        reply: oneshot::Sender<Announcement>,
    },
    /// A seed has replied with the control processes that it knows.
    PeersAnnounced {
        /// The agent addresses of the control processes.
        addresses: Vec<SocketAddr>,
    },
    /// The settings file was read again.
    Reload {
        /// The new settings.
        settings: Box<Settings>,
    },
    /// The process received SIGTERM.
    Shutdown {
        /// Receives the outcome once the process may end.
        done: oneshot::Sender<ShutdownOutcome>,
    },
}

/// Sends a command to the controller. The command is discarded if the queue is closed, which happens only
/// while the process ends.
pub async fn send_command(commands: &mpsc::Sender<Command>, command: Command) {
    let _ = commands.send(command).await;
}
