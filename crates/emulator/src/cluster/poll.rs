//! Waiting for real processes.

use std::time::Duration;

/// The pause between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Checks before the wait fails: 15 s of pauses.
const MAX_POLLS: usize = 600;

/// Checks every 25 ms until `check` holds; false if it does not within 600 checks. Only for real processes, whose pace a test
/// does not control.
pub async fn poll<F: Future<Output = bool>>(mut check: impl FnMut() -> F) -> bool {
    for _ in 0..MAX_POLLS {
        if check().await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}
