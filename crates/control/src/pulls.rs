//! Pulls from agents that wait until there is something newer than what the agent has (long polling).
//!
//! This module owns the waiting pulls, a cache of encoded replies, and the times at which each front-end node
//! was last sent a configuration. It delays a new configuration by at most `ConfigMs / 4`: see
//! [`PendingPulls::with_config_interval`]. If a reply can't be encoded, that is logged
//! (`pull outcome=not_encoded`) and the connection is closed, so that the agent follows another process.

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

/// The maximum wait of a pull.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// The maximum number of replies that are cached for other agents with the same versions. After a start, no
/// agent has any tables; later their versions differ by one or two changes.
const MAX_CACHED_REPLIES: usize = 8;
/// How long replies are cached. Agents pull twice a second, so all agents with the same versions have pulled
/// by then.
const REPLY_CACHE_TTL: Duration = Duration::from_secs(1);

/// An encoded [`ControlReply`], shared by all agents that receive the same reply.
pub type ReplyFrame = Arc<[u8]>;

struct Pull {
    node: String,
    have: VersionVector,
    deadline: Duration,
    reply: oneshot::Sender<ReplyFrame>,
}

/// The waiting pulls. All times count from the start of the process.
#[derive(Default)]
pub struct PendingPulls {
    waiting: Vec<Pull>,
    reply_cache: ReplyCache,
    /// The minimum time between two configurations sent to the same front-end node.
    config_interval: Duration,
    /// When each front-end node was last sent a configuration, if that was within `config_interval`.
    config_sent_at: HashMap<String, Duration>,
}

/// A configuration that was sent to a front-end node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentConfig {
    /// The name of the front-end node.
    pub node: String,
    /// The version of the configuration.
    pub version: u64,
}

/// The result of serving pulls: how many were answered, and the configurations that were sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PullsServed {
    /// The number of replies with an update.
    pub updated: u64,
    /// The number of replies without an update.
    pub unchanged: u64,
    /// The configurations that were sent.
    pub configs: Vec<SentConfig>,
}

/// The contents of a reply other than the update.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct ReplyContext {
    /// Whether agents may rely on this process: it has a quorum and is not shutting down.
    pub has_quorum: bool,
    /// The agent addresses of the control processes.
    pub control: Vec<SocketAddr>,
}

impl ReplyContext {
    /// Encodes a reply with this update. Returns `None` if the reply can't be encoded, which is logged.
    pub fn encode(&self, update: Update) -> Option<ReplyFrame> {
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

/// An encoded reply with an update, or without one when it is sent at the deadline of a pull.
#[derive(Clone)]
struct CachedReply {
    frame: ReplyFrame,
    /// The version of the configuration in the reply, if it contains one.
    config: Option<u64>,
}

/// Replies by the versions that the agents have, cached until the tables or the context change. When a large
/// fleet starts, hundreds of agents request the same list: encoding and holding it separately for each agent
/// would exhaust the memory of a control process and cost seconds of CPU time.
#[derive(Default)]
struct ReplyCache {
    vector: VersionVector,
    context: ReplyContext,
    created_at: Duration,
    replies: Vec<(VersionVector, CachedReply)>,
}

impl ReplyCache {
    /// Drops the cached replies if they have expired, or the tables or the context have changed.
    fn refresh(&mut self, now: Duration, vector: VersionVector, context: &ReplyContext) {
        let is_expired = now.saturating_sub(self.created_at) >= REPLY_CACHE_TTL;
        if is_expired || vector != self.vector || *context != self.context {
            *self = ReplyCache { vector, context: context.clone(), created_at: now, replies: Vec::new() };
        }
    }

    fn find(&self, have: &VersionVector) -> Option<CachedReply> {
        let found = self.replies.iter().find(|(cached, _)| cached == have);
        found.map(|(_, reply)| reply.clone())
    }

    /// Returns the reply to an agent with the versions `have`, or `None` if there is nothing newer.
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
    /// Creates an empty queue that sends each front-end node at most one configuration per `interval`.
    /// Complete configurations in quick succession would saturate the link of a front-end node and delay its
    /// requests, while most of these versions would be out of date on arrival.
    pub fn with_config_interval(interval: Duration) -> PendingPulls {
        PendingPulls { config_interval: interval, ..PendingPulls::default() }
    }

    /// Returns the versions that a front-end node is treated as having. While its next configuration is not
    /// due, it is treated as having the newest one. A front-end node without any configuration is sent one
    /// immediately.
    fn effective_vector(&self, pull: &Pull, now: Duration, newest: u64) -> VersionVector {
        let is_due = |sent_at: &Duration| now.saturating_sub(*sent_at) >= self.config_interval;
        let is_due = self.config_sent_at.get(&pull.node).is_none_or(is_due);
        let config = if is_due || pull.have.config == 0 { pull.have.config } else { newest };
        VersionVector { config, ..pull.have }
    }

    /// Adds a pull. It is answered by a later [`PendingPulls::serve`].
    pub fn add(
        &mut self, now: Duration, node: String, have: VersionVector, wait_ms: u32,
        reply: oneshot::Sender<ReplyFrame>,
    ) {
        let deadline = now + Duration::from_millis(u64::from(wait_ms)).min(MAX_WAIT);
        self.waiting.push(Pull { node, have, deadline, reply });
    }

    /// Replies to all pulls for which there is something newer or whose deadline has passed. Without a quorum
    /// it replies to all pulls, so that the agents follow another process.
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
        // If the reply can't be encoded, the connection is closed and the agent follows another process.
        let Some(CachedReply { frame, config }) = newer.or_else(without_update) else { return };
        send_reply(pull.reply, frame);
        if let Some(version) = config {
            self.config_sent_at.insert(pull.node.clone(), now);
            served.configs.push(SentConfig { node: pull.node, version });
        }
    }
}
