//! Attempts in flight, and the effects of their outcomes on servers, concurrency windows and requests.

use super::balancer::Balancer;
use super::request::{Attempt, AttemptStatus, RequestPhase, RequestProfile};
use super::server::{BASELINE_GAIN, Health, InFlightAttempt, RECENT_SENDS_MS};
use super::statistics::update_ewma;
use crate::api::{Action, LogEvent, Outcome, RequestId, RequestStatus, ServerId};

/// Weight of one sample in the running means of classes and in [`Balancer::mean_latency_ms`].
pub(crate) const MEAN_GAIN: f64 = 1.0 / 32.0;
/// Weight of one answer in [`Balancer::latency_per_load_ms`]. A few answers must suffice to show an overload.
const LATENCY_PER_LOAD_GAIN: f64 = 1.0 / 8.0;
/// Weight of one answer in [`Balancer::relative_latency`].
const RELATIVE_LATENCY_GAIN: f64 = 1.0 / 16.0;
/// A timeout counts as a failure of the server only if it exceeds this multiple of the mean latency: the
/// short timeouts of some clients must not make a server look faulty.
const SLOW_TIMEOUT_MULTIPLE: f64 = 2.0;

/// The evidence that an attempt without an answer gives about its server.
struct Failure {
    /// The latency sample to record.
    sample_ms: f64,
    /// Whether the attempt counts as a failure of the server.
    is_server_failure: bool,
    /// Whether the attempt may indicate an overload.
    may_be_overload: bool,
}

impl Balancer {
    /// Records an attempt that is being sent.
    pub(crate) fn record_sent(&mut self, id: RequestId, attempt_number: usize, attempt: Attempt) {
        let (locality, ramp_ms) = (self.locality_of(attempt.server), self.ramp_time_ms());
        let (Some(server), Some(request)) =
            (self.servers.get_mut(attempt.server), self.requests.get_mut(&id))
        else {
            return;
        };
        server.recent_sends.increment(attempt.sent_at_ms, RECENT_SENDS_MS);
        server.in_flight.push(InFlightAttempt {
            id,
            attempt_number,
            sent_at_ms: attempt.sent_at_ms,
            normalization: attempt.normalization,
            locality,
        });
        request.attempts.push(attempt);
        request.phase = RequestPhase::InFlight;
        self.windows[locality as usize].in_flight += 1;
        self.recent_sends.increment(attempt.sent_at_ms, ramp_ms);
    }

    pub(crate) fn on_outcome(
        &mut self, id: RequestId, attempt_number: usize, outcome: Outcome, elapsed_ms: f64,
        request_status: RequestStatus, out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(attempt_number);
        let Some(attempt) = attempt.filter(|attempt| attempt.status == AttemptStatus::InFlight) else {
            return;
        };
        attempt.status =
            if outcome.never_ran() { AttemptStatus::NeverRan } else { AttemptStatus::MayHaveRun };
        let (attempt, profile, phase) = (*attempt, request.profile, request.phase);
        if let Some(locality) = self.servers.remove_in_flight(attempt.server, id, attempt_number) {
            self.windows[locality as usize].in_flight -= 1;
        }
        match outcome {
            // The answer was recorded when its stream started.
            Outcome::Ok if phase == RequestPhase::Streaming => {}
            Outcome::Ok => self.record_answer(&attempt, &profile, elapsed_ms, out),
            _ => self.record_failure(&attempt, &profile, outcome, elapsed_ms, out),
        }
        if request_status == RequestStatus::Finished
            || outcome == Outcome::Ok
            || phase == RequestPhase::Finished
        {
            self.finish(id, out);
        } else {
            self.retry(id, &profile, outcome, out);
        }
    }

    /// Queues a request again after a failed attempt, if retry scope, deadline and retry budget allow it.
    fn retry(&mut self, id: RequestId, profile: &RequestProfile, outcome: Outcome, out: &mut Vec<Action>) {
        // Only retries of attempts that cost servers work can cause a retry storm, so only these use the
        // budget.
        let is_free_of_budget = matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
        let budget_cost = if is_free_of_budget { 0.0 } else { 1.0 };
        let expected_ms = self.expected_latency_ms(profile);
        let request = &self.requests[&id];
        let remaining_ms = request.deadline_at_ms - self.now_ms - expected_ms;
        if remaining_ms <= 0.0 || self.retry_scope(request).is_none() || self.retry_budget < budget_cost {
            return self.reject_or_fail(id, out);
        }
        self.retry_budget -= budget_cost;
        let wait_ends_at_ms = self.now_ms + remaining_ms;
        if let Some(request) = self.requests.get_mut(&id) {
            (request.phase, request.wait_ends_at_ms) = (RequestPhase::Queued, wait_ends_at_ms);
            request.candidates.clear();
        }
        self.enqueue(id, remaining_ms, out);
    }

    pub(crate) fn on_stream_started(
        &mut self, id: RequestId, attempt_number: usize, elapsed_ms: f64, out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(&attempt) = request.attempts.get(attempt_number) else { return };
        // The client may have disconnected just before its stream started. Its request stays finished.
        if request.phase != RequestPhase::Finished {
            request.phase = RequestPhase::Streaming;
        }
        let profile = request.profile;
        self.record_answer(&attempt, &profile, elapsed_ms, out);
    }

