//! Attempts: each sends one request to one endpoint.

use super::exchange::{CompleteAnswer, Exchange, MAX_CONNECTIONS, exchange};
use crate::connection::WriteProgress;
use crate::pool::{Endpoint, Pool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use lugwharf_sidecar::api::Outcome;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The last byte of a request is held back only if at least this much of its time is left. Holding it back
/// takes about a millisecond, and a second in tests.
pub(super) const MIN_TIME_FOR_HOLD_BACK: Duration =
    Duration::from_millis(if cfg!(test) { 50_000 } else { 50 });

/// The parts of a client's request that are forwarded to an upstream.
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Returns the request with the remaining time in `X-Budget`, in seconds with four decimals.
    fn with_budget(&self, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        if let Ok(budget) = format!("{:.4}", left.as_secs_f64()).parse() {
            request.headers_mut().insert("X-Budget", budget);
        }
        request
    }
}

/// The body and `Content-Type` of an upstream's response with status 200.
#[derive(Debug, Default, PartialEq)]
pub struct ServedBody {
    pub body: Bytes,
    pub content_type: Option<HeaderValue>,
}

/// The deadlines of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// The deadline for the answer, after which nobody waits for it.
    pub answer_by: Instant,
    /// The deadline for writing. A request that is not completely written by then never is.
    pub write_by: Instant,
}

/// Makes one attempt, from the choice of a connection to the end of the answer. `on_end` is called with the
/// outcome before the connection is made ready for the next request and put back.
///
/// If a connection breaks before the request is completely written, the request has not run, and the attempt
/// goes on with another connection. The attempt ends as [`Outcome::NotSent`] if it is `abandoned`, or passes
/// `write_by`, before its last byte is written, or if the endpoint is closed before the attempt has a
/// connection. The attempt ends as [`Outcome::ConnectFailed`] if no connection is available by `answer_by`,
/// or if each of [`MAX_CONNECTIONS`] connections broke before the request was completely written.
pub async fn attempt(
    pool: Pool, endpoint: Arc<Endpoint>, forwarded: Arc<ForwardedRequest>, deadlines: AttemptDeadlines,
    abandoned: Arc<Notify>, on_end: impl FnOnce(Outcome, ServedBody),
) {
    let AttemptDeadlines { answer_by, write_by } = deadlines;
    let (abandoned, write_deadline) = (abandoned.notified(), sleep_until(write_by));
    tokio::pin!(abandoned, write_deadline);
    let stop_writing = poll_fn(|cx| {
        let stop = abandoned.as_mut().poll(cx).is_ready() || write_deadline.as_mut().poll(cx).is_ready();
        if stop { Poll::Ready(()) } else { Poll::Pending }
    });
    tokio::pin!(stop_writing);
    for _ in 0..MAX_CONNECTIONS {
        let pooled = tokio::select! {
            biased;
            pooled = pool.connection(&endpoint, answer_by) => pooled,
            () = stop_writing.as_mut() => Err(Outcome::NotSent),
        };
        let mut pooled = match pooled {
            Ok(pooled) => pooled,
            Err(outcome) => return on_end(outcome, ServedBody::default()),
        };
        let left = answer_by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return on_end(Outcome::ConnectFailed, ServedBody::default());
        }
        let progress = pooled.connection.write_progress();
        let request = forwarded.with_budget(left);
        let exchange = exchange(&mut pooled, request, left >= MIN_TIME_FOR_HOLD_BACK);
        let ended = tokio::select! {
            biased;
            ended = timeout_at(answer_by, exchange) => ended,
            () = stopped_before_last_byte(stop_writing.as_mut(), &progress) => {
                return on_end(Outcome::NotSent, ServedBody::default());
            }
        };
        let Some((outcome, served)) = outcome_of(ended) else { continue };
        on_end(outcome, served);
        let was_answered = matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Error);
        if was_answered && pooled.connection.sender.ready().await.is_ok() {
            pool.put_back(&endpoint, pooled);
        }
        return;
    }
    on_end(Outcome::ConnectFailed, ServedBody::default());
}

/// Completes when writing has to stop and the last byte has not been written. Once that byte is written, the
/// future never completes, since the answer has to be awaited.
async fn stopped_before_last_byte(
    stop_writing: Pin<&mut impl Future<Output = ()>>, progress: &WriteProgress,
) {
    stop_writing.await;
    if !progress.is_incomplete() {
        std::future::pending::<()>().await;
    }
}

/// Returns how an attempt ends; `None` if the attempt goes on with another connection.
fn outcome_of(ended: Result<Exchange, Elapsed>) -> Option<(Outcome, ServedBody)> {
    match ended {
        Ok(Exchange::NeverWritten) => None,
        Ok(Exchange::Broken) => Some((Outcome::Reset, ServedBody::default())),
        Ok(Exchange::Answered(answer)) => Some(classify(answer)),
        Err(_) => Some((Outcome::Timeout, ServedBody::default())),
    }
}

/// Returns the outcome that an answer means. A 503 or 504 proves that the request did not run only with
/// `X-Rejected: 1`.
fn classify(answer: CompleteAnswer) -> (Outcome, ServedBody) {
    let CompleteAnswer { status, headers, body } = answer;
    let is_rejected = headers.get("X-Rejected").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => {
            let content_type = headers.get(CONTENT_TYPE).cloned();
            (Outcome::Ok, ServedBody { body, content_type })
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => {
            (Outcome::Rejected, ServedBody::default())
        }
        _ => (Outcome::Error, ServedBody::default()),
    }
}
