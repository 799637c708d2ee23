//! What is wrong, by the rig's own records.

use crate::configuration::{service_of, version_of};
use crate::operators::{Book, Put, Read};
use crate::schedule::{Kind, Schedule, Trouble};
use crate::traffic::{Attempt, Behaviour};
use lugwharf_emulator::client::{AttemptEnd, Outcome};
use lugwharf_emulator::operator::CallOutcome;
use lugwharf_emulator::request_log::RequestLog;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// After a client has left, nothing of its request reaches a server so much later.
const GONE: Duration = Duration::from_millis(500);
/// A trouble of a front counts for requests this much before and after it.
const FRONT_MARGIN: Duration = Duration::from_millis(1_500);
/// `GraceS` of the fleet's settings.
const GRACE: Duration = Duration::from_secs(8);
/// The rig notes the time of a trouble a little after it has struck.
const RIG_SLACK: Duration = Duration::from_millis(50);
/// A trouble of servers counts for requests so much later: connections and averages remember it.
const SERVER_MARGIN: Duration = Duration::from_millis(1_000);
/// `AckMs` of the fleet's settings.
const ACK: Duration = Duration::from_millis(4_000);
/// A trouble of the control machines counts for the operators so much later: `ContactMs`, and the time to catch up.
const CONTROL_MARGIN: Duration = Duration::from_millis(7_000);
/// `DrainMs` with the list's own lag and a rig that is a little late.
const DRAIN: Duration = Duration::from_millis(3_300);
/// Orders to one server in a run without troubles: one to take its part, and one to take it back.
const MOST_ORDERS: usize = 2;

/// A rule that was broken, or something that is not well.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The name of the rule.
    pub rule: &'static str,
    /// What was seen.
    pub facts: String,
}

/// All that is judged.
pub struct Records<'a> {
    /// What was to go wrong, and when.
    pub schedule: &'a Schedule,
    /// What the servers saw.
    pub ledger: &'a RequestLog,
    /// What the clients sent and got.
    pub attempts: &'a [Attempt],
    /// What the operators sent and got.
    pub book: &'a Book,
    /// The log of each front's proxy.
    pub proxy_logs: &'a [String],
    /// Lines that each front's proxy has left out.
    pub omitted: &'a [u64],
    /// Servers that were listed as draining, since when.
    pub drained: &'a [(String, Duration)],
    /// Fronts.
    pub fronts: usize,
    /// When all was well again.
    pub healed: Duration,
}

/// Judges a run.
pub fn judge(records: &Records<'_>) -> Vec<Finding> {
    let mut found = Vec::new();
    requests(records, &mut found);
    answers(records, &mut found);
    after_healing(records, &mut found);
    unexplained(records, &mut found);
    gone(records, &mut found);
    drains(records, &mut found);
    orders(records, &mut found);
    configurations(&records.book.puts(), &records.book.reads(), &mut found);
    answered_in_calm(records, &mut found);
    found
}

/// While the control machines are well, each change is acknowledged in time and each read is answered.
fn answered_in_calm(records: &Records<'_>, found: &mut Vec<Finding>) {
    let is_calm = |began: Duration, ended: Duration| {
        let mut harms = records.schedule.troubles.iter().filter(|trouble| trouble.kind.harms_control());
        !harms.any(|trouble| trouble.at < ended && trouble.end() + CONTROL_MARGIN > began)
    };
    for put in records.book.puts().iter().filter(|put| is_calm(put.began, put.ended)) {
        let took = put.ended - put.began;
        if matches!(put.verdict, CallOutcome::Unknown) || took > ACK {
            let facts =
                format!("version {} after {} ms: {:?}", put.version, took.as_millis(), put.verdict.status());
            found.push(Finding { rule: "not_acknowledged", facts });
        }
    }
    for read in records.book.reads().iter().filter(|read| is_calm(read.began, read.ended)) {
        if read.bytes.is_none() {
            let facts = format!("no answer at {} from {} ms on", read.from, read.began.as_millis());
            found.push(Finding { rule: "not_read", facts });
        }
    }
}

