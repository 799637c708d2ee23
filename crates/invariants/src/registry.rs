//! Counts of violations, the way they are reported, and what a violation does to its process.

use crate::invariant::Invariant;
use std::cell::Cell;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Violations of one invariant that are reported; later ones are only counted.
const MOST_REPORTED: u64 = 10;

static COUNTS: [AtomicU64; Invariant::ALL.len()] = [const { AtomicU64::new(0) }; Invariant::ALL.len()];
static FAILS_AT_ONCE: AtomicBool = AtomicBool::new(cfg!(debug_assertions));
static REPORTER: OnceLock<fn(&Violation)> = OnceLock::new();

thread_local! {
    /// Guards of [`tolerate`] that this thread holds.
    static TOLERATED: Cell<u32> = const { Cell::new(0) };
}

/// A check that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub invariant: Invariant,
    /// How often it has failed in this process, this time included.
    pub count: u64,
    /// What was found.
    pub facts: String,
}

/// Checks an invariant. `facts` is only asked where it does not hold.
#[inline]
pub fn check(invariant: Invariant, holds: bool, facts: impl FnOnce() -> String) {
    if !holds {
        violated(invariant, facts());
    }
}

#[cold]
fn violated(invariant: Invariant, facts: String) {
    let count = COUNTS[invariant as usize].fetch_add(1, Ordering::Relaxed) + 1;
    let is_tolerated = TOLERATED.with(|guards| guards.get() > 0);
    if FAILS_AT_ONCE.load(Ordering::Relaxed) && !is_tolerated {
        panic!("invariant {} violated: {facts}", invariant.name());
    }
    if count <= MOST_REPORTED
        && let Some(report) = REPORTER.get()
    {
        report(&Violation { invariant, count, facts });
    }
}

/// Tells the first violations of each invariant to `reporter`. The first reporter stays.
pub fn report_to(reporter: fn(&Violation)) {
    // A second reporter would be a second log of the same process.
    let _ = REPORTER.set(reporter);
}

/// From now on a violation panics: for tests and simulations.
pub fn fail_at_once() {
    FAILS_AT_ONCE.store(true, Ordering::Relaxed);
}

/// From now on a violation is counted and reported: for processes in service.
pub fn count_only() {
    FAILS_AT_ONCE.store(false, Ordering::Relaxed);
}

/// While it exists, violations on its thread are counted but don't panic: for a test that brings one about on purpose and
/// looks at what follows.
#[derive(Debug)]
#[must_use]
pub struct Tolerance(());

/// Lets this thread go on after violations.
pub fn tolerate() -> Tolerance {
    TOLERATED.with(|guards| guards.set(guards.get() + 1));
    Tolerance(())
}

impl Drop for Tolerance {
    fn drop(&mut self) {
        TOLERATED.with(|guards| guards.set(guards.get().saturating_sub(1)));
    }
}

/// Violations of one invariant since the start of the process.
pub fn count(invariant: Invariant) -> u64 {
    COUNTS[invariant as usize].load(Ordering::Relaxed)
}

/// Violations of each invariant.
pub fn counts() -> impl Iterator<Item = (Invariant, u64)> {
    Invariant::ALL.iter().map(|invariant| (*invariant, count(*invariant)))
}

/// Violations of all invariants together.
pub fn total() -> u64 {
    counts().map(|(_, count)| count).sum()
}
