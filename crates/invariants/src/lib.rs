//! Named invariants that are checked at run time, in release builds too.
//!
//! A violation is counted under the name of the invariant and reported with its facts; it never ends a process in service. In
//! tests and simulations it panics instead, so that the run stops where it happened: this is the default in builds with debug
//! assertions, and [`panic_on_violation`] sets it. The programs call [`count_violations_only`] when they start.
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
    PanicSuppression, Violation, check, count, count_violations_only, counts, panic_on_violation,
    set_reporter, suppress_panics, total,
};
