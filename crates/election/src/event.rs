//! The input events of an elector.

use crate::action::BatchId;
use crate::message::Message;
use crate::token::FencingToken;
use std::net::SocketAddr;
use std::time::Duration;

/// An input event of an elector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. The driver sends this event every 20 to 50 ms.
    Tick,
    /// A membership view was agreed on. The driver also sends this event after a process start, as soon as
    /// the view is known again.
    ViewInstalled {
        /// The number of the view. View numbers only increase.
        number: u64,
        /// The members of the view.
        members: Vec<SocketAddr>,
        /// Whether this process votes in the view: it is a member, and its disk contains everything that it
        /// has synced as a member. A process whose disk was lost is not a voter until a later view admits it
        /// again.
        is_voter: bool,
    },
    /// This process has accepted a proposal for the view after `number`. From now on it grants nothing in
    /// view `number`.
    ///
    /// The driver sends this event before it answers the proposer, whether the acceptance is synced yet or
    /// not, and again after a restart. Otherwise a majority of a view that does not yet know about its
    /// successor could renew a holder's lease while the next view elects another holder.
    ViewSealed {
        /// The number of the sealed view.
        number: u64,
    },
    /// A message has arrived.
    Message {
        /// The sender of the message.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The write of a [`crate::Action::Persist`] is synced.
    Persisted {
        /// The batch id of the write.
        batch: BatchId,
    },
    /// The write of a [`crate::Action::Persist`] failed. Its records may nevertheless be on the disk.
    PersistFailed {
        /// The batch id of the write.
        batch: BatchId,
    },
    /// This process cannot do the work of the role at present. It releases the role and does not campaign
    /// during the backoff, so that another process can take over. It still votes. After the backoff it
    /// campaigns again if the role is vacant.
    StepDown {
        /// The time during which the process does not campaign; it should cover several election attempts. If
        /// no other process can be elected, the role stays vacant for this time.
        backoff: Duration,
    },
    /// An action under `token` was refused because a higher token had already been used. If this process
    /// holds the lease under `token`, the lease ends immediately and is released. The process may be elected
    /// again, under a new token granted by a majority. A refusal of any other token is a late or duplicate
    /// one and has no effect.
    TokenRefused {
        /// The token of the refused action.
        token: FencingToken,
    },
    /// This process is about to stop. It releases the role and never campaigns again, but still votes.
    Resign,
}
