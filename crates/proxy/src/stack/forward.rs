//! Forwards a request to one server after another, until one returns a response for the client.

use crate::inbound::error_response::RequestError;
use crate::outbound::{AttemptHeaders, ServerResponse};
use crate::stack::attempt::AttemptOutcome;
use crate::stack::execution::{RequestExecution, ServerQuery};
use crate::stack::in_flight::InFlightAttempt;
use crate::stack::response_class::{ResponseClass, classify};
use crate::telemetry::request_trace::SaturationCause;
use lugwharf_routing::{FailureKind, LoadReport, Phase, Selection};
use std::time::Duration;

/// A response that is to be forwarded to the client. Its head has been received, its body has not been read
/// yet.
pub struct AcceptedResponse {
    /// The response.
    pub response: Box<ServerResponse>,
    /// The attempt that the response belongs to.
    pub in_flight: InFlightAttempt,
    /// The class of the response.
    pub class: ResponseClass,
}

/// Forwards the request, with retries, until a server returns a response for the client.
///
/// # Errors
/// No further attempt is allowed or possible.
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

/// Selects a server for the next attempt and admits the attempt.
fn select(execution: &mut RequestExecution<'_>) -> Result<Selection, RequestError> {
    execution.check_may_execute()?;
    let excluded = &execution.history.attempted_servers;
    let query = ServerQuery { phase: Phase::Full, zone: &execution.state.zone, excluded };
    let selection = execution.select(&query).map_err(|error| {
        // If there were servers, but all of them rejected the request, they count as saturated.
        if execution.attempts.was_attempted() {
            execution.saturation_error(SaturationCause::NoServerLeft)
        } else {
            execution.selection_error(error)
        }
    })?;
    execution.admit(&selection)?;
    Ok(selection)
}

/// Evaluates an attempt that may have executed the request. Returns a response for the client, or `None` if
/// the request may be retried.
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

/// Reports a response according to its class. Returns the response if it is to be forwarded to the client.
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
            // A status below 500 is caused by the request itself, so a retry would fail as well.
            let is_server_error = response.head.status >= 500;
            if is_server_error {
                in_flight.record_failure(FailureKind::ServerError);
            } else {
                in_flight.record_inconclusive();
            }
            if is_server_error && execution.attempts.may_execute() && execution.try_withdraw_delivery() {
                return None;
            }
        }
        ResponseClass::Rejected => {
            execution.attempts.record_rejection();
            execution.history.was_saturated = reported_saturation(&response);
            in_flight.record_rejection();
            response.discard_body(execution.state);
            return None;
        }
        ResponseClass::Misdirected => {
            execution.attempts.record_rejection();
            in_flight.record_inconclusive();
            execution.record_misdirected(selection);
            response.discard_body(execution.state);
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

/// Returns whether the server reports that it is saturated, or `None` if there is no valid load report.
fn reported_saturation(response: &ServerResponse) -> Option<bool> {
    let report = response.head.headers.get_text("load-report")?;
    LoadReport::parse(report, Duration::ZERO).map(|report| report.is_saturated())
}
