//! Checks of the limits on clients: a request is judged by the limits of a version that may be in force.

use super::fault_attribution::is_routing_undisturbed;
use super::records::RunRecords;
use super::versions::versions_in_force;
use crate::configuration::{MIN_MAX_BODY_BYTES, max_body_bytes};
use crate::finding::Finding;
use crate::traffic::Attempt;

/// The status of a response that rejects a body as too large.
const CONTENT_TOO_LARGE: u16 = 413;

/// Whether a request was rejected because of a body that not all versions allow. Whether the version in force
/// allowed it is checked here, and not as a failure.
pub fn is_body_rejected(attempt: &Attempt) -> bool {
    has_disputed_body(attempt) && attempt.outcome.status == Some(CONTENT_TOO_LARGE)
}

/// Whether only some versions allow the body of a request.
fn has_disputed_body(attempt: &Attempt) -> bool {
    attempt.body_bytes as u64 > MIN_MAX_BODY_BYTES
}

/// Checks that a body is rejected only if a version that may be in force forbids it (DENIED of
/// `docs/PROMISES.md`), and accepted only if one allows it.
pub fn check(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let writes = records.operator_log.writes();
    let disputed = records.attempts.iter().filter(|attempt| has_disputed_body(attempt));
    for attempt in disputed.filter(|attempt| is_routing_undisturbed(records, attempt)) {
        let allows = |version| attempt.body_bytes as u64 <= max_body_bytes(version);
        let allowed: Vec<bool> = versions_in_force(&writes, attempt).map(allows).collect();
        let is_denied = is_body_rejected(attempt) && !allowed.contains(&false);
        let is_over_the_limit = attempt.outcome.is_success() && !allowed.contains(&true);
        let rule = match (is_denied, is_over_the_limit) {
            (true, _) => "denied",
            (_, true) => "over_the_limit",
            (false, false) => continue,
        };
        let (sent_at, status) = (attempt.sent_at.as_millis(), attempt.outcome.status);
        let facts = format!("{attempt}, sent at {sent_at} ms: {status:?}");
        found.push(Finding { rule, facts });
    }
}
