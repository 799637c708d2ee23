//! Forwards responses of servers to clients.

use crate::http::{Decoded, Framing, ResponseHead};
use crate::inbound::response_writer::{BodyEncoding, ResponseEnd, ResponseWriter};
use crate::outbound::ServerResponse;
use crate::stack::execution::RequestExecution;
use crate::stack::forward::AcceptedResponse;
use crate::stack::sse::EventBuffer;
use crate::telemetry::outcome::BodyOutcome;
use bytes::Bytes;
use lugwharf_config::RouteKind;
use lugwharf_routing::FailureKind;
use tokio::time::timeout_at;

/// Bodies up to this size, in bytes, are buffered before they are forwarded, so that a request whose response breaks off can
/// still be retried.
const MAX_BUFFERED_BODY: u64 = 64 * 1024;

/// How the forwarding of a response ended.
pub enum RelayOutcome {
    /// It was forwarded as far as possible.
    Ended(ResponseEnd),
    /// It broke off before any of it was forwarded.
    NotStarted,
}

/// How the forwarding of a stream of events ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The server broke it off; it may be resumed.
    Interrupted,
    /// The client disconnected, the deadline passed, or the server sent events that must not be forwarded.
    Terminated,
}

/// Forwards a response that is no stream of events.
pub async fn forward_response(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, accepted: AcceptedResponse,
) -> RelayOutcome {
    match accepted.response.framing {
        Framing::Empty => {
            let encoding = empty_encoding(execution, &accepted.response.head);
            forward_complete(execution, writer, accepted, encoding, &[]).await
        }
        Framing::Length(length) if length > MAX_BUFFERED_BODY => {
            writer.start(&accepted.response.head, BodyEncoding::Length(length));
            forward_chunks(execution, writer, accepted, BodyEncoding::Length(length)).await
        }
        Framing::Length(length) => forward_buffered(execution, writer, accepted, Some(length)).await,
        // On a streaming route each chunk is forwarded at once.
        Framing::Chunked | Framing::UntilEnd if execution.terms.route.route_kind == RouteKind::Streaming => {
            writer.start(&accepted.response.head, BodyEncoding::Chunked);
            forward_chunks(execution, writer, accepted, BodyEncoding::Chunked).await
        }
        Framing::Chunked | Framing::UntilEnd => forward_buffered(execution, writer, accepted, None).await,
    }
}

/// The length that a response without a body announces: that of the body which `GET` would have for `HEAD`.
fn empty_encoding(execution: &RequestExecution<'_>, head: &ResponseHead) -> BodyEncoding {
    let announced = head.headers.get_text("content-length").and_then(|length| length.parse().ok());
    match (head.status, announced) {
        (204 | 304, _) => BodyEncoding::Empty,
        (_, Some(length)) if execution.request.head.method() == "HEAD" => BodyEncoding::Length(length),
        _ => BodyEncoding::Length(0),
    }
}

/// Buffers the body, then forwards the complete response. A body without a length that grows beyond [`MAX_BUFFERED_BODY`] is
/// forwarded in chunks from there on.
async fn forward_buffered(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    length: Option<u64>,
) -> RelayOutcome {
    let deadline = execution.terms.deadline;
    let mut body = Vec::with_capacity(length.unwrap_or(0) as usize);
    loop {
        match read_chunk(execution, &mut accepted).await {
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) => {
                return match length {
                    Some(length) => {
                        let encoding = BodyEncoding::Length(length);
                        forward_complete(execution, writer, accepted, encoding, &body).await
                    }
                    None => forward_complete_chunked(execution, writer, accepted, &body).await,
                };
            }
            Err(error) => {
                if error == BodyOutcome::Timeout {
                    accepted.in_flight.record_failure(FailureKind::Timeout);
                }
                return RelayOutcome::NotStarted;
            }
        }
        if body.len() as u64 > MAX_BUFFERED_BODY {
            writer.start(&accepted.response.head, BodyEncoding::Chunked);
            if writer.write_chunk(BodyEncoding::Chunked, &body, deadline).await.is_err() {
                execution.trace.record_body_failure(BodyOutcome::Unread);
                return RelayOutcome::Ended(ResponseEnd::Incomplete);
            }
            return forward_chunks(execution, writer, accepted, BodyEncoding::Chunked).await;
        }
    }
}

/// Forwards a response whose body was received completely.
async fn forward_complete(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    encoding: BodyEncoding, body: &[u8],
) -> RelayOutcome {
    record_complete(&mut accepted);
    let end = writer.write_complete(&accepted.response.head, encoding, body, execution.terms.deadline).await;
    accepted.response.finish(execution.state);
    RelayOutcome::Ended(end)
}

/// Forwards a response whose chunked body was received completely. It stays chunked.
async fn forward_complete_chunked(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    body: &[u8],
) -> RelayOutcome {
    record_complete(&mut accepted);
    writer.start(&accepted.response.head, BodyEncoding::Chunked);
    writer.buffer_chunk(BodyEncoding::Chunked, body);
    let end = writer.finish(BodyEncoding::Chunked, execution.terms.deadline).await;
    accepted.response.finish(execution.state);
    RelayOutcome::Ended(end)
}

