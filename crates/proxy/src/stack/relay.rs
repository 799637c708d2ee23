//! Brings answers of servers to clients.

use crate::http::{Decoded, Framing, ResponseHead};
use crate::inbound::response_writer::{BodyEncoding, ResponseEnd, ResponseWriter};
use crate::outbound::ServerResponse;
use crate::stack::execution::RequestExecution;
use crate::stack::forward::AcceptedResponse;
use crate::stack::sse::EventBuffer;
use crate::telemetry::outcome::BodyOutcome;
use lugwharf_config::RouteKind;
use lugwharf_routing::FailureKind;
use tokio::time::timeout_at;

/// Bodies up to this size are read whole before they go on, so that one that breaks off can still be asked for again.
const WHOLE_BODY: u64 = 64 * 1024;

/// How an answer went on.
pub enum RelayOutcome {
    /// As far as it could.
    ResponseEnd(ResponseEnd),
    /// It broke off before anything of it went on.
    NotStarted,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It is complete.
    Complete,
    /// The server broke it off.
    Interrupted,
    /// The client has left, its time is over, or what came must not go on.
    Terminated,
}

/// An answer that is no stream of events.
pub async fn answer(
    execution: &RequestExecution<'_>, reply: &mut ResponseWriter<'_, '_>, accepted: AcceptedResponse,
) -> RelayOutcome {
    match accepted.answered.framing {
        Framing::Empty => {
            let kind = empty_kind(execution, &accepted.answered.head);
            finish_whole(execution, reply, accepted, kind, &[]).await
        }
        Framing::Length(length) if length > WHOLE_BODY => {
            pieces(execution, reply, accepted, BodyEncoding::Length(length)).await
        }
        Framing::Length(length) => whole(execution, reply, accepted, Some(length)).await,
        // On a streaming route whatever comes goes on at once.
        Framing::Chunked | Framing::UntilEnd if execution.route.route_kind == RouteKind::Streaming => {
            pieces(execution, reply, accepted, BodyEncoding::Chunked).await
        }
        Framing::Chunked | Framing::UntilEnd => whole(execution, reply, accepted, None).await,
    }
}

/// What an answer without a body tells of a length.
fn empty_kind(execution: &RequestExecution<'_>, head: &ResponseHead) -> BodyEncoding {
    let told = head.headers.get_text("content-length").and_then(|length| length.parse().ok());
    match (head.status, told) {
        (204 | 304, _) => BodyEncoding::Empty,
        (_, Some(length)) if execution.request.head.method() == "HEAD" => BodyEncoding::Length(length),
        _ => BodyEncoding::Length(0),
    }
}

async fn finish_whole(
    execution: &RequestExecution<'_>, reply: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    kind: BodyEncoding, body: &[u8],
) -> RelayOutcome {
    if accepted.answered.head.is_success() {
        accepted.in_flight.answered(accepted.answered.sent.elapsed());
    }
    let ended = reply.whole(&accepted.answered.head, kind, body, execution.by).await;
    accepted.answered.finish(execution.state);
    RelayOutcome::ResponseEnd(ended)
}

/// Reads a body whole, then passes it on; a chunked one that grows too large goes on in pieces.
async fn whole(
    execution: &RequestExecution<'_>, reply: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    length: Option<u64>,
) -> RelayOutcome {
    let mut body = Vec::with_capacity(length.unwrap_or(0) as usize);
    loop {
        let answered = &mut accepted.answered;
        let read = answered.connection.read_body(&mut answered.decoder);
        match timeout_at(execution.by, read).await {
            Ok(Ok(Some(data))) => body.extend_from_slice(&data),
            Ok(Ok(None)) => {
                let kind = length.map_or(BodyEncoding::Chunked, BodyEncoding::Length);
                if kind == BodyEncoding::Chunked {
                    return chunked_whole(execution, reply, accepted, &body).await;
                }
                return finish_whole(execution, reply, accepted, kind, &body).await;
            }
            Ok(Err(_)) => {
                execution.trace.body_ended(BodyOutcome::Broken);
                accepted.in_flight.failed(FailureKind::ConnectionBroken);
                return RelayOutcome::NotStarted;
            }
            Err(_) => {
                execution.trace.body_ended(BodyOutcome::Timeout);
                accepted.in_flight.failed(FailureKind::Timeout);
                return RelayOutcome::NotStarted;
            }
        }
        if body.len() as u64 > WHOLE_BODY {
            reply.begin(&accepted.answered.head, BodyEncoding::Chunked);
            if reply.piece(BodyEncoding::Chunked, &body, execution.by).await.is_err() {
                execution.trace.body_ended(BodyOutcome::Unread);
                return RelayOutcome::ResponseEnd(ResponseEnd::Incomplete);
            }
            return rest(execution, reply, accepted, BodyEncoding::Chunked).await;
        }
    }
}

