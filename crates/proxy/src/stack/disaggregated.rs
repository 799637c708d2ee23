//! Gets a stream from a pair of servers: one reads the prompt, the other takes its memory over and makes the tokens.
//!
//! The decode server is chosen once the prompt is read, by what is known then. Where no prefill server can be used, a decode
//! server reads the prompt itself.

use crate::inbound::error_response::RequestError;
use crate::outbound::{AttemptHeaders, ServerResponse};
use crate::stack::execution::{AttemptOutcome, RequestExecution, ServerQuery};
use crate::stack::forward::{AcceptedResponse, take};
use crate::stack::kv_handle::KvHandle;
use crate::stack::response_class::{ResponseClass, classify};
use lugwharf_invariants::{Invariant, check};
use lugwharf_routing::{FailureKind, Phase, Selection, SelectionError, ServerKey};
use serde::Deserialize;
use std::time::Duration;
use tokio::time::Instant;

/// The largest answer to a prefill, in bytes.
const MAX_PREFILL_RESPONSE_BYTES: usize = 16 * 1024;
/// A prefill may take so many times its estimate, and so many objectives at least, before another server is asked: one that is
/// given up is read for nothing.
const PREFILL_TIMEOUT_ESTIMATES: u32 = 6;
const PREFILL_TIMEOUT_OBJECTIVES: u32 = 3;
/// Prefill servers that are asked for one request.
const MAX_PREFILL_ATTEMPTS: usize = 3;
/// Each doubling of so many tokens is a rank of its own.
const PRIORITY_TOKENS: u32 = 1_024;
/// The least urgent rank that servers know.
const MAX_PRIORITY: u8 = 9;
/// Decode servers that are asked to take one handle.
const MAX_DECODE_ATTEMPTS: u32 = 2;

/// What a prefill server answers.
#[derive(Deserialize)]
struct PrefillAnswer {
    #[serde(rename = "KvHandle")]
    handle: String,
}

/// How the reading of the prompt went on.
enum Prefill {
    /// A server has read it.
    Completed(KvHandle),
    /// No server reads it: a decode server has to.
    Skipped,
}

/// Sends the request until a decode server gives an answer for the client.
pub async fn obtain(
    execution: &mut RequestExecution<'_>, extra: &AttemptHeaders,
) -> Result<AcceptedResponse, RequestError> {
    let now = execution.state.now();
    let mut pairs = execution.state.balancer.borrow_mut().try_kv_transfer(now, execution.service);
    loop {
        if !execution.attempts.may_execute() {
            return Err(execution.give_up(RequestError::Saturated));
        }
        let reads = pairs || !may_read_after_failure(execution);
        let handle = if reads { read_prompt(execution, extra).await? } else { None };
        // Whatever becomes of this handle, a second reading would be one more extra call.
        pairs = false;
        if let Some(accepted) = decode(execution, extra, handle).await? {
            return Ok(accepted);
        }
    }
}

async fn read_prompt(
    execution: &mut RequestExecution<'_>, extra: &AttemptHeaders,
) -> Result<Option<KvHandle>, RequestError> {
    let mut tried: Vec<ServerKey> = Vec::new();
    loop {
        match prefill(execution, extra, &mut tried).await? {
            Some(Prefill::Completed(handle)) => return Ok(Some(handle)),
            Some(Prefill::Skipped) => return Ok(None),
            None => {}
        }
    }
}