/// Forwards the rest of a body chunk by chunk. The head has been written.
async fn forward_chunks(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    encoding: BodyEncoding,
) -> RelayOutcome {
    let deadline = execution.terms.deadline;
    loop {
        match read_chunk(execution, &mut accepted).await {
            Ok(Some(data)) => {
                if writer.write_chunk(encoding, &data, deadline).await.is_err() {
                    execution.trace.record_body_failure(BodyOutcome::Unread);
                    return RelayOutcome::Ended(ResponseEnd::Incomplete);
                }
            }
            Ok(None) => {
                record_complete(&mut accepted);
                let end = writer.finish(encoding, deadline).await;
                accepted.response.finish(execution.state);
                return RelayOutcome::Ended(end);
            }
            Err(_) => return RelayOutcome::Ended(ResponseEnd::Incomplete),
        }
    }
}

/// The server has sent a complete response: its latency counts if it is a success.
fn record_complete(accepted: &mut AcceptedResponse) {
    if accepted.response.head.is_success() {
        accepted.in_flight.record_success(accepted.response.sent_at.elapsed());
    }
}

/// Reads the next bytes of the body, until the deadline; `None` at its end. Errors are added to the trace; a broken connection
/// counts as a failure of the server.
async fn read_chunk(
    execution: &RequestExecution<'_>, accepted: &mut AcceptedResponse,
) -> Result<Option<Bytes>, BodyOutcome> {
    let response = &mut accepted.response;
    let read = response.connection.read_body(&mut response.decoder);
    match timeout_at(execution.terms.deadline, read).await {
        Ok(Ok(data)) => Ok(data),
        Ok(Err(_)) => {
            record_broken(execution, accepted);
            Err(BodyOutcome::Broken)
        }
        Err(_) => {
            execution.trace.record_body_failure(BodyOutcome::Timeout);
            Err(BodyOutcome::Timeout)
        }
    }
}

/// The server broke off its response.
fn record_broken(execution: &RequestExecution<'_>, accepted: &mut AcceptedResponse) {
    execution.trace.record_body_failure(BodyOutcome::Broken);
    accepted.in_flight.record_failure(FailureKind::ConnectionBroken);
}

/// Forwards the events of one server, each as soon as it is complete. The latency of the server is that of its first event.
pub async fn forward_events(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, accepted: &mut AcceptedResponse,
    events: &mut EventBuffer,
) -> StreamEnd {
    let mut is_first = true;
    loop {
        let decoded = decode_received(&mut accepted.response, events);
        if is_first && !events.complete().is_empty() {
            is_first = false;
            accepted.in_flight.record_success(accepted.response.sent_at.elapsed());
        }
        if let Err(end) = write_complete_events(execution, writer, events).await {
            return end;
        }
        match decoded {
            DecodeOutcome::End => return StreamEnd::Complete,
            DecodeOutcome::Interrupted => {
                record_broken(execution, accepted);
                return StreamEnd::Interrupted;
            }
            DecodeOutcome::Invalid => {
                execution.trace.record_body_failure(BodyOutcome::Invalid);
                return StreamEnd::Terminated;
            }
            DecodeOutcome::More => {}
        }
        if let Err(end) = receive_more(execution, writer, accepted).await {
            return end;
        }
    }
}

/// Writes the complete events and drops them from the buffer.
async fn write_complete_events(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, events: &mut EventBuffer,
) -> Result<(), StreamEnd> {
    let complete = events.complete();
    if !complete.is_empty() {
        let written = writer.write_chunk(BodyEncoding::Chunked, complete, execution.terms.deadline).await;
        written.map_err(|_| client_stopped_reading(execution))?;
    }
    events.drop_complete();
    Ok(())
}

/// Flushes the head, if no event came with it, and waits for more of the stream.
async fn receive_more(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, accepted: &mut AcceptedResponse,
) -> Result<(), StreamEnd> {
    let deadline = execution.terms.deadline;
    writer.flush(deadline).await.map_err(|_| client_stopped_reading(execution))?;
    match timeout_at(deadline, accepted.response.fill()).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => {
            record_broken(execution, accepted);
            Err(StreamEnd::Interrupted)
        }
        Err(_) => {
            execution.trace.record_body_failure(BodyOutcome::Timeout);
            Err(StreamEnd::Terminated)
        }
    }
}

fn client_stopped_reading(execution: &RequestExecution<'_>) -> StreamEnd {
    execution.trace.record_body_failure(BodyOutcome::Unread);
    StreamEnd::Terminated
}

/// How the decoding of the bytes received so far ended.
enum DecodeOutcome {
    /// The stream goes on.
    More,
    /// The stream is complete.
    End,
    /// The server broke it off.
    Interrupted,
    /// What came must not be forwarded.
    Invalid,
}

/// Decodes all that was received into the event buffer, without waiting.
fn decode_received(response: &mut ServerResponse, events: &mut EventBuffer) -> DecodeOutcome {
    loop {
        match response.connection.decode(&mut response.decoder) {
            Ok(Decoded::Data(data)) => {
                if events.push(&data).is_err() {
                    return DecodeOutcome::Invalid;
                }
            }
            Ok(Decoded::More) => return DecodeOutcome::More,
            // Without a length only this tells a complete event from a partial one.
            Ok(Decoded::End) if response.framing == Framing::UntilEnd && events.has_partial_event() => {
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
