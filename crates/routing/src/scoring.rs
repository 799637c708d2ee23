//! Scores of candidates for one query.

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
    /// The value by which candidates are compared; lower is better. It is not a time, because a server
    /// processes requests in parallel batches.
    pub score: f64,
    /// The expected latency of the attempt, in ms.
    pub estimate_ms: f64,
}

impl Candidate {
    /// Returns the candidate with the lower score; `self` on a tie.
    pub fn min_by_score(self, other: Candidate) -> Candidate {
        if other.score < self.score { other } else { self }
    }
}

/// Scores servers for one query at a fixed time.
pub(crate) struct Scorer<'a> {
    pub servers: &'a HashMap<ServerKey, Server>,
    pub tuning: &'a Tuning,
    pub query: &'a SelectionQuery<'a>,
    pub now: Duration,
    /// The latency assumed for servers without samples, towards which the averages of the other servers
    /// decay; in ms per unit of work.
    pub median_latency: f64,
}

impl Scorer<'_> {
    /// Returns the candidate for a server, based on what this proxy has sent to the server's prefix cache.
    pub fn candidate(&self, key: ServerKey) -> Option<Candidate> {
        self.candidate_with_cached(key, 0)
    }

    /// Returns the candidate for a server that is assumed to have at least `assumed_cached` tokens of the
    /// prompt in its prefix cache.
    pub fn candidate_with_cached(&self, key: ServerKey, assumed_cached: u32) -> Option<Candidate> {
        let server = self.servers.get(&key)?;
        let phase = self.query.phase;
        let score = server.score(phase, self.median_latency, self.now, self.tuning);
        let latency = server.latency(phase, self.median_latency, self.now, self.tuning);
        let known = self.tokens_to_prefill(server);
        let assumed = known.min(self.query.prompt.input_tokens.saturating_sub(assumed_cached));
        let units = |tokens: u32| WorkSize { tokens: f64::from(tokens) }.units(phase, self.tuning);
        // The assumption only affects the score. The estimate decides on load shedding and is based on known
        // cache content.
        Some(Candidate { key, score: score * units(assumed), estimate_ms: latency * units(known) })
    }

    /// Returns the number of prompt tokens that the server has to prefill, based on what this proxy has sent
    /// to its prefix cache.
    pub fn tokens_to_prefill(&self, server: &Server) -> u32 {
        let ttl = self.tuning.prefix_cache_ttl;
        let cached = server.prefix_cache.cached_tokens(self.now, self.query.prompt, ttl);
        self.query.prompt.input_tokens.saturating_sub(cached)
    }
}
