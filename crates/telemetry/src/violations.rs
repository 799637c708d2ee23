//! Logs violated invariants.

use lugwharf_invariants::{Violation, set_reporter};
use spdlog::prelude::*;

/// Installs a reporter that writes the first violations of each invariant to the log of this process.
pub fn install_violation_logger() {
    set_reporter(log_violation);
}

fn log_violation(violation: &Violation) {
    let Violation { invariant, count, facts } = violation;
    error!("invariant", kv: {
        outcome = "violated", invariant = invariant.name(), count = *count, facts = facts.as_str()
    });
}
