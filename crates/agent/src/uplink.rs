//! Pulls what is missing from one control process at a time.
//!
//! The control processes are ordered by a ring, so that the fronts spread over them; the first that answers and is in
//! touch with the rest of the core is kept. The pull is the heartbeat of this front as well.
//!
//! What a process sends that is out of touch may be long out of date. It is set aside, and applied only once all others
//! have been asked and none is in touch: an old configuration serves better than none, and the newest may not be passed
//! over for an old one by a front that starts.

use crate::ControlPlaneStatus;
use crate::backoff::Backoff;
use crate::figures::{Figures, PullOutcome};
use crate::last_resort::LastResort;
use crate::link::Link;
use crate::owner::{Command, Report};
use lugwharf_membership::HashRing;
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, Update};
use lugwharf_settings::Settings;
use spdlog::prelude::*;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

#[cfg(test)]
#[path = "uplink_tests.rs"]
mod uplink_tests;

/// How long a control process may let a pull wait when nothing is newer. This bounds how long a silent control process
/// goes unnoticed; each pull costs a wake-up on both sides.
const WAIT: Duration = Duration::from_millis(500);
/// Beyond that, the time for the way there and back, and for a busy control process.
const GRACE: Duration = Duration::from_millis(400);
/// After so long at a control process that is not the preferred one, the preferred one is tried again.
const RETURN_AFTER: Duration = Duration::from_secs(10);
/// Addresses that are remembered at most.
const MOST_ADDRESSES: usize = 64;

struct Uplink {
    node: String,
    incarnation: u64,
    /// Agent addresses from the settings; asked again when all others fail.
    seeds: Vec<SocketAddr>,
    /// Agent addresses as the control plane names them.
    control: Vec<SocketAddr>,
    /// The address that links come from, where it matters.
    source: Option<IpAddr>,
    figures: Arc<Figures>,
    commands: mpsc::Sender<Command>,
    control_plane: ControlPlaneStatus,
}

/// Runs until the owner of the tables ends.
pub async fn run(
    settings: Settings, figures: Arc<Figures>, commands: mpsc::Sender<Command>,
    mut reloads: mpsc::Receiver<Settings>, control_plane: ControlPlaneStatus,
) {
    let mut uplink = Uplink {
        node: settings.node.clone(),
        incarnation: incarnation(),
        seeds: seeds(&settings),
        control: Vec::new(),
        source: settings.bind,
        figures,
        commands,
        control_plane,
    };
    let mut backoff = Backoff::new(uplink.incarnation);
    while !uplink.commands.is_closed() {
        while let Ok(settings) = reloads.try_recv() {
            uplink.seeds = seeds(&settings);
        }
        if uplink.round().await {
            backoff.reset();
        }
        sleep(backoff.next()).await;
    }
}

/// Why a control process was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Left {
    /// The owner of the tables has ended.
    Ending,
    /// It is out of touch with the rest of the core.
    OutOfTouch,
    /// The preferred one is to be tried again.
    ForPreferred,
}

impl Left {
    fn name(self) -> &'static str {
        match self {
            Left::Ending => "ending",
            Left::OutOfTouch => "out_of_touch",
            Left::ForPreferred => "for_preferred",
        }
    }
}

/// Whether a process that was left is of no use to others either. One that was left for the preferred one goes on serving until
/// that one does.
fn is_unfit(left: &Result<Left, FrameError>) -> bool {
    !matches!(left, Ok(Left::ForPreferred))
}

/// Tells two lives of this process apart; nothing rests on it climbing.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let port = settings.internal_ports().agent;
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

impl Uplink {
    /// All known control processes, the preferred ones first; then those that were announced, then the seeds.
    fn order(&self) -> Vec<SocketAddr> {
        let known = if self.control.is_empty() { &self.seeds } else { &self.control };
        let mut order = HashRing::new(known).monitors_of(&self.node, known.len());
        let announced = self.control_plane.announced.borrow().clone();
        for address in announced.into_iter().chain(self.seeds.iter().copied()) {
            if !order.contains(&address) {
                order.push(address);
            }
        }
        order
    }

    /// Tries each control process in turn; returns whether one of them was of use. Ends early where the round should
    /// begin anew.
    async fn round(&mut self) -> bool {
        let mut was_served = false;
        let mut last_resort = LastResort::default();
        for address in self.order() {
            let mut served = false;
            let left = self.follow(address, &mut served, &mut last_resort).await;
            if is_unfit(&left) {
                self.control_plane.followed.send_replace(None);
            }
            was_served |= served;
            match left {
                Ok(left) => {
                    debug!("control", kv: { outcome = "left", reason = left.name(), control: = address });
                    if left == Left::ForPreferred {
                        return true;
                    }
                }
                Err(error) => {
                    self.figures.pulled(PullOutcome::Failed);
                    debug!("control", kv: { outcome = "failed", control: = address, error: = error })
                }
            }
        }
        if let Some(update) = last_resort.take().filter(|_| !was_served) {
            self.figures.pulled(PullOutcome::LastResort);
            info!("control", kv: { outcome = "last_resort", config_version = update.vector.config });
            self.apply(update).await;
        }
        was_served
    }

    /// Pulls from one control process until it fails, has lost touch, or a preferred one should be tried again. Sets
    /// `served` once it has answered and is in touch; what it sends while out of touch goes to `last_resort`.
    async fn follow(
        &mut self, address: SocketAddr, served: &mut bool, last_resort: &mut LastResort,
    ) -> Result<Left, FrameError> {
        let mut link = Link::open(address, self.source).await?;
        let since = tokio::time::Instant::now();
        let mut wait = Duration::ZERO;
        loop {
            let Some(Report { have, loads }) = self.report().await else { return Ok(Left::Ending) };
            let request = AgentRequest::Pull {
                node: self.node.clone(),
                incarnation: self.incarnation,
                have,
                wait_ms: wait.as_millis() as u32,
                loads,
            };
            let ControlReply::Update { has_quorum, control, update } =
                link.call(&request, wait + GRACE).await?;
            self.learn(control);
            if !has_quorum {
                self.figures.pulled(PullOutcome::OutOfTouch);
                last_resort.offer(update);
                return Ok(Left::OutOfTouch);
            }
            self.figures.pulled(PullOutcome::Served);
            self.apply(update).await;
            let preferred = self.order().first() == Some(&address);
            if !std::mem::replace(served, true) {
                self.figures.followed();
                self.control_plane.followed.send_replace(Some(address));
                info!("control", kv: { outcome = "following", control: = address });
            }
            if !preferred && since.elapsed() >= RETURN_AFTER {
                return Ok(Left::ForPreferred);
            }
            wait = WAIT;
        }
    }

    fn learn(&mut self, control: Vec<SocketAddr>) {
        if !control.is_empty() && control.len() <= MOST_ADDRESSES {
            if self.control != control {
                self.control_plane.known.send_replace(control.clone());
            }
            self.control = control;
        }
    }

    async fn report(&self) -> Option<Report> {
        let (reply, report) = oneshot::channel();
        self.commands.send(Command::Report { reply }).await.ok()?;
        report.await.ok()
    }

    async fn apply(&self, update: Update) {
        let (reply, applied) = oneshot::channel();
        if self.commands.send(Command::Apply { update, reply }).await.is_ok() {
            drop(applied.await);
        }
    }
}
