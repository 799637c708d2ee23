//! Brings answers of servers to clients.

use crate::events::Events;
use crate::forward::Taken;
use crate::job::Job;
use crate::outcome::BodyOutcome;
use crate::reply::{BodyKind, Ended, Reply};
use crate::upstream::Answered;
use crate::wire::{Decoded, Framing, ResponseHead};
use lugwharf_config::RouteKind;
use lugwharf_routing::FailureKind;
use tokio::time::timeout_at;

/// Bodies up to this size are read whole before they go on, so that one that breaks off can still be asked for again.
const WHOLE_BODY: u64 = 64 * 1024;

/// How an answer went on.
pub enum Relayed {
    /// As far as it could.
    Ended(Ended),
    /// It broke off before anything of it went on.
    Unbegun,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It is complete.
    Complete,
    /// The server broke it off.
    Cut,
    /// The client has left, its time is over, or what came must not go on.
    Over,
}

/// An answer that is no stream of events.
pub async fn answer(job: &Job<'_>, reply: &mut Reply<'_, '_>, taken: Taken) -> Relayed {
    match taken.answered.framing {
        Framing::Empty => {
            let kind = empty_kind(job, &taken.answered.head);
            finish_whole(job, reply, taken, kind, &[]).await
        }
        Framing::Length(length) if length > WHOLE_BODY => {
            pieces(job, reply, taken, BodyKind::Length(length)).await
        }
        Framing::Length(length) => whole(job, reply, taken, Some(length)).await,
        // On a streaming route whatever comes goes on at once.
        Framing::Chunked | Framing::UntilEnd if job.route.route_kind == RouteKind::Streaming => {
            pieces(job, reply, taken, BodyKind::Chunked).await
        }
        Framing::Chunked | Framing::UntilEnd => whole(job, reply, taken, None).await,
    }
}

/// What an answer without a body tells of a length.
fn empty_kind(job: &Job<'_>, head: &ResponseHead) -> BodyKind {
    let told = head.headers.get_text("content-length").and_then(|length| length.parse().ok());
    match (head.status, told) {
        (204 | 304, _) => BodyKind::Empty,
        (_, Some(length)) if job.request.head.method() == "HEAD" => BodyKind::Length(length),
        _ => BodyKind::Length(0),
    }
}

async fn finish_whole(
    job: &Job<'_>, reply: &mut Reply<'_, '_>, mut taken: Taken, kind: BodyKind, body: &[u8],
) -> Relayed {
    if taken.answered.head.is_success() {
        taken.flight.answered(taken.answered.sent.elapsed());
    }
    let ended = reply.whole(&taken.answered.head, kind, body, job.by).await;
    taken.answered.finish(job.shared);
    Relayed::Ended(ended)
}

/// Reads a body whole, then passes it on; a chunked one that grows too large goes on in pieces.
async fn whole(job: &Job<'_>, reply: &mut Reply<'_, '_>, mut taken: Taken, length: Option<u64>) -> Relayed {
    let mut body = Vec::with_capacity(length.unwrap_or(0) as usize);
    loop {
        let answered = &mut taken.answered;
        let read = answered.connection.read_body(&mut answered.decoder);
        match timeout_at(job.by, read).await {
            Ok(Ok(Some(data))) => body.extend_from_slice(&data),
            Ok(Ok(None)) => {
                let kind = length.map_or(BodyKind::Chunked, BodyKind::Length);
                if kind == BodyKind::Chunked {
                    return chunked_whole(job, reply, taken, &body).await;
                }
                return finish_whole(job, reply, taken, kind, &body).await;
            }
            Ok(Err(_)) => {
                job.trace.body_ended(BodyOutcome::Broken);
                taken.flight.failed(FailureKind::ConnectionBroken);
                return Relayed::Unbegun;
            }
            Err(_) => {
                job.trace.body_ended(BodyOutcome::Timeout);
                taken.flight.failed(FailureKind::Timeout);
                return Relayed::Unbegun;
            }
        }
        if body.len() as u64 > WHOLE_BODY {
            reply.begin(&taken.answered.head, BodyKind::Chunked);
            if reply.piece(BodyKind::Chunked, &body, job.by).await.is_err() {
                job.trace.body_ended(BodyOutcome::Unread);
                return Relayed::Ended(Ended::Broken);
            }
            return rest(job, reply, taken, BodyKind::Chunked).await;
        }
    }
}

