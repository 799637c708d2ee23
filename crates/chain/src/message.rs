//! The messages between replicas. Each names the view or the Paxos instance that it belongs to, so that a receiver
//! recognises a late one as stale. Messages may be lost, repeated or delayed; between two processes they arrive in order as
//! long as their connection lasts.
//!
//! Names of fields and variants are part of the encoding (CBOR maps with text keys), and a rolling upgrade mixes two versions
//! of the program. Encoded names are therefore fixed by `serde(rename)` where the code uses another term; see
//! `docs/GLOSSARY.md`. `encoding_tests.rs` pins the bytes.

use crate::byte_string;
use crate::digest::{Blake3, Fnv};
use crate::entry::{CommittedConfig, Entry, EntryHeader, HistorySuffix};
use crate::heartbeat::{Heartbeat, HistoryPosition};
use crate::history_stream::{Chunk, ChunkRequest};
use crate::member::MemberId;
use crate::paxos::{AcceptedProposal, ProposalNumber};
use crate::request::{RequestId, RequestOutcome};
use crate::view::View;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive; see [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Asks for the receiver's newest view if its number is above this one. Answered with [`Message::Decided`].
    ViewRequest {
        /// The number of the newest view that the sender knows.
        above: u64,
    },
    /// A view was decided.
    Decided {
        /// The view.
        view: View,
    },
    /// Paxos phase 1a: asks for a promise in the instance that decides view `instance`.
    Prepare {
        /// The number of the view to decide.
        instance: u64,
        /// The proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
    },
    /// Paxos phase 1b: the sender accepts no lower proposal, and has stopped taking part in the view before `instance`.
    Promise {
        /// The acceptor. The proposer needs its disk as well as its address, since only the former identifies a member.
        sender: MemberId,
        /// The number of the view to decide.
        instance: u64,
        /// The proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
        /// What the sender has accepted in a lower proposal.
        accepted: Option<Box<AcceptedProposal>>,
        /// How far the sender's history reaches. The proposer chooses the source of the view by it.
        #[serde(rename = "holding")]
        position: HistoryPosition,
    },
    /// The sender has promised a higher proposal.
    Rejected {
        /// The number of the view to decide.
        instance: u64,
        /// The proposal that is rejected.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
        /// The higher one.
        promised: ProposalNumber,
    },
    /// Paxos phase 2a: asks to accept a view. The instance is the number of the view.
    Accept {
        /// The proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
        /// The view.
        view: View,
    },
    /// Paxos phase 2b: the sender has accepted the proposal.
    Accepted {
        /// The number of the view to decide.
        instance: u64,
        /// The proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
    },
    /// Asks the source of a view for its history.
    StateRequest {
        /// The number of the view.
        view: u64,
        /// The sender holds the committed history up to this index.
        after: u64,
        /// The chunk to send. `None` from earlier versions, which want the history in one message.
        #[serde(default, rename = "piece")]
        chunk: Option<ChunkRequest>,
    },
    /// The history of a view in one message; only to and from earlier versions.
    State {
        /// The number of the view.
        view: u64,
        /// What the receiver lacks.
        #[serde(rename = "transfer")]
        suffix: HistorySuffix,
    },
    /// A chunk of the history of a view.
    #[serde(rename = "StatePiece")]
    StateChunk {
        /// The number of the view.
        view: u64,
        /// The chunk.
        #[serde(rename = "piece")]
        chunk: Chunk,
    },
    /// Asks for the committed history behind an index, as a learner does.
    HistoryRequest {
        /// The sender holds the committed history up to this index.
        after: u64,
        /// The chunk to send.
        #[serde(rename = "piece")]
        chunk: ChunkRequest,
    },
    /// A chunk of the committed history, for a process that is not in the chain.
    #[serde(rename = "HistoryPiece")]
    HistoryChunk {
        /// The chunk.
        #[serde(rename = "piece")]
        chunk: Chunk,
    },
    /// An entry, from a replica to its successor in the chain.
    Replicate {
        /// The number of the view.
        view: u64,
        /// The entry.
        entry: Entry,
    },
    /// The sender has synced all entries up to this index; to its predecessor in the chain.
    Replicated {
        /// The number of the view.
        view: u64,
        /// The last synced index.
        index: u64,
    },
    /// An entry is committed.
    Committed {
        /// The header of the entry.
        #[serde(rename = "mark")]
        header: EntryHeader,
    },
    /// Asks a member whether a view is still in force, as read-index asks in Raft (Ongaro's thesis, section 6.4).
    Confirm {
        /// The number of the view.
        view: u64,
        /// The round of confirmation.
        #[serde(rename = "question")]
        request_id: RequestId,
    },
    /// The sender has promised no later view.
    Confirmed {
        /// The number of the view.
        view: u64,
        /// The round of confirmation.
        #[serde(rename = "question")]
        request_id: RequestId,
    },
    /// A configuration change, for the head.
    Submit {
        /// The request.
        #[serde(rename = "call")]
        request_id: RequestId,
        /// The version that the change builds on.
        base: u64,
        /// The version of the change.
        version: u64,
        /// The hash of the bytes, for a head of an earlier version. A head of this version hashes what it receives.
        digest: Fnv,
        /// The configuration, byte for byte.
        #[serde(with = "byte_string")]
        bytes: Arc<[u8]>,
        /// As in [`crate::Event::Submit`]. Earlier versions neither send nor read it.
        #[serde(default, skip_serializing_if = "Option::is_none", rename = "request")]
        request_hash: Option<Blake3>,
        /// Whether the sender forwards it for another process. A forwarded request is not forwarded again.
        #[serde(default, rename = "relayed")]
        forwarded: bool,
    },
    /// A read, for the tail.
    Read {
        /// The request.
        #[serde(rename = "call")]
        request_id: RequestId,
        /// As in [`Message::Submit`].
        #[serde(default, rename = "relayed")]
        forwarded: bool,
    },
    /// The outcome of a [`Message::Submit`] or [`Message::Read`].
    Outcome {
        /// The request.
        #[serde(rename = "call")]
        request_id: RequestId,
        /// Its outcome.
        outcome: RequestOutcome,
    },
    /// Asks for the newest committed configuration if its version is above this one.
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