/// The rules TWICE, UNASKED, REFUSED, MIXED and ROUTE, by the runs at the servers.
fn requests(records: &Records<'_>, found: &mut Vec<Finding>) {
    let outcomes: Vec<Outcome> = records.attempts.iter().map(|attempt| attempt.outcome.clone()).collect();
    let services_of = |outcome: &Outcome| BTreeSet::from([service_of(&outcome.target).to_owned()]);
    let violations = records.ledger.violations(&outcomes, services_of);
    found.extend(
        violations.into_iter().map(|violation| Finding { rule: "run", facts: format!("{violation:?}") }),
    );
}

/// The rules MIXED and ORDER, and that nothing fails without a cause.
fn answers(records: &Records<'_>, found: &mut Vec<Finding>) {
    for attempt in records.attempts {
        let outcome = &attempt.outcome;
        if !outcome.findings.is_empty() {
            let facts = format!("{} {:?} {:?}", told(attempt), outcome.ending, outcome.findings);
            found.push(Finding { rule: "answer", facts });
        }
        let is_owed = matches!(attempt.behaviour, Behaviour::Steady | Behaviour::Slow);
        let has_cause = is_front_harmed(records, attempt) || is_server_harmed(records.schedule, attempt);
        if is_owed && !outcome.is_success() && !has_cause {
            let facts = format!("{} {:?} {:?}", told(attempt), outcome.ending, outcome.status);
            found.push(Finding { rule: "failed_without_cause", facts });
        }
    }
}

/// Once all is well, nothing fails, whatever troubles of servers there were.
fn after_healing(records: &Records<'_>, found: &mut Vec<Finding>) {
    let is_owed = |attempt: &&Attempt| matches!(attempt.behaviour, Behaviour::Steady | Behaviour::Slow);
    let late = records.attempts.iter().filter(is_owed).filter(|attempt| attempt.began >= records.healed);
    let failed = late.filter(|attempt| !attempt.outcome.is_success());
    for attempt in failed.filter(|attempt| !is_front_harmed(records, attempt)) {
        let facts = format!("{} {:?} {:?}", told(attempt), attempt.outcome.ending, attempt.outcome.status);
        found.push(Finding { rule: "failed_after_healing", facts });
    }
}

fn told(attempt: &Attempt) -> String {
    let Attempt { front, behaviour, began, ended, outcome, .. } = attempt;
    let (id, target) = (&outcome.request_id, &outcome.target);
    format!("{id} {target} {behaviour:?} front {front} {}..{} ms", began.as_millis(), ended.as_millis())
}

/// Whether a trouble of its front could have harmed a request.
fn is_front_harmed(records: &Records<'_>, attempt: &Attempt) -> bool {
    let mut troubles = front_troubles(records, attempt);
    troubles.any(|trouble| !is_owed(records, attempt, trouble))
}

/// A front that was told to end, or has too many connections, owes an answer to each request that it has passed on to a server;
/// others are turned away, and one that it has not read may cross the end of its connection. What a server is still at work on
/// in the last sixth of `GraceS` ends with the process.
fn is_owed(records: &Records<'_>, attempt: &Attempt, trouble: &Trouble) -> bool {
    let is_polite = matches!(trouble.kind, Kind::FrontTerm | Kind::Crowd);
    let has_arrived = !records.ledger.arrivals_of(&attempt.outcome.request_id).is_empty();
    let outlasts = trouble.kind == Kind::FrontTerm && attempt.ended > trouble.at + GRACE * 5 / 6;
    is_polite && attempt.outcome.ending == AttemptEnd::Truncated && has_arrived && !outlasts
}

/// The troubles of its front around a request.
fn front_troubles<'a>(records: &'a Records<'_>, attempt: &'a Attempt) -> impl Iterator<Item = &'a Trouble> {
    let troubles = records.schedule.troubles.iter().filter(|trouble| trouble.kind.harms_fronts());
    troubles.filter(|trouble| {
        let grace = if trouble.kind == Kind::FrontTerm { GRACE } else { Duration::ZERO };
        let is_here = trouble.target % records.fronts == attempt.front;
        let (from, until) = (trouble.at, trouble.end() + grace + FRONT_MARGIN);
        is_here && attempt.began < until && attempt.ended + FRONT_MARGIN > from
    })
}

