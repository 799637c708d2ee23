//! Pulls updates from one control process at a time.
//!
//! Each agent orders the control processes by a hash ring, so that the agents of a fleet spread over them. It
//! follows the first process that replies and has a quorum. Each pull also serves as the heartbeat of this
//! front-end node.
//!
//! An update from a process without a quorum may be arbitrarily old. It is retained as a fallback, and
//! applied only after all other processes have been tried and none has a quorum: an old configuration is
//! better than none, but an agent that starts must not prefer an old configuration to the newest one.

use crate::ControlPlaneStatus;
use crate::backoff::Backoff;
use crate::control_connection::ControlConnection;
use crate::fallback::FallbackUpdate;
use crate::metrics::{AgentMetrics, PullOutcome};
use crate::table_owner::{Command, PullReport};
use lugwharf_membership::HashRing;
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, Update};
use lugwharf_settings::Settings;
use spdlog::prelude::*;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep};

#[cfg(test)]
#[path = "control_link_tests.rs"]
mod control_link_tests;

/// How long a control process may hold a pull while it has nothing newer. A longer wait would delay the
/// detection of an unresponsive control process; a shorter one would cost more wake-ups on both sides.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);
/// Added to the wait of a pull to get its timeout: time for the round trip and for a busy control process.
const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// How long the agent follows a process other than its preferred one before it tries the preferred one again.
const PREFERRED_RETRY_DELAY: Duration = Duration::from_secs(10);
/// The maximum number of addresses accepted from a control process. A longer list is ignored.
const MAX_CONTROL_ADDRESSES: usize = 64;

struct ControlLink {
    node: String,
    incarnation: u64,
    /// Agent addresses of the seeds in the settings. They are tried after all others.
    seeds: Vec<SocketAddr>,
    /// Agent addresses of the control processes, as last reported by one of them.
    control: Vec<SocketAddr>,
    /// The local address to connect from, if the settings specify one.
    source: Option<IpAddr>,
    metrics: Arc<AgentMetrics>,
    commands: mpsc::Sender<Command>,
    control_plane: ControlPlaneStatus,
}

/// Pulls from the control processes until the table owner ends. Each pass starts with the newest settings.
pub async fn run(
    mut settings: watch::Receiver<Settings>, metrics: Arc<AgentMetrics>, commands: mpsc::Sender<Command>,
    control_plane: ControlPlaneStatus,
) {
    let (node, source) = {
        let settings = settings.borrow();
        (settings.node.clone(), settings.bind)
    };
    let mut link = ControlLink {
        node,
        incarnation: new_incarnation(),
        seeds: Vec::new(),
        control: Vec::new(),
        source,
        metrics,
        commands,
        control_plane,
    };
    let mut backoff = Backoff::new(link.incarnation);
    while !link.commands.is_closed() {
        link.seeds = seed_addresses(&settings.borrow_and_update());
        if link.try_candidates().await {
            backoff.reset();
        }
        sleep(backoff.next()).await;
    }
}

/// Why the agent stopped following a control process, other than by an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopReason {
    /// The table owner has ended.
    ShuttingDown,
    /// The control process has no quorum.
    NoQuorum,
    /// It is time to try the preferred control process again.
    ReturnToPreferred,
}

impl StopReason {
    /// Returns the `reason` in log lines.
    fn name(self) -> &'static str {
        match self {
            StopReason::ShuttingDown => "shutting_down",
            StopReason::NoQuorum => "no_quorum",
            StopReason::ReturnToPreferred => "return_to_preferred",
        }
    }
}

/// Whether requests to this machine should no longer be redirected to the control process that was followed
/// until now. A process that was left only to try the preferred one stays the target until the preferred one
/// serves.
fn must_stop_redirects(stopped: &Result<StopReason, FrameError>) -> bool {
    !matches!(stopped, Ok(StopReason::ReturnToPreferred))
}

/// Returns a number that differs between the starts of this process: the wall-clock time in µs. Nothing
/// depends on it increasing.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// Adds the base to the server delta in a reply of an earlier version, which does not state it: replies are
/// computed for the versions in the request.
fn with_requested_base(update: Update, request: &AgentRequest) -> Update {
    match request {
        AgentRequest::Pull { have, .. } => update.with_base(have.servers),
        AgentRequest::Announce { .. } => update,
    }
}

