//! Waiting for conditions of real processes.

use std::time::Duration;

/// The pause between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The number of checks before the wait fails, which is 15 s of pauses.
const MAX_POLLS: usize = 600;

/// Waits until `check` returns true, with a check every 25 ms; returns false after 600 checks without
/// success. Only for real processes, whose timing a test does not control.
pub async fn poll<F: Future<Output = bool>>(mut check: impl FnMut() -> F) -> bool {
    for _ in 0..MAX_POLLS {
        if check().await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}
