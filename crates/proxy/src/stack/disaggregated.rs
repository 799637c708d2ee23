//! Disaggregated serving: a prefill server computes the KV cache of the prompt, and a decode server fetches
//! the KV cache and generates the tokens.
//!
//! The decode server is selected after the prefill, so that the selection uses current load information. If
//! no prefill server can be used, a decode server prefills the prompt itself.

use crate::inbound::error_response::RequestError;
use crate::outbound::{AttemptHeaders, MAX_PRIORITY, ServerResponse};
use crate::stack::attempt::AttemptOutcome;
use crate::stack::execution::{RequestExecution, ServerQuery};
use crate::stack::forward::{AcceptedResponse, accept};
use crate::stack::in_flight::InFlightAttempt;
use crate::stack::kv_handle::KvHandle;
use crate::stack::response_class::{ResponseClass, classify};
use crate::telemetry::request_trace::SaturationCause;
use lugwharf_invariants::{Invariant, check};
use lugwharf_routing::{FailureKind, Phase, Selection, SelectionError, ServerKey};
use serde::Deserialize;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum size of the body of a prefill response, in bytes.
const MAX_PREFILL_RESPONSE_BYTES: usize = 16 * 1024;
/// A prefill may take this multiple of its estimated latency before another server is tried. The timeout is
/// generous since the work of an abandoned prefill is wasted.
const PREFILL_TIMEOUT_ESTIMATE_FACTOR: u32 = 6;
/// A prefill may take at least this multiple of the latency objective.
const PREFILL_TIMEOUT_OBJECTIVE_FACTOR: u32 = 3;
/// The maximum number of prefill servers that are tried in one prefill phase.
const MAX_PREFILL_ATTEMPTS: usize = 3;
/// The unit of the prompt length in the priority of a prefill. Each doubling of this many tokens lowers the
/// priority by one.
const PRIORITY_STEP_TOKENS: u32 = 1_024;
/// The maximum number of decode servers that are tried with one KV handle.
const MAX_DECODE_ATTEMPTS: u32 = 2;
/// The maximum length of a KV handle, in bytes.
const MAX_HANDLE_BYTES: usize = 256;

/// The body of a prefill response.
#[derive(Deserialize)]
struct PrefillResponse {
    #[serde(rename = "KvHandle")]
    handle: String,
}

/// The outcome of the prefill phase.
enum Prefill {
    /// A prefill server holds the KV cache of the prompt.
    Completed(KvHandle),
    /// No prefill server is used. A decode server has to prefill the prompt.
    Skipped,
}

/// Executes the request, with retries, until a decode server returns a response for the client.
///
/// # Errors
/// No further attempt is allowed or possible.
pub async fn execute(
    execution: &mut RequestExecution<'_>, headers: &AttemptHeaders,
) -> Result<AcceptedResponse, RequestError> {
    let now = execution.state.now();
    let service = execution.terms.service;
    let mut may_transfer = execution.state.balancer.borrow_mut().try_kv_transfer(now, service);
    loop {
        if !execution.attempts.may_execute() {
            return Err(execution.saturation_error(SaturationCause::NoAttemptsLeft));
        }
        let needs_prefill_server = may_transfer || !may_prefill_on_decode_after_failure(execution);
        let handle = if needs_prefill_server { prefill(execution, headers).await? } else { None };
        // Whether or not this handle can be used, a second prefill would cost one more delivery. So from now
        // on a prefill server is used only if a decode server must not prefill the prompt.
        may_transfer = false;
        if let Some(accepted) = decode(execution, headers, handle).await? {
            return Ok(accepted);
        }
    }
}

/// Runs the prefill phase. Returns `None` if a decode server has to prefill the prompt.
async fn prefill(
    execution: &mut RequestExecution<'_>, headers: &AttemptHeaders,
) -> Result<Option<KvHandle>, RequestError> {
    let mut attempted: Vec<ServerKey> = Vec::new();
    loop {
        match attempt_prefill(execution, headers, &mut attempted).await? {
            Some(Prefill::Completed(handle)) => return Ok(Some(handle)),
            Some(Prefill::Skipped) => return Ok(None),
            None => {}
        }
    }
}

