//! Probes: each asks an upstream for its load.

use super::exchange::{CompleteAnswer, Exchange, MAX_CONNECTIONS, exchange};
use crate::pool::{Endpoint, Pool, PooledConnection};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use lugwharf_sidecar::api::Outcome;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// The limit on the in-flight requests that an upstream may report. A report above it is ignored.
const MAX_REPORTED_LOAD: f64 = 1e6;

/// The result of a probe.
#[derive(Debug, PartialEq)]
pub struct ProbeResult {
    pub outcome: Outcome,
    /// The load that the upstream reported, if any.
    pub reported_load: Option<f64>,
}

impl ProbeResult {
    fn without_load(outcome: Outcome) -> Self {
        ProbeResult { outcome, reported_load: None }
    }
}

/// Asks an upstream for its load: the value named `load_field_name` in its load report. Without a name,
/// upstreams report no load, and the probe only asks whether the upstream is alive.
pub async fn probe(
    pool: Pool, endpoint: Arc<Endpoint>, answer_by: Instant, load_field_name: Option<&str>,
) -> ProbeResult {
    for _ in 0..MAX_CONNECTIONS {
        let mut pooled = match pool.connection(&endpoint, answer_by).await {
            Ok(pooled) => pooled,
            Err(outcome) => return ProbeResult::without_load(outcome),
        };
        let request = probe_request(endpoint.address, load_field_name.is_some());
        let ended = timeout_at(answer_by, exchange(&mut pooled, request, false)).await;
        let answer = match ended {
            Ok(Exchange::NeverWritten) => continue,
            Ok(Exchange::Answered(answer)) => answer,
            Ok(Exchange::Broken) => return ProbeResult::without_load(Outcome::Reset),
            Err(_) => return ProbeResult::without_load(Outcome::Timeout),
        };
        let reported_load = load_field_name.and_then(|name| load_in(&answer, name));
        let outcome = if answer.status == StatusCode::OK { Outcome::Ok } else { Outcome::Rejected };
        put_back_when_ready(&pool, &endpoint, pooled).await;
        return ProbeResult { outcome, reported_load };
    }
    ProbeResult::without_load(Outcome::ConnectFailed)
}

fn probe_request(address: SocketAddr, reports_load: bool) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    let path = if reports_load { "/stats" } else { "/health/live" };
    *request.uri_mut() = Uri::from_static(path);
    let host = HeaderValue::from_str(&address.to_string());
    request.headers_mut().extend(host.ok().map(|host| (HOST, host)));
    request
}

/// Returns the value of this name in a load report; `None` if the value is missing or out of range.
fn load_in(answer: &CompleteAnswer, field_name: &str) -> Option<f64> {
    let report: Value = serde_json::from_slice(&answer.body).ok()?;
    report[field_name].as_f64().filter(|load| (0.0..=MAX_REPORTED_LOAD).contains(load))
}

async fn put_back_when_ready(pool: &Pool, endpoint: &Endpoint, mut pooled: PooledConnection) {
    if pooled.connection.sender.ready().await.is_ok() {
        pool.put_back(endpoint, pooled);
    }
}