/// One call that has the prompt read; `None` if another server may be asked.
async fn prefill(
    execution: &mut RequestExecution<'_>, extra: &AttemptHeaders, tried: &mut Vec<ServerKey>,
) -> Result<Option<Prefill>, RequestError> {
    if !execution.attempts.may_prefill() || !execution.may_try() || tried.len() >= MAX_PREFILL_ATTEMPTS {
        return read_by_decode(execution);
    }
    let ask = ServerQuery { part: Phase::Prefill, zone: &execution.state.zone, excluded: tried };
    let choice = match execution.choose(&ask) {
        Ok(choice) => choice,
        Err(SelectionError::NoServer) if tried.is_empty() => return Ok(Some(Prefill::Skipped)),
        Err(SelectionError::NoServer) => return read_by_decode(execution),
        Err(SelectionError::Saturated) => return Err(execution.give_up(RequestError::Saturated)),
    };
    if execution.is_hopeless(&choice) && execution.attempts.is_unexecuted() {
        return Err(RequestError::Saturated);
    }
    if !execution.may_arrive() {
        return read_by_decode(execution);
    }
    tried.push(choice.key);
    let extra = AttemptHeaders {
        is_prefill: true,
        priority: extra.priority.map(|_| rank(choice.prefill_tokens)),
        ..extra.clone()
    };
    let by = (Instant::now() + client_timeout(execution, &choice)).min(execution.by);
    match execution.send(&choice, Phase::Prefill, &extra, by).await {
        AttemptOutcome::NotSent => Ok(None),
        AttemptOutcome::TooLate => Err(execution.give_up(RequestError::DeadlineBeforeExecution)),
        AttemptOutcome::ConnectionBroken | AttemptOutcome::TimedOut => {
            execution.attempts.record_prefill_failure();
            Ok(None)
        }
        AttemptOutcome::Response(answered, in_flight) => {
            Ok(read_answer(execution, &choice, answered, in_flight, by).await)
        }
    }
}

/// No other prefill server may be asked: a decode server reads the prompt if it is short. It reads between the tokens of others,
/// so that a long one would hold up every stream there for longer than pauses may last, for a request that is late already. One
/// that has run, as a stream that is resumed, can't be told to come back, and its client has a part of it.
fn read_by_decode(execution: &RequestExecution<'_>) -> Result<Option<Prefill>, RequestError> {
    let most = execution.state.balancer.borrow().tuning().max_decode_prefill_tokens;
    if execution.prompt.input_tokens > most && execution.attempts.is_unexecuted() {
        return Err(execution.give_up(RequestError::Saturated));
    }
    Ok(Some(Prefill::Skipped))
}

/// Whether a decode server reads the prompt itself after hand-overs have failed.
fn may_read_after_failure(execution: &RequestExecution<'_>) -> bool {
    let balancer = execution.state.balancer.borrow();
    let tuning = balancer.tuning();
    let is_short = execution.prompt.input_tokens <= tuning.max_decode_prefill_tokens;
    tuning.decode_prefills_after_failures || is_short || !execution.attempts.is_unexecuted()
}

/// The rank of a prompt by its length, 0 for the shortest: reading a long one takes hundreds of milliseconds, in which short
/// ones that wait behind it become late.
fn rank(tokens: u32) -> u8 {
    let doublings = (1 + tokens / PRIORITY_TOKENS).ilog2();
    doublings.min(u32::from(MAX_PRIORITY)) as u8
}

fn client_timeout(execution: &RequestExecution<'_>, choice: &Selection) -> Duration {
    let usual = choice
        .estimate
        .saturating_mul(PREFILL_TIMEOUT_ESTIMATES)
        .max(execution.objective() * PREFILL_TIMEOUT_OBJECTIVES);
    usual.min(execution.left() / 2)
}