async fn chunked_whole(job: &Job<'_>, reply: &mut Reply<'_, '_>, mut taken: Taken, body: &[u8]) -> Relayed {
    if taken.answered.head.is_success() {
        taken.flight.answered(taken.answered.sent.elapsed());
    }
    reply.begin(&taken.answered.head, BodyKind::Chunked);
    reply.hold(BodyKind::Chunked, body);
    let ended = reply.end(BodyKind::Chunked, job.by).await;
    taken.answered.finish(job.shared);
    Relayed::Ended(ended)
}

async fn pieces(job: &Job<'_>, reply: &mut Reply<'_, '_>, taken: Taken, kind: BodyKind) -> Relayed {
    reply.begin(&taken.answered.head, kind);
    rest(job, reply, taken, kind).await
}

async fn rest(job: &Job<'_>, reply: &mut Reply<'_, '_>, mut taken: Taken, kind: BodyKind) -> Relayed {
    loop {
        let answered = &mut taken.answered;
        let read = answered.connection.read_body(&mut answered.decoder);
        match timeout_at(job.by, read).await {
            Ok(Ok(Some(data))) => {
                if reply.piece(kind, &data, job.by).await.is_err() {
                    job.trace.body_ended(BodyOutcome::Unread);
                    return Relayed::Ended(Ended::Broken);
                }
            }
            Ok(Ok(None)) => {
                if taken.answered.head.is_success() {
                    taken.flight.answered(taken.answered.sent.elapsed());
                }
                let ended = reply.end(kind, job.by).await;
                taken.answered.finish(job.shared);
                return Relayed::Ended(ended);
            }
            Ok(Err(_)) => {
                job.trace.body_ended(BodyOutcome::Broken);
                taken.flight.failed(FailureKind::ConnectionBroken);
                return Relayed::Ended(Ended::Broken);
            }
            Err(_) => {
                job.trace.body_ended(BodyOutcome::Timeout);
                return Relayed::Ended(Ended::Broken);
            }
        }
    }
}

/// Passes the events of one run on, each as soon as it has come whole.
pub async fn events(
    job: &Job<'_>, reply: &mut Reply<'_, '_>, taken: &mut Taken, events: &mut Events,
) -> StreamEnd {
    let mut is_first = true;
    loop {
        let decoded = take_in(&mut taken.answered, events);
        let has_any = !events.whole().is_empty();
        if is_first && has_any {
            is_first = false;
            taken.flight.answered(taken.answered.sent.elapsed());
        }
        if has_any && reply.piece(BodyKind::Chunked, events.whole(), job.by).await.is_err() {
            job.trace.body_ended(BodyOutcome::Unread);
            return StreamEnd::Over;
        }
        events.passed();
        match decoded {
            Pump::End => return StreamEnd::Complete,
            Pump::Cut => {
                job.trace.body_ended(BodyOutcome::Broken);
                taken.flight.failed(FailureKind::ConnectionBroken);
                return StreamEnd::Cut;
            }
            Pump::Invalid => {
                job.trace.body_ended(BodyOutcome::Invalid);
                return StreamEnd::Over;
            }
            Pump::More => {}
        }
        if reply.flush(job.by).await.is_err() {
            job.trace.body_ended(BodyOutcome::Unread);
            return StreamEnd::Over;
        }
        match timeout_at(job.by, taken.answered.fill()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => {
                job.trace.body_ended(BodyOutcome::Broken);
                taken.flight.failed(FailureKind::ConnectionBroken);
                return StreamEnd::Cut;
            }
            Err(_) => {
                job.trace.body_ended(BodyOutcome::Timeout);
                return StreamEnd::Over;
            }
        }
    }
}

enum Pump {
    More,
    End,
    Cut,
    Invalid,
}

/// Takes in all that has been read.
fn take_in(answered: &mut Answered, events: &mut Events) -> Pump {
    loop {
        match answered.connection.decode(&mut answered.decoder) {
            Ok(Decoded::Data(data)) => {
                if events.push(&data).is_err() {
                    return Pump::Invalid;
                }
            }
            Ok(Decoded::More) => return Pump::More,
            // Without a length nothing else tells a whole event from the beginning of one.
            Ok(Decoded::End) if answered.framing == Framing::UntilEnd && events.is_torn() => {
                return Pump::Cut;
            }
            Ok(Decoded::End) => {
                events.finish();
                return Pump::End;
            }
            Err(_) => return Pump::Cut,
        }
    }
}
