//! What an elector is informed of.

use crate::action::BatchId;
use crate::message::Message;
use crate::token::FencingToken;
use std::net::SocketAddr;
use std::time::Duration;

/// What happens to an elector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Send it every 20 to 50 ms.
    Tick,
    /// A membership view was agreed on. Send it also after a start, as soon as the view is known again.
    ViewInstalled {
        /// The number of the view; numbers only grow.
        number: u64,
        /// The members of the view, who vote.
        members: Vec<SocketAddr>,
        /// Whether this process is a member and its disk holds all that it has synced as one. A process whose disk was
        /// lost is no voter until a later view admits it.
        is_voter: bool,
    },
    /// This process has accepted a proposal for the view after `number`: from now on it grants nothing in `number`.
    ///
    /// Send it once the acceptance is synced and before the proposer is answered, and again after a restart. Without
    /// it a majority of a view that does not know yet that it was replaced could renew a holder beside the one that
    /// the next view elects.
    ViewSealed {
        /// The number of the view that ends.
        number: u64,
    },
    /// A message has arrived.
    Message {
        /// The sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The write of an [`crate::Action::Persist`] is synced.
    Persisted {
        /// The write.
        batch: BatchId,
    },
    /// The write of an [`crate::Action::Persist`] failed; its records may still be on the disk.
    PersistFailed {
        /// The write.
        batch: BatchId,
    },
    /// This process can't do the work of the role now: it releases the role and is no candidate for a while, so that
    /// another process gets it. It still votes. If no other process has taken the role by then, it is a candidate again.
    StepDown {
        /// How long it is no candidate; several election rounds. The role stays vacant for so long if no other process
        /// can be elected.
        backoff: Duration,
    },
    /// An act under `token` was refused, since another one had been done under a higher token. The lease under that token
    /// ends at once and is released; this process may be elected again, under a new token that a majority grants. Any other
    /// token changes nothing: the refusal is late, or came twice.
    TokenRefused {
        /// The token of the refused act.
        token: FencingToken,
    },
    /// This process is about to stop: it releases the role and is never a candidate again. It still votes.
    Resign,
}