async fn chunked_whole(
    execution: &RequestExecution<'_>, reply: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    body: &[u8],
) -> RelayOutcome {
    if accepted.answered.head.is_success() {
        accepted.in_flight.answered(accepted.answered.sent.elapsed());
    }
    reply.begin(&accepted.answered.head, BodyEncoding::Chunked);
    reply.hold(BodyEncoding::Chunked, body);
    let ended = reply.end(BodyEncoding::Chunked, execution.by).await;
    accepted.answered.finish(execution.state);
    RelayOutcome::ResponseEnd(ended)
}

async fn pieces(
    execution: &RequestExecution<'_>, reply: &mut ResponseWriter<'_, '_>, accepted: AcceptedResponse,
    kind: BodyEncoding,
) -> RelayOutcome {
    reply.begin(&accepted.answered.head, kind);
    rest(execution, reply, accepted, kind).await
}

async fn rest(
    execution: &RequestExecution<'_>, reply: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    kind: BodyEncoding,
) -> RelayOutcome {
    loop {
        let answered = &mut accepted.answered;
        let read = answered.connection.read_body(&mut answered.decoder);
        match timeout_at(execution.by, read).await {
            Ok(Ok(Some(data))) => {
                if reply.piece(kind, &data, execution.by).await.is_err() {
                    execution.trace.body_ended(BodyOutcome::Unread);
                    return RelayOutcome::ResponseEnd(ResponseEnd::Incomplete);
                }
            }
            Ok(Ok(None)) => {
                if accepted.answered.head.is_success() {
                    accepted.in_flight.answered(accepted.answered.sent.elapsed());
                }
                let ended = reply.end(kind, execution.by).await;
                accepted.answered.finish(execution.state);
                return RelayOutcome::ResponseEnd(ended);
            }
            Ok(Err(_)) => {
                execution.trace.body_ended(BodyOutcome::Broken);
                accepted.in_flight.failed(FailureKind::ConnectionBroken);
                return RelayOutcome::ResponseEnd(ResponseEnd::Incomplete);
            }
            Err(_) => {
                execution.trace.body_ended(BodyOutcome::Timeout);
                return RelayOutcome::ResponseEnd(ResponseEnd::Incomplete);
            }
        }
    }
}

/// Passes the events of one run on, each as soon as it has come whole.
pub async fn events(
    execution: &RequestExecution<'_>, reply: &mut ResponseWriter<'_, '_>, accepted: &mut AcceptedResponse,
    events: &mut EventBuffer,
) -> StreamEnd {
    let mut is_first = true;
    loop {
        let decoded = read_available(&mut accepted.answered, events);
        let has_any = !events.whole().is_empty();
        if is_first && has_any {
            is_first = false;
            accepted.in_flight.answered(accepted.answered.sent.elapsed());
        }
        if has_any && reply.piece(BodyEncoding::Chunked, events.whole(), execution.by).await.is_err() {
            execution.trace.body_ended(BodyOutcome::Unread);
            return StreamEnd::Terminated;
        }
        events.passed();
        match decoded {
            DecodeOutcome::End => return StreamEnd::Complete,
            DecodeOutcome::Interrupted => {
                execution.trace.body_ended(BodyOutcome::Broken);
                accepted.in_flight.failed(FailureKind::ConnectionBroken);
                return StreamEnd::Interrupted;
            }
            DecodeOutcome::Invalid => {
                execution.trace.body_ended(BodyOutcome::Invalid);
                return StreamEnd::Terminated;
            }
            DecodeOutcome::More => {}
        }
        if reply.flush(execution.by).await.is_err() {
            execution.trace.body_ended(BodyOutcome::Unread);
            return StreamEnd::Terminated;
        }
        match timeout_at(execution.by, accepted.answered.fill()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => {
                execution.trace.body_ended(BodyOutcome::Broken);
                accepted.in_flight.failed(FailureKind::ConnectionBroken);
                return StreamEnd::Interrupted;
            }
            Err(_) => {
                execution.trace.body_ended(BodyOutcome::Timeout);
                return StreamEnd::Terminated;
            }
        }
    }
}

enum DecodeOutcome {
    More,
    End,
    Interrupted,
    Invalid,
}

/// Takes in all that has been read.
fn read_available(answered: &mut ServerResponse, events: &mut EventBuffer) -> DecodeOutcome {
    loop {
        match answered.connection.decode(&mut answered.decoder) {
            Ok(Decoded::Data(data)) => {
                if events.push(&data).is_err() {
                    return DecodeOutcome::Invalid;
                }
            }
            Ok(Decoded::More) => return DecodeOutcome::More,
            // Without a length nothing else tells a whole event from the beginning of one.
            Ok(Decoded::End) if answered.framing == Framing::UntilEnd && events.has_partial_event() => {
                return DecodeOutcome::Interrupted;
            }
            Ok(Decoded::End) => {
                events.finish();
                return DecodeOutcome::End;
            }
            Err(_) => return DecodeOutcome::Interrupted,
        }
    }
}
