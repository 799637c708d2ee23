//! Gets a stream from a pair of servers: one reads the prompt, the other takes its memory over and makes the tokens.
//!
//! The decode server is chosen once the prompt is read, by what is known then. Where no prefill server can be used, a decode
//! server reads the prompt itself.

use crate::answer::Refusal;
use crate::forward::{Taken, take};
use crate::handle::Handle;
use crate::job::{Ask, Job, Sent};
use crate::upstream::{Answered, Extra};
use crate::verdict::{Verdict, judge};
use lugwharf_invariants::{Invariant, check};
use lugwharf_routing::{FailureKind, Phase, Selection, SelectionError, ServerKey};
use serde::Deserialize;
use std::time::Duration;
use tokio::time::Instant;

/// The largest answer to a prefill, in bytes.
const MOST_PREFILL_ANSWER: usize = 16 * 1024;
/// A prefill may take so many times its estimate, and so many objectives at least, before another server is asked: one that is
/// given up is read for nothing.
const PATIENCE_ESTIMATES: u32 = 6;
const PATIENCE_OBJECTIVES: u32 = 3;
/// Prefill servers that are asked for one request.
const MOST_READERS: usize = 3;
/// Each doubling of so many tokens is a rank of its own.
const RANK_TOKENS: u32 = 1_024;
/// The least urgent rank that servers know.
const MOST_RANK: u8 = 9;
/// Decode servers that are asked to take one handle.
const TAKERS: u32 = 2;

/// What a prefill server answers.
#[derive(Deserialize)]
struct PrefillAnswer {
    #[serde(rename = "KvHandle")]
    handle: String,
}

/// How the reading of the prompt went on.
enum Prefill {
    /// A server has read it.
    Read(Handle),
    /// No server reads it: a decode server has to.
    Skip,
}

/// Sends the request until a decode server gives an answer for the client.
pub async fn obtain(job: &mut Job<'_>, extra: &Extra) -> Result<Taken, Refusal> {
    let now = job.shared.now();
    let mut pairs = job.shared.balancer.borrow_mut().try_kv_transfer(now, job.service);
    loop {
        if !job.attempts.may_execute() {
            return Err(job.give_up(Refusal::Full));
        }
        let reads = pairs || !may_read_after_failure(job);
        let handle = if reads { read_prompt(job, extra).await? } else { None };
        // Whatever becomes of this handle, a second reading would be one more extra call.
        pairs = false;
        if let Some(taken) = decode(job, extra, handle).await? {
            return Ok(taken);
        }
    }
}

async fn read_prompt(job: &mut Job<'_>, extra: &Extra) -> Result<Option<Handle>, Refusal> {
    let mut tried: Vec<ServerKey> = Vec::new();
    loop {
        match prefill(job, extra, &mut tried).await? {
            Some(Prefill::Read(handle)) => return Ok(Some(handle)),
            Some(Prefill::Skip) => return Ok(None),
            None => {}
        }
    }
}

/// One call that has the prompt read; `None` if another server may be asked.
async fn prefill(
    job: &mut Job<'_>, extra: &Extra, tried: &mut Vec<ServerKey>,
) -> Result<Option<Prefill>, Refusal> {
    if !job.attempts.may_prefill() || !job.may_try() || tried.len() >= MOST_READERS {
        return read_by_decode(job);
    }
    let ask = Ask { part: Phase::Prefill, zone: &job.shared.zone, excluded: tried };
    let choice = match job.choose(&ask) {
        Ok(choice) => choice,
        Err(SelectionError::NoServer) if tried.is_empty() => return Ok(Some(Prefill::Skip)),
        Err(SelectionError::NoServer) => return read_by_decode(job),
        Err(SelectionError::Saturated) => return Err(job.give_up(Refusal::Full)),
    };
    if job.is_hopeless(&choice) && job.attempts.is_unexecuted() {
        return Err(Refusal::Full);
    }
    if !job.may_arrive() {
        return read_by_decode(job);
    }
    tried.push(choice.key);
    let extra = Extra {
        is_prefill: true,
        priority: extra.priority.map(|_| rank(choice.prefill_tokens)),
        ..extra.clone()
    };
    let by = (Instant::now() + patience(job, &choice)).min(job.by);
    match job.send(&choice, Phase::Prefill, &extra, by).await {
        Sent::Unsent => Ok(None),
        Sent::Late => Err(job.give_up(Refusal::Unserved)),
        Sent::Broken | Sent::TimedOut => {
            job.attempts.record_prefill_failure();
            Ok(None)
        }
        Sent::Answered(answered, flight) => Ok(read_answer(job, &choice, answered, flight, by).await),
    }
}

/// No other prefill server may be asked: a decode server reads the prompt if it is short. It reads between the tokens of others,
/// so that a long one would hold up every stream there for longer than pauses may last, for a request that is late already. One
/// that has run, as a stream that is resumed, can't be told to come back, and its client has a part of it.
fn read_by_decode(job: &Job<'_>) -> Result<Option<Prefill>, Refusal> {
    let most = job.shared.balancer.borrow().tuning().max_decode_prefill_tokens;
    if job.prompt.input_tokens > most && job.attempts.is_unexecuted() {
        return Err(job.give_up(Refusal::Full));
    }
    Ok(Some(Prefill::Skip))
}

