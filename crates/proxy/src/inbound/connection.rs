//! A client connection, which serves its requests one after the other.

use crate::http::{self, Fill};
use crate::inbound::body_reservation::BodyReservation;
use crate::inbound::connections::ConnectionSlot;
use crate::inbound::error_response::RequestError;
use crate::inbound::request::ClientRequest;
use crate::inbound::request_reader::{ReadFailure, RequestReader};
use crate::inbound::response_writer::{ResponseEnd, ResponseWriter};
use crate::stack::service;
use crate::state::ProxyState;
use crate::telemetry::outcome::RequestOutcome;
use crate::telemetry::request_trace::{RequestTrace, TraceGuard};
use bytes::BytesMut;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, timeout_at};

/// The maximum duration of a lingering close: after a response that closes the connection, bytes that the
/// client still sends are read and discarded. Closing the socket with unread bytes would reset the
/// connection, and the client could lose the response.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// The maximum number of bytes that a lingering close discards.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Serves a connection until it closes.
pub async fn serve(state: &Rc<ProxyState>, mut stream: TcpStream, slot: &ConnectionSlot) {
    let (read, mut write) = stream.split();
    let mut reader = RequestReader::new(read, state, slot);
    loop {
        slot.idle_since.set(Some(Instant::now()));
        // Boxed, so that a connection between requests does not hold the large future of a request.
        let served = Box::pin(serve_request(state, &mut reader, &mut write, slot)).await;
        match served {
            Ok(ResponseEnd::Complete) => {}
            Ok(ResponseEnd::Incomplete) => return,
            Ok(ResponseEnd::CompleteAndClose) => return linger(reader.into_read_half(), &mut write).await,
            Err(ReadFailure::Disconnected) => return,
            Err(ReadFailure::Rejected(error)) => {
                state.metrics.record_request(RequestOutcome::Rejected(error));
                spdlog::debug!("request outcome={}", error.name());
                ResponseWriter::closing(&mut write, state, slot).write_error(error).await;
                return linger(reader.into_read_half(), &mut write).await;
            }
        }
    }
}

/// Reads one request and serves it. The request is cancelled if its client disconnects, and is answered with
/// an error if it is still in progress when the process has to end.
async fn serve_request(
    state: &Rc<ProxyState>, reader: &mut RequestReader<'_>, write: &mut WriteHalf<'_>, slot: &ConnectionSlot,
) -> Result<ResponseEnd, ReadFailure> {
    let arrival = reader.wait_for_request().await?;
    slot.idle_since.set(None);
    let head = reader.read_head(&arrival.limits).await?;
    let deadline = service::route_timeout(state, &head).map(|timeout| arrival.at + timeout);
    let mut reservation = BodyReservation::new(state);
    let body = reader.read_body(write, &head, &arrival.limits, deadline, &mut reservation).await?;
    reader.record_read_ahead();
    let has_body = body.is_some();
    let request = ClientRequest { head, body: body.unwrap_or_default(), has_body, arrived: arrival.at };
    let trace = RequestTrace::default();
    let _guard = TraceGuard::new(&trace, state, &request);
    // The client may have closed the connection right after the request, while this process was busy or
    // paused.
    if reader.is_disconnected() {
        trace.finish(state, &request, RequestOutcome::ClientDisconnected);
        return Err(ReadFailure::Disconnected);
    }
    let mut writer = ResponseWriter::new(write, state, slot, &request.head, &trace);
    let end = tokio::select! {
        biased;
        end = service::serve(state, &request, &mut writer, &trace) => end,
        () = reader.wait_for_disconnect() => {
            trace.finish(state, &request, RequestOutcome::ClientDisconnected);
            return Err(ReadFailure::Disconnected);
        }
        () = slot.wait_for_abort_request() => {
            abort(state, &request, &mut writer, &trace).await
        }
    };
    if end == ResponseEnd::Incomplete && request.head.is_http10 {
        reader.reset_on_close();
    }
    Ok(end)
}

/// Answers a request that is still in progress when the process has to end. A server may have executed it. A
/// response that has been started stays incomplete.
async fn abort(
    state: &ProxyState, request: &ClientRequest, writer: &mut ResponseWriter<'_, '_>, trace: &RequestTrace,
) -> ResponseEnd {
    let error = RequestError::DeadlineExceeded;
    let end = writer.write_error(error).await;
    let outcome = match end {
        ResponseEnd::Incomplete => RequestOutcome::Interrupted,
        ResponseEnd::Complete | ResponseEnd::CompleteAndClose => RequestOutcome::Rejected(error),
    };
    trace.finish(state, request, outcome);
    end
}

/// Closes the connection after its last response: shuts down the writing side, and discards what the client
/// still sends.
async fn linger(mut read: ReadHalf<'_>, write: &mut WriteHalf<'_>) {
    if write.shutdown().await.is_err() {
        return;
    }
    let deadline = Instant::now() + LINGER_TIME;
    let (mut buffer, mut discarded) = (BytesMut::new(), 0);
    while discarded < MAX_LINGER_BYTES {
        match timeout_at(deadline, http::fill(&mut read, &mut buffer)).await {
            Ok(Ok(Fill::Received)) => {
                discarded += buffer.len();
                buffer.clear();
            }
            _ => return,
        }
    }
}
