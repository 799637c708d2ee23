//! The versions of the configuration that may be in force at a front-end node.

use crate::configuration::INITIAL_VERSION;
use crate::operator_log::ConfigWrite;
use crate::traffic::Attempt;
use std::time::Duration;

/// The time within which an acknowledged configuration is in force at each front-end node: `ConfigMs` of the
/// fleet's settings (2,000 ms) plus a margin for delays of the harness.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(2_100);

/// All versions that may be in force during an attempt: the newest version that was in force at all front-end
/// nodes before its request was sent, and all versions that were written later.
pub fn versions_in_force(writes: &[ConfigWrite], attempt: &Attempt) -> impl Iterator<Item = u64> {
    let settled = writes
        .iter()
        .filter(|write| write.is_acknowledged() && write.ended_at + CONFIG_TIMEOUT < attempt.sent_at);
    let oldest = settled.map(|write| write.version).max().unwrap_or(INITIAL_VERSION);
    let later = writes.iter().filter(move |write| {
        let may_be_in_force = write.is_valid && !write.is_refused();
        may_be_in_force && write.version > oldest && write.started_at < attempt.ended_at
    });
    later.map(|write| write.version).chain([oldest])
}
