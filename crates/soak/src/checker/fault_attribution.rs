//! Decides which failures are explained by a scheduled fault.
//!
//! A fault explains failures at the machines or servers that it affects, from a margin before the fault to a
//! margin after it. The margins cover the time that the fleet may need to detect the fault and to recover
//! from it.

use super::records::{HostedControl, RunRecords};
use crate::fault::{FaultKind, ScheduledFault};
use crate::schedule::Schedule;
use crate::traffic::Attempt;
use lugwharf_emulator::client::AttemptEnd;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How long before and after a fault of a front-end node the fault explains failures.
const FRONT_MARGIN: Duration = Duration::from_millis(1_500);
/// `GraceS` of the fleet's settings: the time that a terminating proxy has to complete its requests.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// The maximum delay between the effect of a fault and the time that the harness records for the fault.
const HARNESS_LAG: Duration = Duration::from_millis(50);
/// How long after a fault of servers the fault explains failures: connections and moving averages are
/// affected for longer than the fault lasts.
const SERVER_MARGIN: Duration = Duration::from_millis(1_000);
/// How long after a fault of control the fault explains effects: `ContactMs`, plus the time to catch up.
pub const CONTROL_MARGIN: Duration = Duration::from_millis(7_000);

/// Whether a fault of the front-end node of an attempt explains that the attempt failed.
pub fn is_explained_by_front_fault(records: &RunRecords<'_>, attempt: &Attempt) -> bool {
    front_faults_around(records, attempt).any(|fault| !must_complete(records, attempt, fault))
}

/// Whether a front-end node must complete a request despite a fault.
///
/// A node that terminates, or has too many connections, must complete each request that it has forwarded to a
/// server. It may reject other requests, and may close a connection while a request that it has not read is
/// in transit. Requests that a server still executes in the last sixth of the grace period may be aborted
/// when the process exits.
fn must_complete(records: &RunRecords<'_>, attempt: &Attempt, fault: &ScheduledFault) -> bool {
    let is_graceful = matches!(fault.kind, FaultKind::FrontTerm | FaultKind::ConnectionFlood);
    let was_forwarded = !records.request_log.arrivals_of(&attempt.outcome.request_id).is_empty();
    let outlasts_grace =
        fault.kind == FaultKind::FrontTerm && attempt.ended_at > fault.start + GRACE_PERIOD * 5 / 6;
    is_graceful && attempt.outcome.ending == AttemptEnd::Truncated && was_forwarded && !outlasts_grace
}

/// The faults of the front-end node of an attempt that may affect the attempt.
fn front_faults_around<'a>(
    records: &'a RunRecords<'_>, attempt: &'a Attempt,
) -> impl Iterator<Item = &'a ScheduledFault> {
    let faults = records.schedule.faults.iter().filter(|fault| fault.kind.disrupts_fronts());
    faults.filter(|fault| {
        let grace = if fault.kind == FaultKind::FrontTerm { GRACE_PERIOD } else { Duration::ZERO };
        let is_same_front = fault.target % records.front_count == attempt.front;
        let until = fault.end() + grace + FRONT_MARGIN;
        is_same_front && attempt.started_at < until && attempt.ended_at + FRONT_MARGIN > fault.start
    })
}

/// Whether a fault of servers explains that an attempt failed. A server that stops fails the requests that it
/// executes at that moment. The time during which the server is down or listed as draining explains no
/// failure, since requests must then go to other servers.
pub fn is_explained_by_server_fault(schedule: &Schedule, attempt: &Attempt) -> bool {
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

/// Whether control must be available between two times: no fault of control is active or has just ended, and
/// a majority of the replicas that front-end nodes host is not affected by a fault of its node.
pub fn is_control_undisturbed(records: &RunRecords<'_>, from: Duration, until: Duration) -> bool {
    let hosted = records.hosted_control;
    let fronts: BTreeSet<usize> =
        agent_faults(records, from, until).map(|fault| fault.target % hosted.addresses.len()).collect();
    let affected_replicas = fronts.into_iter().filter(|front| *front < hosted.replica_count).count();
    let is_disrupted = control_faults(records, from, until).any(|fault| fault.kind.disrupts_control());
    affected_replicas <= hosted.fault_tolerance() && !is_disrupted
}

/// Whether control must be available between two times, and the process that serves operators at `address` is
/// not affected by a fault.
pub fn is_operator_address_undisturbed(
    records: &RunRecords<'_>, address: SocketAddr, from: Duration, until: Duration,
) -> bool {
    let HostedControl { addresses, replica_count } = records.hosted_control;
    let is_affected = agent_faults(records, from, until).any(|fault| {
        let is_at_front = addresses[fault.target % addresses.len()] == address;
        // The other end of the blackholed link is the replica that the target selects.
        let is_at_peer =
            fault.kind == FaultKind::AgentLinkBlackhole && addresses[fault.target % replica_count] == address;
        is_at_front || is_at_peer
    });
    is_control_undisturbed(records, from, until) && !is_affected
}

/// Whether the front-end node of an attempt must receive configurations in time: no fault of control, or
/// of the agent or the proxy of that node, is active during the attempt or has just ended.
pub fn is_routing_undisturbed(records: &RunRecords<'_>, attempt: &Attempt) -> bool {
    let (from, until) = (attempt.started_at, attempt.ended_at);
    let is_at_front = |fault: &ScheduledFault| fault.target % records.front_count == attempt.front;
    let mut faults = control_faults(records, from, until);
    let is_front_affected = faults
        .any(|fault| (fault.kind.disrupts_agents() || fault.kind.disrupts_fronts()) && is_at_front(fault));
    !is_front_affected && is_control_undisturbed(records, from, until)
}

/// The faults between two times that affect agents that serve operators; none if there are dedicated control
/// nodes.
fn agent_faults<'a>(
    records: &'a RunRecords<'_>, from: Duration, until: Duration,
) -> impl Iterator<Item = &'a ScheduledFault> {
    let serve_operators = !records.hosted_control.addresses.is_empty();
    control_faults(records, from, until).filter(move |fault| serve_operators && fault.kind.disrupts_agents())
}

/// The faults that may affect control between two times, including [`CONTROL_MARGIN`] after each fault.
fn control_faults<'a>(
    records: &'a RunRecords<'_>, from: Duration, until: Duration,
) -> impl Iterator<Item = &'a ScheduledFault> {
    let faults = records.schedule.faults.iter();
    faults.filter(move |fault| fault.start < until && fault.end() + CONTROL_MARGIN > from)
}
