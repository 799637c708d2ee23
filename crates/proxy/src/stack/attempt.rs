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

/// The outcome of an attempt, which decides what may be done next.
pub enum AttemptOutcome {
    /// The head of a response was received. Its body has not been read yet.
    Response(Box<ServerResponse>, InFlightAttempt),
    /// The complete request was not sent, so the server did not execute it. Another server may be tried.
    NotSent,
    /// The deadline passed before the complete request was sent.
    TooLate,
    /// The connection broke, or an invalid response was received. The server may have executed the request.
    ConnectionBroken,
    /// The deadline of the attempt passed. The server may have executed the request.
    TimedOut,
}

/// The state at the start of an attempt, for the trace.
struct AttemptStart {
    /// The time since the arrival of the request.
    started_at: Duration,
    /// The time left until the deadline of the request.
    time_left: Duration,
    /// The number of connections that earlier attempts have used.
    used_connections: usize,
}

impl RequestExecution<'_> {
    /// Sends the request to the selected server, and reads the head of the response until `deadline`.
    pub async fn attempt(
        &mut self, selection: &Selection, phase: Phase, headers: &AttemptHeaders, deadline: Instant,
    ) -> AttemptOutcome {
        let may_be_sent = self.terms.is_idempotent || self.attempts.is_unexecuted();
        check(Invariant::UnrepeatableSentOnce, may_be_sent, || {
            format!("request {} sent again to server {} as {phase:?}", self.request.id(), selection.id)
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
        self.report_result(result, in_flight)
    }

    /// Counts the attempt in the metrics and adds it to the trace.
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
            is_budgeted: self.budget.has_unused_withdrawal(),
            label,
            body: None,
        });
    }

    /// Reports the result to the balancer, and records the delivery if the complete request was sent or may
    /// have been.
    fn report_result(
        &mut self, result: Result<ServerResponse, ExchangeError>, mut in_flight: InFlightAttempt,
    ) -> AttemptOutcome {
        match result {
            Ok(response) => {
                self.record_delivery();
                AttemptOutcome::Response(Box::new(response), in_flight)
            }
            Err(ExchangeError::Connect) => {
                in_flight.record_failure(FailureKind::Connect);
                self.history.unsent_attempts += 1;
                AttemptOutcome::NotSent
            }
            Err(ExchangeError::Aborted) => {
                in_flight.record_inconclusive();
                self.history.unsent_attempts += 1;
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
