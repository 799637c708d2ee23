//! Forwards a request to one server after the other, until one gives a response for the client.

use crate::inbound::error_response::RequestError;
use crate::outbound::{AttemptHeaders, ServerResponse};
use crate::stack::attempt::AttemptOutcome;
use crate::stack::execution::{RequestExecution, ServerQuery};
use crate::stack::in_flight::InFlightAttempt;
use crate::stack::response_class::{ResponseClass, classify};
use crate::telemetry::request_trace::SaturationCause;
use lugwharf_routing::{FailureKind, LoadReport, Phase, Selection};
use std::time::Duration;

/// A response that goes to the client. Its head was received, its body is still to be read.
pub struct AcceptedResponse {
    /// The response.
    pub response: Box<ServerResponse>,
    /// The attempt that it belongs to.
    pub in_flight: InFlightAttempt,
    /// Its class.
    pub class: ResponseClass,
}

/// Forwards the request, with retries, until a server gives a response for the client.
///
/// # Errors
/// No server may be attempted any more.
pub async fn execute(
    execution: &mut RequestExecution<'_>, headers: &AttemptHeaders,
) -> Result<AcceptedResponse, RequestError> {
    loop {
        let selection = select(execution)?;
        let outcome = execution.attempt(&selection, Phase::Full, headers, execution.terms.deadline).await;
        execution.history.attempted_servers.push(selection.key);
        if let Some(accepted) = accept(execution, &selection, outcome)? {
            return Ok(accepted);
        }
    }
}

fn select(execution: &mut RequestExecution<'_>) -> Result<Selection, RequestError> {
    execution.may_execute()?;
    let excluded = &execution.history.attempted_servers;
    let query = ServerQuery { phase: Phase::Full, zone: &execution.state.zone, excluded };
    let selection = execution.select(&query).map_err(|error| {
        // If there were servers and all of them rejected the request, they are saturated.
        if execution.attempts.was_attempted() {
            execution.saturated(SaturationCause::NoServerLeft)
        } else {
            execution.selection_error(error)
        }
    })?;
    execution.admit(&selection)?;
    Ok(selection)
}

/// What an attempt that may execute the request has brought: a response for the client, or `None` if the request may be retried.
///
/// # Errors
/// The request must not be attempted again.
pub fn accept(
    execution: &mut RequestExecution<'_>, selection: &Selection, outcome: AttemptOutcome,
) -> Result<Option<AcceptedResponse>, RequestError> {
    match outcome {
        AttemptOutcome::NotSent => Ok(None),
        AttemptOutcome::TooLate => Err(execution.final_error(RequestError::DeadlineBeforeExecution)),
        AttemptOutcome::ConnectionBroken => {
            execution.attempts.record_execution();
            Ok(None)
        }
        AttemptOutcome::TimedOut => {
            execution.attempts.record_execution();
            Err(RequestError::DeadlineExceeded)
        }
        AttemptOutcome::Response(response, in_flight) => {
            Ok(accept_response(execution, selection, response, in_flight))
        }
    }
}

/// Reports a response by its class; returns it if it goes to the client.
fn accept_response(
    execution: &mut RequestExecution<'_>, selection: &Selection, response: Box<ServerResponse>,
    mut in_flight: InFlightAttempt,
) -> Option<AcceptedResponse> {
    let class = classify(&response.head);
    match class {
        ResponseClass::Success => execution.attempts.record_execution(),
        ResponseClass::InvalidRequest => in_flight.record_inconclusive(),
        ResponseClass::Failure => {
            execution.attempts.record_execution();
            // What the request itself brought about, below 500, would only come again.
            let is_server_error = response.head.status >= 500;
            if is_server_error {
                in_flight.record_failure(FailureKind::ServerError);
            } else {
                in_flight.record_inconclusive();
            }
            if is_server_error && execution.attempts.may_execute() && execution.try_pay_delivery() {
                return None;
            }
        }
        ResponseClass::Rejected => {
            execution.attempts.record_rejection();
            execution.history.was_saturated = reported_saturation(&response);
            in_flight.record_rejection();
            response.discard(execution.state);
            return None;
        }
        ResponseClass::Misdirected => {
            execution.attempts.record_rejection();
            in_flight.record_inconclusive();
            execution.record_misdirected(selection);
            response.discard(execution.state);
            return None;
        }
        ResponseClass::Unusable => {
            execution.attempts.record_execution();
            in_flight.record_failure(FailureKind::ConnectionBroken);
            return None;
        }
    }
    Some(AcceptedResponse { response, in_flight, class })
}

/// Whether the server reports that it is saturated; `None` without a report.
fn reported_saturation(response: &ServerResponse) -> Option<bool> {
    let report = response.head.headers.get_text("load-report")?;
    LoadReport::parse(report, Duration::ZERO).map(|report| report.is_saturated())
}
