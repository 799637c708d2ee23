//! When a client tries again.

use super::{AttemptEnd, Client, ClientRequest, Outcome};
use crate::core::millis;
use crate::names;
use std::net::SocketAddr;
use tokio::time::Instant;

/// The part of the time left that a client waits at most when it is told to.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// How a client tries again.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Tries after the first.
    pub retries: u32,
}

impl RetryPolicy {
    /// Sends the request to the fronts in turn until it is answered for good; returns all tries. Each try has its own id.
    pub async fn send(&self, fronts: &[SocketAddr], request: &ClientRequest) -> Vec<Outcome> {
        let until = Instant::now() + millis(request.deadline_ms as f64);
        let mut outcomes = Vec::new();
        for (index, front) in fronts.iter().cycle().take(1 + self.retries as usize).enumerate() {
            let left = until.saturating_duration_since(Instant::now());
            let mut one = request.clone();
            one.deadline_ms = left.as_millis() as u64;
            if index > 0 {
                one.request_id = format!("{}-{index}", request.request_id);
            }
            let outcome = Client::new(*front).send(&one).await;
            let pause = wants_another(&outcome).then(|| wait_ms(&outcome));
            outcomes.push(outcome);
            let Some(pause) = pause else {
                break;
            };
            let left = until.saturating_duration_since(Instant::now()).mul_f64(MAX_WAIT_SHARE);
            tokio::time::sleep(millis(pause).min(left)).await;
        }
        outcomes
    }
}

fn wants_another(outcome: &Outcome) -> bool {
    if outcome.promises_not_executed() || outcome.ending == AttemptEnd::ConnectFailed {
        return true;
    }
    let is_final = matches!(outcome.status, Some(400 | 401 | 404 | 413 | 431)) || outcome.is_success();
    outcome.idempotent && !is_final
}

fn wait_ms(outcome: &Outcome) -> f64 {
    outcome.headers.parsed::<f64>(names::RETRY_AFTER).map_or(0.0, |seconds| seconds.max(0.0) * 1_000.0)
}
