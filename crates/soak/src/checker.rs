//! What is wrong, by the rig's own records.

use crate::configuration::{service_of, version_of};
use crate::operators::{ConfigRead, ConfigWrite, OperatorLog};
use crate::schedule::{FaultKind, Schedule, ScheduledFault};
use crate::traffic::{Attempt, Behaviour};
use lugwharf_emulator::client::{AttemptEnd, Outcome};
use lugwharf_emulator::operator::CallOutcome;
use lugwharf_emulator::request_log::RequestLog;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// After a client has left, nothing of its request reaches a server so much later.
const DISCONNECT_MARGIN: Duration = Duration::from_millis(500);
/// A trouble of a front counts for requests this much before and after it.
const FRONT_MARGIN: Duration = Duration::from_millis(1_500);
/// `GraceS` of the fleet's settings.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// The rig notes the time of a trouble a little after it has struck.
const HARNESS_LAG: Duration = Duration::from_millis(50);
/// A trouble of servers counts for requests so much later: connections and averages remember it.
const SERVER_MARGIN: Duration = Duration::from_millis(1_000);
/// `AckMs` of the fleet's settings.
const ACK_TIMEOUT: Duration = Duration::from_millis(4_000);
/// A trouble of the control machines counts for the operators so much later: `ContactMs`, and the time to catch up.
const CONTROL_MARGIN: Duration = Duration::from_millis(7_000);
/// `DrainMs` with the list's own lag and a rig that is a little late.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_300);
/// Orders to one server in a run without troubles: one to take its part, and one to take it back.
const MAX_ORDERS_PER_SERVER: usize = 2;

/// A rule that was broken, or something that is not well.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The name of the rule.
    pub rule: &'static str,
    /// What was seen.
    pub facts: String,
}

/// All that is judged.
pub struct RunRecords<'a> {
    /// What was to go wrong, and when.
    pub schedule: &'a Schedule,
    /// What the servers saw.
    pub ledger: &'a RequestLog,
    /// What the clients sent and got.
    pub attempts: &'a [Attempt],
    /// What the operators sent and got.
    pub operator_log: &'a OperatorLog,
    /// The log of each front's proxy.
    pub proxy_logs: &'a [String],
    /// Lines that each front's proxy has left out.
    pub omitted: &'a [u64],
    /// Servers that were listed as draining, since when.
    pub drained: &'a [(String, Duration)],
    /// Fronts.
    pub fronts: usize,
    /// When all was well again.
    pub recovered_at: Duration,
}

/// Judges a run.
pub fn check(records: &RunRecords<'_>) -> Vec<Finding> {
    let mut found = Vec::new();
    check_executions(records, &mut found);
    check_responses(records, &mut found);
    check_after_recovery(records, &mut found);
    check_failure_logs(records, &mut found);
    check_disconnected_clients(records, &mut found);
    check_draining_servers(records, &mut found);
    check_orders(records, &mut found);
    check_configurations(&records.operator_log.writes(), &records.operator_log.reads(), &mut found);
    check_operators_in_calm(records, &mut found);
    found
}

/// While the control machines are well, each change is acknowledged in time and each read is answered.
fn check_operators_in_calm(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let is_calm = |started_at: Duration, ended_at: Duration| {
        let mut harms = records.schedule.faults.iter().filter(|fault| fault.kind.disrupts_control());
        !harms.any(|fault| fault.start < ended_at && fault.end() + CONTROL_MARGIN > started_at)
    };
    for put in records.operator_log.writes().iter().filter(|put| is_calm(put.started_at, put.ended_at)) {
        let took = put.ended_at - put.started_at;
        if matches!(put.outcome, CallOutcome::Unknown) || took > ACK_TIMEOUT {
            let facts =
                format!("version {} after {} ms: {:?}", put.version, took.as_millis(), put.outcome.status());
            found.push(Finding { rule: "not_acknowledged", facts });
        }
    }
    for read in records.operator_log.reads().iter().filter(|read| is_calm(read.started_at, read.ended_at)) {
        if read.bytes.is_none() {
            let facts = format!("no answer at {} from {} ms on", read.from, read.started_at.as_millis());
            found.push(Finding { rule: "not_read", facts });
        }
    }
}

