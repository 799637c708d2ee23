//! What goes into a replica and what comes out.

use crate::digest::Blake3;
use crate::message::Message;
use crate::model::{CommittedConfig, Mark, MemberId, View};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One call of the operator, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; every 20 to 50 ms.
    Tick,
    /// A peer has sent this.
    Message {
        /// The peer address of the sender.
        from: SocketAddr,
        /// What it sent.
        message: Message,
    },
    /// The connection to a peer broke. A hint only.
    LinkDown {
        /// The peer.
        peer: SocketAddr,
    },
    /// The operator submits a configuration, already found valid.
    Submit {
        /// Names the call in its answer.
        ticket: Ticket,
        /// The version that it builds on (`If-Match`).
        base: u64,
        /// Its own version.
        version: u64,
        /// The hash of the request that the configuration was computed from; `None` where the operator sent it whole.
        request: Option<Blake3>,
        /// The configuration, byte for byte. Empty where its base is not at hand: such a change is recognised if it was
        /// taken before, else refused as its base is not current, and never written.
        bytes: Arc<[u8]>,
    },
    /// The operator reads the newest committed configuration.
    Read {
        /// Names the call in its answer.
        ticket: Ticket,
    },
    /// The caller has gone; no answer is wanted.
    Abandon {
        /// The call.
        ticket: Ticket,
    },
    /// The process is about to end and asks to be left out of the next view; see [`LeaveState`].
    Leave,
    /// A batch is on disk.
    Stored {
        /// The batch, as named in [`Action::Store`] or [`Action::Rewrite`].
        batch: u64,
    },
    /// The disk refused a batch. What lies on disk of it must be removed before the next batch.
    StoreFailed {
        /// The batch.
        batch: u64,
    },
}

/// What a replica wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer, in order; it may be lost.
    Send {
        /// The peer.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append records to the log and sync it. Answered by [`Event::Stored`] or [`Event::StoreFailed`]. One batch at a
    /// time is under way, rewrites included.
    Store {
        /// Names the batch in its answer.
        batch: u64,
        /// The records, in order.
        records: Vec<Vec<u8>>,
    },
    /// Replace the whole log. Answered as a batch.
    Rewrite {
        /// Names the batch in its answer.
        batch: u64,
        /// All records that the log needs to hold.
        records: Vec<Vec<u8>>,
    },
    /// Answer a call of the operator.
    Answer {
        /// The call.
        ticket: Ticket,
        /// Its answer.
        answer: Answer,
    },
    /// A newer committed configuration is known here. The versions only climb.
    Committed {
        /// The configuration.
        config: Arc<CommittedConfig>,
    },
    /// A newer view is known here.
    ViewChanged(Arc<View>),
    /// Something worth a line in the log.
    Log(LogLine),
}

/// The answer to a call of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The configuration is committed.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// Another version than the base is current (412).
    Conflict {
        /// The current version.
        current: u64,
    },
    /// It builds on the current version, and its own version is not above it (4xx).
    Outdated {
        /// The current version.
        current: u64,
    },
    /// Nothing is promised (503).
    Unavailable,
    /// The newest committed configuration, if there is any.
    Config(Option<Arc<CommittedConfig>>),
}

/// How far a process is that was told to end ([`Event::Leave`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveState {
    /// It was not told so.
    Staying,
    /// It is in the chain, or another process stands ready to take its place as a member.
    Leaving,
    /// A view serves whose chain is without it. It is still a member, since nobody stands ready to take its place.
    OutOfChain,
    /// A view serves without it. Each acknowledged entry is on the disks of that view's chain.
    Left,
}

/// Why a view is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nothing was agreed yet.
    Founding,
    /// A replica of the chain is out of reach, or its disk is in trouble.
    ChainBroken,
    /// The members change.
    MembersChange,
    /// A replica comes back into the chain.
    ChainGrows,
    /// A proposal stopped the present view and was not finished.
    Unfinished,
    /// The chain does not come to hold the history.
    Stuck,
}

/// Something worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogLine {
    /// The replica starts with this identity.
    Started {
        /// The member that it is, if a view names it.
        identity: MemberId,
        /// Whether it may take part in founding the system.
        founder: bool,
        /// The newest view on its disk.
        view: u64,
    },
    /// A proposal for the next view begins.
    Proposing {
        /// The number of the view.
        number: u64,
        /// Why the present view does not do.
        reason: Reason,
    },
    /// All replicas of a view's chain hold the history.
    Serving {
        /// The number of the view.
        number: u64,
        /// How many replicas the chain has.
        replicas: usize,
    },
    /// An entry was committed.
    Committed(Mark),
    /// A proposer used one ballot for two views. The second was not accepted; the proposer's disk lies or was copied.
    BallotReused {
        /// The number of the view.
        number: u64,
    },
    /// The disk refused a batch, or hangs.
    DiskTrouble,
    /// The disk takes batches again.
    DiskWell,
    /// An entry that was never committed gave way to the history of a newer view.
    Superseded(Mark),
}

/// Why a replica could not be recovered from its records.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RecoverError {
    /// A record is not readable.
    #[error("record {index} of the log is not readable: {reason}")]
    Unreadable {
        /// Its place in the log, from 0.
        index: usize,
        /// What the decoder says.
        reason: String,
    },
    /// The records begin without an identity.
    #[error("the log has records but names no disk")]
    NoIdentity,
    /// The history on disk has a gap.
    #[error("the history has a gap at entry {index}")]
    Gap {
        /// The entry that is missing.
        index: u64,
    },
}

/// A summary of a replica for operators and for the agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Who this replica is.
    pub identity: MemberId,
    /// The newest view known here, 0 for none.
    pub view: u64,
    /// The peer addresses of its members.
    pub members: Vec<SocketAddr>,
    /// The peer addresses of its chain, head first.
    pub chain: Vec<SocketAddr>,
    /// The position of this replica in the chain, 0 for the head.
    pub position: Option<usize>,
    /// Whether this replica is a member of the view.
    pub member: bool,
    /// The version of the newest committed configuration known here.
    pub committed: Option<u64>,
    /// Whether the view serves, as far as is known here.
    pub serving: bool,
    /// The newest entry that is known here to be committed, 0 for none.
    pub newest_index: u64,
    /// Whether a majority of the members was in two-way contact within the last second.
    pub in_touch: bool,
    /// Whether this replica has accepted a proposal for the view after this one. True before the proposer is told so, which
    /// waits for the disk, and again after a restart: whatever rests on this view's majority stops here.
    pub accepted_next: bool,
    /// Whether the disk takes batches.
    pub disk_well: bool,
    /// The peer addresses of the processes heard lately that are no members. Those that may become members keep the committed
    /// history and stand ready to take a place.
    pub learners: Vec<SocketAddr>,
    /// The committed history is held on disk up to this entry.
    pub held: u64,
    /// How far this process is with leaving.
    pub leave: LeaveState,
    /// The time since the start of the replica.
    pub uptime: Duration,
}