/// Whether a decode server reads the prompt itself after hand-overs have failed.
fn may_read_after_failure(job: &Job<'_>) -> bool {
    let balancer = job.shared.balancer.borrow();
    let tuning = balancer.tuning();
    let is_short = job.prompt.input_tokens <= tuning.max_decode_prefill_tokens;
    tuning.decode_prefills_after_failures || is_short || !job.attempts.is_unexecuted()
}

/// The rank of a prompt by its length, 0 for the shortest: reading a long one takes hundreds of milliseconds, in which short
/// ones that wait behind it become late.
fn rank(tokens: u32) -> u8 {
    let doublings = (1 + tokens / RANK_TOKENS).ilog2();
    doublings.min(u32::from(MOST_RANK)) as u8
}

fn patience(job: &Job<'_>, choice: &Selection) -> Duration {
    let usual = choice.estimate.saturating_mul(PATIENCE_ESTIMATES).max(job.objective() * PATIENCE_OBJECTIVES);
    usual.min(job.left() / 2)
}

async fn read_answer(
    job: &mut Job<'_>, choice: &Selection, mut answered: Box<Answered>, mut flight: crate::flight::Flight,
    by: Instant,
) -> Option<Prefill> {
    match judge(&answered.head) {
        Verdict::Misdirected => {
            job.attempts.record_rejection();
            job.misdirected(choice);
            flight.void();
            answered.discard(job.shared);
            return None;
        }
        Verdict::Rejected => {
            job.attempts.record_rejection();
            flight.rejected();
            answered.discard(job.shared);
            return None;
        }
        // This answer is not for the client, and bears no stamp.
        _ if answered.head.status == 200 => {}
        Verdict::Success | Verdict::Failure | Verdict::Invalid | Verdict::Spoilt => {
            job.attempts.record_prefill_failure();
            flight.failed(FailureKind::ServerError);
            return None;
        }
    }
    let body = answered.collect(MOST_PREFILL_ANSWER, by).await;
    let handle = body.ok().and_then(|body| serde_json::from_slice::<PrefillAnswer>(&body).ok());
    let Some(PrefillAnswer { handle }) = handle.filter(|answer| is_plain(&answer.handle)) else {
        job.attempts.record_prefill_failure();
        flight.failed(FailureKind::ConnectionBroken);
        return None;
    };
    job.prefilled();
    flight.answered(answered.sent.elapsed());
    answered.finish(job.shared);
    let now = job.shared.now();
    job.shared.balancer.borrow_mut().record_prefill(now, choice.key, &job.prompt);
    Some(Prefill::Read(Handle::new(job.shared, choice.clone(), handle)))
}

/// A handle stands in a path and in a header.
fn is_plain(handle: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~');
    !handle.is_empty() && handle.len() <= 256 && handle.bytes().all(plain)
}

/// Has a decode server take the handle over, or read the prompt itself without one. `None` if the prompt has to be read again.
/// A handle that nobody has taken is freed at once.
async fn decode(job: &mut Job<'_>, extra: &Extra, handle: Option<Handle>) -> Result<Option<Taken>, Refusal> {
    let zone = handle.as_ref().map(|handle| handle.zone().to_string());
    let zone = zone.as_deref().unwrap_or(&job.shared.zone);
    let part = if handle.is_some() { Phase::Decode } else { Phase::Full };
    let extra = Extra { kv_from: handle.as_ref().map(Handle::source), ..extra.clone() };
    let mut rejections = 0;
    let runs_before = job.attempts.executions();
    loop {
        if !job.attempts.may_execute() || !job.may_try() {
            return Err(job.give_up(Refusal::Full));
        }
        let ask = Ask { part, zone, excluded: &job.tried };
        let choice = match job.choose(&ask) {
            Ok(choice) => choice,
            // Those that turned the handle away may take the request without one.
            Err(_) if handle.is_some() && rejections > 0 => return Ok(None),
            Err(none) => return Err(job.give_up(none.into())),
        };
        if job.is_hopeless(&choice) && job.attempts.is_unexecuted() {
            return Err(Refusal::Full);
        }
        if !job.may_arrive() {
            return Err(job.give_up(Refusal::Full));
        }
        let is_unused = handle.is_none() || job.attempts.executions() == runs_before;
        check(Invariant::HandleUsedOnce, is_unused, || format!("request {}", job.request.id()));
        let sent = job.send(&choice, part, &extra, job.by).await;
        job.tried.push(choice.key);
        let has_arrived = !matches!(sent, Sent::Unsent | Sent::Late);
        if let Some(taken) = take(job, &choice, sent)? {
            if let Some(handle) = handle.filter(|_| taken.verdict == Verdict::Success) {
                note_hand_over(job, true);
                handle.taken();
            }
            return Ok(Some(taken));
        }
        // It may have run: the handle is used up.
        if job.attempts.executions() != runs_before {
            return Ok(None);
        }
        rejections += u32::from(has_arrived);
        if handle.is_some() && has_arrived {
            // One that had room could not get the memory, and no other one will.
            let is_gone = job.was_full == Some(false);
            if is_gone || rejections >= TAKERS {
                // Full servers tell nothing of hand-overs.
                if job.was_full != Some(true) {
                    note_hand_over(job, false);
                }
                return Ok(None);
            }
        }
    }
}

fn note_hand_over(job: &Job<'_>, succeeded: bool) {
    let now = job.shared.now();
    job.shared.balancer.borrow_mut().record_kv_transfer(now, job.service, succeeded);
}
