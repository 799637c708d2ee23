//! The list watcher: the task that reads the platform's server list once a second while this process holds
//! the lease.
//!
//! It owns the connection to the platform and the count of consecutive failures, and sends
//! [`Command::ListRead`] or [`Command::ListReadFailed`] after each read. A failure is logged
//! (`list outcome=failed`, at `warn` for the first consecutive failure and at `debug` for later ones) and
//! retried after 250 ms. After 1.2 s without a response, the command asks the controller to step down.

use crate::command::{Command, send_command};
use crate::lease::LeaseWatch;
use crate::platform_client::{PlatformClient, PlatformError};
use lugwharf_election::FencingToken;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// The interval between two reads. Every front-end node must learn that a server is leaving within `DrainMs`
/// (3 s) of the change in the list, even if the lease moves to another process in that time. More frequent
/// reads would cost more requests.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval between a failed read and the next one.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// After this long without a response, another process should read the list, because it may be able to reach
/// the platform. The time elapses during the second of two consecutive page timeouts (0.7 s each). Together
/// with the election and the first read of the next lease holder, this is about 2 s.
const OUTAGE_BEFORE_STEP_DOWN: Duration = Duration::from_millis(1_200);

/// The delay before each attempt of the initial read, in which peers can send the list that they have.
const INITIAL_READ_DELAY: Duration = Duration::from_millis(120);
/// The maximum number of attempts of the initial read. An election has completed by then.
const MAX_INITIAL_READS: u32 = 6;

/// Reads the list once after a start, without a lease, unless a peer has already sent it.
pub async fn initial_read(platform: SocketAddr, commands: mpsc::Sender<Command>) {
    let mut client = PlatformClient::new(platform);
    for _ in 0..MAX_INITIAL_READS {
        sleep(INITIAL_READ_DELAY).await;
        let (reply, is_needed) = oneshot::channel();
        let command = Command::NeedsInitialList { reply };
        if commands.send(command).await.is_err() || !is_needed.await.unwrap_or(false) {
            return;
        }
        if let Ok(entries) = client.list_servers(|| true).await {
            send_command(&commands, Command::InitialListRead { entries }).await;
            return;
        }
    }
}

/// Reads the list while this process holds the lease. Each page is requested only if the lease has not
/// expired by the clock, because after a pause of the process this task may run before the controller notices
/// the expiry. `platform` is the address of the platform, which a reload of the settings may change.
pub async fn run(
    platform: watch::Receiver<SocketAddr>, mut lease: LeaseWatch, commands: mpsc::Sender<Command>,
) {
    let mut client = PlatformClient::new(*platform.borrow());
    loop {
        let Some(token) = lease.current_token() else {
            if lease.changed().await.is_none() {
                return;
            }
            continue;
        };
        if watch_under_lease(&mut client, &platform, token, &mut lease, &commands).await.is_none() {
            return;
        }
    }
}

/// Reads the list until the lease with this token is lost. Returns `None` if the process is ending.
async fn watch_under_lease(
    client: &mut PlatformClient, platform: &watch::Receiver<SocketAddr>, token: FencingToken,
    lease: &mut LeaseWatch, commands: &mpsc::Sender<Command>,
) -> Option<()> {
    let mut failures = 0;
    let mut outage = PlatformOutage::default();
    loop {
        let started_at = Instant::now();
        let current = lease.clone();
        client.set_address(*platform.borrow());
        let read = tokio::select! {
            read = client.list_servers(|| current.holds(token)) => read,
            changed = lease.changed() => return changed,
        };
        let pause = match read {
            Ok(entries) => {
                failures = 0;
                outage.record_response();
                commands.send(Command::ListRead { token, entries }).await.ok()?;
                READ_INTERVAL
            }
            // The controller detects the expiry at its next event and publishes it.
            Err(PlatformError::LeaseExpired) => return lease.changed().await,
            Err(error) => {
                failures += 1;
                log_failure(&error, failures);
                let should_step_down = outage.record_failure(started_at, Instant::now(), &error);
                commands.send(Command::ListReadFailed { token, should_step_down }).await.ok()?;
                READ_RETRY_DELAY
            }
        };
        tokio::select! {
            () = sleep_until(started_at + pause) => {}
            changed = lease.changed() => return changed,
        }
    }
}

/// The time since which the platform has not responded to this process.
#[derive(Debug, Default)]
pub struct PlatformOutage {
    since: Option<Instant>,
}

impl PlatformOutage {
    /// Records that the platform responded, which ends an outage.
    pub fn record_response(&mut self) {
        self.since = None;
    }

    /// Records that a read that began at `started_at` has failed, and returns whether another process should
    /// try. An error status counts as a response, because the platform would send it to other processes as
    /// well.
    pub fn record_failure(&mut self, started_at: Instant, now: Instant, error: &PlatformError) -> bool {
        if matches!(error, PlatformError::Status(_)) {
            self.record_response();
            return false;
        }
        let since = *self.since.get_or_insert(started_at);
        now.saturating_duration_since(since) >= OUTAGE_BEFORE_STEP_DOWN
    }
}

fn log_failure(error: &PlatformError, failures: u32) {
    match failures {
        1 => warn!("list", kv: { outcome = "failed", failures, error: = error }),
        _ => debug!("list", kv: { outcome = "failed", failures, error: = error }),
    }
}