/// Returns the agent addresses of the seeds. All machines use the same ports.
fn seed_addresses(settings: &Settings) -> Vec<SocketAddr> {
    let port = settings.internal_ports().agent;
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

impl ControlLink {
    /// Returns all known control processes in the order in which they are tried: the reported ones by
    /// preference (the seeds, if none were reported), then the announced ones, then the remaining seeds.
    fn candidates(&self) -> Vec<SocketAddr> {
        let known = if self.control.is_empty() { &self.seeds } else { &self.control };
        let mut candidates = HashRing::new(known).monitors_of(&self.node, known.len());
        let announced = self.control_plane.announced.borrow().clone();
        for address in announced.into_iter().chain(self.seeds.iter().copied()) {
            if !candidates.contains(&address) {
                candidates.push(address);
            }
        }
        candidates
    }

    /// Tries each control process in turn and follows those that serve. Returns whether any of them did. The
    /// pass ends early when it is time to try the preferred process again.
    async fn try_candidates(&mut self) -> bool {
        let mut any_served = false;
        let mut fallback = FallbackUpdate::default();
        for address in self.candidates() {
            let mut has_served = false;
            let stopped = self.follow(address, &mut has_served, &mut fallback).await;
            if must_stop_redirects(&stopped) {
                self.control_plane.followed.send_replace(None);
            }
            any_served |= has_served;
            match stopped {
                Ok(reason) => {
                    debug!("control", kv: { outcome = "stopped_following", reason = reason.name(), control: = address });
                    if reason == StopReason::ReturnToPreferred {
                        return true;
                    }
                }
                Err(error) => {
                    self.metrics.record_pull(PullOutcome::Failed);
                    debug!("control", kv: { outcome = "failed", control: = address, error: = error })
                }
            }
        }
        if let Some(update) = fallback.into_newest().filter(|_| !any_served) {
            self.metrics.record_pull(PullOutcome::Fallback);
            info!("control", kv: { outcome = "fallback", config_version = update.vector.config });
            self.apply(update).await;
        }
        any_served
    }

    /// Pulls from one control process until it fails, has no quorum, or it is time to try the preferred
    /// process again. Sets `has_served` once the process has replied with a quorum. An update without a
    /// quorum is offered to `fallback`.
    async fn follow(
        &mut self, address: SocketAddr, has_served: &mut bool, fallback: &mut FallbackUpdate,
    ) -> Result<StopReason, FrameError> {
        let mut connection = ControlConnection::open(address, self.source).await?;
        let connected_at = Instant::now();
        let mut wait = Duration::ZERO;
        loop {
            let Some(request) = self.pull_request(wait).await else { return Ok(StopReason::ShuttingDown) };
            let reply = connection.call(&request, wait + REPLY_MARGIN).await?;
            let ControlReply::Update { has_quorum, control, update } = reply;
            let update = with_requested_base(update, &request);
            self.record_addresses(control);
            if !has_quorum {
                self.metrics.record_pull(PullOutcome::NoQuorum);
                fallback.offer(update);
                return Ok(StopReason::NoQuorum);
            }
            self.metrics.record_pull(PullOutcome::Served);
            self.apply(update).await;
            let is_preferred = self.candidates().first() == Some(&address);
            if !std::mem::replace(has_served, true) {
                self.metrics.record_followed();
                self.control_plane.followed.send_replace(Some(address));
                info!("control", kv: { outcome = "following", control: = address });
            }
            if !is_preferred && connected_at.elapsed() >= PREFERRED_RETRY_DELAY {
                return Ok(StopReason::ReturnToPreferred);
            }
            wait = LONG_POLL_WAIT;
        }
    }

    /// Builds the next pull request. Returns `None` if the table owner has ended.
    async fn pull_request(&self, wait: Duration) -> Option<AgentRequest> {
        let (reply, report) = oneshot::channel();
        self.commands.send(Command::GetPullReport { reply }).await.ok()?;
        let PullReport { have, loads } = report.await.ok()?;
        Some(AgentRequest::Pull {
            node: self.node.clone(),
            incarnation: self.incarnation,
            have,
            wait_ms: wait.as_millis() as u32,
            loads,
        })
    }

    /// Replaces the known control processes by those that a control process reported, unless it reported none
    /// or too many.
    fn record_addresses(&mut self, control: Vec<SocketAddr>) {
        if !control.is_empty() && control.len() <= MAX_CONTROL_ADDRESSES {
            if self.control != control {
                self.control_plane.known.send_replace(control.clone());
            }
            self.control = control;
        }
    }

    /// Sends an update to the table owner and waits until it is applied.
    async fn apply(&self, update: Update) {
        let (reply, applied) = oneshot::channel();
        if self.commands.send(Command::Apply { update, reply }).await.is_ok() {
            // If the owner has ended, the next pull detects that.
            let _ = applied.await;
        }
    }
}
