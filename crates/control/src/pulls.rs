//! Pulls of agents that wait until something is newer.

use lugwharf_distribution::Tables;
use lugwharf_protocol::{ControlReply, Update, VersionVector, encode};
use spdlog::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

#[cfg(test)]
#[path = "pulls_tests.rs"]
mod pulls_tests;

/// The longest a pull may wait.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Answers that are kept for others who have the same. After a start all agents have nothing; later they differ by a change
/// or two.
const MAX_CACHED_REPLIES: usize = 8;
/// For how long an answer is kept. Agents ask twice a second, so that whoever has the same has asked by then.
const REPLY_CACHE_TTL: Duration = Duration::from_secs(1);

/// An encoded [`ControlReply`], shared by all who get the same.
pub type Frame = Arc<[u8]>;

struct Pull {
    node: String,
    have: VersionVector,
    deadline: Duration,
    reply: oneshot::Sender<Frame>,
}

/// The pulls that wait.
#[derive(Default)]
pub struct PendingPulls {
    waiting: Vec<Pull>,
    reply_cache: ReplyCache,
    /// The least time between two configurations for one front.
    config_interval: Duration,
    /// When each front was last sent a configuration, as far as that is within `config_interval`.
    config_sent_at: HashMap<String, Duration>,
}

/// The pulls that were answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PullsServed {
    /// How many with something newer.
    pub updated: u64,
    /// How many without.
    pub unchanged: u64,
    /// Fronts that were sent a configuration, with its version.
    pub configs: Vec<(String, u64)>,
}

/// What an answer says besides the update.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct ReplyContext {
    /// Whether this process is in touch with a majority of its view.
    pub has_quorum: bool,
    /// Agent addresses of the control processes.
    pub control: Vec<SocketAddr>,
}

impl ReplyContext {
    /// The answer with this update, if it can be encoded.
    pub fn encode(&self, update: Update) -> Option<Frame> {
        let reply =
            ControlReply::Update { has_quorum: self.has_quorum, control: self.control.clone(), update };
        match encode(&reply) {
            Ok(frame) => Some(frame.into()),
            Err(error) => {
                error!("an answer could not be encoded: {}", error);
                None
            }
        }
    }
}

/// An answer that has something newer.
#[derive(Clone)]
struct CachedReply {
    frame: Frame,
    /// The version of the configuration in it, if there is one.
    config: Option<u64>,
}

/// Answers by what their askers had, as long as nothing changes. A large fleet that starts asks hundreds of times for the
/// same list: encoding and holding it once for each would cost a control process its memory and seconds of its processor.
#[derive(Default)]
struct ReplyCache {
    vector: VersionVector,
    context: ReplyContext,
    since: Duration,
    answers: Vec<(VersionVector, CachedReply)>,
}

impl ReplyCache {
    /// Drops the answers if they are old or something has changed.
    fn refresh(&mut self, now: Duration, vector: VersionVector, context: &ReplyContext) {
        let is_old = now.saturating_sub(self.since) >= REPLY_CACHE_TTL;
        if is_old || vector != self.vector || *context != self.context {
            *self = ReplyCache { vector, context: context.clone(), since: now, answers: Vec::new() };
        }
    }

    fn find(&self, have: &VersionVector) -> Option<CachedReply> {
        let found = self.answers.iter().find(|(asked, _)| asked == have);
        found.map(|(_, answer)| answer.clone())
    }

    /// The answer for who has `have`, if there is something newer.
    fn answer(&mut self, have: &VersionVector, tables: &Tables) -> Option<CachedReply> {
        if let Some(answer) = self.find(have) {
            return Some(answer);
        }
        let update = tables.update_since(have)?;
        let config = update.config.as_ref().map(|config| config.version);
        let answer = CachedReply { frame: self.context.encode(update)?, config };
        if self.answers.len() < MAX_CACHED_REPLIES {
            self.answers.push((*have, answer.clone()));
        }
        Some(answer)
    }
}

impl PendingPulls {
    /// Pulls of fronts that are sent a configuration once in `config_interval` at most: whole configurations in quick succession would
    /// fill a front's link, and its requests would wait behind versions that are out of date when they arrive.
    pub fn with_config_interval(config_interval: Duration) -> PendingPulls {
        PendingPulls { config_interval, ..PendingPulls::default() }
    }

    /// What a front is taken to have: while a configuration is not due, it lacks none. One that has none at all gets it at once.
    fn effective_vector(&self, pull: &Pull, now: Duration, newest: u64) -> VersionVector {
        let is_due = self
            .config_sent_at
            .get(&pull.node)
            .is_none_or(|sent| now.saturating_sub(*sent) >= self.config_interval);
        let config = if is_due || pull.have.config == 0 { pull.have.config } else { newest };
        VersionVector { config, ..pull.have }
    }

    /// Takes a pull in; it is answered by the next [`PendingPulls::serve`] that has something for it.
    pub fn add(
        &mut self, now: Duration, node: String, have: VersionVector, wait_ms: u32,
        reply: oneshot::Sender<Frame>,
    ) {
        let deadline = now + Duration::from_millis(u64::from(wait_ms)).min(MAX_WAIT);
        self.waiting.push(Pull { node, have, deadline, reply });
    }

    /// Answers all pulls for which something is newer or whose time is over; all of them while out of touch.
    pub fn serve(&mut self, now: Duration, tables: &Tables, context: &ReplyContext) -> PullsServed {
        self.reply_cache.refresh(now, tables.vector(), context);
        self.waiting.retain(|pull| !pull.reply.is_closed());
        self.config_sent_at.retain(|_, sent| now.saturating_sub(*sent) < self.config_interval);
        let newest = tables.vector().config;
        let mut served = PullsServed::default();
        let mut index = 0;
        while index < self.waiting.len() {
            let pull = &self.waiting[index];
            let newer = self.reply_cache.answer(&self.effective_vector(pull, now, newest), tables);
            if newer.is_none() && now < pull.deadline && context.has_quorum {
                index += 1;
                continue;
            }
            match newer {
                Some(_) => served.updated += 1,
                None => served.unchanged += 1,
            }
            let nothing = || context.encode(Update { vector: pull.have, ..Update::default() });
            let answer = newer.or_else(|| nothing().map(|frame| CachedReply { frame, config: None }));
            let pull = self.waiting.swap_remove(index);
            // Without an answer the link is closed, and the agent asks another process.
            if let Some(CachedReply { frame, config }) = answer {
                drop(pull.reply.send(frame));
                if let Some(version) = config {
                    self.config_sent_at.insert(pull.node.clone(), now);
                    served.configs.push((pull.node, version));
                }
            }
        }
        served
    }
}
