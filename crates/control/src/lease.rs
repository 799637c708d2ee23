//! The role as its workers see it.

use tokio::time::Instant;

/// A role held by this process, for those that act in it. Ask [`HeldLease::is_valid`] right before each act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: u64,
    /// The end of the lease unless it is renewed.
    pub expires_at: Instant,
}

impl HeldLease {
    /// Whether the lease is_valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}
