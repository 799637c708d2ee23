//! The work of the list reader's role: while this process holds it, the platform's list is read in a steady rhythm.

use crate::command::Command;
use crate::lease::HeldLease;
use crate::platform_client::{PlatformClient, PlatformError};
use lugwharf_settings::Cloud;
use spdlog::prelude::*;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// How often the list is read. A server that leaves has to be known at every front within `DrainMs` (3 s) of the list
/// showing it, also when the role changes hands meanwhile; each call has a price.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// The pause after a read that failed.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// After so long without an answer another process should try: it may reach the platform where this one can't. Two pages
/// that do not come; with the election and the first read of the successor it stays within some 2 s.
const OUTAGE_BEFORE_STEP_DOWN: Duration = Duration::from_millis(1_200);

/// After a start: the time for the others to tell what they have.
const INITIAL_READ_DELAY: Duration = Duration::from_millis(120);
/// Tries of the first look. An election has come to an end by then.
const MAX_INITIAL_READS: u32 = 6;

/// Reads the list once after a start, unless another process has told it meanwhile.
pub async fn initial_read(cloud: Cloud, commands: mpsc::Sender<Command>) {
    let mut client = PlatformClient::new(cloud.address);
    for _ in 0..MAX_INITIAL_READS {
        sleep(INITIAL_READ_DELAY).await;
        let (reply, lacks) = oneshot::channel();
        if commands.send(Command::NeedsInitialList { reply }).await.is_err() || !lacks.await.unwrap_or(false)
        {
            return;
        }
        if let Ok(entries) = client.list_servers(|| true).await {
            drop(commands.send(Command::InitialListRead { entries }).await);
            return;
        }
    }
}

/// Reads while `role` holds a fencing token, and each page only while the lease lasts by the clock: after a standstill of
/// the process it is this task that may run first.
pub async fn run(
    cloud: Cloud, mut role: watch::Receiver<Option<HeldLease>>, commands: mpsc::Sender<Command>,
) {
    let mut client = PlatformClient::new(cloud.address);
    loop {
        let Some(HeldLease { token: epoch, .. }) = *role.borrow_and_update() else {
            if role.changed().await.is_err() {
                return;
            }
            continue;
        };
        if watch_under_lease(&mut client, epoch, &mut role, &commands).await.is_none() {
            return;
        }
    }
}

/// Reads under one token until it is lost. `None` if the process is ending.
async fn watch_under_lease(
    client: &mut PlatformClient, epoch: u64, role: &mut watch::Receiver<Option<HeldLease>>,
    commands: &mpsc::Sender<Command>,
) -> Option<()> {
    let mut failures = 0;
    let mut outage = PlatformOutage::default();
    loop {
        let begun = Instant::now();
        let lease = role.clone();
        let read = tokio::select! {
            read = client.list_servers(|| is_lease_valid(&lease, epoch)) => read,
            changed = role.changed() => return changed.ok(),
        };
        let pause = match read {
            Ok(entries) => {
                failures = 0;
                outage.record_response();
                commands.send(Command::ListRead { epoch, entries }).await.ok()?;
                READ_INTERVAL
            }
            // The owner of the lease finds this too, at its next event.
            Err(PlatformError::LeaseExpired) => return role.changed().await.ok(),
            Err(error) => {
                failures += 1;
                log_failure(&error, failures);
                let should_step_down = outage.record_failure(begun, Instant::now(), &error);
                commands.send(Command::ListReadFailed { epoch, should_step_down }).await.ok()?;
                READ_RETRY_DELAY
            }
        };
        tokio::select! {
            () = sleep_until(begun + pause) => {}
            changed = role.changed() => return changed.ok(),
        }
    }
}

/// Whether the lease under this token lasts at this moment.
fn is_lease_valid(role: &watch::Receiver<Option<HeldLease>>, epoch: u64) -> bool {
    role.borrow().is_some_and(|lease| lease.token == epoch && lease.is_valid(Instant::now()))
}

/// How long this process has had no answer of the platform.
#[derive(Debug, Default)]
pub struct PlatformOutage {
    since: Option<Instant>,
}

impl PlatformOutage {
    /// The platform answered.
    pub fn record_response(&mut self) {
        self.since = None;
    }

    /// A reading that began at `begun` has failed; returns whether another process should try. A refusal is an answer:
    /// the platform would refuse others as well.
    pub fn record_failure(&mut self, begun: Instant, now: Instant, error: &PlatformError) -> bool {
        if matches!(error, PlatformError::Status(_)) {
            self.record_response();
            return false;
        }
        let since = *self.since.get_or_insert(begun);
        now.saturating_duration_since(since) >= OUTAGE_BEFORE_STEP_DOWN
    }
}

/// The first failure in a row is worth a warning.
fn log_failure(error: &PlatformError, failures: u32) {
    match failures {
        1 => warn!("list", kv: { outcome = "failed", failures, error: = error }),
        _ => debug!("list", kv: { outcome = "failed", failures, error: = error }),
    }
}