/// The rules TWICE, UNASKED, REFUSED, MIXED and ROUTE, by the runs at the servers.
fn check_executions(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let outcomes: Vec<Outcome> = records.attempts.iter().map(|attempt| attempt.outcome.clone()).collect();
    let services_of = |outcome: &Outcome| BTreeSet::from([service_of(&outcome.target).to_owned()]);
    let violations = records.ledger.violations(&outcomes, services_of);
    found.extend(
        violations.into_iter().map(|violation| Finding { rule: "run", facts: format!("{violation:?}") }),
    );
}

/// The rules MIXED and ORDER, and that nothing fails without a cause.
fn check_responses(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    for attempt in records.attempts {
        let outcome = &attempt.outcome;
        if !outcome.findings.is_empty() {
            let facts = format!("{} {:?} {:?}", describe(attempt), outcome.ending, outcome.findings);
            found.push(Finding { rule: "answer", facts });
        }
        let owes_response = matches!(attempt.behaviour, Behaviour::Steady | Behaviour::Slow);
        let has_cause = is_excused_by_front_fault(records, attempt)
            || is_excused_by_server_fault(records.schedule, attempt);
        if owes_response && !outcome.is_success() && !has_cause {
            let facts = format!("{} {:?} {:?}", describe(attempt), outcome.ending, outcome.status);
            found.push(Finding { rule: "failed_without_cause", facts });
        }
    }
}

/// Once all is well, nothing fails, whatever troubles of servers there were.
fn check_after_recovery(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let owes_response = |attempt: &&Attempt| matches!(attempt.behaviour, Behaviour::Steady | Behaviour::Slow);
    let late = records
        .attempts
        .iter()
        .filter(owes_response)
        .filter(|attempt| attempt.started_at >= records.recovered_at);
    let failed = late.filter(|attempt| !attempt.outcome.is_success());
    for attempt in failed.filter(|attempt| !is_excused_by_front_fault(records, attempt)) {
        let facts =
            format!("{} {:?} {:?}", describe(attempt), attempt.outcome.ending, attempt.outcome.status);
        found.push(Finding { rule: "failed_after_healing", facts });
    }
}

fn describe(attempt: &Attempt) -> String {
    let Attempt { front, behaviour, started_at, ended_at, outcome, .. } = attempt;
    let (id, target) = (&outcome.request_id, &outcome.target);
    format!(
        "{id} {target} {behaviour:?} front {front} {}..{} ms",
        started_at.as_millis(),
        ended_at.as_millis()
    )
}

/// Whether a trouble of its front could have harmed a request.
fn is_excused_by_front_fault(records: &RunRecords<'_>, attempt: &Attempt) -> bool {
    let mut faults = front_faults_around(records, attempt);
    faults.any(|fault| !owes_response(records, attempt, fault))
}

/// A front that was told to end, or has too many connections, owes an answer to each request that it has passed on to a server;
/// others are turned away, and one that it has not read may cross the end of its connection. What a server is still at work on
/// in the last sixth of `GraceS` ends with the process.
fn owes_response(records: &RunRecords<'_>, attempt: &Attempt, fault: &ScheduledFault) -> bool {
    let is_polite = matches!(fault.kind, FaultKind::FrontTerm | FaultKind::Crowd);
    let has_arrived = !records.ledger.arrivals_of(&attempt.outcome.request_id).is_empty();
    let outlasts =
        fault.kind == FaultKind::FrontTerm && attempt.ended_at > fault.start + GRACE_PERIOD * 5 / 6;
    is_polite && attempt.outcome.ending == AttemptEnd::Truncated && has_arrived && !outlasts
}

/// The troubles of its front around a request.
fn front_faults_around<'a>(
    records: &'a RunRecords<'_>, attempt: &'a Attempt,
) -> impl Iterator<Item = &'a ScheduledFault> {
    let faults = records.schedule.faults.iter().filter(|fault| fault.kind.disrupts_fronts());
    faults.filter(|fault| {
        let grace = if fault.kind == FaultKind::FrontTerm { GRACE_PERIOD } else { Duration::ZERO };
        let is_here = fault.target % records.fronts == attempt.front;
        let (from, until) = (fault.start, fault.end() + grace + FRONT_MARGIN);
        is_here && attempt.started_at < until && attempt.ended_at + FRONT_MARGIN > from
    })
}

