//! The text of `ledger.txt`: the records of the harness in a run.
//!
//! The format is fixed, since ledgers are compared with those of earlier runs.

use crate::checker::Unanswered;
use crate::configuration::version_of;
use crate::operator_log::OperatorLog;
use crate::traffic::Attempt;
use lugwharf_emulator::request_log::RequestLog;
use std::fmt::Write;
use std::time::Duration;

/// Renders the records of operators, clients and servers. `started_at` is the time at which the schedule
/// began.
pub fn render(
    started_at: Duration, operator_log: &OperatorLog, attempts: &[Attempt], request_log: &RequestLog,
) -> String {
    let mut text = format!("troubles begin at {} ms\n", started_at.as_millis());
    write_operator_log(&mut text, operator_log);
    write_attempts(&mut text, attempts);
    write_request_log(&mut text, request_log);
    text
}

// Writing to a string does not fail, so the results of `writeln!` are ignored below.

fn write_operator_log(text: &mut String, log: &OperatorLog) {
    for write in log.writes() {
        let (from, until) = (write.started_at.as_millis(), write.ended_at.as_millis());
        let (version, base, status) = (write.version, write.base, write.outcome.status());
        let _ = writeln!(text, "put {from}..{until} version {version} on {base} {status:?}");
    }
    for read in log.reads() {
        let (from, until) = (read.started_at.as_millis(), read.ended_at.as_millis());
        let version = read.bytes.as_deref().and_then(version_of);
        let _ = writeln!(text, "read {from}..{until} at {} {version:?}", read.from);
    }
}

fn write_attempts(text: &mut String, attempts: &[Attempt]) {
    for attempt in attempts {
        let Attempt { front, behaviour, is_connection_reused, outcome, .. } = attempt;
        let (from, until) = (attempt.started_at.as_millis(), attempt.ended_at.as_millis());
        let (id, target) = (&outcome.request_id, &outcome.target);
        let _ = writeln!(
            text,
            "request {from}..{until} {id} {target} front {front} kept {is_connection_reused} {behaviour:?} {:?} {:?}",
            outcome.ending, outcome.status
        );
    }
}

fn write_request_log(text: &mut String, log: &RequestLog) {
    for arrival in log.arrivals() {
        let (at, id) = (arrival.at.as_millis(), arrival.request_id.as_deref().unwrap_or("-"));
        let _ = writeln!(text, "arrival {at} {id} {} prefill {}", arrival.instance, arrival.is_prefill());
    }
    for order in log.orders() {
        let _ = writeln!(text, "order {} {} {}", order.at.as_millis(), order.instance, order.body);
    }
}

/// Renders the requests without a complete response, with the sentence that excuses each, if one does.
pub fn render_unanswered(unanswered: &[Unanswered<'_>]) -> String {
    let mut text = String::new();
    for Unanswered { attempt, excuse } in unanswered {
        let excuse = excuse.map_or_else(|| "no excuse".to_owned(), |excuse| excuse.to_string());
        let _ = writeln!(text, "unanswered {attempt}, sent at {} ms: {excuse}", attempt.sent_at.as_millis());
    }
    text
}
