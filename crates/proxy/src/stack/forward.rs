//! Gets an answer from one server, which does all of a request.

use crate::inbound::error_response::RequestError;
use crate::outbound::{AttemptHeaders, ServerResponse};
use crate::stack::execution::{AttemptOutcome, RequestExecution, ServerQuery};
use crate::stack::in_flight::InFlightAttempt;
use crate::stack::response_class::{ResponseClass, classify};
use lugwharf_routing::{FailureKind, LoadReport, Phase, Selection};
use std::time::Duration;

/// An answer for the client, whose body is still to come.
pub struct AcceptedResponse {
    /// The answer.
    pub answered: Box<ServerResponse>,
    /// Its send.
    pub in_flight: InFlightAttempt,
    /// What it is worth.
    pub class: ResponseClass,
}

/// Sends the request until a server gives an answer for the client.
pub async fn obtain(
    execution: &mut RequestExecution<'_>, extra: &AttemptHeaders,
) -> Result<AcceptedResponse, RequestError> {
    loop {
        let choice = next_server(execution)?;
        let sent = execution.send(&choice, Phase::Full, extra, execution.by).await;
        execution.tried.push(choice.key);
        if let Some(accepted) = take(execution, &choice, sent)? {
            return Ok(accepted);
        }
    }
}

fn next_server(execution: &mut RequestExecution<'_>) -> Result<Selection, RequestError> {
    if !execution.attempts.may_execute() || !execution.may_try() {
        return Err(execution.give_up(RequestError::Saturated));
    }
    let ask = ServerQuery { part: Phase::Full, zone: &execution.state.zone, excluded: &execution.tried };
    let choice = execution.choose(&ask).map_err(|none| execution.give_up(refusal(execution, none.into())))?;
    if execution.is_hopeless(&choice) && execution.attempts.is_unexecuted() {
        return Err(RequestError::Saturated);
    }
    if !execution.may_arrive() {
        return Err(execution.give_up(RequestError::Saturated));
    }
    Ok(choice)
}

/// Where servers were there and all turned the request away, they are full.
fn refusal(execution: &RequestExecution<'_>, none: RequestError) -> RequestError {
    if execution.attempts.was_attempted() { RequestError::Saturated } else { none }
}

/// What a send that may run the request has brought: an answer for the client, or `None` if another server may be asked.
pub fn take(
    execution: &mut RequestExecution<'_>, choice: &Selection, sent: AttemptOutcome,
) -> Result<Option<AcceptedResponse>, RequestError> {
    match sent {
        AttemptOutcome::NotSent => Ok(None),
        AttemptOutcome::TooLate => Err(execution.give_up(RequestError::DeadlineBeforeExecution)),
        AttemptOutcome::ConnectionBroken => {
            execution.attempts.record_execution();
            Ok(None)
        }
        AttemptOutcome::TimedOut => {
            execution.attempts.record_execution();
            Err(RequestError::DeadlineExceeded)
        }
        AttemptOutcome::Response(answered, in_flight) => Ok(weigh(execution, choice, answered, in_flight)),
    }
}

fn weigh(
    execution: &mut RequestExecution<'_>, choice: &Selection, answered: Box<ServerResponse>,
    mut in_flight: InFlightAttempt,
) -> Option<AcceptedResponse> {
    let class = classify(&answered.head);
    match class {
        ResponseClass::Success => execution.attempts.record_execution(),
        ResponseClass::InvalidRequest => in_flight.void(),
        ResponseClass::Failure => {
            execution.attempts.record_execution();
            if answered.head.status >= 500 {
                in_flight.failed(FailureKind::ServerError);
            } else {
                in_flight.void();
            }
            // What the request itself brought about would come again.
            let is_servers = answered.head.status >= 500;
            if is_servers && execution.attempts.may_execute() && execution.may_arrive() {
                return None;
            }
        }
        ResponseClass::Rejected => {
            execution.attempts.record_rejection();
            execution.was_full = full_by_own_word(&answered);
            in_flight.rejected();
            answered.discard(execution.state);
            return None;
        }
        ResponseClass::Misdirected => {
            execution.attempts.record_rejection();
            in_flight.void();
            execution.misdirected(choice);
            answered.discard(execution.state);
            return None;
        }
        ResponseClass::Unusable => {
            execution.attempts.record_execution();
            in_flight.failed(FailureKind::ConnectionBroken);
            return None;
        }
    }
    Some(AcceptedResponse { answered, in_flight, class })
}

fn full_by_own_word(answered: &ServerResponse) -> Option<bool> {
    let report = answered.head.headers.get_text("load-report")?;
    LoadReport::parse(report, Duration::ZERO).map(|report| report.is_saturated())
}
