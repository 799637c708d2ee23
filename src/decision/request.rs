//! The state of a request, from its arrival to the end of its last attempt.

use crate::api::{RequestId, ServerId};

/// Whether a server may have executed an attempt, which determines whether the request may be sent again.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptStatus {
    /// The attempt was sent and has no outcome yet. A server may be executing it.
    InFlight,
    /// The attempt has ended, and its outcome proves that no server has executed it; see
    /// [`Outcome::never_ran`](crate::api::Outcome::never_ran).
    NeverRan,
    /// The attempt has ended with any other outcome, including success.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    /// The [`Server::dedup_group`](super::server::Server::dedup_group) of the server when the attempt was
    /// sent.
    pub(crate) dedup_group: Option<u16>,
    pub(crate) sent_at_ms: f64,
    pub(crate) timeout_ms: f64,
    /// The factor that converts the latency of the attempt into that of a mean request: classes and machine
    /// types that take longer than the mean must not make a server look slow.
    pub(crate) normalization: f64,
    /// The requests in flight at the server according to its last report, when the attempt was sent.
    pub(crate) reported_load: Option<f64>,
    pub(crate) status: AttemptStatus,
    /// Whether the attempt has exceeded its latency target and has already decreased the concurrency window.
    pub(crate) is_recorded_late: bool,
}

/// The phase of a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RequestPhase {
    /// The request waits in the queue for capacity.
    Queued,
    /// The request waits for the probes of its candidates.
    Probing,
    /// The request has an attempt in flight.
    InFlight,
    /// The answer is streaming to the client.
    Streaming,
    /// The client has its final answer, or has disconnected.
    Finished,
}

/// The state of the probe of a candidate.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ProbeState {
    Pending,
    Passed,
    Failed,
}

/// A server to which a request may be sent if the probe of the server passes.
pub(crate) struct Candidate {
    pub(crate) server: ServerId,
    pub(crate) probe: ProbeState,
}

/// The properties of a request that are fixed at its arrival.
#[derive(Clone, Copy)]
pub(crate) struct RequestProfile {
    pub(crate) class: usize,
    /// The expected work; `None` if unknown.
    pub(crate) cost_ms: Option<f64>,
    /// The instant until which an answer earns the full value.
    pub(crate) target_at_ms: f64,
    /// The latency target from the arrival, not reduced by the time before a client's retry.
    pub(crate) latency_target_ms: f64,
}

/// The servers to which the next attempt of a request may be sent.
#[derive(Clone, Copy)]
pub(crate) enum RetryScope {
    AnyServer,
    /// Only the servers of this deduplication group, which recognise a repeat.
    DedupGroup(u16),
}

impl RetryScope {
    /// Returns whether a server of this deduplication group is in the scope.
    pub(crate) fn includes(self, dedup_group: Option<u16>) -> bool {
        match self {
            RetryScope::AnyServer => true,
            RetryScope::DedupGroup(group) => dedup_group == Some(group),
        }
    }
}

/// A request that is not finished, or has an attempt in flight.
pub(crate) struct Request {
    pub(crate) profile: RequestProfile,
    /// The instant at which every attempt of the request times out: the client's timeout, or the latency
    /// target if a late answer has no value. This differs from
    /// [`RequestClass::deadline`](crate::api::RequestClass::deadline), the total time that a client waits,
    /// including its own retries.
    pub(crate) deadline_at_ms: f64,
    /// The instant until which the request stays queued or waits for probes.
    pub(crate) wait_ends_at_ms: f64,
    /// The instant from which the request may be sent to a remote server if the local window is full.
    pub(crate) cross_zone_allowed_at_ms: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) phase: RequestPhase,
    /// The servers probed for the request since its last attempt, in all probe rounds.
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) probe_rounds: u32,
    /// A random number, uniform on [0, 1), drawn once at the arrival. It decides whenever only a share of the
    /// requests may be sent: to a warming server if the number is below the share, and, if the limit on
    /// attempts in flight is below one, if the number is among the highest. Since it is not drawn again,
    /// waiting and repeated checks do not raise the probability that a request is sent.
    pub(crate) draw: f64,
}

impl Request {
    /// Creates a request that has just arrived: queued, without attempts and probes. `deadline_at_ms` and
    /// `wait_ends_at_ms` are instants; `draw` is uniform on [0, 1). The request may not cross zones before
    /// its wait ends, until [`Balancer::enqueue`](super::balancer::Balancer::enqueue) sets an earlier
    /// instant.
    pub(crate) fn new(profile: RequestProfile, deadline_at_ms: f64, wait_ends_at_ms: f64, draw: f64) -> Self {
        Request {
            profile,
            deadline_at_ms,
            wait_ends_at_ms,
            cross_zone_allowed_at_ms: wait_ends_at_ms,
            attempts: Vec::new(),
            phase: RequestPhase::Queued,
            candidates: Vec::new(),
            probe_rounds: 0,
            draw,
        }
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status == AttemptStatus::InFlight)
    }

    /// Returns the first attempt that a server may have executed, including attempts in flight.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.status != AttemptStatus::NeverRan)
    }

    /// Returns whether the request has an attempt at this server, or has this server among its probed
    /// candidates.
    pub(crate) fn has_attempted_or_probed(&self, server: ServerId) -> bool {
        let attempted = self.attempts.iter().any(|attempt| attempt.server == server);
        attempted || self.candidates.iter().any(|candidate| candidate.server == server)
    }
}

/// A queued request, with its priority at the time of queueing.
#[derive(Clone, Copy)]
pub(crate) struct QueuedRequest {
    pub(crate) priority: f64,
    pub(crate) id: RequestId,
}
