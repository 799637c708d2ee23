//! The counts of violations, the reporter, and whether a violation panics. All of it is global to the process.

use crate::invariant::Invariant;
use std::cell::Cell;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Violations of one invariant that are reported; later ones are only counted.
const MAX_REPORTED: u64 = 10;

static COUNTS: [AtomicU64; Invariant::ALL.len()] = [const { AtomicU64::new(0) }; Invariant::ALL.len()];
/// Whether a violation panics.
static PANICS_ON_VIOLATION: AtomicBool = AtomicBool::new(cfg!(debug_assertions));
static REPORTER: OnceLock<fn(&Violation)> = OnceLock::new();

thread_local! {
    /// Live guards of [`suppress_panics`] on this thread.
    static SUPPRESSION_GUARDS: Cell<u32> = const { Cell::new(0) };
}

/// A violation of an invariant: a check that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// The number of its violations in this process, this one included.
    pub count: u64,
    /// The values that violate it, for the log.
    pub facts: String,
}

/// Checks an invariant, which is violated unless `holds`. `facts` is called only for a violation.
#[inline]
pub fn check(invariant: Invariant, holds: bool, facts: impl FnOnce() -> String) {
    if !holds {
        record_violation(invariant, facts());
    }
}

#[cold]
fn record_violation(invariant: Invariant, facts: String) {
    let count = COUNTS[invariant as usize].fetch_add(1, Ordering::Relaxed) + 1;
    let is_tolerated = SUPPRESSION_GUARDS.with(|guards| guards.get() > 0);
    if PANICS_ON_VIOLATION.load(Ordering::Relaxed) && !is_tolerated {
        panic!("invariant {} violated: {facts}", invariant.name());
    }
    if count <= MAX_REPORTED
        && let Some(report) = REPORTER.get()
    {
        report(&Violation { invariant, count, facts });
    }
}

/// Calls `reporter` with the first ten violations of each invariant. Only the first reporter of the process is used.
pub fn set_reporter(reporter: fn(&Violation)) {
    // A second reporter would be a second log of the same process.
    let _ = REPORTER.set(reporter);
}

/// Makes every later violation panic: for tests and simulations.
pub fn panic_on_violation() {
    PANICS_ON_VIOLATION.store(true, Ordering::Relaxed);
}

/// Makes every later violation be counted and reported only: for processes in service.
pub fn count_violations_only() {
    PANICS_ON_VIOLATION.store(false, Ordering::Relaxed);
}

/// A guard: while it exists, violations on its thread are counted but don't panic. For a test that causes one on purpose and
/// checks what follows.
#[derive(Debug)]
#[must_use]
pub struct PanicSuppression(());

/// Lets this thread survive violations while the returned guard exists.
pub fn suppress_panics() -> PanicSuppression {
    SUPPRESSION_GUARDS.with(|guards| guards.set(guards.get() + 1));
    PanicSuppression(())
}

impl Drop for PanicSuppression {
    fn drop(&mut self) {
        SUPPRESSION_GUARDS.with(|guards| guards.set(guards.get().saturating_sub(1)));
    }
}

/// The number of violations of one invariant since the start of the process.
pub fn count(invariant: Invariant) -> u64 {
    COUNTS[invariant as usize].load(Ordering::Relaxed)
}

/// The number of violations of each invariant, in the order of [`Invariant::ALL`].
pub fn counts() -> impl Iterator<Item = (Invariant, u64)> {
    Invariant::ALL.iter().map(|invariant| (*invariant, count(*invariant)))
}

/// The number of violations of all invariants together.
pub fn total() -> u64 {
    counts().map(|(_, count)| count).sum()
}
