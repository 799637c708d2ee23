//! The retries of a client.

use super::exchange::Client;
use super::outcome::{AttemptEnd, AttemptOutcome};
use super::request::ClientRequest;
use crate::header_names;
use crate::server_core::duration_from_ms;
use std::net::SocketAddr;
use tokio::time::Instant;

/// The maximum wait before a retry, as a share of the time that remains until the deadline. A longer wait
/// that `Retry-After` asks for is shortened to this share.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// The retry policy of a client.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// The maximum number of attempts after the first one.
    pub retries: u32,
}

impl RetryPolicy {
    /// Sends the request to the front-end nodes in turn until an attempt may not be retried. Returns the
    /// outcomes of all attempts. Each attempt has a different request id.
    pub async fn send(&self, front_ends: &[SocketAddr], request: &ClientRequest) -> Vec<AttemptOutcome> {
        let deadline = Instant::now() + duration_from_ms(request.deadline_ms as f64);
        let mut outcomes = Vec::new();
        for (index, front_end) in front_ends.iter().cycle().take(1 + self.retries as usize).enumerate() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let mut attempt = request.clone();
            attempt.deadline_ms = remaining.as_millis() as u64;
            if index > 0 {
                attempt.request_id = format!("{}-{index}", request.request_id);
            }
            let outcome = Client::new(*front_end).send(&attempt).await;
            let pause_ms = is_retryable(&outcome).then(|| retry_after_ms(&outcome));
            outcomes.push(outcome);
            let Some(pause_ms) = pause_ms else {
                break;
            };
            let max_pause = deadline.saturating_duration_since(Instant::now()).mul_f64(MAX_WAIT_SHARE);
            tokio::time::sleep(duration_from_ms(pause_ms).min(max_pause)).await;
        }
        outcomes
    }
}

/// Whether a request may be sent again: it was not executed, or it is idempotent and has no final response.
fn is_retryable(outcome: &AttemptOutcome) -> bool {
    if outcome.promises_not_executed() || outcome.ending == AttemptEnd::ConnectFailed {
        return true;
    }
    let is_final = matches!(outcome.status, Some(400 | 401 | 404 | 413 | 431)) || outcome.is_success();
    outcome.idempotent && !is_final
}

fn retry_after_ms(outcome: &AttemptOutcome) -> f64 {
    outcome.headers.parsed::<f64>(header_names::RETRY_AFTER).map_or(0.0, |seconds| seconds.max(0.0) * 1_000.0)
}
