//! A request from its arrival to the end of its last attempt.

use crate::api::{RequestId, ServerId};

/// Whether a server may have executed an attempt. It decides whether the request may be sent again.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptStatus {
    /// Sent, without an outcome so far. A server may be executing it.
    InFlight,
    /// Ended, and its outcome shows that no server has executed it ([`Outcome::never_ran`](crate::api::Outcome::never_ran)).
    NeverRan,
    /// Ended in any other way, success included.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    /// [`Server::dedup_group`](super::server::Server::dedup_group) of its server when it was sent.
    pub(crate) dedup_group: Option<u16>,
    pub(crate) sent_at_ms: f64,
    pub(crate) timeout_ms: f64,
    /// Turns its latency into that of a mean request: classes and kinds of machine that take longer than the mean must
    /// not make a server look slow.
    pub(crate) normalization: f64,
    /// Requests in flight at its server by the last report, when it was sent.
    pub(crate) reported_load: Option<f64>,
    pub(crate) status: AttemptStatus,
    /// It passed its latency target and has decreased the window for that already.
    pub(crate) is_recorded_late: bool,
}

/// What a request is at.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RequestPhase {
    /// Waits in the queue for capacity.
    Queued,
    /// Waits for the probes of its candidates.
    Probing,
    /// Has an attempt in flight.
    InFlight,
    /// Its answer is streaming to the client.
    Streaming,
    /// Has its final answer, or its client has left.
    Finished,
}

/// What a probe has shown of a candidate.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ProbeState {
    Pending,
    Passed,
    Failed,
}

/// A server that a request may be sent to once its probe passed.
pub(crate) struct Candidate {
    pub(crate) server: ServerId,
    pub(crate) probe: ProbeState,
}

/// What a request asks for.
#[derive(Clone, Copy)]
pub(crate) struct RequestProfile {
    pub(crate) class: usize,
    /// Expected work; `None` if unknown.
    pub(crate) cost_ms: Option<f64>,
    /// An answer until then earns the full value.
    pub(crate) target_at_ms: f64,
    /// How long an answer may take for that, had the client not retried before.
    pub(crate) latency_target_ms: f64,
}

/// Where the next attempt of a request may go.
#[derive(Clone, Copy)]
pub(crate) enum RetryScope {
    AnyServer,
    /// Only servers that recognise a repeat.
    Group(u16),
}

impl RetryScope {
    /// Returns whether a server of this group is in the scope.
    pub(crate) fn includes(self, dedup_group: Option<u16>) -> bool {
        match self {
            RetryScope::AnyServer => true,
            RetryScope::Group(group) => dedup_group == Some(group),
        }
    }
}

/// A request that is not finished, or has an attempt in flight.
pub(crate) struct Request {
    pub(crate) profile: RequestProfile,
    /// The instant at which every attempt of it times out: the client's time-out, or the latency target where a late answer
    /// has no value. [`RequestClass::deadline`](crate::api::RequestClass::deadline) is something else: the duration that a client waits in
    /// all, over its own retries.
    pub(crate) deadline_at_ms: f64,
    /// Until when it stays queued, or waits for probes.
    pub(crate) wait_ends_at_ms: f64,
    /// Cross-zone routing: from this instant on it may go to a remote server although the local window is full.
    pub(crate) cross_zone_allowed_at_ms: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) phase: RequestPhase,
    /// Servers probed for it, in all rounds.
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) probe_rounds: u32,
    /// A random number, uniform on [0, 1), drawn once at its arrival. It decides where only a share of the requests may go
    /// somewhere: to a warming server goes a request whose draw is below the share, and where less than one attempt may be
    /// in flight, one whose draw is among the highest. Since it is not drawn again, a request does not get through by
    /// waiting and being looked at often.
    pub(crate) draw: f64,
}

impl Request {
    /// A request that has just arrived: queued, with no attempt and no probe. `deadline_at_ms` and `wait_ends_at_ms` are
    /// instants; `draw` is uniform on [0, 1). Until [`Balancer::enqueue`](super::balancer::Balancer::enqueue) sets when it
    /// may cross zones, it may not before its wait ends.
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

    /// The first attempt that may have had an effect, those in flight included.
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.status != AttemptStatus::NeverRan)
    }

    /// Returns whether it was sent to this server or probed it.
    pub(crate) fn has_considered(&self, server: ServerId) -> bool {
        let attempted = self.attempts.iter().any(|attempt| attempt.server == server);
        attempted || self.candidates.iter().any(|candidate| candidate.server == server)
    }
}

/// A request in the queue, and the priority that it was queued with.
#[derive(Clone, Copy)]
pub(crate) struct QueuedRequest {
    pub(crate) priority: f64,
    pub(crate) id: RequestId,
}
