//! A replicated history of configurations: chain replication across the control processes, reconfigured by
//! views that are decided by Paxos.
//!
//! [`Replica`] is a deterministic state machine without I/O, in the style of raft-rs: a driver passes it
//! [`Event`]s together with the monotonic time and executes the resulting [`Action`]s in order.
//!
//! # The protocol
//!
//! - **Chain** (van Renesse and Schneider, "Chain Replication for Supporting High Throughput and
//!   Availability", OSDI 2004). The head accepts a change if the change is based on the newest committed one.
//!   At most one change is uncommitted. Each replica syncs an entry to disk before it forwards the entry, so
//!   the history of a replica is a prefix of its predecessor's. An entry is committed once the tail has
//!   synced it. The tail announces the commit to all processes, and the process that received the operator's
//!   request responds.
//! - **Views.** A [`View`] names the members, which are the acceptors of the next view, and the chain, which
//!   is a subset of the members. View `n + 1` is decided by single-decree Paxos (Lamport, "Paxos Made
//!   Simple") among the members of view `n`. Promises and acceptances are synced before they are sent. View 1
//!   is decided among the seeds when the system starts for the first time.
//! - **Sealing.** A replica that has promised view `n + 1` stops participating in view `n`.
//! - **State transfer.** A view names a source in its chain. The other replicas of the chain replace their
//!   history by the source's. The view starts to serve once all replicas of its chain hold that history on
//!   disk.
//! - **Confirmation.** Some responses wait until a majority of the members has stated, after the request
//!   arrived, that it has promised no later view: reads, and rejections of changes whose base version is
//!   unknown to the head. Confirmation depends neither on leases nor on clocks.
//! - **Members.** A view has `2 f + 1` members, where `f` is the fault tolerance. Every other process is a
//!   learner: it replicates the committed history without delaying changes, and replaces a member that
//!   leaves, fails or loses its disk. Each view replaces at most one member.
//! - **Identity.** A member is identified by its address and its disk ([`MemberId`]). A machine with a new
//!   disk is a different process: it neither votes nor replicates until a view names it.
//!
//! # Why no acknowledged entry is lost
//!
//! An acknowledged entry is on the disks of all replicas of the chain of a view that has served, which are at
//! least `fault_tolerance + 1`. Each majority of the members has a member in common with the chain
//! ([`View::is_sufficient`]). So a proposer of the next view receives a promise from a replica of the chain.
//! If that replica holds the history of the view, it is a valid source. Otherwise the view has not served
//! and, since that replica is sealed, never will; the same argument then applies to the previous view, and so
//! on. For this purpose a view lists the earlier views that may have served ([`View::lineage`]). A replica is
//! a valid source if it holds the history of the newest view that may have served, or of a later view that
//! installed it.
//!
//! # Obligations of the driver
//!
//! - `seed` must differ from start to start, since identities are derived from it.
//! - If the log is corrupt or cannot be recovered, the disk counts as lost: move the log aside and start
//!   without records and with `bootstrap = false`.
//! - A batch that could not be written is emitted again, unchanged and under the same number, until it is
//!   persisted. The driver must first remove what the failed append left on disk (`lugwharf_store::Log` does
//!   so).
//! - `from` must be the address on which a peer listens, not the one from which it connected.
#![forbid(unsafe_code)]

mod action;
mod byte_string;
mod digest;
#[cfg(test)]
mod digest_tests;
#[cfg(test)]
mod earlier_version_tests;
#[cfg(test)]
mod encoding_tests;
mod entry;
mod error;
mod event;
mod heartbeat;
mod history;
mod history_stream;
#[cfg(test)]
mod history_stream_tests;
#[cfg(test)]
mod history_tests;
mod journal;
#[cfg(test)]
mod journal_tests;
mod log_event;
mod member;
mod message;
mod paxos;
mod peers;
mod record;
mod replica;
mod request;
mod settings;
mod status;
mod view;
mod view_planner;

pub use action::{Action, BatchId, OperatorResponse};
pub use digest::{Blake3, Digest, Fnv};
pub use entry::{CommittedConfig, Entry, EntryBody, EntryHeader, HistorySuffix};
pub use error::{DecodeError, RecoverError};
pub use event::Event;
pub use heartbeat::{Heartbeat, HistoryPosition, Link};
pub use history_stream::{Chunk, ChunkRequest};
pub use log_event::{FaultyReplica, LogEvent, ReplicaFault, ViewChangeReason};
pub use member::MemberId;
pub use message::Message;
pub use paxos::{AcceptedProposal, ProposalNumber};
pub use replica::Replica;
pub use request::{OperatorRequestId, RequestId, RequestOutcome};
pub use settings::{HistoryLimits, ReplicaSettings};
pub use status::{LeaveState, ReplicaStatus};
pub use view::{Ancestor, View};
