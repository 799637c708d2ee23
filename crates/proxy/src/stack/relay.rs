//! Forwards responses of servers to clients.

use crate::http::{Decoded, Framing, ResponseHead};
use crate::inbound::response_writer::{BodyEncoding, ResponseEnd, ResponseWriter};
use crate::outbound::ServerResponse;
use crate::stack::execution::RequestExecution;
use crate::stack::forward::AcceptedResponse;
use crate::stack::sse::EventBuffer;
use crate::telemetry::outcome::BodyFailure;
use bytes::Bytes;
use lugwharf_config::RouteKind;
use lugwharf_routing::FailureKind;
use tokio::time::timeout_at;

/// Bodies up to this size, in bytes, are buffered completely before they are forwarded, so that the request
/// can still be retried if the response is truncated.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;

/// The outcome of forwarding a response.
pub enum RelayOutcome {
    /// The response was forwarded, completely or in part.
    Ended(ResponseEnd),
    /// The body failed before any part of the response was forwarded.
    NotStarted,
}

/// How the forwarding of an event stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The connection to the server broke. The stream may be resumed.
    Interrupted,
    /// The client disconnected, the deadline passed, or the server sent events that must not be forwarded.
    Terminated,
}

/// Forwards a response that is not an event stream.
pub async fn forward_response(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, accepted: AcceptedResponse,
) -> RelayOutcome {
    match accepted.response.framing {
        Framing::Empty => {
            let encoding = empty_encoding(execution, &accepted.response.head);
            forward_complete(execution, writer, accepted, encoding, &[]).await
        }
        Framing::Length(length) if length > MAX_BUFFERED_BODY_BYTES => {
            writer.start(&accepted.response.head, BodyEncoding::Length(length));
            forward_chunks(execution, writer, accepted, BodyEncoding::Length(length)).await
        }
        Framing::Length(length) => forward_buffered(execution, writer, accepted, Some(length)).await,
        // On a streaming route, each chunk is forwarded as it arrives.
        Framing::Chunked | Framing::CloseDelimited
            if execution.terms.route.route_kind == RouteKind::Streaming =>
        {
            writer.start(&accepted.response.head, BodyEncoding::Chunked);
            forward_chunks(execution, writer, accepted, BodyEncoding::Chunked).await
        }
        Framing::Chunked | Framing::CloseDelimited => {
            forward_buffered(execution, writer, accepted, None).await
        }
    }
}

/// Returns the framing of a response without a body. The response to `HEAD` announces the length that the
/// body would have for `GET`.
fn empty_encoding(execution: &RequestExecution<'_>, head: &ResponseHead) -> BodyEncoding {
    let announced = head.headers.get_text("content-length").and_then(|length| length.parse().ok());
    match (head.status, announced) {
        (204 | 304, _) => BodyEncoding::Empty,
        (_, Some(length)) if execution.request.head.method() == "HEAD" => BodyEncoding::Length(length),
        _ => BodyEncoding::Length(0),
    }
}

/// Buffers the body, then forwards the complete response. If a body without a length grows beyond
/// [`MAX_BUFFERED_BODY_BYTES`], the rest is forwarded chunk by chunk.
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
                if error == BodyFailure::Timeout {
                    accepted.in_flight.record_failure(FailureKind::Timeout);
                }
                return RelayOutcome::NotStarted;
            }
        }
        if body.len() as u64 > MAX_BUFFERED_BODY_BYTES {
            writer.start(&accepted.response.head, BodyEncoding::Chunked);
            if writer.write_chunk(BodyEncoding::Chunked, &body, deadline).await.is_err() {
                execution.trace.record_body_failure(BodyFailure::Unread);
                return RelayOutcome::Ended(ResponseEnd::Incomplete);
            }
            return forward_chunks(execution, writer, accepted, BodyEncoding::Chunked).await;
        }
    }
}

/// Forwards a response whose body has been received completely.
async fn forward_complete(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    encoding: BodyEncoding, body: &[u8],
) -> RelayOutcome {
    record_completion(&mut accepted);
    let end = writer.write_complete(&accepted.response.head, encoding, body, execution.terms.deadline).await;
    accepted.response.release_connection(execution.state);
    RelayOutcome::Ended(end)
}

/// Forwards a response without a length whose body has been received completely. The body is sent as a
/// chunked body.
async fn forward_complete_chunked(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    body: &[u8],
) -> RelayOutcome {
    record_completion(&mut accepted);
    writer.start(&accepted.response.head, BodyEncoding::Chunked);
    writer.buffer_chunk(BodyEncoding::Chunked, body);
    let end = writer.finish(BodyEncoding::Chunked, execution.terms.deadline).await;
    accepted.response.release_connection(execution.state);
    RelayOutcome::Ended(end)
}

/// Forwards the rest of a body chunk by chunk. The response has already been started.
async fn forward_chunks(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, mut accepted: AcceptedResponse,
    encoding: BodyEncoding,
) -> RelayOutcome {
    let deadline = execution.terms.deadline;
    loop {
        match read_chunk(execution, &mut accepted).await {
            Ok(Some(data)) => {
                if writer.write_chunk(encoding, &data, deadline).await.is_err() {
                    execution.trace.record_body_failure(BodyFailure::Unread);
                    return RelayOutcome::Ended(ResponseEnd::Incomplete);
                }
            }
            Ok(None) => {
                record_completion(&mut accepted);
                let end = writer.finish(encoding, deadline).await;
                accepted.response.release_connection(execution.state);
                return RelayOutcome::Ended(end);
            }
            Err(_) => return RelayOutcome::Ended(ResponseEnd::Incomplete),
        }
    }
}

