//! Pulls what is missing from one control process at a time.
//!
//! The control processes are ordered by a ring, so that the agents of a fleet spread over them. The agent follows the first
//! one that replies and has a quorum. Each pull is the heartbeat of this front-end node as well.
//!
//! An update from a process without a quorum may be long out of date. It is retained as a fallback, and applied only once all
//! others have been asked and none has a quorum: an old configuration serves better than none, but an agent that starts must
//! not prefer an old one to the newest.

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

/// How long a control process may delay the reply to a pull while nothing is newer. This bounds for how long a silent control
/// process goes unnoticed; each pull costs a wake-up on both sides.
const LONG_POLL: Duration = Duration::from_millis(500);
/// The time beyond that for the round trip and for a busy control process.
const REPLY_GRACE: Duration = Duration::from_millis(400);
/// How long a control process that is not the preferred one is followed before the preferred one is tried again.
const RETURN_AFTER: Duration = Duration::from_secs(10);
/// The maximum number of addresses accepted from a control process.
const MAX_ADDRESSES: usize = 64;

struct ControlLink {
    node: String,
    incarnation: u64,
    /// Agent addresses by the settings; tried when all others fail.
    seeds: Vec<SocketAddr>,
    /// Agent addresses of the view, as control processes report them.
    control: Vec<SocketAddr>,
    /// The local address of connections, if the settings name one.
    source: Option<IpAddr>,
    metrics: Arc<AgentMetrics>,
    commands: mpsc::Sender<Command>,
    control_plane: ControlPlaneStatus,
}

/// Runs until the owner of the tables ends. Each pass begins with the newest settings.
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
        if link.try_all().await {
            backoff.reset();
        }
        sleep(backoff.next()).await;
    }
}

/// Why the agent stopped following a control process that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopReason {
    /// The owner of the tables has ended.
    ShuttingDown,
    /// The control process has no quorum.
    NoQuorum,
    /// The preferred control process is to be tried again.
    ReturnToPreferred,
}

impl StopReason {
    /// The name in logs.
    fn name(self) -> &'static str {
        match self {
            StopReason::ShuttingDown => "shutting_down",
            StopReason::NoQuorum => "no_quorum",
            StopReason::ReturnToPreferred => "return_to_preferred",
        }
    }
}

/// Whether others on this machine should no longer be referred to a control process that was followed until now. One that was
/// left for the preferred one serves them until that one does.
fn is_unfit(stopped: &Result<StopReason, FrameError>) -> bool {
    !matches!(stopped, Ok(StopReason::ReturnToPreferred))
}

/// A number that differs from start to start of this process. It is the time of day in µs; nothing depends on its growing.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// The agent addresses of the seeds. Ports are alike on all machines.
fn seed_addresses(settings: &Settings) -> Vec<SocketAddr> {
    let port = settings.internal_ports().agent;
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

impl ControlLink {
    /// All known control processes in the order in which they are tried: those of the view by preference, then the announced
    /// ones, then the seeds.
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

    /// Tries each control process in turn and follows those that serve. Returns whether one of them did, and ends early if the
    /// preferred one is to be tried again.
    async fn try_all(&mut self) -> bool {
        let mut was_served = false;
        let mut fallback = FallbackUpdate::default();
        for address in self.candidates() {
            let mut has_served = false;
            let stopped = self.follow(address, &mut has_served, &mut fallback).await;
            if is_unfit(&stopped) {
                self.control_plane.followed.send_replace(None);
            }
            was_served |= has_served;
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
        if let Some(update) = fallback.into_newest().filter(|_| !was_served) {
            self.metrics.record_pull(PullOutcome::Fallback);
            info!("control", kv: { outcome = "fallback", config_version = update.vector.config });
            self.apply(update).await;
        }
        was_served
    }

    /// Pulls from one control process until it fails, has no quorum, or the preferred one should be tried again. Sets
    /// `has_served` once it has replied with a quorum; its update without one goes to `fallback`.
    async fn follow(
        &mut self, address: SocketAddr, has_served: &mut bool, fallback: &mut FallbackUpdate,
    ) -> Result<StopReason, FrameError> {
        let mut connection = ControlConnection::open(address, self.source).await?;
        let connected_at = Instant::now();
        let mut wait = Duration::ZERO;
        loop {
            let Some(request) = self.pull_request(wait).await else { return Ok(StopReason::ShuttingDown) };
            let reply = connection.call(&request, wait + REPLY_GRACE).await?;
            let ControlReply::Update { has_quorum, control, update } = reply;
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
            if !is_preferred && connected_at.elapsed() >= RETURN_AFTER {
                return Ok(StopReason::ReturnToPreferred);
            }
            wait = LONG_POLL;
        }
    }

    /// The next pull; `None` if the owner of the tables has ended.
    async fn pull_request(&self, wait: Duration) -> Option<AgentRequest> {
        let (reply, report) = oneshot::channel();
        self.commands.send(Command::Report { reply }).await.ok()?;
        let PullReport { have, loads } = report.await.ok()?;
        Some(AgentRequest::Pull {
            node: self.node.clone(),
            incarnation: self.incarnation,
            have,
            wait_ms: wait.as_millis() as u32,
            loads,
        })
    }

    /// Takes over the addresses that a control process reported, unless there are none or too many.
    fn record_addresses(&mut self, control: Vec<SocketAddr>) {
        if !control.is_empty() && control.len() <= MAX_ADDRESSES {
            if self.control != control {
                self.control_plane.known.send_replace(control.clone());
            }
            self.control = control;
        }
    }

    /// Has the owner of the tables apply an update, and waits until it has.
    async fn apply(&self, update: Update) {
        let (reply, applied) = oneshot::channel();
        if self.commands.send(Command::Apply { update, reply }).await.is_ok() {
            // If the owner ends instead, the next pull finds out.
            let _ = applied.await;
        }
    }
}
