//! The score of a candidate for one query.

use crate::observation::WorkSize;
use crate::query::SelectionQuery;
use crate::server::{Server, ServerKey};
use crate::tuning::Tuning;
use std::collections::HashMap;
use std::time::Duration;

/// A server with its score for one query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub key: ServerKey,
    /// What candidates are compared by, the lower the better. Not a time: requests in flight run side by side in batches.
    pub score: f64,
    /// The expected latency of the attempt, in ms.
    pub estimate_ms: f64,
}

impl Candidate {
    /// The candidate with the lower score; `self` on a tie.
    pub fn or_lower(self, other: Candidate) -> Candidate {
        if other.score < self.score { other } else { self }
    }
}

/// Scores servers for one query at one time.
pub(crate) struct Scorer<'a> {
    pub servers: &'a HashMap<ServerKey, Server>,
    pub tuning: &'a Tuning,
    pub query: &'a SelectionQuery<'a>,
    pub now: Duration,
    /// The latency of servers without samples, in ms.
    pub median_latency: f64,
}

impl Scorer<'_> {
    /// The candidate for a server, by what this proxy knows of its prefix cache.
    pub fn candidate(&self, key: ServerKey) -> Option<Candidate> {
        self.candidate_with_cached(key, 0)
    }

    /// The candidate for a server that is assumed to have `assumed_cached` tokens of the prompt in its prefix cache, or more by
    /// what this proxy knows.
    pub fn candidate_with_cached(&self, key: ServerKey, assumed_cached: u32) -> Option<Candidate> {
        let server = self.servers.get(&key)?;
        let phase = self.query.phase;
        let score = server.score(phase, self.median_latency, self.now, self.tuning);
        let latency = server.latency(phase, self.median_latency, self.now, self.tuning);
        let known = self.tokens_to_prefill(server);
        let assumed = known.min(self.query.prompt.input_tokens.saturating_sub(assumed_cached));
        let units = |tokens: u32| WorkSize { tokens: f64::from(tokens) }.units(phase, self.tuning);
        // An assumption may steer the selection, but the estimate decides on rejections: it rests on what is known.
        Some(Candidate { key, score: score * units(assumed), estimate_ms: latency * units(known) })
    }

    /// Tokens of the prompt that the server has to prefill, by what this proxy knows of its prefix cache.
    pub fn tokens_to_prefill(&self, server: &Server) -> u32 {
        let ttl = self.tuning.prefix_cache_ttl;
        let cached = server.prefix_cache.cached_tokens(self.now, self.query.prompt, ttl);
        self.query.prompt.input_tokens.saturating_sub(cached)
    }
}
