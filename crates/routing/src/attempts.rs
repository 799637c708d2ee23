//! What may still be sent for one request.
//!
//! A request that is not idempotent goes to another server only while it is proven that it has not run. The servers that may
//! have run it are bounded by the route's `MaxAttempts`; sends that provably did not run are bounded by
//! [`Tuning::rejections`](crate::Tuning::rejections). Every arrival beyond the first is paid from the retry budget.

use lugwharf_invariants::{Invariant, check};

/// The sends of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    idempotent: bool,
    most_runs: u32,
    most_rejections: u32,
    runs: u32,
    /// Readings of its prompt beyond the first: they count like runs, but are none.
    readings: u32,
    arrivals: u32,
    rejections: u32,
    free_prefill: bool,
}

impl Attempts {
    /// For a request whose route allows `most_runs` servers.
    pub fn new(idempotent: bool, most_runs: u32, most_rejections: u32) -> Attempts {
        Attempts {
            idempotent,
            most_runs: most_runs.max(1),
            most_rejections,
            runs: 0,
            readings: 0,
            arrivals: 0,
            rejections: 0,
            free_prefill: true,
        }
    }

    /// Whether it may be sent to a server that may run it.
    pub fn may_run(&self) -> bool {
        self.has_room(0) && (self.runs == 0 || self.idempotent)
    }

    /// Whether its prompt may be read once more: a first reading is free, a further one counts as a run, and the run itself
    /// has to fit behind it.
    pub fn may_prefill(&self) -> bool {
        let ahead = if self.free_prefill { 0 } else { 1 };
        self.has_room(ahead) && (self.runs == 0 || self.idempotent)
    }

    fn has_room(&self, ahead: u32) -> bool {
        self.runs + self.readings + ahead < self.most_runs && self.rejections <= self.most_rejections
    }

    /// Whether the next arrival has to be paid for.
    pub fn needs_budget(&self) -> bool {
        self.arrivals > 0
    }

    /// A whole request has gone out, or may have.
    pub fn arrived(&mut self) {
        self.arrivals += 1;
    }

    /// The server said that it did not run it, or nothing of it arrived whole.
    pub fn rejected(&mut self) {
        self.rejections += 1;
    }

    /// It has run, or may have.
    pub fn ran(&mut self) {
        self.runs += 1;
        check(Invariant::AttemptsBounded, self.runs <= self.most_runs, || format!("{self:?}"));
    }

    /// The servers that have run it, or may have.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether the next reading that is taken up is the first, and no arrival.
    pub fn has_free_prefill(&self) -> bool {
        self.free_prefill
    }

    /// A reading of its prompt was taken up; the first one is no arrival.
    pub fn prefilled(&mut self) {
        if std::mem::replace(&mut self.free_prefill, false) {
            self.arrivals = self.arrivals.saturating_sub(1);
        } else {
            self.readings += 1;
        }
    }

    /// A reading of its prompt broke: it may have been taken up.
    pub fn prefill_broke(&mut self) {
        self.free_prefill = false;
    }

    /// Whether it is proven that no server has run it.
    pub fn is_unrun(&self) -> bool {
        self.runs == 0
    }

    /// Whether it was offered to a server at all.
    pub fn was_offered(&self) -> bool {
        self.arrivals > 0 || !self.free_prefill
    }
}
