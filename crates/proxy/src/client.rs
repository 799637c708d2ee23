//! One client's connection: its requests, one after the other.

use crate::clients::Slot;
use crate::intake::{BodyRoom, Intake, Stop};
use crate::outcome::RequestOutcome;
use crate::reply::{Ended, Reply};
use crate::request::ClientRequest;
use crate::service;
use crate::state::Shared;
use crate::trace::{RequestTrace, TraceGuard};
use crate::wire::{self, Fill};
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
pub async fn serve(shared: &Rc<Shared>, mut stream: TcpStream, slot: &Slot) {
    let (read, mut write) = stream.split();
    let mut intake = Intake::new(read);
    loop {
        slot.idle_since.set(Some(Instant::now()));
        let ended = Box::pin(one(shared, &mut intake, &mut write, slot)).await;
        match ended {
            Ok(Ended::Whole) => {}
            Ok(Ended::Broken) => return,
            Ok(Ended::Close) => return linger(intake.into_reader(), &mut write).await,
            Err(Stop::Gone) => return,
            Err(Stop::Refused(refusal)) => {
                shared.figures.request_ended(RequestOutcome::Refused(refusal));
                spdlog::debug!("request outcome={}", refusal.name());
                Reply::closing(&mut write, shared).refuse(refusal).await;
                return linger(intake.into_reader(), &mut write).await;
            }
        }
    }
}

/// One request and its answer.
async fn one(
    shared: &Rc<Shared>, intake: &mut Intake<'_>, write: &mut WriteHalf<'_>, slot: &Slot,
) -> Result<Ended, Stop> {
    let limits = shared.limits();
    let arrived = intake.begin(&limits, slot).await?;
    slot.idle_since.set(None);
    let head = intake.read_head(&limits).await?;
    let by = service::time_limit(shared, &head).map(|limit| arrived + limit);
    let mut room = BodyRoom::new(shared);
    let body = intake.read_body(write, &head, &limits, by, &mut room).await?;
    let has_body = body.is_some();
    let request = ClientRequest { head, body: body.unwrap_or_default(), has_body, arrived };
    let trace = RequestTrace::default();
    let _guard = TraceGuard::new(&trace, shared, &request);
    // Its close may have come along with the request, as where this process was busy or stood still.
    if intake.has_left() {
        trace.finish(shared, &request, RequestOutcome::Left);
        return Err(Stop::Gone);
    }
    let mut reply = Reply::new(write, shared, &request.head, &trace);
    tokio::select! {
        biased;
        ended = service::serve(shared, &request, &mut reply, &trace) => {
            if ended == Ended::Broken && request.head.is_http10 {
                intake.cut();
            }
            Ok(ended)
        }
        () = intake.left() => {
            trace.finish(shared, &request, RequestOutcome::Left);
            Err(Stop::Gone)
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
        match timeout_at(by, wire::fill(&mut read, &mut buffer)).await {
            Ok(Ok(Fill::Bytes)) => {
                seen += buffer.len();
                buffer.clear();
            }
            _ => return,
        }
    }
}
