//! What replicas say to each other. Each message names the view or instance that it belongs to, so that a late one is
//! recognised as stale.

use crate::digest::{Blake3, Fnv};
use crate::model::{Ballot, CallId, CommittedConfig, Entry, Mark, MemberId, Transfer, View};
use crate::transfer::{Piece, PieceRequest};
use crate::wire_bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive; see [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Asks for the newest view if it is above this number.
    ViewRequest {
        /// The newest view that the sender knows.
        above: u64,
    },
    /// A view that was agreed.
    Decided {
        /// The view.
        view: View,
    },
    /// Phase 1 of agreeing on view `instance`: asks for a promise.
    Prepare {
        /// The number of the view.
        instance: u64,
        /// The proposal.
        ballot: Ballot,
    },
    /// The sender takes part in no lower proposal, and in the view before no more.
    Promise {
        /// Who promises.
        sender: MemberId,
        /// The number of the view.
        instance: u64,
        /// The proposal.
        ballot: Ballot,
        /// What the sender has accepted in a lower proposal.
        accepted: Option<Box<(Ballot, View)>>,
        /// The history that the sender holds.
        holding: Holding,
    },
    /// The sender has promised a higher proposal.
    Rejected {
        /// The number of the view.
        instance: u64,
        /// The proposal that is rejected.
        ballot: Ballot,
        /// The one that was promised.
        promised: Ballot,
    },
    /// Phase 2: asks to accept a view.
    Accept {
        /// The proposal.
        ballot: Ballot,
        /// The view.
        view: View,
    },
    /// The sender has accepted.
    Accepted {
        /// The number of the view.
        instance: u64,
        /// The proposal.
        ballot: Ballot,
    },
    /// Asks the source of a view for the history.
    StateRequest {
        /// The number of the view.
        view: u64,
        /// The sender holds the committed history up to this entry.
        after: u64,
        /// The piece that it wants. Earlier versions want the whole.
        #[serde(default)]
        piece: Option<PieceRequest>,
    },
    /// The history of a view, as a whole: to and from earlier versions.
    State {
        /// The number of the view.
        view: u64,
        /// What the receiver lacks.
        transfer: Transfer,
    },
    /// A piece of the history of a view.
    StatePiece {
        /// The number of the view.
        view: u64,
        /// The piece.
        piece: Piece,
    },
    /// Asks a process that holds it for the committed history behind an entry.
    HistoryRequest {
        /// The sender holds the committed history up to this entry.
        after: u64,
        /// The piece that it wants.
        piece: PieceRequest,
    },
    /// A piece of the committed history, for a process that has no place in the chain.
    HistoryPiece {
        /// The piece.
        piece: Piece,
    },
    /// An entry, from a replica to its successor.
    Replicate {
        /// The number of the view.
        view: u64,
        /// The entry.
        entry: Entry,
    },
    /// The sender has synced all entries up to this one; to its predecessor.
    Replicated {
        /// The number of the view.
        view: u64,
        /// The entry.
        index: u64,
    },
    /// An entry is committed.
    Committed {
        /// The entry.
        mark: Mark,
    },
    /// Asks a member whether a view is still in force.
    Confirm {
        /// The number of the view.
        view: u64,
        /// Names the question.
        question: CallId,
    },
    /// The sender has promised no later view.
    Confirmed {
        /// The number of the view.
        view: u64,
        /// The question.
        question: CallId,
    },
    /// A change, for the head.
    Submit {
        /// The call.
        call: CallId,
        /// The version that it builds on.
        base: u64,
        /// Its own version.
        version: u64,
        /// Of the bytes, for a head of an earlier version. This version takes the digest of the bytes that it gets.
        digest: Fnv,
        /// The configuration, byte for byte.
        #[serde(with = "wire_bytes")]
        bytes: Arc<[u8]>,
        /// As in [`crate::Event::Submit`]; earlier versions neither send nor read it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        request: Option<Blake3>,
        /// Whether the sender passes it on for another process. Such a call is not passed on again.
        #[serde(default)]
        relayed: bool,
    },
    /// A read, for the tail.
    Read {
        /// The call.
        call: CallId,
        /// As in [`Message::Submit`].
        #[serde(default)]
        relayed: bool,
    },
    /// How a call came out.
    Outcome {
        /// The call.
        call: CallId,
        /// How it came out.
        outcome: Outcome,
    },
    /// Asks for the newest committed configuration if it is above this version.
    ConfigRequest {
        /// The newest version that the sender knows, 0 for none.
        above: u64,
    },
    /// A committed configuration.
    Config {
        /// The configuration.
        config: CommittedConfig,
    },
}

/// How a call came out at the head or the tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is committed.
    Accepted,
    /// Another version than the base is current.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The version is not above the current one.
    Outdated {
        /// The current version.
        current: u64,
    },
    /// The newest committed version, `None` if there is none.
    Newest {
        /// The version.
        version: Option<u64>,
    },
}

/// The history that a replica holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The newest view whose history it holds.
    pub installed: u64,
    /// Its last entry.
    pub last_index: u64,
}

/// A link as its end sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The other end, heard lately.
    pub peer: SocketAddr,
    /// Whether the other end says that it hears this one.
    pub two_way: bool,
}

/// A sign of life, with what others need for judging the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub sender: MemberId,
    /// Drawn at random at the start of the process.
    pub incarnation: u64,
    /// Whether it may take part in founding the system.
    pub founder: bool,
    /// Whether it may become a member.
    pub counts_for_quorum: bool,
    /// The newest view that it knows.
    pub view: u64,
    /// The newest view whose history it holds on disk.
    pub installed: u64,
    /// Whether it has promised a later view than the newest it knows.
    pub sealed: bool,
    /// The last entry of its history on disk.
    pub synced: u64,
    /// The newest committed entry that it knows.
    pub committed: Option<Mark>,
    /// Its disk holds the committed history up to this entry. `None` from processes of before this was told.
    #[serde(default)]
    pub held: Option<u64>,
    /// Whether it is about to end and asks to be left out.
    #[serde(default)]
    pub leaving: bool,
    /// Whether its disk takes batches.
    pub disk_well: bool,
    /// The peers that it hears.
    pub links: Vec<Link>,
}
