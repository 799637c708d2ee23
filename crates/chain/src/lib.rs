//! The configuration history, kept by chain replication and reconfigured by agreed views.
//!
//! [`Replica`] is a state machine without I/O: a driver hands it [`Event`]s with the steady time since the start of the
//! process and carries out the [`Action`]s that come back, in order.
//!
//! # The protocol
//!
//! - **Chain.** The head takes a change if it builds on the newest committed one, and has at most one on its way. Each
//!   replica syncs an entry before it passes it on, so the history of a replica is a prefix of its predecessor's. What
//!   the tail has synced is committed; the tail says so to everybody, and the process that the operator called answers.
//! - **Views.** A [`View`] names the members, who vote on the next view, and the chain, a subset of them. View `n + 1` is
//!   agreed by single-decree consensus (Paxos) among the members of view `n`; promises and acceptances are synced before
//!   they are sent. View 1 is agreed among the seeds of the first start.
//! - **Seal.** A replica that has promised view `n + 1` takes part in view `n` no more.
//! - **Takeover.** A view names a source in its chain; the other replicas replace what they hold by its history. The view
//!   serves once all replicas of its chain hold that history on disk.
//! - **Confirmation.** A read, and a refusal that rests on what was not yet seen here, wait until a majority of the
//!   members says, after the call came, that it has promised no later view. No leases and no clocks are needed for it.
//! - **Members.** A view has `2 f + 1` members. Every other process is a learner: it keeps the committed history, stores it off
//!   the path of a change, and takes the place of a member that leaves, is lost or has lost its disk, one place with each view.
//! - **Identity.** A member is an address together with a disk ([`MemberId`]). A machine with a new disk is a newcomer: it
//!   neither votes nor replicates until a view names it.
//!
//! # Why nothing acknowledged is lost
//!
//! An acknowledged entry is on the disks of all replicas of the chain of a view that served, at least `fault_tolerance + 1`.
//! Each majority of the members shares a member with the chain ([`View::is_sufficient`]). So a proposer of the next view
//! hears from a replica of the chain: either it holds the view's history, and is fit as a source, or it does not, and then
//! the view has not served and, since that replica is sealed, never will. In the second case the same is asked of the view
//! before, and so on; a view carries along which of those before it may have served ([`View::lineage`]). Each replica that
//! holds the history of the newest one that may have served, or of a later one that took it over, is fit as a source.
//!
//! # What a driver must see to
//!
//! - `seed` differs from start to start, since identities come from it.
//! - If the log is damaged or cannot be recovered, the disk counts as lost: set the log aside and start with no records
//!   and `bootstrap = false`.
//! - A batch that the disk refused comes again, under its number and unchanged, until it is stored. What an append left
//!   behind must be taken away before (`lugwharf_store::Log` does so).
//! - `from` is the address under which a peer listens, not the one it dialled from.
#![forbid(unsafe_code)]

#[cfg(test)]
mod accepted_tests;
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
#[cfg(test)]
mod entry_tests;
mod error;
mod event;
#[cfg(test)]
mod guard_tests;
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
#[cfg(test)]
mod proposal_number_tests;
mod record;
mod replica;
#[cfg(test)]
mod replication_guard_tests;
mod request;
#[cfg(test)]
mod request_tests;
mod settings;
mod status;
#[cfg(test)]
mod test_driver;
mod view;
mod view_planner;
#[cfg(test)]
mod view_planner_tests;

pub use action::{Action, OperatorResponse};
pub use digest::{Blake3, Digest, Fnv};
pub use entry::{CommittedConfig, Entry, EntryBody, EntryHeader, HistorySuffix};
pub use error::RecoverError;
pub use event::Event;
pub use heartbeat::{Heartbeat, HistoryPosition, Link};
pub use history_stream::{Chunk, ChunkRequest};
pub use log_event::{LogEvent, ViewChangeReason};
pub use member::MemberId;
pub use message::Message;
pub use paxos::ProposalNumber;
pub use replica::Replica;
pub use request::{OperatorRequestId, RequestId, RequestOutcome};
pub use settings::{HistoryLimits, ReplicaSettings};
pub use status::{LeaveState, ReplicaStatus};
pub use view::{Ancestor, View};