/// Attempts the prefill at one server. Returns `None` if another server may be tried.
async fn attempt_prefill(
    execution: &mut RequestExecution<'_>, headers: &AttemptHeaders, attempted: &mut Vec<ServerKey>,
) -> Result<Option<Prefill>, RequestError> {
    let may_prefill = execution.attempts.may_prefill() && execution.may_attempt();
    if !may_prefill || attempted.len() >= MAX_PREFILL_ATTEMPTS {
        return prefill_on_decode(execution).map(Some);
    }
    let query = ServerQuery { phase: Phase::Prefill, zone: &execution.state.zone, excluded: attempted };
    let selection = match execution.select(&query) {
        Ok(selection) => selection,
        Err(SelectionError::NoServer) if attempted.is_empty() => return Ok(Some(Prefill::Skipped)),
        Err(SelectionError::NoServer) => return prefill_on_decode(execution).map(Some),
        Err(SelectionError::Saturated) => return Err(execution.saturation_error(SaturationCause::NoCapacity)),
    };
    execution.shed_if_late(&selection)?;
    if !execution.try_withdraw_delivery() {
        return prefill_on_decode(execution).map(Some);
    }
    attempted.push(selection.key);
    let priority = headers.priority.map(|_| prefill_priority(selection.prefill_tokens));
    let headers = AttemptHeaders { is_prefill: true, priority, ..headers.clone() };
    let deadline = (Instant::now() + prefill_timeout(execution, &selection)).min(execution.terms.deadline);
    match execution.attempt(&selection, Phase::Prefill, &headers, deadline).await {
        AttemptOutcome::NotSent => Ok(None),
        AttemptOutcome::TooLate => Err(execution.final_error(RequestError::DeadlineBeforeExecution)),
        AttemptOutcome::ConnectionBroken | AttemptOutcome::TimedOut => {
            execution.attempts.record_prefill_failure();
            Ok(None)
        }
        AttemptOutcome::Response(response, in_flight) => {
            Ok(read_prefill_response(execution, &selection, response, in_flight, deadline).await)
        }
    }
}

/// Decides what happens if no other prefill server may be tried: a decode server prefills the prompt if the
/// prompt is short, otherwise the request is rejected.
///
/// A decode server runs a prefill between the decode steps of other requests. A long prefill would pause all
/// its streams for longer than clients accept, for a request that is already late. A request that may have
/// been executed, such as a stream that is resumed, is not rejected, since its client may have received a
/// part of the response.
fn prefill_on_decode(execution: &RequestExecution<'_>) -> Result<Prefill, RequestError> {
    let max_tokens = execution.state.balancer.borrow().tuning().max_decode_prefill_tokens;
    if execution.terms.prompt.input_tokens > max_tokens && execution.attempts.is_unexecuted() {
        return Err(execution.saturation_error(SaturationCause::NoPrefill));
    }
    Ok(Prefill::Skipped)
}

/// Returns whether a decode server may prefill the prompt itself after KV cache transfers have failed.
fn may_prefill_on_decode_after_failure(execution: &RequestExecution<'_>) -> bool {
    let balancer = execution.state.balancer.borrow();
    let tuning = balancer.tuning();
    let is_short = execution.terms.prompt.input_tokens <= tuning.max_decode_prefill_tokens;
    tuning.decode_prefills_after_failures || is_short || !execution.attempts.is_unexecuted()
}

/// Returns the priority of a prefill by its length, 0 for the shortest. A long prefill takes hundreds of
/// milliseconds, which would make short ones late that are queued behind it.
fn prefill_priority(tokens: u32) -> u8 {
    let doublings = (1 + tokens / PRIORITY_STEP_TOKENS).ilog2();
    doublings.min(u32::from(MAX_PRIORITY)) as u8
}

/// Returns how long a prefill may take before another server is tried, which is never more than half of the
/// time left.
fn prefill_timeout(execution: &RequestExecution<'_>, selection: &Selection) -> Duration {
    let by_estimate = selection.estimate.saturating_mul(PREFILL_TIMEOUT_ESTIMATE_FACTOR);
    let by_objective = execution.terms.objective * PREFILL_TIMEOUT_OBJECTIVE_FACTOR;
    by_estimate.max(by_objective).min(execution.time_left() / 2)
}

/// Reads the KV handle from a prefill response. Returns `None` if another server may be tried.
async fn read_prefill_response(
    execution: &mut RequestExecution<'_>, selection: &Selection, mut response: Box<ServerResponse>,
    mut in_flight: InFlightAttempt, deadline: Instant,
) -> Option<Prefill> {
    match classify(&response.head) {
        ResponseClass::Misdirected => {
            execution.attempts.record_rejection();
            execution.record_misdirected(selection);
            in_flight.record_inconclusive();
            response.discard_body(execution.state);
            return None;
        }
        ResponseClass::Rejected => {
            execution.attempts.record_rejection();
            in_flight.record_rejection();
            response.discard_body(execution.state);
            return None;
        }
        // A prefill response is not forwarded to the client, and carries no `Server-Stamp`.
        _ if response.head.status == 200 => {}
        ResponseClass::Success
        | ResponseClass::Failure
        | ResponseClass::InvalidRequest
        | ResponseClass::Unusable => {
            execution.attempts.record_prefill_failure();
            in_flight.record_failure(FailureKind::ServerError);
            return None;
        }
    }
    let body = response.collect(MAX_PREFILL_RESPONSE_BYTES, deadline).await;
    let Some(handle) = body.ok().and_then(|body| parse_handle(&body)) else {
        execution.attempts.record_prefill_failure();
        in_flight.record_failure(FailureKind::ConnectionBroken);
        return None;
    };
    execution.record_prefill();
    in_flight.record_success(response.sent_at.elapsed());
    response.release_connection(execution.state);
    let now = execution.state.now();
    execution.state.balancer.borrow_mut().record_prefill(now, selection.key, &execution.terms.prompt);
    Some(Prefill::Completed(KvHandle::new(execution.state, selection.clone(), handle)))
}

