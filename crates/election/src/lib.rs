//! Elects one holder of a singleton role among the control processes, by a majority, under a lease and a fencing token.
//!
//! Sans I/O: [`Elector::handle`] takes an [`Event`] and the time, and returns the [`Action`]s to carry out. Times are
//! [`std::time::Duration`]s since any fixed point of the caller's steady clock; the time of day is never used. One elector
//! serves one role; two roles of a process are two electors that may share a log and links.
//!
//! # How a role is acquired
//!
//! The members of the current membership view vote; a majority of them elects the holder.
//!
//! 1. Pre-vote (Ongaro's thesis, section 9.6): a member that has granted no running lease asks whether the others would
//!    vote for it. The answer grants nothing, so that a process that merely can't hear the holder disturbs no one.
//! 2. Election: if a majority would, the member is a candidate under a token above all that they know. It syncs its vote
//!    for itself first, then requests the votes of the others. A voter syncs its vote before it sends it, and grants no
//!    other process a lease until this one ends.
//! 3. Renewal: the holder renews its lease under the same token. A candidate that fails releases its votes at once, and a
//!    holder that steps down or resigns releases its lease.
//!
//! The lease is that of Gray and Cheriton (Leases, SOSP 1989), granted by a majority of voters: like the leader leases of
//! Ongaro's thesis, section 6.4.1, it lets the holder act without a round of messages as long as clocks drift within a
//! bound. Unlike there, a voter counts the lease itself and no log orders the holders; what they do is ordered by the
//! fencing token that goes with it.
//!
//! # Terms of Raft
//!
//! | here | in Raft |
//! | --- | --- |
//! | holder | leader, but of a role and without a log |
//! | [`FencingToken`] | term: grows with each election, has one holder at most, and is persisted before a vote is sent |
//! | view | configuration; its number stands in the upper bits of the token |
//! | `request_id` | none: it pairs a response with its request, since messages are sent one way and may be late |
//!
//! A pre-vote carries no token, where Raft's carries the next term: the candidate chooses its token only after the pre-vote,
//! above all that the responses report, so a voter's answer can't depend on it. A denied pre-vote and a denied vote are the
//! same message ([`MessageBody::VoteDenied`]), since they say the same: the request and the highest token that the voter
//! knows. The request id tells them apart, since each phase of a campaign has its own.
//!
//! # Why there is one holder at a time
//!
//! - Within a view: two majorities share a voter. The holder counts its lease from before it sent the request, the voter
//!   from when it granted it, and both leave a margin for clocks that run at different rates.
//! - After a restart: a voter starts the lease of its last synced record anew; one without a record grants nothing for one
//!   lease.
//! - Across views: whoever accepts a proposal for the next view stops granting in this one first ([`Event::ViewSealed`]). A
//!   view is chosen by a majority of the view before it, so from then on nobody is elected or renewed in the old one; a
//!   holder goes on for one lease at most. Voters of the new view elect nobody for one lease, but renew the holder, whose
//!   request says that it held the role when the new view was already chosen.
//!
//! # Why a token has one holder and tokens grow
//!
//! Within a view a voter grants only tokens above the last one synced, and majorities share a voter. A process whose disk
//! was lost is no voter until a later view admits it, and all tokens of a later view are larger.
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
