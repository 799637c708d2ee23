//! The configuration history: chain replication over the control plane, reconfigured by views that Paxos decides.
//!
//! [`Replica`] is a deterministic state machine without I/O, in the manner of raft-rs: a driver hands it [`Event`]s with the
//! monotonic time and carries out the resulting [`Action`]s in order.
//!
//! # The protocol
//!
//! - **Chain** (van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004). The
//!   head accepts a change if it builds on the newest committed one, and has at most one uncommitted. Each replica syncs an
//!   entry before it sends it on, so the history of a replica is a prefix of its predecessor's. What the tail has synced is
//!   committed. The tail announces it to all, and the process that received the operator's request responds.
//! - **Views.** A [`View`] names the members, which are the acceptors of the next view, and the chain, a subset of them. View
//!   `n + 1` is decided by single-decree Paxos (Lamport, "Paxos Made Simple") among the members of view `n`. Promises and
//!   acceptances are synced before they are sent. View 1 is decided among the seeds of the first start.
//! - **Seal.** A replica that has promised view `n + 1` takes no further part in view `n`.
//! - **State transfer.** A view names a source in its chain. The other replicas replace their history by the source's. The view
//!   serves once all replicas of its chain hold that history on disk.
//! - **Confirmation.** A read, and a refusal because of a base that was never seen here, wait until a majority of the members
//!   has said, after the request arrived, that it has promised no later view. This needs neither leases nor clocks.
//! - **Members.** A view has `2 f + 1` members, where `f` is the fault tolerance. Every other process is a learner: it keeps the
//!   committed history off the critical path of a change, and replaces a member that leaves, is lost or has lost its disk. At
//!   most one member is replaced per view.
//! - **Identity.** A member is an address together with a disk ([`MemberId`]). A machine with a new disk is another process: it
//!   neither votes nor replicates until a view names it.
//!
//! # Why no acknowledged entry is lost
//!
//! An acknowledged entry is on the disks of all replicas of the chain of a view that served, at least `fault_tolerance + 1`.
//! Each majority of the members has a member in common with the chain ([`View::is_sufficient`]). So a proposer of the next view
//! gets a promise from a replica of the chain. Either that replica holds the history of the view and is fit as a source, or it
//! does not; then the view has not served and, since that replica is sealed, never will. In the second case the same argument
//! applies to the view before, and so on: a view lists those before it that may have served ([`View::lineage`]). Each replica
//! with the history of the newest view that may have served, or of a later one that installed it, is fit as a source.
//!
//! # Obligations of the driver
//!
//! - `seed` differs from start to start, since identities come from it.
//! - If the log is corrupt or cannot be recovered, the disk counts as lost: set the log aside and start with no records and
//!   `bootstrap = false`.
//! - A batch that the disk refused comes again, under its number and unchanged, until it is persisted. What a failed append left
//!   on disk must be removed before (`lugwharf_store::Log` does so).
//! - `from` is the address under which a peer listens, not the one from which it connected.
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
