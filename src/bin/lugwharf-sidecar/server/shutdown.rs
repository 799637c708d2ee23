//! The end after SIGTERM: whoever has come is served, and nothing is left when SIGKILL comes.

use super::eviction::MIN_SILENCE;
use super::{Server, lock};
use crate::client::ClientPhase;
use crate::config::Config;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// After SIGTERM newcomers come for so long at least, none for so long means that they have stopped, and nobody is let in
/// after this: whoever came by then has an answer by its deadline, and no sooner than that comes SIGKILL.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
const QUIET_TIME: Duration = Duration::from_millis(250);
pub(super) const MAX_ACCEPT_TIME: Duration = Duration::from_millis(650);
/// How often an ending sidecar looks whether it is done.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// SIGKILL comes 700 ms after the longest deadline, which counts for 3 s at least. An ending sidecar has ended before it,
/// and after the last answer to whoever came by the last call.
const MIN_DEADLINE: Duration = Duration::from_secs(3);
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(660);
const _: () = assert!(MAX_ACCEPT_TIME.as_millis() < SHUTDOWN_MARGIN.as_millis(), "an answer is still owed");

/// What a shutdown takes at the most: what came by the last call has its deadline.
pub fn shutdown_time(config: &Config) -> Duration {
    config.max_client_timeout().max(MIN_DEADLINE) + SHUTDOWN_MARGIN
}

impl Server {
    /// Serves whoever has come, and still comes for a moment, and returns once no connection is left. Guards against an end
    /// before the last answer is written, however long the settings let clients wait: where SIGKILL comes sooner, what is
    /// still owed has at least not been cut off by this program.
    pub async fn shut_down(&self) {
        let since = Instant::now();
        self.drain();
        while since.elapsed() < MIN_ACCEPT_TIME
            || since.elapsed() < MAX_ACCEPT_TIME && !self.is_quiet(QUIET_TIME)
        {
            sleep(CHECK_INTERVAL).await;
        }
        self.stop_accepting.notify_one();
        loop {
            sleep(CHECK_INTERVAL).await;
            // What has been mute is closed; what else there is closes after its answer.
            self.close_where(|phase, age| phase.is_idle() && age >= MIN_SILENCE);
            if lock(&self.clients).is_empty() || since.elapsed() >= shutdown_time(&self.config) {
                return;
            }
        }
    }

    /// Readiness fails from now on and connections close after their answers.
    fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.close_where(|phase, _| phase != ClientPhase::New);
    }

    /// Has nobody come for so long?
    fn is_quiet(&self, newcomers: Duration) -> bool {
        lock(&self.accepted).elapsed() >= newcomers
    }
}
