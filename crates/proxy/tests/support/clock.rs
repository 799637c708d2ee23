//! Control of the test's clock: stopping it, and advancing it at once.

use std::time::{Duration, Instant};

/// The maximum real time for a script under a frozen clock. A script that takes longer waits for something
/// that never happens.
const MAX_SCRIPT_TIME: Duration = Duration::from_secs(10);

/// Runs `script` with the clock stopped, so that no timer of the proxy fires before the peers have completed
/// the script.
pub async fn with_frozen_clock<T>(script: impl Future<Output = T>) -> T {
    tokio::time::pause();
    // A paused clock advances by itself when all tasks are idle, so this task is always busy.
    let started = Instant::now();
    let busy = async {
        loop {
            assert!(
                started.elapsed() < MAX_SCRIPT_TIME,
                "the script waits for something that needs the clock to advance"
            );
            tokio::task::yield_now().await;
        }
    };
    let done = tokio::select! {
        biased;
        done = script => done,
        () = busy => unreachable!("the busy task never completes"),
    };
    tokio::time::resume();
    done
}

/// Advances the clock of the proxy and its peers by `time`.
pub async fn advance_clock(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}
