//! The upstreams' side: attempts and probes, and what their answers are worth.

use crate::connection::Progress;
use crate::pool::{Endpoint, Pool, Pooled};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use lugwharf_sidecar::api::Outcome;
use serde_json::Value;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The most that a body may hold.
pub const MAX_BODY: usize = 64 * 1024;
/// Connections that one attempt may find dead.
const MAX_CONNECTION_ATTEMPTS: usize = 3;
/// With less time left than this, a request can't spare the millisecond or so for which its last byte is held back;
/// in tests that is a second.
const MIN_TIME_FOR_HOLD_BACK: Duration = Duration::from_millis(if cfg!(test) { 50_000 } else { 50 });
/// The most requests that an upstream may say it holds; what says more is no report.
const MAX_REPORTED_LOAD: f64 = 1e6;

/// What goes on to an upstream of a client's request.
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The body of an upstream's 200 and what it says of its type.
pub type ServedBody = (Bytes, Option<HeaderValue>);

/// Reads an answer to its end. Guards against one that is not whole, or can't be known to be: it says how long it
/// is in one way, and that is how much came. Guards against a change of protocol that nobody asked for.
async fn read_complete(answer: Response<Incoming>) -> Option<(StatusCode, HeaderMap, Bytes)> {
    let (head, body) = answer.into_parts();
    let framed = head.headers.contains_key(TRANSFER_ENCODING) != head.headers.contains_key(CONTENT_LENGTH);
    let fits = body.size_hint().exact().is_none_or(|length| length <= MAX_BODY as u64);
    if head.status.is_informational() || !framed || !fits {
        return None;
    }
    let body = Limited::new(body, MAX_BODY).collect().await.ok()?;
    Some((head.status, head.headers, body.to_bytes()))
}

/// How an exchange ends that may have reached the upstream: it broke, or this came.
type Exchanged = Option<(StatusCode, HeaderMap, Bytes)>;

/// Sends a request and reads its answer. `None` if it is sure that its last byte was not written, so that nothing ran;
/// nor is it written later, since the caller gives the connection up.
async fn exchange(pooled: &mut Pooled, request: Request<Full<Bytes>>, hold_back: bool) -> Option<Exchanged> {
    pooled.begin(hold_back);
    let connection = &mut pooled.connection;
    match connection.sender.try_send_request(request).await {
        // Guards against the second copy of an earlier answer: an upstream begins with a request's last byte, so what
        // comes before that byte is out was not made for this request.
        Ok(_) if connection.progress().is_unfinished() => None,
        Ok(answer) => Some(read_complete(answer).await),
        Err(mut error) => {
            // Given back unwritten: it never left. Else it may have.
            let unsent = error.take_message().is_some() || connection.progress().is_unfinished();
            (!unsent).then_some(None)
        }
    }
}

/// What the answer to an attempt is worth.
fn classify(answer: Exchanged) -> (Outcome, ServedBody) {
    let Some((status, headers, body)) = answer else { return (Outcome::Reset, ServedBody::default()) };
    let rejected = headers.get("X-Rejected").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => (Outcome::Ok, (body, headers.get(CONTENT_TYPE).cloned())),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => {
            (Outcome::Rejected, ServedBody::default())
        }
        _ => (Outcome::Error, ServedBody::default()),
    }
}

/// How long an attempt lasts.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// Nobody waits for its answer any more.
    pub answer_by: Instant,
    /// Its last byte is out, or never goes out.
    pub write_by: Instant,
}