/// Whether a trouble of servers could have harmed a request. A server that ends harms what it has under way; the time that it
/// is gone, or listed as draining, harms nothing.
fn is_server_harmed(schedule: &Schedule, attempt: &Attempt) -> bool {
    let mut troubles = schedule.troubles.iter().filter(|trouble| trouble.kind.harms_servers());
    troubles.any(|trouble| {
        let (from, until) = match trouble.kind {
            Kind::ServerCrash => (trouble.at, trouble.at),
            Kind::ServerDrain => (trouble.end(), trouble.end()),
            _ => (trouble.at, trouble.end()),
        };
        attempt.began < until + SERVER_MARGIN && attempt.ended + RIG_SLACK > from
    })
}

/// Each request that failed has a line in the log of its proxy, or was left out of it and counted.
fn unexplained(records: &Records<'_>, found: &mut Vec<Finding>) {
    for front in 0..records.fronts {
        let log = records.proxy_logs.get(front).map_or("", String::as_str);
        let lines = log.lines().filter_map(|line| line.split("request_id=").nth(1));
        let known: BTreeSet<&str> = lines.filter_map(|rest| rest.split_whitespace().next()).collect();
        let is_failed = |attempt: &&Attempt| {
            let is_owed = matches!(attempt.behaviour, Behaviour::Steady | Behaviour::Slow);
            let has_reached = attempt.outcome.ending != AttemptEnd::ConnectFailed;
            attempt.front == front && is_owed && has_reached && !attempt.outcome.is_success()
        };
        let failed = records.attempts.iter().filter(is_failed);
        let unknown: Vec<&Attempt> = failed
            .filter(|attempt| !known.contains(attempt.outcome.request_id.as_str()))
            .filter(|attempt| !is_front_harmed(records, attempt))
            .collect();
        let omitted = records.omitted.get(front).copied().unwrap_or(0);
        if unknown.len() as u64 > omitted {
            let first = unknown.first().map_or(String::new(), |attempt| told(attempt));
            let facts =
                format!("front {front}: {} without a line, {omitted} left out; {first}", unknown.len());
            found.push(Finding { rule: "unexplained", facts });
        }
    }
}

/// Nothing of a request reaches a server after its client has left.
fn gone(records: &Records<'_>, found: &mut Vec<Finding>) {
    let left = records.attempts.iter().filter(|attempt| {
        attempt.behaviour == Behaviour::Leaving && attempt.outcome.ending == AttemptEnd::TimedOut
    });
    let left: BTreeMap<&str, &Attempt> =
        left.map(|attempt| (attempt.outcome.request_id.as_str(), attempt)).collect();
    for end in records.ledger.completions() {
        let Some(attempt) = left.get(end.request_id.as_str()) else { continue };
        let is_late = end.at > attempt.ended + GONE;
        if is_late && !is_front_harmed(records, attempt) && !is_server_harmed(records.schedule, attempt) {
            let facts = format!("{}: a server was at work until {} ms", told(attempt), end.at.as_millis());
            found.push(Finding { rule: "gone", facts });
        }
    }
    for arrival in records.ledger.arrivals() {
        let attempt = arrival.request_id.as_deref().and_then(|id| left.get(id));
        let Some(attempt) = attempt.filter(|attempt| arrival.at > attempt.ended + GONE) else { continue };
        // A server in the dark reads late what was sent in time.
        let mut dark = records.schedule.troubles.iter().filter(|trouble| trouble.kind == Kind::ServerDark);
        let was_dark = dark.any(|trouble| trouble.at <= attempt.ended && attempt.began <= trouble.end());
        if !was_dark && !is_front_harmed(records, attempt) {
            let facts =
                format!("{} reached {} at {} ms", told(attempt), arrival.instance, arrival.at.as_millis());
            found.push(Finding { rule: "gone", facts });
        }
    }
}

