//! Validation of a client's request, none of whose content is trusted.

use crate::config::{self, Config, normalize_name};
use crate::upstream::MAX_BODY_BYTES;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use lugwharf_sidecar::api::{Idempotency, Origin};
use std::time::Duration;

/// The id of the request, chosen by the client.
const X_CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
/// The name of the request's class.
const X_CALL_CLASS: HeaderName = HeaderName::from_static("x-call-class");
/// How long the client waits, in seconds.
const X_BUDGET: HeaderName = HeaderName::from_static("x-budget");
/// The work that the client expects the request to take, in microseconds.
const X_CALL_COST: HeaderName = HeaderName::from_static("x-call-cost");
/// `1` on a retry by the client.
const X_AGAIN: HeaderName = HeaderName::from_static("x-again");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that must not be repeated: two readers might use different values.
const SINGLE_VALUED: [HeaderName; 8] =
    [X_CALL_ID, X_CALL_CLASS, X_BUDGET, X_CALL_COST, X_AGAIN, IDEMPOTENCY_KEY, CONTENT_LENGTH, HOST];
/// Headers that are not forwarded: the hop-by-hop headers of the application's connection, and those that the
/// sidecar writes itself.
const NOT_FORWARDED: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-budget",
];

/// A client's request that is not executed because it is invalid: the 4xx status and the body of the
/// response. Not to be confused with [`FinalAnswer::Rejected`](crate::events::FinalAnswer::Rejected), the
/// balancer's rejection of a valid request.
#[derive(Debug)]
pub struct InvalidRequest {
    pub status: StatusCode,
    pub reason: &'static str,
}

impl InvalidRequest {
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        InvalidRequest { status, reason }
    }

    fn bad_request(reason: &'static str) -> Self {
        InvalidRequest::new(StatusCode::BAD_REQUEST, reason)
    }
}

/// The values of a valid request's headers.
#[derive(Debug)]
pub struct RequestMetadata {
    pub id: HeaderValue,
    /// Index into the settings' classes.
    pub class: usize,
    pub cost: Option<Duration>,
    pub origin: Origin,
    /// How long the client waits; at most the deadline of its class.
    pub client_timeout: Duration,
}

/// Returns the value of a header without surrounding whitespace, if the value is text.
fn text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn number(headers: &HeaderMap, name: HeaderName) -> Option<f64> {
    text(headers, name)?.parse().ok()
}

/// Validates the head of a request.
pub fn check(head: &Parts, config: &Config) -> Result<RequestMetadata, InvalidRequest> {
    let headers = &head.headers;
    let body_length = check_framing(headers)?;
    let has_id = |id: &&HeaderValue| !id.as_bytes().trim_ascii().is_empty();
    let id = headers.get(X_CALL_ID).filter(has_id).ok_or(InvalidRequest::bad_request("no id"))?;
    let class_name = text(headers, X_CALL_CLASS).map(normalize_name);
    let class = config.network.classes.iter().position(|name| Some(name) == class_name.as_ref());
    let class = class.ok_or(InvalidRequest::bad_request("no such class"))?;
    let class_settings = &config.settings.classes[class];
    if !matches_idempotency(head, class_settings.idempotency, body_length) {
        return Err(InvalidRequest::bad_request("a method or a key that does not fit the class"));
    }
    let seconds = number(headers, X_BUDGET);
    let budget = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let budget = budget.ok_or(InvalidRequest::bad_request("no readable budget"))?;
    // No client waits past the deadline of its class. The cap also prevents an overflow of the clock, since a
    // client may send any time.
    let client_timeout = budget.min(config::client_timeout(class_settings));
    let microseconds = number(headers, X_CALL_COST);
    let cost = microseconds.and_then(|us| Duration::try_from_secs_f64(us / 1e6).ok());
    let is_retry = text(headers, X_AGAIN) == Some("1");
    Ok(RequestMetadata {
        id: id.clone(),
        class,
        // More work than the client waits for is never served, and would distort the expected cost of its
        // class.
        cost: cost.map(|cost| cost.min(client_timeout)),
        origin: if is_retry { Origin::ClientRetry } else { Origin::Fresh },
        client_timeout,
    })
}

/// Checks that every reader finds the same end of the request, and returns the length of its body.
fn check_framing(headers: &HeaderMap) -> Result<u64, InvalidRequest> {
    // Guards against request smuggling: where a request has both a transfer coding and a length, readers
    // differ on where its body ends, and the HTTP library may have removed the length by now. No valid
    // request here needs a transfer coding.
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(InvalidRequest::bad_request("a transfer coding"));
    }
    if SINGLE_VALUED.iter().any(|name| headers.get_all(name).iter().nth(1).is_some()) {
        return Err(InvalidRequest::bad_request("a header that comes twice"));
    }
    let length = text(headers, CONTENT_LENGTH).map_or(Some(0), |length| length.parse::<u64>().ok());
    let length = length.ok_or(InvalidRequest::bad_request("no readable length"))?;
    if length > MAX_BODY_BYTES as u64 {
        return Err(InvalidRequest::new(StatusCode::PAYLOAD_TOO_LARGE, "a body that is too long"));
    }
    Ok(length)
}

/// Returns whether the method, the idempotency key and the body are those of a class with this idempotency.
fn matches_idempotency(head: &Parts, idempotency: Idempotency, body_length: u64) -> bool {
    let key = head.headers.get(IDEMPOTENCY_KEY);
    match idempotency {
        Idempotency::Idempotent => head.method == Method::GET && key.is_none() && body_length == 0,
        Idempotency::Keyed { .. } => head.method == Method::POST && key.is_some_and(|key| !key.is_empty()),
        Idempotency::NonIdempotent => head.method == Method::POST && key.is_none(),
    }
}

/// Returns the headers that are forwarded to an upstream.
pub fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in NOT_FORWARDED {
        headers.remove(name);
    }
    headers.entry(HOST).or_insert(HeaderValue::from_static("origin.svc"));
    headers
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;
