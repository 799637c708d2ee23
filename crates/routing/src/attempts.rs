//! What may still be sent for one request.
//!
//! A request that is not is_idempotent goes to another server only while it is proven that it has not run. The servers that may
//! have run it are bounded by the route's `MaxAttempts`; sends that provably did not run are bounded by
//! [`Tuning::rejections`](crate::Tuning::rejections). Every arrival beyond the first is paid from the retry budget.

use lugwharf_invariants::{Invariant, check};

/// The sends of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    is_idempotent: bool,
    max_executions: u32,
    max_rejections: u32,
    executions: u32,
    /// Readings of its prompt beyond the first: they count like executions, but are none.
    extra_prefills: u32,
    deliveries: u32,
    rejections: u32,
    is_next_prefill_free: bool,
}

impl Attempts {
    /// For a request whose route allows `max_executions` servers.
    pub fn new(is_idempotent: bool, max_executions: u32, max_rejections: u32) -> Attempts {
        Attempts {
            is_idempotent,
            max_executions: max_executions.max(1),
            max_rejections,
            executions: 0,
            extra_prefills: 0,
            deliveries: 0,
            rejections: 0,
            is_next_prefill_free: true,
        }
    }

    /// Whether it may be sent to a server that may run it.
    pub fn may_execute(&self) -> bool {
        self.has_room(0) && (self.executions == 0 || self.is_idempotent)
    }

    /// Whether its prompt may be read once more: a first reading is free, a further one counts as a run, and the run itself
    /// has to fit behind it.
    pub fn may_prefill(&self) -> bool {
        let reserved = if self.is_next_prefill_free { 0 } else { 1 };
        self.has_room(reserved) && (self.executions == 0 || self.is_idempotent)
    }

    fn has_room(&self, reserved: u32) -> bool {
        self.executions + self.extra_prefills + reserved < self.max_executions
            && self.rejections <= self.max_rejections
    }

    /// Whether the next arrival has to be paid for.
    pub fn needs_retry_budget(&self) -> bool {
        self.deliveries > 0
    }

    /// A whole request has gone out, or may have.
    pub fn record_delivery(&mut self) {
        self.deliveries += 1;
    }

    /// The server said that it did not run it, or nothing of it arrived whole.
    pub fn record_rejection(&mut self) {
        self.rejections += 1;
    }

    /// It has run, or may have.
    pub fn record_execution(&mut self) {
        self.executions += 1;
        check(Invariant::AttemptsBounded, self.executions <= self.max_executions, || format!("{self:?}"));
    }

    /// The servers that have run it, or may have.
    pub fn executions(&self) -> u32 {
        self.executions
    }

    /// Whether the next reading that is taken up is the first, and no arrival.
    pub fn has_free_prefill(&self) -> bool {
        self.is_next_prefill_free
    }

    /// A reading of its prompt was taken up; the first one is no arrival.
    pub fn record_prefill(&mut self) {
        if std::mem::replace(&mut self.is_next_prefill_free, false) {
            self.deliveries = self.deliveries.saturating_sub(1);
        } else {
            self.extra_prefills += 1;
        }
    }

    /// A reading of its prompt broke: it may have been taken up.
    pub fn record_prefill_failure(&mut self) {
        self.is_next_prefill_free = false;
    }

    /// Whether it is proven that no server has run it.
    pub fn is_unexecuted(&self) -> bool {
        self.executions == 0
    }

    /// Whether it was offered to a server at all.
    pub fn was_attempted(&self) -> bool {
        self.deliveries > 0 || !self.is_next_prefill_free
    }
}
