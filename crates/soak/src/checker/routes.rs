//! Checks of routes: a request must be executed by the service that a configuration in force names for its
//! path.

use super::fault_attribution::is_routing_undisturbed;
use super::records::RunRecords;
use super::versions::versions_in_force;
use crate::configuration::{MOVING_PREFIX, moving_service};
use crate::finding::Finding;
use crate::traffic::Attempt;
use std::collections::{BTreeMap, BTreeSet};

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
        let allowed: BTreeSet<&str> = versions_in_force(&writes, attempt).map(moving_service).collect();
        if !allowed.contains(execution.service.as_str()) {
            let (id, service, at) =
                (&execution.request_id, &execution.service, attempt.started_at.as_millis());
            let facts = format!("{id} sent at {at} ms was executed by {service}, allowed: {allowed:?}");
            found.push(Finding { rule: "route", facts });
        }
    }
}