/// Parses the KV handle in the body of a prefill response. The handle is used in a path and in a header, so
/// only unreserved characters (RFC 3986) are accepted.
fn parse_handle(body: &[u8]) -> Option<String> {
    let PrefillResponse { handle } = serde_json::from_slice(body).ok()?;
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~');
    let is_valid =
        !handle.is_empty() && handle.len() <= MAX_HANDLE_BYTES && handle.bytes().all(is_unreserved);
    is_valid.then_some(handle)
}

/// Executes the request on a decode server, which fetches the KV cache of `handle`, or prefills the prompt
/// itself if there is no handle. Returns `None` if the prompt has to be prefilled again. Dropping a handle
/// that was not consumed frees its KV cache.
async fn decode(
    execution: &mut RequestExecution<'_>, headers: &AttemptHeaders, handle: Option<KvHandle>,
) -> Result<Option<AcceptedResponse>, RequestError> {
    // Prefers the zone of the prefill server, since a transfer within a zone is faster.
    let zone = handle.as_ref().map(|handle| handle.zone().to_string());
    let zone = zone.as_deref().unwrap_or(&execution.state.zone);
    let phase = if handle.is_some() { Phase::Decode } else { Phase::Full };
    let headers = AttemptHeaders { kv_from: handle.as_ref().map(KvHandle::source), ..headers.clone() };
    let mut rejections = 0;
    let executions_before = execution.attempts.executions();
    loop {
        let may_drop_handle = handle.is_some() && rejections > 0;
        let Some(selection) = select_decode(execution, phase, zone, may_drop_handle)? else {
            return Ok(None);
        };
        let is_unused = handle.is_none() || execution.attempts.executions() == executions_before;
        check(Invariant::HandleUsedOnce, is_unused, || {
            format!("KV handle of request {} sent again after an execution", execution.request.id())
        });
        let outcome = execution.attempt(&selection, phase, &headers, execution.terms.deadline).await;
        execution.history.attempted_servers.push(selection.key);
        let was_delivered = !matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::TooLate);
        if let Some(accepted) = accept(execution, &selection, outcome)? {
            if let Some(handle) = handle.filter(|_| accepted.class == ResponseClass::Success) {
                record_kv_transfer(execution, true);
                handle.consume();
            }
            return Ok(Some(accepted));
        }
        // The request may have been executed, which consumes the handle.
        if execution.attempts.executions() != executions_before {
            return Ok(None);
        }
        rejections += u32::from(was_delivered);
        if handle.is_some() && was_delivered && must_abandon_handle(execution, rejections) {
            return Ok(None);
        }
    }
}

/// Selects a server that executes the request. Returns `None` if there is none and `may_drop_handle` is set:
/// servers that rejected the request with its handle may accept it without one.
fn select_decode(
    execution: &mut RequestExecution<'_>, phase: Phase, zone: &str, may_drop_handle: bool,
) -> Result<Option<Selection>, RequestError> {
    execution.check_may_execute()?;
    let query = ServerQuery { phase, zone, excluded: &execution.history.attempted_servers };
    let selection = match execution.select(&query) {
        Ok(selection) => selection,
        Err(_) if may_drop_handle => return Ok(None),
        Err(error) => return Err(execution.selection_error(error)),
    };
    execution.admit(&selection)?;
    Ok(Some(selection))
}

/// Returns whether a handle must be abandoned after a rejection. If the server was not saturated, it could
/// not fetch the KV cache, and other servers could not either. A failed transfer is recorded.
fn must_abandon_handle(execution: &RequestExecution<'_>, rejections: u32) -> bool {
    let was_saturated = execution.history.was_saturated;
    let is_abandoned = was_saturated == Some(false) || rejections >= MAX_DECODE_ATTEMPTS;
    // A rejection by a saturated server says nothing about KV cache transfers.
    if is_abandoned && was_saturated != Some(true) {
        record_kv_transfer(execution, false);
    }
    is_abandoned
}

/// Reports to the balancer whether a KV cache transfer succeeded.
fn record_kv_transfer(execution: &RequestExecution<'_>, succeeded: bool) {
    let now = execution.state.now();
    execution.state.balancer.borrow_mut().record_kv_transfer(now, execution.terms.service, succeeded);
}
