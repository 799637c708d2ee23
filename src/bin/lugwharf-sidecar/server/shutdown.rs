//! Graceful shutdown after SIGTERM: all connected clients are served, and the process ends before SIGKILL.

use super::eviction::SILENT_AFTER;
use super::listener::{Server, lock};
use crate::client_connection::ClientPhase;
use crate::config::Config;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The shortest time for which connections are accepted after SIGTERM.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// After [`MIN_ACCEPT_TIME`], connections are accepted until none has arrived for this long.
const QUIET_TIME: Duration = Duration::from_millis(250);
/// The longest time for which connections are accepted after SIGTERM. Clients that connect by then have an
/// answer by their deadline, before SIGKILL.
pub(super) const MAX_ACCEPT_TIME: Duration = Duration::from_millis(650);
/// The interval at which a shutdown checks whether it is done.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// SIGKILL is sent 700 ms after the longest deadline of a class, which counts as at least this long.
const MIN_DEADLINE: Duration = Duration::from_secs(3);
/// A shutdown ends at the latest this long after the longest deadline: before SIGKILL, and after the last
/// answer to clients that connected while connections were accepted.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(660);
const _: () = assert!(
    MAX_ACCEPT_TIME.as_millis() < SHUTDOWN_MARGIN.as_millis(),
    "the shutdown may end before the last answer is due"
);

/// Returns the longest that a shutdown takes.
pub fn shutdown_time(config: &Config) -> Duration {
    config.max_client_timeout().max(MIN_DEADLINE) + SHUTDOWN_MARGIN
}

impl Server {
    /// Serves all connected clients, and those that connect within a short time, and returns once no
    /// connection is left or [`shutdown_time`] is over. That time covers the longest wait that the settings
    /// allow a client: if SIGKILL is sent sooner, at least this program has not cut off an answer.
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
            // Closes connections that have been idle for a while; the others close after their answers.
            self.close_where(|phase, age| phase.is_idle() && age >= SILENT_AFTER);
            if lock(&self.clients).is_empty() || since.elapsed() >= shutdown_time(&self.config) {
                return;
            }
        }
    }

    /// Makes readiness checks fail from now on, and connections close after their answers.
    fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.close_where(|phase, _| phase != ClientPhase::New);
    }

    /// Returns whether no connection has been accepted for `time`.
    fn is_quiet_for(&self, time: Duration) -> bool {
        lock(&self.last_accepted_at).elapsed() >= time
    }
}
