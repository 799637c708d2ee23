//! The list watcher: the task that reads the platform's server list once a second while this process holds the lease.
//!
//! It owns the connection to the platform and the count of failures in a row, and sends [`Command::ListRead`] or
//! [`Command::ListReadFailed`] after each read. A failure is logged (`list outcome=failed`: `warn` for the first in a row,
//! `debug` for the next ones) and retried after 250 ms; after 1.2 s without a response the controller is told to step down.

use crate::command::{Command, notify};
use crate::lease::LeaseWatch;
use crate::platform_client::{PlatformClient, PlatformError};
use lugwharf_election::FencingToken;
use lugwharf_settings::Cloud;
use spdlog::prelude::*;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

/// How often the list is read. A server that leaves has to be known at every front within `DrainMs` (3 s) of the list
/// showing it, also when the lease changes hands meanwhile; each request has a price.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// The pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// After so long without a response another process should try: it may reach the platform where this one can't. That is two
/// pages that time out; with the election and the first read of the next holder it stays within some 2 s.
const OUTAGE_BEFORE_STEP_DOWN: Duration = Duration::from_millis(1_200);

/// Between two attempts of the initial read: the time for peers to send the list that they have.
const INITIAL_READ_DELAY: Duration = Duration::from_millis(120);
/// Attempts of the initial read. An election has ended by then.
const MAX_INITIAL_READS: u32 = 6;

/// Reads the list once after a start, without a lease, unless a peer has sent it meanwhile.
pub async fn initial_read(cloud: Cloud, commands: mpsc::Sender<Command>) {
    let mut client = PlatformClient::new(cloud.address);
    for _ in 0..MAX_INITIAL_READS {
        sleep(INITIAL_READ_DELAY).await;
        let (reply, is_needed) = oneshot::channel();
        let command = Command::NeedsInitialList { reply };
        if commands.send(command).await.is_err() || !is_needed.await.unwrap_or(false) {
            return;
        }
        if let Ok(entries) = client.list_servers(|| true).await {
            notify(&commands, Command::InitialListRead { entries }).await;
            return;
        }
    }
}

/// Reads the list while `lease` has one, and each page only while that lease is valid by the clock: after a pause of the
/// process this task may run before the controller.
pub async fn run(cloud: Cloud, mut lease: LeaseWatch, commands: mpsc::Sender<Command>) {
    let mut client = PlatformClient::new(cloud.address);
    loop {
        let Some(token) = lease.current_token() else {
            if lease.changed().await.is_none() {
                return;
            }
            continue;
        };
        if watch_under_lease(&mut client, token, &mut lease, &commands).await.is_none() {
            return;
        }
    }
}

/// Reads under one token until it is lost. `None` if the process is ending.
async fn watch_under_lease(
    client: &mut PlatformClient, token: FencingToken, lease: &mut LeaseWatch,
    commands: &mpsc::Sender<Command>,
) -> Option<()> {
    let mut failures = 0;
    let mut outage = PlatformOutage::default();
    loop {
        let started_at = Instant::now();
        let current = lease.clone();
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
            // The controller finds this too, at its next event.
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

/// How long the platform has not responded to this process.
#[derive(Debug, Default)]
pub struct PlatformOutage {
    since: Option<Instant>,
}

impl PlatformOutage {
    /// The platform responded.
    pub fn record_response(&mut self) {
        self.since = None;
    }

    /// A read that began at `started_at` has failed; returns whether another process should try. An error status is a
    /// response: the platform would send it to others as well.
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
