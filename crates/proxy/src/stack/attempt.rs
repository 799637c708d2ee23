//! One attempt of a request at one server.

use crate::outbound::{AttemptHeaders, ExchangeError, ExchangeTerms, ServerResponse, exchange};
use crate::stack::execution::RequestExecution;
use crate::stack::in_flight::InFlightAttempt;
use crate::stack::response_class::classify;
use crate::telemetry::outcome::AttemptLabel;
use crate::telemetry::request_trace::AttemptTrace;
use lugwharf_invariants::{Invariant, check};
use lugwharf_routing::{FailureKind, Phase, Selection};
use std::time::Duration;
use tokio::time::Instant;

/// How an attempt ended.
pub enum AttemptOutcome {
    /// A response came; its body is still to be read.
    Response(Box<ServerResponse>, InFlightAttempt),
    /// Nothing was sent; another server may be tried.
    NotSent,
    /// The deadline passed before anything was sent.
    TooLate,
    /// The connection broke; the server may have executed the request.
    ConnectionBroken,
    /// The attempt's deadline passed; the server may have executed the request.
    TimedOut,
}

/// The circumstances in which an attempt started, for the trace.
struct AttemptStart {
    /// Since the request arrived.
    started_at: Duration,
    time_left: Duration,
    /// The connections that earlier attempts have used.
    used_connections: usize,
}

impl RequestExecution<'_> {
    /// Sends the request to the selected server and waits for the head of a response until `deadline`.
    pub async fn attempt(
        &mut self, selection: &Selection, phase: Phase, headers: &AttemptHeaders, deadline: Instant,
    ) -> AttemptOutcome {
        let may_be_sent = self.terms.is_idempotent || self.attempts.is_unexecuted();
        check(Invariant::UnrepeatableSentOnce, may_be_sent, || {
            format!("request {} to {} as {phase:?}", self.request.id(), selection.id)
        });
        let in_flight = InFlightAttempt::new(self.state, selection, phase, deadline);
        let terms = ExchangeTerms {
            phase,
            deadline,
            objective: self.terms.objective,
            is_idempotent: self.terms.is_idempotent,
            max_connections: self.terms.max_connections,
        };
        let start = AttemptStart {
            started_at: self.request.arrived.elapsed(),
            time_left: self.terms.time_left(),
            used_connections: self.outbound.used_connections.len(),
        };
        let result = exchange(self.state, selection, &mut self.outbound, headers, terms).await;
        self.record_result(selection, phase, &start, &result);
        self.settle(result, in_flight)
    }

    /// Counts the attempt and adds it to the trace.
    fn record_result(
        &self, selection: &Selection, phase: Phase, start: &AttemptStart,
        result: &Result<ServerResponse, ExchangeError>,
    ) {
        let label = match result {
            Ok(response) => {
                AttemptLabel::Response { status: response.head.status, class: classify(&response.head) }
            }
            Err(error) => AttemptLabel::Failed(*error),
        };
        let used_here = self.outbound.used_connections.get(start.used_connections..);
        self.state.metrics.record_attempt(label);
        self.trace.record_attempt(AttemptTrace {
            server: selection.id.clone(),
            phase,
            connection: used_here.and_then(<[_]>::last).map(|id| id.0),
            started_at: start.started_at,
            elapsed: self.request.arrived.elapsed().saturating_sub(start.started_at),
            time_left: start.time_left,
            is_paid: self.budget.is_next_paid(),
            label,
            body: None,
        });
    }

    /// Reports the result to the balancer, and counts the delivery if the request may have been sent completely.
    fn settle(
        &mut self, result: Result<ServerResponse, ExchangeError>, mut in_flight: InFlightAttempt,
    ) -> AttemptOutcome {
        match result {
            Ok(response) => {
                self.record_delivery();
                AttemptOutcome::Response(Box::new(response), in_flight)
            }
            Err(ExchangeError::Connect) => {
                in_flight.record_failure(FailureKind::Connect);
                self.history.unsent += 1;
                AttemptOutcome::NotSent
            }
            Err(ExchangeError::Aborted) => {
                in_flight.record_inconclusive();
                self.history.unsent += 1;
                AttemptOutcome::NotSent
            }
            Err(ExchangeError::TooLate) => {
                in_flight.record_inconclusive();
                AttemptOutcome::TooLate
            }
            Err(ExchangeError::ConnectionBroken) => {
                in_flight.record_failure(FailureKind::ConnectionBroken);
                self.record_delivery();
                AttemptOutcome::ConnectionBroken
            }
            Err(ExchangeError::Timeout) => {
                in_flight.record_failure(FailureKind::Timeout);
                self.record_delivery();
                AttemptOutcome::TimedOut
            }
        }
    }
}
