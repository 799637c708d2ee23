//! The violation counters, the reporter and the panic setting. All of this state is global to the process.

use crate::invariant::Invariant;
use std::cell::Cell;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The maximum number of violations reported per invariant. Later violations are only counted.
const MAX_REPORTED: u64 = 10;

static COUNTS: [AtomicU64; Invariant::ALL.len()] = [const { AtomicU64::new(0) }; Invariant::ALL.len()];
/// Whether a violation panics. Defaults to true in builds with debug assertions.
static PANICS_ON_VIOLATION: AtomicBool = AtomicBool::new(cfg!(debug_assertions));
static REPORTER: OnceLock<fn(&Violation)> = OnceLock::new();

thread_local! {
    /// The number of live [`PanicSuppression`] guards on this thread.
    static SUPPRESSION_GUARDS: Cell<u32> = const { Cell::new(0) };
}

/// One violation of an invariant, i.e. one failed check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// The number of violations of this invariant in this process so far, including this one.
    pub count: u64,
    /// The values that violate the invariant, for the log.
    pub facts: String,
}

/// Checks an invariant and records a violation if `holds` is false. `facts` is evaluated only on a violation.
#[inline]
pub fn check(invariant: Invariant, holds: bool, facts: impl FnOnce() -> String) {
    if !holds {
        record_violation(invariant, facts());
    }
}

#[cold]
fn record_violation(invariant: Invariant, facts: String) {
    let count = COUNTS[invariant as usize].fetch_add(1, Ordering::Relaxed) + 1;
    let is_suppressed = SUPPRESSION_GUARDS.with(|guards| guards.get() > 0);
    if PANICS_ON_VIOLATION.load(Ordering::Relaxed) && !is_suppressed {
        panic!("invariant {} violated: {facts}", invariant.name());
    }
    if count <= MAX_REPORTED
        && let Some(report) = REPORTER.get()
    {
        report(&Violation { invariant, count, facts });
    }
}

/// Sets the function that receives the first ten violations of each invariant. Only the first call in a
/// process takes effect.
pub fn set_reporter(reporter: fn(&Violation)) {
    // A second reporter would log the same violations twice.
    let _ = REPORTER.set(reporter);
}

/// Makes every later violation panic. Intended for tests and simulations.
pub fn panic_on_violation() {
    PANICS_ON_VIOLATION.store(true, Ordering::Relaxed);
}

/// Makes later violations only be counted and reported, without a panic. Intended for processes in
/// production.
pub fn count_violations_only() {
    PANICS_ON_VIOLATION.store(false, Ordering::Relaxed);
}

/// A guard that suppresses panics: while it exists, violations on its thread are counted but do not panic.
/// Intended for tests that cause a violation on purpose and check what follows.
#[derive(Debug)]
#[must_use]
pub struct PanicSuppression(());

/// Suppresses panics on violations on the current thread until the returned guard is dropped.
pub fn suppress_panics() -> PanicSuppression {
    SUPPRESSION_GUARDS.with(|guards| guards.set(guards.get() + 1));
    PanicSuppression(())
}

impl Drop for PanicSuppression {
    fn drop(&mut self) {
        SUPPRESSION_GUARDS.with(|guards| guards.set(guards.get().saturating_sub(1)));
    }
}

/// Returns the number of violations of one invariant since the process started.
pub fn count(invariant: Invariant) -> u64 {
    COUNTS[invariant as usize].load(Ordering::Relaxed)
}

/// Returns the number of violations of each invariant, in the order of [`Invariant::ALL`].
pub fn counts() -> impl Iterator<Item = (Invariant, u64)> {
    Invariant::ALL.iter().map(|invariant| (*invariant, count(*invariant)))
}

/// Returns the total number of violations of all invariants.
pub fn total() -> u64 {
    counts().map(|(_, count)| count).sum()
}
