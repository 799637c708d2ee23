//! What the owner of the state is asked and told.

use crate::announcement::Announcement;
use crate::message::{PeerMessage, PersistOutcome};
use crate::pulls::Frame;
use crate::shutdown::ShutdownOutcome;
use crate::status::Status;
use lugwharf_chain::Blake3;
use lugwharf_protocol::{AgentRequest, ServerEntry};
use lugwharf_settings::Settings;
use lugwharf_stages::OrderOutcome;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A command to the owner.
pub enum Command {
    /// Time has passed.
    Tick,
    /// A control process has sent something.
    Peer {
        /// Its peer address.
        from: SocketAddr,
        /// What it sent.
        body: PeerMessage,
    },
    /// The storage thread has finished a batch.
    Persisted(PersistOutcome),
    /// An agent asks for what it is missing.
    Pull {
        /// The request.
        request: AgentRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<Frame>,
    },
    /// The operator sends a configuration, which has been checked by itself.
    Submit {
        /// The version it builds on.
        base: u64,
        /// Its number.
        version: u64,
        /// The hash of the request that it was computed from, where the operator did not send it whole.
        request: Option<Blake3>,
        /// Its JSON; empty as in [`lugwharf_chain::Event::Submit`].
        bytes: Arc<[u8]>,
        /// Where the answer goes.
        reply: oneshot::Sender<lugwharf_chain::OperatorResponse>,
    },
    /// The operator asks for the newest configuration.
    Read {
        /// Where the answer goes.
        reply: oneshot::Sender<lugwharf_chain::OperatorResponse>,
    },
    /// Somebody asks how this process is.
    Status {
        /// Where the answer goes.
        reply: oneshot::Sender<Status>,
    },
    /// Somebody asks for the metrics.
    Metrics {
        /// Where the text goes.
        reply: oneshot::Sender<String>,
    },
    /// The platform's list was read under the reader's fencing token.
    ListRead {
        /// The token.
        epoch: u64,
        /// The whole list.
        entries: Vec<ServerEntry>,
    },
    /// Whether this process has no list of servers at all.
    NeedsInitialList {
        /// Where the answer goes.
        reply: oneshot::Sender<bool>,
    },
    /// The platform's list was read before anybody was heard of who holds the reader's role.
    InitialListRead {
        /// The whole list.
        entries: Vec<ServerEntry>,
    },
    /// The platform's list could not be read.
    ListReadFailed {
        /// The token under which it was tried.
        epoch: u64,
        /// It could not be reached for so long that another process should try.
        should_step_down: bool,
    },
    /// An order to a server has ended.
    OrderCompleted {
        /// The server's incarnation.
        id: String,
        /// How it ended.
        answer: OrderOutcome,
    },
    /// Asks what is to be announced to seeds.
    GetAnnouncement {
        /// Where the answer goes.
        reply: oneshot::Sender<Announcement>,
    },
    /// A seed has named control processes by their agent addresses.
    PeersAnnounced {
        /// The addresses.
        addresses: Vec<SocketAddr>,
    },
    /// The settings file changed.
    Reload {
        /// The new settings.
        settings: Box<Settings>,
    },
    /// This process was told to end.
    Shutdown {
        /// How it parted from the others, once it may end.
        done: oneshot::Sender<ShutdownOutcome>,
    },
}