/// Whether a trouble of servers could have harmed a request. A server that ends harms what it has under way; the time that it
/// is gone, or listed as draining, harms nothing.
fn is_excused_by_server_fault(schedule: &Schedule, attempt: &Attempt) -> bool {
    let mut faults = schedule.faults.iter().filter(|fault| fault.kind.disrupts_servers());
    faults.any(|fault| {
        let (from, until) = match fault.kind {
            FaultKind::ServerCrash => (fault.start, fault.start),
            FaultKind::ServerDrain => (fault.end(), fault.end()),
            _ => (fault.start, fault.end()),
        };
        attempt.started_at < until + SERVER_MARGIN && attempt.ended_at + HARNESS_LAG > from
    })
}

/// Each request that failed has a line in the log of its proxy, or was left out of it and counted.
fn check_failure_logs(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    for front in 0..records.fronts {
        let log = records.proxy_logs.get(front).map_or("", String::as_str);
        let lines = log.lines().filter_map(|line| line.split("request_id=").nth(1));
        let known: BTreeSet<&str> = lines.filter_map(|rest| rest.split_whitespace().next()).collect();
        let is_failed = |attempt: &&Attempt| {
            let owes_response = matches!(attempt.behaviour, Behaviour::Steady | Behaviour::Slow);
            let has_reached = attempt.outcome.ending != AttemptEnd::ConnectFailed;
            attempt.front == front && owes_response && has_reached && !attempt.outcome.is_success()
        };
        let failed = records.attempts.iter().filter(is_failed);
        let unknown: Vec<&Attempt> = failed
            .filter(|attempt| !known.contains(attempt.outcome.request_id.as_str()))
            .filter(|attempt| !is_excused_by_front_fault(records, attempt))
            .collect();
        let omitted = records.omitted.get(front).copied().unwrap_or(0);
        if unknown.len() as u64 > omitted {
            let first = unknown.first().map_or(String::new(), |attempt| describe(attempt));
            let facts =
                format!("front {front}: {} without a line, {omitted} left out; {first}", unknown.len());
            found.push(Finding { rule: "unexplained", facts });
        }
    }
}

/// Nothing of a request reaches a server after its client has left.
fn check_disconnected_clients(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let left = records.attempts.iter().filter(|attempt| {
        attempt.behaviour == Behaviour::Leaving && attempt.outcome.ending == AttemptEnd::TimedOut
    });
    let left: BTreeMap<&str, &Attempt> =
        left.map(|attempt| (attempt.outcome.request_id.as_str(), attempt)).collect();
    for end in records.ledger.completions() {
        let Some(attempt) = left.get(end.request_id.as_str()) else { continue };
        let is_late = end.at > attempt.ended_at + DISCONNECT_MARGIN;
        if is_late
            && !is_excused_by_front_fault(records, attempt)
            && !is_excused_by_server_fault(records.schedule, attempt)
        {
            let facts =
                format!("{}: a server was at work until {} ms", describe(attempt), end.at.as_millis());
            found.push(Finding { rule: "gone", facts });
        }
    }
    for arrival in records.ledger.arrivals() {
        let attempt = arrival.request_id.as_deref().and_then(|id| left.get(id));
        let Some(attempt) = attempt.filter(|attempt| arrival.at > attempt.ended_at + DISCONNECT_MARGIN)
        else {
            continue;
        };
        // A server in the dark reads late what was sent in time.
        let mut dark = records.schedule.faults.iter().filter(|fault| fault.kind == FaultKind::ServerDark);
        let was_dark = dark.any(|fault| fault.start <= attempt.ended_at && attempt.started_at <= fault.end());
        if !was_dark && !is_excused_by_front_fault(records, attempt) {
            let facts = format!(
                "{} reached {} at {} ms",
                describe(attempt),
                arrival.instance,
                arrival.at.as_millis()
            );
            found.push(Finding { rule: "gone", facts });
        }
    }
}