/// Nothing new reaches a server long after the list has shown that it drains, where nothing has kept the list from the fronts.
fn drains(records: &Records<'_>, found: &mut Vec<Finding>) {
    let arrivals = records.ledger.arrivals();
    for (id, since) in records.drained {
        let late = arrivals.iter().find(|arrival| arrival.instance == *id && arrival.at > *since + DRAIN);
        let Some(late) = late else { continue };
        let mut troubles = records.schedule.troubles.iter().filter(|trouble| trouble.kind.delays_lists());
        if troubles.any(|trouble| trouble.at < late.at && trouble.end() + CONTROL_MARGIN > *since) {
            continue;
        }
        let facts =
            format!("{id} drains since {} ms, reached at {} ms", since.as_millis(), late.at.as_millis());
        found.push(Finding { rule: "drain", facts });
    }
}

/// One holder to a fencing token; in calm times no server is ordered to and fro.
fn orders(records: &Records<'_>, found: &mut Vec<Finding>) {
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for order in records.ledger.orders() {
        let body: serde_json::Value = serde_json::from_str(&order.body).unwrap_or_default();
        let (Some(fence), Some(holder)) = (body["Fence"].as_u64(), body["Holder"].as_str()) else {
            found.push(Finding { rule: "order", facts: format!("no order: {}", order.body) });
            continue;
        };
        let known = holders.entry(fence).or_insert_with(|| holder.to_owned());
        if known != holder {
            found.push(Finding { rule: "order", facts: format!("token {fence} of {known} and {holder}") });
        }
        *counts.entry(order.instance).or_default() += 1;
    }
    if records.schedule.troubles.is_empty() {
        for (id, count) in counts.into_iter().filter(|(_, count)| *count > MOST_ORDERS) {
            found.push(Finding { rule: "to_and_fro", facts: format!("{count} orders to {id}") });
        }
    }
}

/// What operators were told of configurations, and what they read.
pub fn configurations(puts: &[Put], reads: &[Read], found: &mut Vec<Finding>) {
    let mut find = |facts: String| found.push(Finding { rule: "configuration", facts });
    let is_acknowledged = |put: &&Put| matches!(put.verdict, CallOutcome::Acknowledged(_));
    let mut by_base: BTreeMap<u64, u64> = BTreeMap::new();
    for put in puts.iter().filter(is_acknowledged) {
        if !put.is_valid {
            find(format!("version {} is invalid and was acknowledged", put.version));
        }
        let other = by_base.insert(put.base, put.version).filter(|other| *other != put.version);
        if let Some(other) = other {
            find(format!("versions {other} and {} on {} were both acknowledged", put.version, put.base));
        }
    }
    for put in puts.iter().filter(|put| put.is_resend && matches!(put.verdict, CallOutcome::Refused(_))) {
        find(format!("version {} was acknowledged and then refused: {:?}", put.version, put.verdict));
    }
    let mut newest_read = (Duration::ZERO, 0);
    let mut sorted: Vec<&Read> = reads.iter().collect();
    sorted.sort_by_key(|read| read.ended);
    for read in sorted {
        let Some(bytes) = &read.bytes else { continue };
        let Some(version) = version_of(bytes) else {
            find(format!("no configuration was read at {}", read.from));
            continue;
        };
        let sent = puts.iter().find(|put| put.version == version);
        if version != 1 && sent.is_none_or(|put| *put.bytes != **bytes) {
            find(format!("version {version} was read and not sent so"));
        }
        if let Some(put) = sent.filter(|put| matches!(put.verdict, CallOutcome::Refused(_))) {
            find(format!("version {version} was read and refused: {:?}", put.verdict));
        }
        let before = puts.iter().filter(is_acknowledged).filter(|put| put.ended < read.began);
        let newest = before.map(|put| put.version).max().unwrap_or(0);
        if version < newest {
            find(format!(
                "version {version} was read at {} from {} ms on, after {newest} was acknowledged",
                read.from,
                read.began.as_millis()
            ));
        }
        if newest_read.0 < read.began && version < newest_read.1 {
            find(format!("version {version} was read at {} after {}", read.from, newest_read.1));
        }
        if version > newest_read.1 {
            newest_read = (read.ended, version);
        }
    }
}
