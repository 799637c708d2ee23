//! What may still be sent for one request.
//!
//! A request that is not idempotent is retried only while it is proven that no server has executed it. Executions, proven or
//! possible, are bounded by the route's `MaxAttempts`; rejections, which prove that nothing was executed, by
//! [`Tuning::max_rejections`](crate::Tuning::max_rejections). Every delivery beyond the first is paid from the
//! [retry budget](crate::RetryBudget).
//!
//! The first prefill of a generation is free: it is a half of the first delivery, whose other half is the decode. Further
//! prefills count as executions towards the route's bound, though they generate nothing.

use lugwharf_invariants::{Invariant, check};

/// The attempts of one request so far, and their bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    is_idempotent: bool,
    max_executions: u32,
    max_rejections: u32,
    /// Servers that have executed the request, or may have.
    executions: u32,
    /// Prefills beyond the first.
    extra_prefills: u32,
    /// Requests that were sent completely, or may have been.
    deliveries: u32,
    rejections: u32,
    is_next_prefill_free: bool,
}

impl Attempts {
    /// No attempts yet, for a route that allows `max_executions` (at least 1 is assumed).
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

    /// Whether the request may be sent to a server that may execute it.
    pub fn may_execute(&self) -> bool {
        self.is_within_bounds(0) && (self.executions == 0 || self.is_idempotent)
    }

    /// Whether the prompt may be sent to a prefill server: behind a prefill that counts, an execution must still fit.
    pub fn may_prefill(&self) -> bool {
        let reserved = if self.is_next_prefill_free { 0 } else { 1 };
        self.is_within_bounds(reserved) && (self.executions == 0 || self.is_idempotent)
    }

    /// Whether one more execution is allowed behind `reserved` others.
    fn is_within_bounds(&self, reserved: u32) -> bool {
        self.executions + self.extra_prefills + reserved < self.max_executions
            && self.rejections <= self.max_rejections
    }

    /// Whether the next delivery has to be withdrawn from the retry budget.
    pub fn needs_retry_budget(&self) -> bool {
        self.deliveries > 0
    }

    /// The complete request has been sent, or may have been.
    pub fn record_delivery(&mut self) {
        self.deliveries += 1;
    }

    /// The server proved that it did not execute the request.
    pub fn record_rejection(&mut self) {
        self.rejections += 1;
    }

    /// A server has executed the request, or may have.
    pub fn record_execution(&mut self) {
        self.executions += 1;
        check(Invariant::AttemptsBounded, self.executions <= self.max_executions, || format!("{self:?}"));
    }

    /// Servers that have executed the request, or may have.
    pub fn executions(&self) -> u32 {
        self.executions
    }

    /// Whether the next prefill that succeeds is the first, which is not counted as a delivery.
    pub fn has_free_prefill(&self) -> bool {
        self.is_next_prefill_free
    }

    /// A prefill has succeeded. Call it after [`Attempts::record_delivery`], which it takes back for the free one.
    pub fn record_prefill(&mut self) {
        if std::mem::replace(&mut self.is_next_prefill_free, false) {
            self.deliveries = self.deliveries.saturating_sub(1);
        } else {
            self.extra_prefills += 1;
        }
    }

    /// A prefill has failed and may have been executed: the next one is not free.
    pub fn record_prefill_failure(&mut self) {
        self.is_next_prefill_free = false;
    }

    /// Whether it is proven that no server has executed the request.
    pub fn is_unexecuted(&self) -> bool {
        self.executions == 0
    }

    /// Whether any server was sent the request or its prompt.
    pub fn was_attempted(&self) -> bool {
        self.deliveries > 0 || !self.is_next_prefill_free
    }
}
