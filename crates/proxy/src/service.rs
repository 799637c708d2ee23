//! Serves one request, from its route to the end of its answer.

use crate::answer::Refusal;
use crate::events::Events;
use crate::forward::{self, Taken};
use crate::generate;
use crate::job::{self, Job};
use crate::outcome::RequestOutcome;
use crate::relay::{self, Relayed, StreamEnd};
use crate::reply::{BodyKind, Ended, Reply};
use crate::request::ClientRequest;
use crate::state::Shared;
use crate::trace::RequestTrace;
use crate::upstream::Extra;
use crate::verdict::Verdict;
use crate::wire::RequestHead;
use lugwharf_config::RouteKind;
use std::rc::Rc;
use std::time::Duration;

/// The longest time that its route allows for a request, if it has one.
pub fn time_limit(shared: &Shared, head: &RequestHead) -> Option<Duration> {
    let routes = shared.routes()?;
    job::find(head, &routes).ok().map(job::time_limit)
}

/// Serves a request, and tells its trace how it ended.
pub async fn serve(
    shared: &Rc<Shared>, request: &ClientRequest, reply: &mut Reply<'_, '_>, trace: &RequestTrace,
) -> Ended {
    let (ended, outcome) = match answer(shared, request, reply, trace).await {
        Ok(ended) => (ended, answered(ended, trace)),
        Err(refusal) => (reply.refuse(refusal).await, RequestOutcome::Refused(refusal)),
    };
    trace.finish(shared, request, outcome);
    ended
}

fn answered(ended: Ended, trace: &RequestTrace) -> RequestOutcome {
    let is_success = trace.status().is_some_and(|status| status < 400);
    match ended {
        Ended::Broken => RequestOutcome::Cut,
        Ended::Whole | Ended::Close if is_success => RequestOutcome::Success,
        Ended::Whole | Ended::Close => RequestOutcome::ServerFailure,
    }
}

/// Brings the client an answer of a server.
async fn answer(
    shared: &Rc<Shared>, request: &ClientRequest, reply: &mut Reply<'_, '_>, trace: &RequestTrace,
) -> Result<Ended, Refusal> {
    let routes = shared.routes().ok_or(Refusal::NotReady)?;
    let mut job = Job::new(shared, request, &routes, trace)?;
    if job.left().is_zero() {
        return Err(Refusal::Unserved);
    }
    match job.route.route_kind {
        RouteKind::Streaming => stream(&mut job, reply).await,
        RouteKind::Safe | RouteKind::Unsafe => plain(&mut job, reply).await,
    }
}

async fn plain(job: &mut Job<'_>, reply: &mut Reply<'_, '_>) -> Result<Ended, Refusal> {
    let extra = job.extra();
    loop {
        let taken = forward::obtain(job, &extra).await?;
        if let Relayed::Ended(ended) = relay::answer(job, reply, taken).await {
            return Ok(ended);
        }
        unbegun(job)?;
    }
}

/// An answer broke off before anything of it went on: whether it may be asked for again.
fn unbegun(job: &Job<'_>) -> Result<(), Refusal> {
    if job.attempts.may_execute() && !job.left().is_zero() {
        Ok(())
    } else {
        Err(job.give_up(Refusal::Broken))
    }
}

async fn obtain(job: &mut Job<'_>, extra: &Extra) -> Result<Taken, Refusal> {
    if job.is_split() { generate::obtain(job, extra).await } else { forward::obtain(job, extra).await }
}

async fn stream(job: &mut Job<'_>, reply: &mut Reply<'_, '_>) -> Result<Ended, Refusal> {
    let mut extra = job.extra();
    let mut taken = loop {
        let taken = obtain(job, &extra).await?;
        if is_stream(&taken) {
            break taken;
        }
        if let Relayed::Ended(ended) = relay::answer(job, reply, taken).await {
            return Ok(ended);
        }
        unbegun(job)?;
    };
    reply.begin(&taken.answered.head, BodyKind::Chunked);
    let mut events = Events::default();
    loop {
        match relay::events(job, reply, &mut taken, &mut events).await {
            StreamEnd::Complete => {
                let ended = reply.end(BodyKind::Chunked, job.by).await;
                taken.answered.finish(job.shared);
                return Ok(ended);
            }
            StreamEnd::Over => return Ok(Ended::Broken),
            StreamEnd::Cut => {}
        }
        drop(taken);
        let Some(next) = resume(job, &mut events, &mut extra).await else { return Ok(Ended::Broken) };
        taken = next;
    }
}

/// The next run of a stream that was cut, if there may be one. The answer keeps the head of its first server.
async fn resume(job: &mut Job<'_>, events: &mut Events, extra: &mut Extra) -> Option<Taken> {
    let resumes = job.shared.balancer.borrow().tuning().resumes_streams;
    if !resumes || !job.attempts.may_execute() || !events.can_resume() {
        return None;
    }
    events.resume();
    extra.last_event_id = events.last_id().map(<[u8]>::to_vec);
    spdlog::debug!("request={} outcome=resuming", job.request.id());
    let taken = obtain(job, extra).await.ok()?;
    is_stream(&taken).then_some(taken)
}

fn is_stream(taken: &Taken) -> bool {
    let kind = taken.answered.head.headers.get_text("content-type").unwrap_or_default();
    taken.verdict == Verdict::Success && kind.starts_with("text/event-stream")
}
