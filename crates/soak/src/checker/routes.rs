//! Checks of routes: a request must be executed by the service that a configuration in force names for its
//! path.

use super::fault_attribution::is_routing_undisturbed;
use super::records::RunRecords;
use crate::configuration::{INITIAL_VERSION, MOVING_PREFIX, moving_service};
use crate::finding::Finding;
use crate::operator_log::ConfigWrite;
use crate::traffic::Attempt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time within which an acknowledged configuration is in force at each front-end node: `ConfigMs` of the
/// fleet's settings (2,000 ms) plus a margin for delays of the harness.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(2_100);

/// Checks that each request to the prefix whose service changes is executed by the service of a version that
/// may be in force.
pub fn check(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let writes = records.operator_log.writes();
    let attempts =
        records.attempts.iter().filter(|attempt| attempt.outcome.target.starts_with(MOVING_PREFIX));
    let attempts: BTreeMap<&str, &Attempt> =
        attempts.map(|attempt| (attempt.outcome.request_id.as_str(), attempt)).collect();
    for execution in records.request_log.executions() {
        let Some(attempt) = attempts.get(execution.request_id.as_str()) else { continue };
        if !is_routing_undisturbed(records, attempt) {
            continue;
        }
        let allowed = allowed_services(&writes, attempt);
        if !allowed.contains(execution.service.as_str()) {
            let (id, service, at) =
                (&execution.request_id, &execution.service, attempt.started_at.as_millis());
            let facts = format!("{id} sent at {at} ms was executed by {service}, allowed: {allowed:?}");
            found.push(Finding { rule: "route", facts });
        }
    }
}

/// The services of the prefix in all versions that may be in force during an attempt: the newest version that
/// was in force at all front-end nodes before the attempt, and all versions that were written later.
fn allowed_services(writes: &[ConfigWrite], attempt: &Attempt) -> BTreeSet<&'static str> {
    let settled = writes
        .iter()
        .filter(|write| write.is_acknowledged() && write.ended_at + CONFIG_TIMEOUT < attempt.started_at);
    let oldest = settled.map(|write| write.version).max().unwrap_or(INITIAL_VERSION);
    let later = writes.iter().filter(|write| {
        let may_be_in_force = write.is_valid && !write.is_refused();
        may_be_in_force && write.version > oldest && write.started_at < attempt.ended_at
    });
    let versions = later.map(|write| write.version).chain([oldest]);
    versions.map(moving_service).collect()
}
