//! A lease of a singleton role, in the form that the tasks acting under it check.
//!
//! The elector works on the time since the start of the process; tasks work on [`Instant`]s. A task checks [`LeaseWatch::holds`]
//! right before each act: after a pause of the process it may run before the controller has noticed that the lease is over, and
//! a lease that was given up ends before its time.

use lugwharf_election::FencingToken;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The name of the list watcher's role in the log, in `/status` and in the metrics.
pub const ROLE_NAME: &str = "list_reader";

/// A lease held by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token of the lease. It rises with each new lease of the role.
    pub token: FencingToken,
    /// When the lease ends unless it is renewed. The margin for clock drift is subtracted already.
    pub expires_at: Instant,
}

impl HeldLease {
    /// Whether the lease is in force at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}

/// Follows the lease of this process. A task is woken when the lease is acquired or lost, not when it is renewed.
#[derive(Clone, Debug)]
pub struct LeaseWatch(watch::Receiver<Option<HeldLease>>);

impl LeaseWatch {
    /// Follows what the controller publishes.
    pub fn new(published: watch::Receiver<Option<HeldLease>>) -> LeaseWatch {
        LeaseWatch(published)
    }

    /// The token of the lease, if there is one; the next [`LeaseWatch::changed`] tells of a later one.
    pub fn current_token(&mut self) -> Option<FencingToken> {
        self.0.borrow_and_update().map(|lease| lease.token)
    }

    /// Waits until the lease is acquired or lost. `None` if the process is ending.
    pub async fn changed(&mut self) -> Option<()> {
        self.0.changed().await.ok()
    }

    /// Whether the lease under this token is held at this moment.
    pub fn holds(&self, token: FencingToken) -> bool {
        self.0.borrow().is_some_and(|lease| lease.token == token && lease.is_valid(Instant::now()))
    }

    /// Waits until the lease under this token is held no more: it was given up, or has ended without a renewal.
    pub async fn lost(mut self, token: FencingToken) {
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
