//! Checks of client requests.

use super::fault_attribution::{is_explained_by_front_fault, is_explained_by_server_fault};
use super::limits::is_body_rejected;
use super::records::RunRecords;
use crate::configuration::services_of;
use crate::fault::FaultKind;
use crate::finding::Finding;
use crate::traffic::{Attempt, Behaviour};
use lugwharf_emulator::client::{AttemptEnd, AttemptOutcome};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum time after the disconnection of a client during which its request may reach a server or be
/// executed.
const DISCONNECT_MARGIN: Duration = Duration::from_millis(500);

/// Runs all checks of this module.
pub fn check(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    check_executions(records, found);
    check_responses(records, found);
    check_after_recovery(records, found);
    check_failure_logs(records, found);
    check_disconnected_clients(records, found);
}

/// Checks the promises TWICE, UNASKED, REFUSED, MIXED and ROUTE of `docs/PROMISES.md` for the executions at
/// the servers.
fn check_executions(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let outcomes: Vec<AttemptOutcome> =
        records.attempts.iter().map(|attempt| attempt.outcome.clone()).collect();
    let allowed = |outcome: &AttemptOutcome| {
        services_of(&outcome.target).iter().map(|service| (*service).to_owned()).collect()
    };
    let violations = records.request_log.violations(&outcomes, allowed);
    found.extend(
        violations.into_iter().map(|violation| Finding { rule: "run", facts: format!("{violation:?}") }),
    );
}

/// Checks the promises MIXED and ORDER for the responses, and that no request fails unless a fault explains
/// the failure.
fn check_responses(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    for attempt in records.attempts {
        let outcome = &attempt.outcome;
        if !outcome.failed_checks.is_empty() {
            let facts = format!("{attempt} {:?} {:?}", outcome.ending, outcome.failed_checks);
            found.push(Finding { rule: "answer", facts });
        }
        let is_explained = is_explained_by_front_fault(records, attempt)
            || is_explained_by_server_fault(records.schedule, attempt);
        if has_failed(attempt) && !is_explained {
            let facts = format!("{attempt} {:?} {:?}", outcome.ending, outcome.status);
            found.push(Finding { rule: "failed_without_cause", facts });
        }
    }
}

/// Checks that no request fails after the recovery of the fleet, even if servers had faults before.
fn check_after_recovery(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let attempts = records.attempts.iter().filter(|attempt| attempt.started_at >= records.recovered_at);
    let failed = attempts.filter(|attempt| has_failed(attempt));
    for attempt in failed.filter(|attempt| !is_explained_by_front_fault(records, attempt)) {
        let AttemptOutcome { ending, status, .. } = &attempt.outcome;
        let facts = format!("{attempt} {ending:?} {status:?}");
        found.push(Finding { rule: "failed_after_healing", facts });
    }
}

/// Checks that each failed request has a line in the log of its proxy, or is counted as omitted from the log.
fn check_failure_logs(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    for front in 0..records.front_count {
        let log = records.proxy_logs.get(front).map_or("", String::as_str);
        let lines = log.lines().filter_map(|line| line.split("request_id=").nth(1));
        let logged: BTreeSet<&str> = lines.filter_map(|rest| rest.split_whitespace().next()).collect();
        // A proxy cannot log a request that did not reach it.
        let failed = records.attempts.iter().filter(|attempt| {
            let has_connected = attempt.outcome.ending != AttemptEnd::ConnectFailed;
            attempt.front == front && has_connected && has_failed(attempt)
        });
        let unlogged: Vec<&Attempt> = failed
            .filter(|attempt| !logged.contains(attempt.outcome.request_id.as_str()))
            .filter(|attempt| !is_explained_by_front_fault(records, attempt))
            .collect();
        let omitted = records.omitted_log_lines.get(front).copied().unwrap_or(0);
        if unlogged.len() as u64 > omitted {
            let first = unlogged.first().map_or(String::new(), |attempt| attempt.to_string());
            let facts = format!(
                "front {front}: {} failed requests without a log line, {omitted} lines omitted; {first}",
                unlogged.len()
            );
            found.push(Finding { rule: "unexplained", facts });
        }
    }
}

/// Checks that no request reaches a server, or is executed, long after its client has disconnected.
fn check_disconnected_clients(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let disconnected: BTreeMap<&str, &Attempt> = records
        .attempts
        .iter()
        .filter(|attempt| attempt.behaviour == Behaviour::Leaving)
        .filter(|attempt| attempt.outcome.ending == AttemptEnd::TimedOut)
        .map(|attempt| (attempt.outcome.request_id.as_str(), attempt))
        .collect();
    for completion in records.request_log.completions() {
        let Some(attempt) = disconnected.get(completion.request_id.as_str()) else { continue };
        let is_late = completion.at > attempt.ended_at + DISCONNECT_MARGIN;
        let is_explained = is_explained_by_front_fault(records, attempt)
            || is_explained_by_server_fault(records.schedule, attempt);
        if is_late && !is_explained {
            let until = completion.at.as_millis();
            let facts = format!("{attempt}: a server executed the request until {until} ms");
            found.push(Finding { rule: "gone", facts });
        }
    }
    for arrival in records.request_log.arrivals() {
        let attempt = arrival.request_id.as_deref().and_then(|id| disconnected.get(id));
        let Some(attempt) = attempt else { continue };
        let is_late = arrival.at > attempt.ended_at + DISCONNECT_MARGIN;
        let is_explained =
            was_server_blackholed(records, attempt) || is_explained_by_front_fault(records, attempt);
        if is_late && !is_explained {
            let (instance, at) = (&arrival.instance, arrival.at.as_millis());
            let facts = format!("{attempt} reached {instance} at {at} ms");
            found.push(Finding { rule: "gone", facts });
        }
    }
}

/// Whether a server was blackholed during an attempt. Such a server may receive late what was sent in time.
fn was_server_blackholed(records: &RunRecords<'_>, attempt: &Attempt) -> bool {
    let mut faults = records.schedule.faults.iter().filter(|fault| fault.kind == FaultKind::ServerBlackhole);
    faults.any(|fault| fault.start <= attempt.ended_at && attempt.started_at <= fault.end())
}

/// Whether an attempt failed although its client waited for the response.
fn has_failed(attempt: &Attempt) -> bool {
    attempt.behaviour.awaits_response() && !attempt.outcome.is_success() && !is_body_rejected(attempt)
}
