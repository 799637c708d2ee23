//! Elects the holder of a singleton role among the control processes by majority vote, with a lease and a
//! fencing token.
//!
//! The crate performs no I/O: [`Elector::handle`] takes an [`Event`] and the current time, and returns the
//! [`Action`]s to execute. Times are [`std::time::Duration`]s since an arbitrary fixed point of the caller's
//! steady clock; wall-clock time is never used. Each elector serves one role. A process with two roles runs
//! two electors, which may share a log and connections.
//!
//! # How a role is acquired
//!
//! The members of the current membership view vote, and a majority of them elects the holder.
//!
//! 1. Pre-vote (Ongaro's thesis, section 9.6): a member that has no unexpired granted lease asks whether the
//!    others would vote for it. The responses grant nothing, so a process that merely receives nothing from
//!    the holder causes no disruption.
//! 2. Election: if a majority would vote for it, the member becomes a candidate under a token above all
//!    tokens they know. It first syncs its vote for itself, then requests the votes of the others. A voter
//!    syncs its vote before sending it, and grants no lease to another process until this lease ends.
//! 3. Renewal: the holder renews its lease under the same token. A failed candidate releases its votes
//!    immediately, and a holder that steps down or resigns releases its lease.
//!
//! The lease follows Gray and Cheriton (Leases, SOSP 1989), but is granted by a majority of voters. Like the
//! leader leases in Ongaro's thesis, section 6.4.1, it allows the holder to act without a round of messages
//! as long as clock drift stays within a bound. In contrast to these, each voter tracks the lease itself, and
//! there is no log that orders the holders. Their actions are ordered by the fencing token that accompanies
//! each action.
//!
//! # Comparison with Raft
//!
//! | this crate | Raft |
//! | --- | --- |
//! | holder | leader; here of a role, and without a log |
//! | [`FencingToken`] | term: increases with each election, has at most one holder, and is persisted before a vote is sent |
//! | view | configuration; the upper bits of the token contain the view number |
//! | `request_id` | no equivalent: matches a response to its request, since messages are one-way and may be delayed |
//!
//! Unlike Raft's pre-vote, which carries the next term, a pre-vote carries no token: the candidate chooses
//! its token only after the pre-vote, above all tokens reported in the responses, so a voter's response
//! cannot depend on it. A denied pre-vote and a denied vote are the same message
//! ([`MessageBody::VoteDenied`]), since both contain the request id and the highest token known to the voter.
//! The request id distinguishes them, since each phase of a campaign has its own.
//!
//! # Why there is at most one holder at a time
//!
//! - Within a view: any two majorities share a voter. At the holder the lease starts before it sends the
//!   request, at the voter when it grants the lease, and both allow a margin for clock drift.
//! - After a restart: a voter restarts the lease of its last synced record. A voter without a record grants
//!   nothing for one lease duration.
//! - Across views: a process that accepts a proposal for the next view first stops granting in the current
//!   one ([`Event::ViewSealed`]). A view is chosen by a majority of the previous view, so from then on no
//!   process is elected or renewed in the previous view, and its holder acts for at most one more lease
//!   duration. Voters of the new view elect no process for one lease duration, but do renew the holder's
//!   lease, since its request shows that it held the role after the new view was chosen.
//!
//! # Why a token has at most one holder and tokens increase
//!
//! Within a view a voter elects only under tokens above the last synced one, and any two majorities share a
//! voter. A process whose disk was lost is not a voter until a later view admits it, and all tokens of a
//! later view are larger.
#![forbid(unsafe_code)]

mod action;
mod campaign;
mod elector;
mod event;
mod held_lease;
mod known_holder;
mod lease;
mod message;
mod quorum;
mod record;
mod settings;
mod token;
mod voter;

pub use action::{Action, BatchId};
pub use elector::Elector;
pub use event::Event;
pub use lease::{Lease, LeaseHolder};
pub use message::{Message, MessageBody};
pub use settings::{ElectorSettings, Role};
pub use token::FencingToken;
