//! Serves one request, from its route to the end of its answer.

use crate::http::RequestHead;
use crate::inbound::error_response::RequestError;
use crate::inbound::request::ClientRequest;
use crate::inbound::response_writer::{BodyEncoding, ResponseEnd, ResponseWriter};
use crate::outbound::AttemptHeaders;
use crate::stack::disaggregated;
use crate::stack::execution::{self, RequestExecution};
use crate::stack::forward::{self, AcceptedResponse};
use crate::stack::relay::{self, RelayOutcome, StreamEnd};
use crate::stack::response_class::ResponseClass;
use crate::stack::sse::EventBuffer;
use crate::state::ProxyState;
use crate::telemetry::outcome::RequestOutcome;
use crate::telemetry::request_trace::RequestTrace;
use lugwharf_config::RouteKind;
use std::rc::Rc;
use std::time::Duration;

/// The longest time that its route allows for a request, if it has one.
pub fn time_limit(state: &ProxyState, head: &RequestHead) -> Option<Duration> {
    let routes = state.routes()?;
    execution::find(head, &routes).ok().map(execution::time_limit)
}

/// Serves a request, and tells its trace how it ended.
pub async fn serve(
    state: &Rc<ProxyState>, request: &ClientRequest, reply: &mut ResponseWriter<'_, '_>, trace: &RequestTrace,
) -> ResponseEnd {
    let (ended, outcome) = match answer(state, request, reply, trace).await {
        Ok(ended) => (ended, answered(ended, trace)),
        Err(refusal) => (reply.refuse(refusal).await, RequestOutcome::Rejected(refusal)),
    };
    trace.finish(state, request, outcome);
    ended
}

fn answered(ended: ResponseEnd, trace: &RequestTrace) -> RequestOutcome {
    let is_success = trace.status().is_some_and(|status| status < 400);
    match ended {
        ResponseEnd::Incomplete => RequestOutcome::Interrupted,
        ResponseEnd::Complete | ResponseEnd::CompleteAndClose if is_success => RequestOutcome::Success,
        ResponseEnd::Complete | ResponseEnd::CompleteAndClose => RequestOutcome::ServerFailure,
    }
}

/// Brings the client an answer of a server.
async fn answer(
    state: &Rc<ProxyState>, request: &ClientRequest, reply: &mut ResponseWriter<'_, '_>, trace: &RequestTrace,
) -> Result<ResponseEnd, RequestError> {
    let routes = state.routes().ok_or(RequestError::NotReady)?;
    let mut execution = RequestExecution::new(state, request, &routes, trace)?;
    if execution.left().is_zero() {
        return Err(RequestError::DeadlineBeforeExecution);
    }
    match execution.route.route_kind {
        RouteKind::Streaming => stream(&mut execution, reply).await,
        RouteKind::Safe | RouteKind::Unsafe => plain(&mut execution, reply).await,
    }
}

async fn plain(
    execution: &mut RequestExecution<'_>, reply: &mut ResponseWriter<'_, '_>,
) -> Result<ResponseEnd, RequestError> {
    let extra = execution.extra();
    loop {
        let accepted = forward::obtain(execution, &extra).await?;
        if let RelayOutcome::ResponseEnd(ended) = relay::answer(execution, reply, accepted).await {
            return Ok(ended);
        }
        unbegun(execution)?;
    }
}

/// An answer broke off before anything of it went on: whether it may be asked for again.
fn unbegun(execution: &RequestExecution<'_>) -> Result<(), RequestError> {
    if execution.attempts.may_execute() && !execution.left().is_zero() {
        Ok(())
    } else {
        Err(execution.give_up(RequestError::BadGateway))
    }
}

async fn obtain(
    execution: &mut RequestExecution<'_>, extra: &AttemptHeaders,
) -> Result<AcceptedResponse, RequestError> {
    if execution.is_split() {
        disaggregated::obtain(execution, extra).await
    } else {
        forward::obtain(execution, extra).await
    }
}

async fn stream(
    execution: &mut RequestExecution<'_>, reply: &mut ResponseWriter<'_, '_>,
) -> Result<ResponseEnd, RequestError> {
    let mut extra = execution.extra();
    let mut accepted = loop {
        let accepted = obtain(execution, &extra).await?;
        if is_stream(&accepted) {
            break accepted;
        }
        if let RelayOutcome::ResponseEnd(ended) = relay::answer(execution, reply, accepted).await {
            return Ok(ended);
        }
        unbegun(execution)?;
    };
    reply.begin(&accepted.answered.head, BodyEncoding::Chunked);
    let mut events = EventBuffer::default();
    loop {
        match relay::events(execution, reply, &mut accepted, &mut events).await {
            StreamEnd::Complete => {
                let ended = reply.end(BodyEncoding::Chunked, execution.by).await;
                accepted.answered.finish(execution.state);
                return Ok(ended);
            }
            StreamEnd::Terminated => return Ok(ResponseEnd::Incomplete),
            StreamEnd::Interrupted => {}
        }
        drop(accepted);
        let Some(next) = resume(execution, &mut events, &mut extra).await else {
            return Ok(ResponseEnd::Incomplete);
        };
        accepted = next;
    }
}

/// The next run of a stream that was cut, if there may be one. The answer keeps the head of its first server.
async fn resume(
    execution: &mut RequestExecution<'_>, events: &mut EventBuffer, extra: &mut AttemptHeaders,
) -> Option<AcceptedResponse> {
    let resumes = execution.state.balancer.borrow().tuning().resumes_streams;
    if !resumes || !execution.attempts.may_execute() || !events.can_resume() {
        return None;
    }
    events.resume();
    extra.last_event_id = events.last_id().map(<[u8]>::to_vec);
    spdlog::debug!("request={} outcome=resuming", execution.request.id());
    let accepted = obtain(execution, extra).await.ok()?;
    is_stream(&accepted).then_some(accepted)
}

fn is_stream(accepted: &AcceptedResponse) -> bool {
    let kind = accepted.answered.head.headers.get_text("content-type").unwrap_or_default();
    accepted.class == ResponseClass::Success && kind.starts_with("text/event-stream")
}