async fn read_answer(
    execution: &mut RequestExecution<'_>, choice: &Selection, mut answered: Box<ServerResponse>,
    mut in_flight: crate::stack::in_flight::InFlightAttempt, by: Instant,
) -> Option<Prefill> {
    match classify(&answered.head) {
        ResponseClass::Misdirected => {
            execution.attempts.record_rejection();
            execution.misdirected(choice);
            in_flight.void();
            answered.discard(execution.state);
            return None;
        }
        ResponseClass::Rejected => {
            execution.attempts.record_rejection();
            in_flight.rejected();
            answered.discard(execution.state);
            return None;
        }
        // This answer is not for the client, and bears no stamp.
        _ if answered.head.status == 200 => {}
        ResponseClass::Success
        | ResponseClass::Failure
        | ResponseClass::InvalidRequest
        | ResponseClass::Unusable => {
            execution.attempts.record_prefill_failure();
            in_flight.failed(FailureKind::ServerError);
            return None;
        }
    }
    let body = answered.collect(MAX_PREFILL_RESPONSE_BYTES, by).await;
    let handle = body.ok().and_then(|body| serde_json::from_slice::<PrefillAnswer>(&body).ok());
    let Some(PrefillAnswer { handle }) = handle.filter(|answer| is_plain(&answer.handle)) else {
        execution.attempts.record_prefill_failure();
        in_flight.failed(FailureKind::ConnectionBroken);
        return None;
    };
    execution.prefilled();
    in_flight.answered(answered.sent.elapsed());
    answered.finish(execution.state);
    let now = execution.state.now();
    execution.state.balancer.borrow_mut().record_prefill(now, choice.key, &execution.prompt);
    Some(Prefill::Completed(KvHandle::new(execution.state, choice.clone(), handle)))
}

/// A handle stands in a path and in a header.
fn is_plain(handle: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~');
    !handle.is_empty() && handle.len() <= 256 && handle.bytes().all(plain)
}

/// Has a decode server take the handle over, or read the prompt itself without one. `None` if the prompt has to be read again.
/// A handle that nobody has accepted is freed at once.
async fn decode(
    execution: &mut RequestExecution<'_>, extra: &AttemptHeaders, handle: Option<KvHandle>,
) -> Result<Option<AcceptedResponse>, RequestError> {
    let zone = handle.as_ref().map(|handle| handle.zone().to_string());
    let zone = zone.as_deref().unwrap_or(&execution.state.zone);
    let part = if handle.is_some() { Phase::Decode } else { Phase::Full };
    let extra = AttemptHeaders { kv_from: handle.as_ref().map(KvHandle::source), ..extra.clone() };
    let mut rejections = 0;
    let runs_before = execution.attempts.executions();
    loop {
        if !execution.attempts.may_execute() || !execution.may_try() {
            return Err(execution.give_up(RequestError::Saturated));
        }
        let ask = ServerQuery { part, zone, excluded: &execution.tried };
        let choice = match execution.choose(&ask) {
            Ok(choice) => choice,
            // Those that turned the handle away may take the request without one.
            Err(_) if handle.is_some() && rejections > 0 => return Ok(None),
            Err(none) => return Err(execution.give_up(none.into())),
        };
        if execution.is_hopeless(&choice) && execution.attempts.is_unexecuted() {
            return Err(RequestError::Saturated);
        }
        if !execution.may_arrive() {
            return Err(execution.give_up(RequestError::Saturated));
        }
        let is_unused = handle.is_none() || execution.attempts.executions() == runs_before;
        check(Invariant::HandleUsedOnce, is_unused, || format!("request {}", execution.request.id()));
        let sent = execution.send(&choice, part, &extra, execution.by).await;
        execution.tried.push(choice.key);
        let has_arrived = !matches!(sent, AttemptOutcome::NotSent | AttemptOutcome::TooLate);
        if let Some(accepted) = take(execution, &choice, sent)? {
            if let Some(handle) = handle.filter(|_| accepted.class == ResponseClass::Success) {
                note_hand_over(execution, true);
                handle.accepted();
            }
            return Ok(Some(accepted));
        }
        // It may have run: the handle is used up.
        if execution.attempts.executions() != runs_before {
            return Ok(None);
        }
        rejections += u32::from(has_arrived);
        if handle.is_some() && has_arrived {
            // One that had room could not get the memory, and no other one will.
            let is_gone = execution.was_full == Some(false);
            if is_gone || rejections >= MAX_DECODE_ATTEMPTS {
                // Full servers tell nothing of hand-overs.
                if execution.was_full != Some(true) {
                    note_hand_over(execution, false);
                }
                return Ok(None);
            }
        }
    }
}

fn note_hand_over(execution: &RequestExecution<'_>, succeeded: bool) {
    let now = execution.state.now();
    execution.state.balancer.borrow_mut().record_kv_transfer(now, execution.service, succeeded);
}