/// Nothing new reaches a server long after the list has shown that it drains, where nothing has kept the list from the fronts.
fn check_draining_servers(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let arrivals = records.ledger.arrivals();
    for (id, since) in records.drained {
        let late =
            arrivals.iter().find(|arrival| arrival.instance == *id && arrival.at > *since + DRAIN_TIMEOUT);
        let Some(late) = late else { continue };
        let mut faults = records.schedule.faults.iter().filter(|fault| fault.kind.delays_server_lists());
        if faults.any(|fault| fault.start < late.at && fault.end() + CONTROL_MARGIN > *since) {
            continue;
        }
        let facts =
            format!("{id} drains since {} ms, reached at {} ms", since.as_millis(), late.at.as_millis());
        found.push(Finding { rule: "drain", facts });
    }
}

/// One holder to a fencing token; in calm times no server is ordered to and fro.
fn check_orders(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for order in records.ledger.orders() {
        let body: serde_json::Value = serde_json::from_str(&order.body).unwrap_or_default();
        let (Some(token), Some(holder)) = (body["Fence"].as_u64(), body["Holder"].as_str()) else {
            found.push(Finding { rule: "order", facts: format!("no order: {}", order.body) });
            continue;
        };
        let known = holders.entry(token).or_insert_with(|| holder.to_owned());
        if known != holder {
            found.push(Finding { rule: "order", facts: format!("token {token} of {known} and {holder}") });
        }
        *counts.entry(order.instance).or_default() += 1;
    }
    if records.schedule.faults.is_empty() {
        for (id, count) in counts.into_iter().filter(|(_, count)| *count > MAX_ORDERS_PER_SERVER) {
            found.push(Finding { rule: "to_and_fro", facts: format!("{count} orders to {id}") });
        }
    }
}

/// What operators were told of configurations, and what they read.
pub fn check_configurations(writes: &[ConfigWrite], reads: &[ConfigRead], found: &mut Vec<Finding>) {
    let mut find = |facts: String| found.push(Finding { rule: "configuration", facts });
    let is_acknowledged = |put: &&ConfigWrite| matches!(put.outcome, CallOutcome::Acknowledged(_));
    let mut version_by_base: BTreeMap<u64, u64> = BTreeMap::new();
    for put in writes.iter().filter(is_acknowledged) {
        if !put.is_valid {
            find(format!("version {} is invalid and was acknowledged", put.version));
        }
        let other = version_by_base.insert(put.base, put.version).filter(|other| *other != put.version);
        if let Some(other) = other {
            find(format!("versions {other} and {} on {} were both acknowledged", put.version, put.base));
        }
    }
    for put in writes.iter().filter(|put| put.is_resend && matches!(put.outcome, CallOutcome::Refused(_))) {
        find(format!("version {} was acknowledged and then refused: {:?}", put.version, put.outcome));
    }
    let mut newest_read = (Duration::ZERO, 0);
    let mut sorted: Vec<&ConfigRead> = reads.iter().collect();
    sorted.sort_by_key(|read| read.ended_at);
    for read in sorted {
        let Some(bytes) = &read.bytes else { continue };
        let Some(version) = version_of(bytes) else {
            find(format!("no configuration was read at {}", read.from));
            continue;
        };
        let sent = writes.iter().find(|put| put.version == version);
        if version != 1 && sent.is_none_or(|put| *put.bytes != **bytes) {
            find(format!("version {version} was read and not sent so"));
        }
        if let Some(put) = sent.filter(|put| matches!(put.outcome, CallOutcome::Refused(_))) {
            find(format!("version {version} was read and refused: {:?}", put.outcome));
        }
        let before = writes.iter().filter(is_acknowledged).filter(|put| put.ended_at < read.started_at);
        let newest = before.map(|put| put.version).max().unwrap_or(0);
        if version < newest {
            find(format!(
                "version {version} was read at {} from {} ms on, after {newest} was acknowledged",
                read.from,
                read.started_at.as_millis()
            ));
        }
        if newest_read.0 < read.started_at && version < newest_read.1 {
            find(format!("version {version} was read at {} after {}", read.from, newest_read.1));
        }
        if version > newest_read.1 {
            newest_read = (read.ended_at, version);
        }
    }
}
