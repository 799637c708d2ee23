//! Which failed requests a scheduled fault explains.
//!
//! A fault explains failures at what it hits, from a margin before it to a margin after it. The margins cover what the fleet
//! may need to notice and to recover.

use super::records::{HostedControl, RunRecords};
use crate::fault::{FaultKind, ScheduledFault};
use crate::schedule::Schedule;
use crate::traffic::Attempt;
use lugwharf_emulator::client::AttemptEnd;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A fault of a front-end node explains failures this long before and after it.
const FRONT_MARGIN: Duration = Duration::from_millis(1_500);
/// `GraceS` of the fleet's settings: a terminating proxy completes its requests in it.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// The harness records the time of a fault a little after its effect.
const HARNESS_LAG: Duration = Duration::from_millis(50);
/// A fault of servers explains failures this long after it: connections and moving averages remember it.
const SERVER_MARGIN: Duration = Duration::from_millis(1_000);
/// A fault of control explains its effects this long after it: `ContactMs`, and the time to catch up.
pub const CONTROL_MARGIN: Duration = Duration::from_millis(7_000);

/// Whether a fault of its front-end node explains that an attempt failed.
pub fn is_excused_by_front_fault(records: &RunRecords<'_>, attempt: &Attempt) -> bool {
    front_faults_around(records, attempt).any(|fault| !must_complete(records, attempt, fault))
}

/// Whether a front-end node must complete a request despite a fault.
///
/// One that terminates, or has too many connections, completes each request that it has forwarded to a server. It rejects
/// others, and one that it has not read may cross the end of its connection. What a server still executes in the last sixth
/// of the grace period ends with the process.
fn must_complete(records: &RunRecords<'_>, attempt: &Attempt, fault: &ScheduledFault) -> bool {
    let is_graceful = matches!(fault.kind, FaultKind::FrontTerm | FaultKind::Crowd);
    let was_forwarded = !records.request_log.arrivals_of(&attempt.outcome.request_id).is_empty();
    let outlasts_grace =
        fault.kind == FaultKind::FrontTerm && attempt.ended_at > fault.start + GRACE_PERIOD * 5 / 6;
    is_graceful && attempt.outcome.ending == AttemptEnd::Truncated && was_forwarded && !outlasts_grace
}

/// The faults of its front-end node around an attempt.
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

/// Whether a fault of servers explains that an attempt failed. A server that ends fails what it executes at that moment; the
/// time that it is gone, or listed as draining, explains nothing.
pub fn is_excused_by_server_fault(schedule: &Schedule, attempt: &Attempt) -> bool {
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

/// Whether no fault of control is active, or has just been, between two times, and a majority of the replicas that front-end
/// nodes host has no fault of its own.
pub fn is_control_calm(records: &RunRecords<'_>, from: Duration, until: Duration) -> bool {
    let hosted = records.hosted_control;
    let fronts: BTreeSet<usize> =
        agent_faults(records, from, until).map(|fault| fault.target % hosted.addresses.len()).collect();
    let replicas_hit = fronts.into_iter().filter(|front| *front < hosted.replica_count).count();
    let is_disrupted = control_faults(records, from, until).any(|fault| fault.kind.disrupts_control());
    replicas_hit <= hosted.fault_tolerance() && !is_disrupted
}

/// Whether control is calm between two times, and so is the process that serves operators at an address.
pub fn is_operator_address_calm(
    records: &RunRecords<'_>, address: SocketAddr, from: Duration, until: Duration,
) -> bool {
    let HostedControl { addresses, replica_count } = records.hosted_control;
    let is_hit = agent_faults(records, from, until).any(|fault| {
        let is_at_front = addresses[fault.target % addresses.len()] == address;
        // The other end of the link is a replica.
        let is_at_peer =
            fault.kind == FaultKind::AgentSilent && addresses[fault.target % replica_count] == address;
        is_at_front || is_at_peer
    });
    is_control_calm(records, from, until) && !is_hit
}

/// Whether the front-end node of an attempt gets configurations in time: no fault of control, of its agent or of its own
/// processes is active around the attempt, or has just been.
pub fn is_routing_calm(records: &RunRecords<'_>, attempt: &Attempt) -> bool {
    let (from, until) = (attempt.started_at, attempt.ended_at);
    let is_at_front = |fault: &ScheduledFault| fault.target % records.front_count == attempt.front;
    let mut faults = control_faults(records, from, until);
    let is_disturbed = faults
        .any(|fault| (fault.kind.disrupts_agents() || fault.kind.disrupts_fronts()) && is_at_front(fault));
    !is_disturbed && is_control_calm(records, from, until)
}

/// The faults between two times of agents that serve operators; none where there are machines for control.
fn agent_faults<'a>(
    records: &'a RunRecords<'_>, from: Duration, until: Duration,
) -> impl Iterator<Item = &'a ScheduledFault> {
    let serve_operators = !records.hosted_control.addresses.is_empty();
    control_faults(records, from, until).filter(move |fault| serve_operators && fault.kind.disrupts_agents())
}

/// The faults that control may notice between two times.
fn control_faults<'a>(
    records: &'a RunRecords<'_>, from: Duration, until: Duration,
) -> impl Iterator<Item = &'a ScheduledFault> {
    let faults = records.schedule.faults.iter();
    faults.filter(move |fault| fault.start < until && fault.end() + CONTROL_MARGIN > from)
}
