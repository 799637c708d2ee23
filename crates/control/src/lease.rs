//! A lease of a singleton role, in the form that the tasks acting under it check.
//!
//! The elector works on the time since the start of the process; tasks work on [`Instant`]s. A task checks
//! [`HeldLease::is_valid`] right before each act: after a pause of the process it may run before the controller has noticed that
//! the lease is over.

use tokio::time::Instant;

/// A lease held by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token of the lease. It rises with each new lease of the role.
    pub token: u64,
    /// When the lease ends unless it is renewed. The margin for clock drift is subtracted already.
    pub expires_at: Instant,
}

impl HeldLease {
    /// Whether the lease is in force at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}
