//! One client's connection: its requests, one after the other.

use crate::http::{self, Fill};
use crate::inbound::connections::ConnectionSlot;
use crate::inbound::request::ClientRequest;
use crate::inbound::request_reader::{BodyReservation, ReadEnd, RequestReader};
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

/// After an answer that closes, what still comes is read for so long and so far, so that it does not reset the connection under the
/// answer.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 * 1024;

/// Serves the connection until it ends.
pub async fn serve(state: &Rc<ProxyState>, mut stream: TcpStream, slot: &ConnectionSlot) {
    let (read, mut write) = stream.split();
    let mut intake = RequestReader::new(read);
    loop {
        slot.idle_since.set(Some(Instant::now()));
        let ended = Box::pin(one(state, &mut intake, &mut write, slot)).await;
        match ended {
            Ok(ResponseEnd::Complete) => {}
            Ok(ResponseEnd::Incomplete) => return,
            Ok(ResponseEnd::CompleteAndClose) => return linger(intake.into_reader(), &mut write).await,
            Err(ReadEnd::Disconnected) => return,
            Err(ReadEnd::Error(refusal)) => {
                state.metrics.request_ended(RequestOutcome::Rejected(refusal));
                spdlog::debug!("request outcome={}", refusal.name());
                ResponseWriter::closing(&mut write, state).refuse(refusal).await;
                return linger(intake.into_reader(), &mut write).await;
            }
        }
    }
}

/// One request and its answer.
async fn one(
    state: &Rc<ProxyState>, intake: &mut RequestReader<'_>, write: &mut WriteHalf<'_>, slot: &ConnectionSlot,
) -> Result<ResponseEnd, ReadEnd> {
    let limits = state.limits();
    let arrived = intake.begin(&limits, slot).await?;
    slot.idle_since.set(None);
    let head = intake.read_head(&limits).await?;
    let by = service::time_limit(state, &head).map(|limit| arrived + limit);
    let mut room = BodyReservation::new(state);
    let body = intake.read_body(write, &head, &limits, by, &mut room).await?;
    let has_body = body.is_some();
    let request = ClientRequest { head, body: body.unwrap_or_default(), has_body, arrived };
    let trace = RequestTrace::default();
    let _guard = TraceGuard::new(&trace, state, &request);
    // Its close may have come along with the request, as where this process was busy or stood still.
    if intake.is_disconnected() {
        trace.finish(state, &request, RequestOutcome::ClientDisconnected);
        return Err(ReadEnd::Disconnected);
    }
    let mut reply = ResponseWriter::new(write, state, &request.head, &trace);
    tokio::select! {
        biased;
        ended = service::serve(state, &request, &mut reply, &trace) => {
            if ended == ResponseEnd::Incomplete && request.head.is_http10 {
                intake.cut();
            }
            Ok(ended)
        }
        () = intake.left() => {
            trace.finish(state, &request, RequestOutcome::ClientDisconnected);
            Err(ReadEnd::Disconnected)
        }
    }
}

/// Closes the writing side and reads on for a moment.
async fn linger(mut read: ReadHalf<'_>, write: &mut WriteHalf<'_>) {
    if write.shutdown().await.is_err() {
        return;
    }
    let by = Instant::now() + LINGER;
    let (mut buffer, mut seen) = (BytesMut::new(), 0);
    while seen < LINGER_BYTES {
        match timeout_at(by, http::fill(&mut read, &mut buffer)).await {
            Ok(Ok(Fill::Bytes)) => {
                seen += buffer.len();
                buffer.clear();
            }
            _ => return,
        }
    }
}