    /// Records an answer in the statistics of its server and its class. An answer readmits an ejected server.
    fn record_answer(
        &mut self, attempt: &Attempt, profile: &RequestProfile, elapsed_ms: f64, out: &mut Vec<Action>,
    ) {
        let sample_ms = elapsed_ms * attempt.normalization;
        self.record_served(profile);
        self.record_relative_latency(attempt.server, profile, elapsed_ms);
        update_ewma(&mut self.mean_latency_ms, elapsed_ms, MEAN_GAIN);
        if let Some(load) = attempt.reported_load {
            update_ewma(&mut self.latency_per_load_ms, sample_ms / (load + 1.0), LATENCY_PER_LOAD_GAIN);
        }
        self.class_means[profile.class].record_latency(elapsed_ms, profile.cost_ms, MEAN_GAIN);
        let is_late = elapsed_ms > profile.latency_target_ms;
        self.record_class_outcome(attempt.server, profile.class, is_late);
        if is_late && !attempt.is_recorded_late {
            self.decrease_window(attempt.server, attempt.sent_at_ms);
        } else if elapsed_ms <= profile.latency_target_ms {
            self.increase_window(attempt.server);
        }
        self.is_shedding &= !self.queue.is_empty();
        let Some(server) = self.servers.get_mut(attempt.server) else { return };
        server.record_latency(self.now_ms, self.time_constant_ms, sample_ms);
        update_ewma(&mut server.baseline_ms, sample_ms, BASELINE_GAIN);
        server.consecutive_failures = 0;
        if std::mem::replace(&mut server.health, Health::Healthy) != Health::Healthy {
            self.servers.mark_readmitted(attempt.server);
            out.push(Action::Log(LogEvent::Readmitted(attempt.server)));
        }
        self.median_latency_ms.record(sample_ms);
    }

    /// Adds the value that an answer earns to the served value of its class. A late answer earns only a part.
    fn record_served(&mut self, profile: &RequestProfile) {
        let served = self.request_value(profile) * self.earned_share(profile, self.now_ms);
        self.class_value_totals[profile.class].served += served;
    }

    /// Records the latency of an answer relative to the expected one, by the server's machine type and the
    /// class.
    fn record_relative_latency(&mut self, server: ServerId, profile: &RequestProfile, elapsed_ms: f64) {
        let expected_ms = self.expected_latency_ms(profile);
        if let Some(server) = self.servers.get(server).filter(|_| expected_ms > 0.0) {
            let relative =
                self.relative_latency.entry((server.entry.machine_type, profile.class)).or_insert(1.0);
            update_ewma(relative, elapsed_ms / expected_ms, RELATIVE_LATENCY_GAIN);
        }
    }

    /// Records an attempt without an answer. Its latency sample is the longer of its duration and its
    /// timeout; see [`Balancer::failure`] for cancelled attempts.
    fn record_failure(
        &mut self, attempt: &Attempt, profile: &RequestProfile, outcome: Outcome, elapsed_ms: f64,
        out: &mut Vec<Action>,
    ) {
        let (now_ms, median_ms) = (self.now_ms, self.median_latency_ms.get());
        let Some(failure) = self.failure(attempt, profile, outcome, elapsed_ms) else { return };
        let Some(server) = self.servers.get_mut(attempt.server) else { return };
        // A cancelled attempt only shows that the answer takes longer than the time until the cancellation.
        if outcome != Outcome::Cancelled
            || failure.sample_ms > server.latency_ms_at(now_ms, self.time_constant_ms, median_ms)
        {
            server.record_latency(now_ms, self.time_constant_ms, failure.sample_ms);
        }
        self.median_latency_ms.record(failure.sample_ms);
        let is_late = elapsed_ms > profile.latency_target_ms;
        if failure.may_be_overload && !attempt.is_recorded_late && (is_late || outcome == Outcome::Rejected) {
            self.decrease_window(attempt.server, attempt.sent_at_ms);
        }
        if failure.is_server_failure && outcome != Outcome::ConnectFailed {
            self.record_class_outcome(attempt.server, profile.class, true);
        }
        if failure.is_server_failure {
            self.record_server_failure(attempt.server, out);
        }
    }

    /// Returns the evidence that a failed attempt gives about its server; `None` if there is none.
    fn failure(
        &self, attempt: &Attempt, profile: &RequestProfile, outcome: Outcome, elapsed_ms: f64,
    ) -> Option<Failure> {
        let normalized_ms = elapsed_ms * attempt.normalization;
        let min_slow_timeout_ms = SLOW_TIMEOUT_MULTIPLE * self.mean_latency_ms;
        let sample_ms = elapsed_ms.max(attempt.timeout_ms);
        match outcome {
            Outcome::NotSent | Outcome::Ok => None,
            Outcome::Cancelled => Some(Failure {
                sample_ms: normalized_ms,
                is_server_failure: elapsed_ms > profile.latency_target_ms / 2.0,
                may_be_overload: true,
            }),
            Outcome::Timeout => {
                let is_server_failure = normalized_ms > min_slow_timeout_ms;
                Some(Failure { sample_ms, is_server_failure, may_be_overload: true })
            }
            Outcome::Rejected => Some(Failure { sample_ms, is_server_failure: false, may_be_overload: true }),
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                Some(Failure { sample_ms, is_server_failure: true, may_be_overload: false })
            }
        }
    }
}
