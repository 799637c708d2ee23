//! Pulls of agents that wait until something is newer than what they have (long polling).
//!
//! Owns the waiting pulls, a cache of encoded replies, and when each front was last sent a configuration. An agent has an old
//! configuration for at most `ConfigMs / 4` because of this file: see [`PendingPulls::with_config_interval`]. A reply that
//! can't be encoded is logged (`pull outcome=not_encoded`) and its connection closed, so that the agent follows another process.

use crate::reply::send_reply;
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
/// Replies that are cached for other agents with the same versions. After a start all agents have nothing; later they differ
/// by a change or two.
const MAX_CACHED_REPLIES: usize = 8;
/// How long replies are cached. Agents pull twice a second, so all with the same versions have pulled by then.
const REPLY_CACHE_TTL: Duration = Duration::from_secs(1);

/// An encoded [`ControlReply`], shared by all agents that get the same one.
pub type Frame = Arc<[u8]>;

struct Pull {
    node: String,
    have: VersionVector,
    deadline: Duration,
    reply: oneshot::Sender<Frame>,
}

/// The pulls that wait. All times count from the start of the process.
#[derive(Default)]
pub struct PendingPulls {
    waiting: Vec<Pull>,
    reply_cache: ReplyCache,
    /// The minimum time between two configurations for one front.
    config_interval: Duration,
    /// When each front was last sent a configuration, if that was within `config_interval`.
    config_sent_at: HashMap<String, Duration>,
}

/// A configuration that was sent to a front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentConfig {
    /// The name of the front-end node.
    pub node: String,
    /// The version of the configuration.
    pub version: u64,
}

/// The pulls that were replied to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PullsServed {
    /// How many got something newer.
    pub updated: u64,
    /// How many got nothing newer.
    pub unchanged: u64,
    /// The configurations that were sent.
    pub configs: Vec<SentConfig>,
}

/// What a reply says besides the update.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct ReplyContext {
    /// Whether agents may rely on this process: it has a quorum and is not shutting down.
    pub has_quorum: bool,
    /// The agent addresses of the control processes.
    pub control: Vec<SocketAddr>,
}

impl ReplyContext {
    /// The reply with this update; `None` if it can't be encoded, which is logged.
    pub fn encode(&self, update: Update) -> Option<Frame> {
        let reply =
            ControlReply::Update { has_quorum: self.has_quorum, control: self.control.clone(), update };
        match encode(&reply) {
            Ok(frame) => Some(frame.into()),
            Err(error) => {
                error!("pull", kv: { outcome = "not_encoded", error: = error });
                None
            }
        }
    }
}

/// A reply with something newer.
#[derive(Clone)]
struct CachedReply {
    frame: Frame,
    /// The version of the configuration in it, if there is one.
    config: Option<u64>,
}

/// Replies by the versions that the agents had, as long as nothing changes. A large fleet that starts asks hundreds of times
/// for the same list: to encode and hold it once for each agent would cost a control process its memory and seconds of CPU.
#[derive(Default)]
struct ReplyCache {
    vector: VersionVector,
    context: ReplyContext,
    since: Duration,
    replies: Vec<(VersionVector, CachedReply)>,
}

impl ReplyCache {
    /// Drops the replies if they are old, or the tables or the context have changed.
    fn refresh(&mut self, now: Duration, vector: VersionVector, context: &ReplyContext) {
        let is_old = now.saturating_sub(self.since) >= REPLY_CACHE_TTL;
        if is_old || vector != self.vector || *context != self.context {
            *self = ReplyCache { vector, context: context.clone(), since: now, replies: Vec::new() };
        }
    }

    fn find(&self, have: &VersionVector) -> Option<CachedReply> {
        let found = self.replies.iter().find(|(cached, _)| cached == have);
        found.map(|(_, reply)| reply.clone())
    }

    /// The reply to an agent that has `have`, if there is something newer.
    fn reply(&mut self, have: &VersionVector, tables: &Tables) -> Option<CachedReply> {
        if let Some(reply) = self.find(have) {
            return Some(reply);
        }
        let update = tables.update_since(have)?;
        let config = update.config.as_ref().map(|config| config.version);
        let reply = CachedReply { frame: self.context.encode(update)?, config };
        if self.replies.len() < MAX_CACHED_REPLIES {
            self.replies.push((*have, reply.clone()));
        }
        Some(reply)
    }
}

impl PendingPulls {
    /// Pulls of fronts that are sent a configuration at most once in `interval`. Complete configurations in quick succession
    /// would fill a front's link, and its requests would wait behind versions that are out of date when they arrive.
    pub fn with_config_interval(interval: Duration) -> PendingPulls {
        PendingPulls { config_interval: interval, ..PendingPulls::default() }
    }

    /// What a front counts as having. While no configuration is due for it, it counts as having the newest one. A front with no
    /// configuration at all gets one at once.
    fn effective_vector(&self, pull: &Pull, now: Duration, newest: u64) -> VersionVector {
        let is_due = |sent_at: &Duration| now.saturating_sub(*sent_at) >= self.config_interval;
        let is_due = self.config_sent_at.get(&pull.node).is_none_or(is_due);
        let config = if is_due || pull.have.config == 0 { pull.have.config } else { newest };
        VersionVector { config, ..pull.have }
    }

    /// Adds a pull; the next [`PendingPulls::serve`] that has something for it replies.
    pub fn add(
        &mut self, now: Duration, node: String, have: VersionVector, wait_ms: u32,
        reply: oneshot::Sender<Frame>,
    ) {
        let deadline = now + Duration::from_millis(u64::from(wait_ms)).min(MAX_WAIT);
        self.waiting.push(Pull { node, have, deadline, reply });
    }

    /// Replies to all pulls for which something is newer or whose time is over; to all of them without a quorum, so that the
    /// agents follow another process.
    pub fn serve(&mut self, now: Duration, tables: &Tables, context: &ReplyContext) -> PullsServed {
        self.reply_cache.refresh(now, tables.version_vector(), context);
        self.waiting.retain(|pull| !pull.reply.is_closed());
        self.config_sent_at.retain(|_, sent_at| now.saturating_sub(*sent_at) < self.config_interval);
        let newest = tables.version_vector().config;
        let mut served = PullsServed::default();
        let mut index = 0;
        while index < self.waiting.len() {
            let pull = &self.waiting[index];
            let newer = self.reply_cache.reply(&self.effective_vector(pull, now, newest), tables);
            if newer.is_none() && now < pull.deadline && context.has_quorum {
                index += 1;
                continue;
            }
            let pull = self.waiting.swap_remove(index);
            self.send(now, pull, newer, context, &mut served);
        }
        served
    }

    fn send(
        &mut self, now: Duration, pull: Pull, newer: Option<CachedReply>, context: &ReplyContext,
        served: &mut PullsServed,
    ) {
        match newer {
            Some(_) => served.updated += 1,
            None => served.unchanged += 1,
        }
        let unchanged = Update { vector: pull.have, ..Update::default() };
        let without_update = || context.encode(unchanged).map(|frame| CachedReply { frame, config: None });
        // Without a reply the connection is closed, and the agent follows another process.
        let Some(CachedReply { frame, config }) = newer.or_else(without_update) else { return };
        send_reply(pull.reply, frame);
        if let Some(version) = config {
            self.config_sent_at.insert(pull.node.clone(), now);
            served.configs.push(SentConfig { node: pull.node, version });
        }
    }
}
