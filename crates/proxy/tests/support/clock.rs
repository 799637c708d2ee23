//! A clock that a test stops or lets jump.

use std::time::{Duration, Instant};

/// In real time: what a script under a frozen clock awaits for longer will never come.
const STUCK_AFTER: Duration = Duration::from_secs(10);

/// Runs `script` while no time passes: no timer of the proxy fires before the peers have done what the test forces.
pub async fn with_frozen_clock<T>(script: impl Future<Output = T>) -> T {
    tokio::time::pause();
    // A paused clock jumps ahead when every task is idle: this one never is.
    let started = Instant::now();
    let busy = async {
        loop {
            assert!(started.elapsed() < STUCK_AFTER, "what the test waits for needs time to pass");
            tokio::task::yield_now().await;
        }
    };
    let done = tokio::select! {
        biased;
        done = script => done,
        () = busy => unreachable!("it never ends"),
    };
    tokio::time::resume();
    done
}

/// Lets that much time pass at once, for the proxy and its peers.
pub async fn advance_clock(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}
