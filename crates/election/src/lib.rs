//! Singleton roles among the control processes: who holds one, under which fencing token, until when.
//!
//! Sans I/O: [`Elector::handle`] takes an event and the time and tells what to do. Times are [`std::time::Duration`]s
//! since any fixed point of the caller's steady clock; the time of day is never used. One elector serves one role; two
//! roles of a process are two electors that may share a log and links.
//!
//! # How a role is given
//!
//! The members of the view vote; a majority of them makes a holder.
//!
//! 1. A process that sees no grant asks whether the others would vote for it. This promises nothing, so that a process
//!    which only fails to hear the holder disturbs nobody.
//! 2. If a majority is willing, it stands under a token above all that they know: it syncs its own grant first, then
//!    asks the others for their votes. A voter syncs the grant before it sends its vote, and gives no other process a
//!    grant until this one ends.
//! 3. The holder renews under the same token. A candidate that fails gives its votes back at once.
//!
//! # Why there is one holder at a time
//!
//! - Within a view: two majorities share a voter. The holder counts its lease from before it asked, the voter its grant
//!   from when it answered, and both leave a margin for clocks that run at different rates.
//! - After a restart: a voter takes its last synced grant as given anew; one that has none grants nothing for one lease.
//! - Across views: whoever accepts a proposal for the next view stops granting in this one first ([`Event::ViewSealed`]). A
//!   view is chosen by a majority of the view before it, so from then on nobody is elected or renewed in the old one;
//!   a holder goes on for one lease at most. Voters of the new view elect nobody for one lease, but renew the holder,
//!   whose request says that it held the role when the new view was already chosen.
//!
//! # Why a token has one holder and tokens climb
//!
//! Within a view a voter grants only tokens above the last one synced, and majorities share a voter. A wiped process is
//! no voter until a later view takes it in, and all tokens of a later view are higher.
#![forbid(unsafe_code)]

mod campaign;
mod claims;
mod elector;
mod message;
mod record;
mod settings;
mod tenure;
mod voter;

pub use elector::{Elector, Lease};
pub use message::{Action, BatchId, Event, Message, MessageBody};
pub use settings::{ElectorSettings, FencingToken, Role};
