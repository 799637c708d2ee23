//! Graceful shutdown after SIGTERM: all clients that have come are served, and nothing is left when SIGKILL comes.

use super::eviction::SILENT_AFTER;
use super::listener::{Server, lock};
use crate::client_connection::ClientPhase;
use crate::config::Config;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// After SIGTERM connections are accepted for this long at least, ...
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// ... then until none came for this long, ...
const QUIET_TIME: Duration = Duration::from_millis(250);
/// ... and for this long at most: clients that came by then have an answer by their deadline, before SIGKILL.
pub(super) const MAX_ACCEPT_TIME: Duration = Duration::from_millis(650);
/// How often a shutdown checks whether it is done.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// SIGKILL comes 700 ms after the longest deadline, which counts as this at least.
const MIN_DEADLINE: Duration = Duration::from_secs(3);
/// A shutdown ends so long after the longest deadline: before SIGKILL, and after the last answer to clients that came while
/// connections were accepted.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(660);
const _: () = assert!(MAX_ACCEPT_TIME.as_millis() < SHUTDOWN_MARGIN.as_millis(), "an answer is still due");

/// The longest that a shutdown takes.
pub fn shutdown_time(config: &Config) -> Duration {
    config.max_client_timeout().max(MIN_DEADLINE) + SHUTDOWN_MARGIN
}

impl Server {
    /// Serves all clients that have come, and those that still come for a moment, and returns once no connection is left or
    /// its time is over. It does not end before the last answer is written, however long the settings let clients wait: if
    /// SIGKILL comes sooner, at least this program has not cut off an answer.
    pub async fn shut_down(&self) {
        let since = Instant::now();
        self.drain();
        while since.elapsed() < MIN_ACCEPT_TIME
            || since.elapsed() < MAX_ACCEPT_TIME && !self.is_quiet_for(QUIET_TIME)
        {
            sleep(CHECK_INTERVAL).await;
        }
        self.stop_accepting.notify_one();
        loop {
            sleep(CHECK_INTERVAL).await;
            // Silent connections are closed; the others close after their answers.
            self.close_where(|phase, age| phase.is_idle() && age >= SILENT_AFTER);
            if lock(&self.clients).is_empty() || since.elapsed() >= shutdown_time(&self.config) {
                return;
            }
        }
    }

    /// Readiness fails from now on, and connections close after their answers.
    fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.close_where(|phase, _| phase != ClientPhase::New);
    }

    /// Returns whether no connection came for so long.
    fn is_quiet_for(&self, time: Duration) -> bool {
        lock(&self.last_accepted_at).elapsed() >= time
    }
}
