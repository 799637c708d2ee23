//! Named invariants that are checked at run time, in release builds too.
//!
//! In production a violation does not stop the process: it is counted under the invariant's name and reported
//! with the values that caused it. In tests and simulations it panics instead, so that the run stops where
//! the violation occurred. Panicking is the default in builds with debug assertions; [`panic_on_violation`]
//! enables it explicitly. The production binaries call [`count_violations_only`] on startup.
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
