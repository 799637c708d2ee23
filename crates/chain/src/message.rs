//! The messages between replicas. Most of them name the view or the Paxos instance to which they belong, so
//! that a receiver recognises stale ones. Messages may be lost, duplicated or delayed; between two processes
//! they arrive in order while the connection lasts.
//!
//! Names of fields and variants are part of the encoding (CBOR maps with text keys), and processes of two
//! versions communicate during a rolling upgrade. Encoded names are therefore fixed by `serde(rename)` where
//! the code uses another term; see `docs/GLOSSARY.md`. `encoding_tests.rs` fixes the encoded bytes.

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
    /// A heartbeat; see [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Requests the receiver's newest view if its number is higher than `above`. Answered by
    /// [`Message::Decided`].
    ViewRequest {
        /// The number of the newest view that the sender knows.
        above: u64,
    },
    /// A view was decided.
    Decided {
        /// The view.
        view: View,
    },
    /// Paxos phase 1a: requests a promise in the instance that decides view `instance`.
    Prepare {
        /// The number of the view to decide.
        instance: u64,
        /// The number of the proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
    },
    /// Paxos phase 1b: the sender accepts no proposal with a lower number, and has stopped participating in
    /// the view before `instance`.
    Promise {
        /// The acceptor. Names its disk as well as its address, since the address alone does not identify a
        /// member.
        sender: MemberId,
        /// The number of the view to decide.
        instance: u64,
        /// The number of the proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
        /// The proposal with the highest number that the sender has accepted, if any.
        accepted: Option<Box<AcceptedProposal>>,
        /// The extent of the sender's history, from which the proposer chooses the source of the view.
        #[serde(rename = "holding")]
        position: HistoryPosition,
    },
    /// The sender has promised a proposal with a higher number.
    Rejected {
        /// The number of the view to decide.
        instance: u64,
        /// The number of the rejected proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
        /// The number of the promised proposal.
        promised: ProposalNumber,
    },
    /// Paxos phase 2a: requests the acceptance of a view. The Paxos instance is the number of the view.
    Accept {
        /// The number of the proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
        /// The view.
        view: View,
    },
    /// Paxos phase 2b: the sender has accepted the proposal.
    Accepted {
        /// The number of the view to decide.
        instance: u64,
        /// The number of the proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
    },
    /// Requests the history of a view from the source of that view.
    StateRequest {
        /// The number of the view.
        view: u64,
        /// The index up to which the sender holds the committed history.
        after: u64,
        /// The requested chunk. `None` from earlier versions, which expect the history in one message.
        #[serde(default, rename = "piece")]
        chunk: Option<ChunkRequest>,
    },
    /// The history of a view in one message. Only exchanged with earlier versions.
    State {
        /// The number of the view.
        view: u64,
        /// The part of the history that the receiver is missing.
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
    /// Requests the committed history after an index, for a learner.
    HistoryRequest {
        /// The index up to which the sender holds the committed history.
        after: u64,
        /// The requested chunk.
        #[serde(rename = "piece")]
        chunk: ChunkRequest,
    },
    /// A chunk of the committed history, for a process outside the chain.
    #[serde(rename = "HistoryPiece")]
    HistoryChunk {
        /// The chunk.
        #[serde(rename = "piece")]
        chunk: Chunk,
    },
    /// An entry, sent by a replica to its successor in the chain.
    Replicate {
        /// The number of the view.
        view: u64,
        /// The entry.
        entry: Entry,
    },
    /// Acknowledges to the predecessor in the chain that the sender has synced all entries up to an index.
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
    /// Asks a member to confirm that a view is still current, like a read-index request in Raft (Ongaro's
    /// thesis, section 6.4).
    Confirm {
        /// The number of the view.
        view: u64,
        /// The identity of the confirmation round.
        #[serde(rename = "question")]
        request_id: RequestId,
    },
    /// Confirms that the sender has promised no later view.
    Confirmed {
        /// The number of the view.
        view: u64,
        /// The identity of the confirmation round.
        #[serde(rename = "question")]
        request_id: RequestId,
    },
    /// A configuration change, sent to the head.
    Submit {
        /// The request.
        #[serde(rename = "call")]
        request_id: RequestId,
        /// The version on which the change is based.
        base: u64,
        /// The version of the change.
        version: u64,
        /// The hash of the bytes, for a head of an earlier version. A head of this version computes the hash
        /// itself.
        digest: Fnv,
        /// The encoded configuration.
        #[serde(with = "byte_string")]
        bytes: Arc<[u8]>,
        /// As in [`crate::Event::Submit`]. Earlier versions neither send nor decode this field.
        #[serde(default, skip_serializing_if = "Option::is_none", rename = "request")]
        request_hash: Option<Blake3>,
        /// Whether the sender forwards the request on behalf of another process. A forwarded request is not
        /// forwarded again.
        #[serde(default, rename = "relayed")]
        forwarded: bool,
    },
    /// A read request, sent to the tail.
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
        /// The outcome of the request.
        outcome: RequestOutcome,
    },
    /// Requests the newest committed configuration if its version is higher than `above`.
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
