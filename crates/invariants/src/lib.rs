//! Named invariants that are checked in running code, in release builds too.
//!
//! A check that fails is counted under its name and reported with its facts; it never ends a process in service. Where a
//! violation has to stop everything at once, in tests and simulations, [`fail_at_once`] makes it panic. That is the
//! default in builds with debug assertions; the programs call [`count_only`] when they start.
//!
//! ```
//! use lugwharf_invariants::{Invariant, check};
//! check(Invariant::BodyBytesBounded, 3 <= 4, || "3 of 4 bytes".to_owned());
//! ```
#![forbid(unsafe_code)]

mod invariant;
mod registry;

pub use invariant::Invariant;
pub use registry::{
    Tolerance, Violation, check, count, count_only, counts, fail_at_once, report_to, tolerate, total,
};
