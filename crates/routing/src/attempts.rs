//! Limits on the attempts of one request.
//!
//! A request that is not idempotent is retried only while it is proven that no server has executed it.
//! Executions, proven or possible, are bounded by the route's `MaxAttempts`. Rejections, which prove that
//! nothing was executed, are bounded by [`Tuning::max_rejections`](crate::Tuning::max_rejections). Every
//! delivery after the first is withdrawn from the [retry budget](crate::RetryBudget).
//!
//! The first prefill of a generation is free: it forms the first delivery together with the decode. Further
//! prefills count as executions towards the route's bound, although they generate no tokens.

use lugwharf_invariants::{Invariant, check};

/// The attempts made so far for one request, and their bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    is_idempotent: bool,
    max_executions: u32,
    max_rejections: u32,
    /// Executions of the request, proven or possible.
    executions: u32,
    /// Prefills after the first.
    extra_prefills: u32,
    /// How often the complete request was sent, or may have been.
    deliveries: u32,
    rejections: u32,
    is_next_prefill_free: bool,
}

impl Attempts {
    /// Creates the state of a request without attempts, for a route that allows `max_executions` (0 is
    /// treated as 1).
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

    /// Returns whether the request may be sent to a server that may execute it.
    pub fn may_execute(&self) -> bool {
        self.is_within_bounds(0) && (self.executions == 0 || self.is_idempotent)
    }

    /// Returns whether the prompt may be sent to a prefill server. A prefill that counts as an execution must
    /// leave room for one execution after it.
    pub fn may_prefill(&self) -> bool {
        let reserved = if self.is_next_prefill_free { 0 } else { 1 };
        self.is_within_bounds(reserved) && (self.executions == 0 || self.is_idempotent)
    }

    /// Returns whether one more execution is allowed in addition to `reserved` others.
    fn is_within_bounds(&self, reserved: u32) -> bool {
        self.executions + self.extra_prefills + reserved < self.max_executions
            && self.rejections <= self.max_rejections
    }

    /// Returns whether the next delivery must be withdrawn from the retry budget.
    pub fn needs_retry_budget(&self) -> bool {
        self.deliveries > 0
    }

    /// Records that the complete request has been sent, or may have been.
    pub fn record_delivery(&mut self) {
        self.deliveries += 1;
    }

    /// Records that a server has proven that it did not execute the request.
    pub fn record_rejection(&mut self) {
        self.rejections += 1;
    }

    /// Records that a server has executed the request, or may have.
    pub fn record_execution(&mut self) {
        self.executions += 1;
        check(Invariant::AttemptsBounded, self.executions <= self.max_executions, || format!("{self:?}"));
    }

    /// Returns the number of executions, proven or possible.
    pub fn executions(&self) -> u32 {
        self.executions
    }

    /// Returns whether the next successful prefill is the first, which does not count as a delivery.
    pub fn has_free_prefill(&self) -> bool {
        self.is_next_prefill_free
    }

    /// Records a successful prefill. Must be called after [`Attempts::record_delivery`], whose count is taken
    /// back for the free prefill.
    pub fn record_prefill(&mut self) {
        if std::mem::replace(&mut self.is_next_prefill_free, false) {
            self.deliveries = self.deliveries.saturating_sub(1);
        } else {
            self.extra_prefills += 1;
        }
    }

    /// Records a prefill that has failed and may have been executed: the next prefill is not free.
    pub fn record_prefill_failure(&mut self) {
        self.is_next_prefill_free = false;
    }

    /// Returns whether it is proven that no server has executed the request.
    pub fn is_unexecuted(&self) -> bool {
        self.executions == 0
    }

    /// Returns whether the request or its prompt was sent to any server.
    pub fn was_attempted(&self) -> bool {
        self.deliveries > 0 || !self.is_next_prefill_free
    }
}