/// Records that the complete response has been received. Its latency is reported to the balancer if it is a
/// success.
fn record_completion(accepted: &mut AcceptedResponse) {
    if accepted.response.head.is_success() {
        accepted.in_flight.record_success(accepted.response.sent_at.elapsed());
    }
}

/// Reads the next bytes of the body, until the deadline. Returns `None` at the end of the body. Failures are
/// added to the trace, and a broken connection is reported to the balancer as a failure of the server.
async fn read_chunk(
    execution: &RequestExecution<'_>, accepted: &mut AcceptedResponse,
) -> Result<Option<Bytes>, BodyFailure> {
    let response = &mut accepted.response;
    let read = response.connection.read_body(&mut response.decoder);
    match timeout_at(execution.terms.deadline, read).await {
        Ok(Ok(data)) => Ok(data),
        Ok(Err(_)) => {
            record_broken_body(execution, accepted);
            Err(BodyFailure::Broken)
        }
        Err(_) => {
            execution.trace.record_body_failure(BodyFailure::Timeout);
            Err(BodyFailure::Timeout)
        }
    }
}

/// Records that the body of the response was truncated or violated its framing.
fn record_broken_body(execution: &RequestExecution<'_>, accepted: &mut AcceptedResponse) {
    execution.trace.record_body_failure(BodyFailure::Broken);
    accepted.in_flight.record_failure(FailureKind::ConnectionBroken);
}

/// Forwards the events of one server, each as soon as it is complete. The latency that is reported to the
/// balancer is that of the first event.
pub async fn forward_events(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, accepted: &mut AcceptedResponse,
    events: &mut EventBuffer,
) -> StreamEnd {
    let mut is_first = true;
    loop {
        let decoded = decode_received(&mut accepted.response, events);
        if is_first && !events.complete_events().is_empty() {
            is_first = false;
            accepted.in_flight.record_success(accepted.response.sent_at.elapsed());
        }
        if let Err(end) = write_complete_events(execution, writer, events).await {
            return end;
        }
        match decoded {
            DecodeOutcome::End => return StreamEnd::Complete,
            DecodeOutcome::Interrupted => {
                record_broken_body(execution, accepted);
                return StreamEnd::Interrupted;
            }
            DecodeOutcome::Invalid => {
                execution.trace.record_body_failure(BodyFailure::Invalid);
                return StreamEnd::Terminated;
            }
            DecodeOutcome::Pending => {}
        }
        if let Err(end) = receive_more(execution, writer, accepted).await {
            return end;
        }
    }
}

/// Writes the complete events and removes them from the buffer.
async fn write_complete_events(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, events: &mut EventBuffer,
) -> Result<(), StreamEnd> {
    let complete = events.complete_events();
    if !complete.is_empty() {
        let written = writer.write_chunk(BodyEncoding::Chunked, complete, execution.terms.deadline).await;
        written.map_err(|_| client_stopped_reading(execution))?;
    }
    events.drop_complete_events();
    Ok(())
}

/// Flushes the head if it has not been written with an event, and waits for more bytes of the stream.
async fn receive_more(
    execution: &RequestExecution<'_>, writer: &mut ResponseWriter<'_, '_>, accepted: &mut AcceptedResponse,
) -> Result<(), StreamEnd> {
    let deadline = execution.terms.deadline;
    writer.flush(deadline).await.map_err(|_| client_stopped_reading(execution))?;
    match timeout_at(deadline, accepted.response.fill()).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => {
            record_broken_body(execution, accepted);
            Err(StreamEnd::Interrupted)
        }
        Err(_) => {
            execution.trace.record_body_failure(BodyFailure::Timeout);
            Err(StreamEnd::Terminated)
        }
    }
}

/// Records that the client stopped reading.
fn client_stopped_reading(execution: &RequestExecution<'_>) -> StreamEnd {
    execution.trace.record_body_failure(BodyFailure::Unread);
    StreamEnd::Terminated
}

/// The result of decoding the bytes received so far.
enum DecodeOutcome {
    /// More bytes have to be received.
    Pending,
    /// The stream is complete.
    End,
    /// The stream was truncated or violated its framing.
    Interrupted,
    /// The received events must not be forwarded.
    Invalid,
}

/// Decodes all received bytes into the event buffer, without waiting.
fn decode_received(response: &mut ServerResponse, events: &mut EventBuffer) -> DecodeOutcome {
    loop {
        match response.connection.decode(&mut response.decoder) {
            Ok(Decoded::Data(data)) => {
                if events.push(&data).is_err() {
                    return DecodeOutcome::Invalid;
                }
            }
            Ok(Decoded::Pending) => return DecodeOutcome::Pending,
            // A close-delimited stream that ends within an event is truncated.
            Ok(Decoded::End) if response.framing == Framing::CloseDelimited && events.has_partial_event() => {
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