/// One attempt, from choosing a connection to the end of the answer. `answered` is told first, then the
/// connection is made ready for the next. Guards against kept connections that prove dead before the request is all
/// out: nothing ran, and another is taken. It ends as never sent if it is `unwanted`, or too late, before its last byte is
/// out, or its time is over before it has a connection.
pub async fn attempt(
    pool: Pool, endpoint: Arc<Endpoint>, outbound: Arc<ForwardedRequest>, times: AttemptDeadlines,
    abandoned: Arc<Notify>, answered: impl FnOnce(Outcome, ServedBody),
) {
    let AttemptDeadlines { answer_by, write_by } = times;
    // Guards against a connection that comes up late: what goes out then may be no repeat any more.
    let (told, late) = (abandoned.notified(), sleep_until(write_by));
    tokio::pin!(told, late);
    let abandoned = poll_fn(|cx| {
        let over = told.as_mut().poll(cx).is_ready() || late.as_mut().poll(cx).is_ready();
        if over { Poll::Ready(()) } else { Poll::Pending }
    });
    tokio::pin!(abandoned);
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let pooled = tokio::select! {
            biased;
            pooled = pool.connection(&endpoint, answer_by) => pooled,
            () = abandoned.as_mut() => Err(Outcome::NotSent),
        };
        let mut pooled = match pooled {
            Ok(pooled) => pooled,
            Err(outcome) => return answered(outcome, ServedBody::default()),
        };
        let left = answer_by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return answered(Outcome::ConnectFailed, ServedBody::default());
        }
        let mut request = Request::new(Full::new(outbound.body.clone()));
        *request.method_mut() = outbound.method.clone();
        *request.uri_mut() = outbound.uri.clone();
        *request.headers_mut() = outbound.headers.clone();
        if let Ok(budget) = format!("{:.4}", left.as_secs_f64()).parse() {
            request.headers_mut().insert("X-Budget", budget);
        }
        let progress = pooled.connection.progress();
        let exchange = exchange(&mut pooled, request, left >= MIN_TIME_FOR_HOLD_BACK);
        let result = tokio::select! {
            biased;
            result = timeout_at(answer_by, exchange) => result,
            () = abandoned_before_last_byte(abandoned.as_mut(), &progress) => {
                return answered(Outcome::NotSent, ServedBody::default());
            }
        };
        let (outcome, body) = match result {
            Ok(None) => continue,
            Ok(Some(answer)) => classify(answer),
            Err(_) => (Outcome::Timeout, ServedBody::default()),
        };
        answered(outcome, body);
        if matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Error)
            && pooled.connection.sender.ready().await.is_ok()
        {
            pool.put_back(&endpoint, pooled);
        }
        return;
    }
    answered(Outcome::ConnectFailed, ServedBody::default());
}

/// Ends when the request is unwanted while its last byte is not out; once that is out, it has to be waited for.
async fn abandoned_before_last_byte(abandoned: Pin<&mut impl Future<Output = ()>>, progress: &Progress) {
    abandoned.await;
    if !progress.is_unfinished() {
        std::future::pending::<()>().await;
    }
}

/// Asks an upstream how it is, and for its load where it reports any: the value of that name.
pub async fn probe(
    pool: Pool, endpoint: Arc<Endpoint>, answer_by: Instant, load_field_name: Option<&str>,
) -> (Outcome, Option<f64>) {
    let path = if load_field_name.is_some() { "/stats" } else { "/health/live" };
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let mut pooled = match pool.connection(&endpoint, answer_by).await {
            Ok(pooled) => pooled,
            Err(outcome) => return (outcome, None),
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(path);
        let host = HeaderValue::from_str(&endpoint.addr.to_string());
        request.headers_mut().extend(host.ok().map(|host| (HOST, host)));
        let (status, body) = match timeout_at(answer_by, exchange(&mut pooled, request, false)).await {
            Ok(None) => continue,
            Ok(Some(Some((status, _, body)))) => (status, body),
            Ok(Some(None)) => return (Outcome::Reset, None),
            Err(_) => return (Outcome::Timeout, None),
        };
        // Guards against a report that can't be: then nothing is known of the load.
        let report: Option<Value> = serde_json::from_slice(&body).ok();
        let held = report.and_then(|report| report[load_field_name?].as_f64());
        let held = held.filter(|held| (0.0..=MAX_REPORTED_LOAD).contains(held));
        if pooled.connection.sender.ready().await.is_ok() {
            pool.put_back(&endpoint, pooled);
        }
        return (if status == StatusCode::OK { Outcome::Ok } else { Outcome::Rejected }, held);
    }
    (Outcome::ConnectFailed, None)
}

#[cfg(test)]
#[path = "upstream_tests.rs"]
mod tests;
