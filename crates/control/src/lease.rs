//! The lease of a singleton role, as checked by the tasks that act under it.
//!
//! The elector uses the time since the start of the process; tasks use [`Instant`]s. A task checks
//! [`LeaseWatch::holds`] immediately before each action: after a pause of the process, the task may run
//! before the controller has noticed that the lease has expired, and a lease that was resigned ends before
//! its expiry.

use lugwharf_election::FencingToken;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The name of the list watcher's role in log lines, in `GET /status` and in the metrics.
pub const ROLE_NAME: &str = "list_reader";

/// A lease held by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token of the lease. It increases with each new lease of the role.
    pub token: FencingToken,
    /// When the lease expires unless it is renewed. The margin for clock drift is already subtracted.
    pub expires_at: Instant,
}

impl HeldLease {
    /// Whether the lease is valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}

/// A view of the lease of this process. A task is woken when the lease is acquired or lost, but not when it
/// is renewed.
#[derive(Clone, Debug)]
pub struct LeaseWatch(watch::Receiver<Option<HeldLease>>);

impl LeaseWatch {
    /// Creates a watch on the channel on which the controller publishes the lease.
    pub fn new(published: watch::Receiver<Option<HeldLease>>) -> LeaseWatch {
        LeaseWatch(published)
    }

    /// Returns the token of the lease, if this process holds one. The next [`LeaseWatch::changed`] waits for
    /// a later change.
    pub fn current_token(&mut self) -> Option<FencingToken> {
        self.0.borrow_and_update().map(|lease| lease.token)
    }

    /// Waits until the lease is acquired or lost. Returns `None` if the process is ending.
    pub async fn changed(&mut self) -> Option<()> {
        self.0.changed().await.ok()
    }

    /// Whether this process currently holds the lease with this token.
    pub fn holds(&self, token: FencingToken) -> bool {
        self.0.borrow().is_some_and(|lease| lease.token == token && lease.is_valid(Instant::now()))
    }

    /// Waits until this process no longer holds the lease with this token, because it resigned the lease or
    /// the lease expired without a renewal.
    pub async fn wait_until_lost(mut self, token: FencingToken) {
        loop {
            let lease = *self.0.borrow_and_update();
            let Some(lease) = lease.filter(|lease| lease.token == token && lease.is_valid(Instant::now()))
            else {
                return;
            };
            tokio::select! {
                () = sleep_until(lease.expires_at) => {}
                changed = self.0.changed() => if changed.is_err() { return },
            }
        }
    }
}
