//! Serves one request, from the choice of its route to the end of its response.

use crate::http::RequestHead;
use crate::inbound::error_response::RequestError;
use crate::inbound::request::ClientRequest;
use crate::inbound::response_writer::{BodyEncoding, ResponseEnd, ResponseWriter};
use crate::outbound::AttemptHeaders;
use crate::stack::execution::RequestExecution;
use crate::stack::forward::{self, AcceptedResponse};
use crate::stack::relay::{self, RelayOutcome, StreamEnd};
use crate::stack::response_class::ResponseClass;
use crate::stack::sse::EventBuffer;
use crate::stack::{disaggregated, terms};
use crate::state::ProxyState;
use crate::telemetry::outcome::RequestOutcome;
use crate::telemetry::request_trace::RequestTrace;
use lugwharf_config::RouteKind;
use std::rc::Rc;
use std::time::Duration;

/// Returns the timeout of the route that a request matches, if any.
pub fn route_timeout(state: &ProxyState, head: &RequestHead) -> Option<Duration> {
    let routes = state.routes()?;
    routes.match_request(head).ok().map(terms::route_timeout)
}

/// Serves a request and finishes its trace.
pub async fn serve(
    state: &Rc<ProxyState>, request: &ClientRequest, writer: &mut ResponseWriter<'_, '_>,
    trace: &RequestTrace,
) -> ResponseEnd {
    let (end, outcome) = match respond(state, request, writer, trace).await {
        Ok(end) => (end, forwarded_outcome(end, trace)),
        Err(error) => (writer.write_error(error).await, RequestOutcome::Rejected(error)),
    };
    trace.finish(state, request, outcome);
    end
}

/// Returns the outcome of a request whose response came from a server.
fn forwarded_outcome(end: ResponseEnd, trace: &RequestTrace) -> RequestOutcome {
    let is_success = trace.status().is_some_and(|status| status < 400);
    match end {
        ResponseEnd::Incomplete => RequestOutcome::Interrupted,
        ResponseEnd::Complete | ResponseEnd::CompleteAndClose if is_success => RequestOutcome::Success,
        ResponseEnd::Complete | ResponseEnd::CompleteAndClose => RequestOutcome::ServerFailure,
    }
}

/// Forwards the request and its response.
///
/// # Errors
/// No server has returned a response to forward: the proxy must send the error response itself.
async fn respond(
    state: &Rc<ProxyState>, request: &ClientRequest, writer: &mut ResponseWriter<'_, '_>,
    trace: &RequestTrace,
) -> Result<ResponseEnd, RequestError> {
    let routes = state.routes().ok_or(RequestError::NotReady)?;
    let mut execution = RequestExecution::new(state, request, &routes, trace)?;
    if execution.time_left().is_zero() {
        return Err(RequestError::DeadlineBeforeExecution);
    }
    if !state.may_forward(request.arrived, execution.terms.deadline) {
        return Err(RequestError::ShuttingDown);
    }
    match execution.terms.route.route_kind {
        RouteKind::Streaming => stream(&mut execution, writer).await,
        RouteKind::Safe | RouteKind::Unsafe => unary(&mut execution, writer).await,
    }
}

/// Serves a request whose response is not an event stream.
async fn unary(
    execution: &mut RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>,
) -> Result<ResponseEnd, RequestError> {
    let headers = execution.attempt_headers();
    loop {
        let accepted = forward::execute(execution, &headers).await?;
        if let RelayOutcome::Ended(end) = relay::forward_response(execution, writer, accepted).await {
            return Ok(end);
        }
        check_may_retry(execution)?;
    }
}

/// Checks that a request may be retried whose response body failed before any of it was forwarded.
fn check_may_retry(execution: &RequestExecution<'_>) -> Result<(), RequestError> {
    if execution.attempts.may_execute() && !execution.time_left().is_zero() {
        Ok(())
    } else {
        Err(execution.final_error(RequestError::BadGateway))
    }
}

/// Executes a request on a streaming route, on a pair of a prefill and a decode server if its service is
/// disaggregated.
async fn execute(
    execution: &mut RequestExecution<'_>, headers: &AttemptHeaders,
) -> Result<AcceptedResponse, RequestError> {
    if execution.is_disaggregated() {
        disaggregated::execute(execution, headers).await
    } else {
        forward::execute(execution, headers).await
    }
}

/// Serves a request whose response may be an event stream, which is resumed at other servers if it is
/// interrupted.
async fn stream(
    execution: &mut RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>,
) -> Result<ResponseEnd, RequestError> {
    let mut headers = execution.attempt_headers();
    let mut accepted = loop {
        let accepted = execute(execution, &headers).await?;
        if is_event_stream(&accepted) {
            break accepted;
        }
        if let RelayOutcome::Ended(end) = relay::forward_response(execution, writer, accepted).await {
            return Ok(end);
        }
        check_may_retry(execution)?;
    };
    writer.start(&accepted.response.head, BodyEncoding::Chunked);
    let mut events = EventBuffer::default();
    loop {
        match relay::forward_events(execution, writer, &mut accepted, &mut events).await {
            StreamEnd::Complete => {
                let end = writer.finish(BodyEncoding::Chunked, execution.terms.deadline).await;
                accepted.response.release_connection(execution.state);
                return Ok(end);
            }
            StreamEnd::Terminated => return Ok(ResponseEnd::Incomplete),
            StreamEnd::Interrupted => {}
        }
        // Ends the attempt, so that it does not count as in flight while the next server is selected.
        drop(accepted);
        let Some(resumed) = resume(execution, &mut events, &mut headers).await else {
            return Ok(ResponseEnd::Incomplete);
        };
        accepted = resumed;
    }
}

/// Resumes an interrupted stream at another server, after the last event that was forwarded. Returns `None`
/// if that is not possible. The client has already received the head of the first response, so the head of
/// the resumed one is not forwarded.
async fn resume(
    execution: &mut RequestExecution<'_>, events: &mut EventBuffer, headers: &mut AttemptHeaders,
) -> Option<AcceptedResponse> {
    let resumes_streams = execution.state.balancer.borrow().tuning().resumes_streams;
    if !resumes_streams || !execution.attempts.may_execute() || !events.can_resume() {
        return None;
    }
    events.prepare_resumption();
    headers.last_event_id = events.last_event_id().map(<[u8]>::to_vec);
    spdlog::debug!("request={} outcome=resuming", execution.request.id());
    let accepted = execute(execution, headers).await.ok()?;
    is_event_stream(&accepted).then_some(accepted)
}

/// Returns whether the response is a successful stream of server-sent events.
fn is_event_stream(accepted: &AcceptedResponse) -> bool {
    let content_type = accepted.response.head.headers.get_text("content-type").unwrap_or_default();
    accepted.class == ResponseClass::Success && content_type.starts_with("text/event-stream")
}
