//! Violated invariants in the log.

use lugwharf_invariants::{Violation, report_to};
use spdlog::prelude::*;

/// From now on the first violations of each invariant are written to the log of this process.
pub fn log_violations() {
    report_to(write);
}

fn write(violation: &Violation) {
    let Violation { invariant, count, facts } = violation;
    error!("invariant", kv: {
        outcome = "violated", invariant = invariant.name(), count = *count, facts = facts.as_str()
    });
}
