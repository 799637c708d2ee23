//! The choice of a server: two distinct candidates of a pool, and the lower_score score wins.
//!
//! Around that draw stand, in this order: who is eligible; the local zone first; for prefill a second pair, drawn over all zones
//! by the prompt's shared phases, whose winner is taken unless the random pair's is clearly better.

use crate::balancer::{Balancer, MedianLatency};
use crate::observation::{Phase, WorkSize};
use crate::prompt::Prompt;
use crate::rendezvous;
use crate::server::{Server, ServerKey};
use crate::tuning::AffinityKey;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// For how long a median of averages is used.
const MEDIAN_TTL: Duration = Duration::from_millis(200);
/// The median_latency latency where none is known, in ms: low, so that what has no samples is tried.
const OPTIMISTIC_MS: f64 = 1.0;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// What the server is to do.
    pub phase: Phase,
    /// The model that it has to hold.
    pub model: Option<&'a str>,
    /// The prompt, empty where there is none.
    pub prompt: &'a Prompt,
    /// The zone whose servers are preferred.
    pub preferred_zone: &'a str,
    /// Servers that are out of the question.
    pub excluded: &'a [ServerKey],
    /// The objective: an estimate beyond a share of it sends the request out of its zone.
    pub objective: Duration,
}

/// A server that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// The server.
    pub key: ServerKey,
    /// Its incarnation.
    pub id: Rc<str>,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Rc<str>,
    /// How long its part is expected to take.
    pub estimate: Duration,
    /// Whether half of its places or more were taken by its own fresh report, or something waited.
    pub is_busy: bool,
    /// Tokens of the prompt that it has to read.
    pub prefill_tokens: u32,
}

/// Why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// No server does this part.
    NoServer,
    /// Those that do hold as many own requests as they may.
    Saturated,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: ServerKey,
    /// What is compared: latency times requests in flight, for this work.
    score: f64,
    /// The latency for this work, in ms. Batches run side by side, so that a score is no time.
    estimate: f64,
}

impl Balancer {
    /// Chooses a server. The caller tells [`Balancer::record_start`] once it goes there.
    pub fn select(&mut self, now: Duration, query: &SelectionQuery<'_>) -> Result<Selection, SelectionError> {
        let mut pool = std::mem::take(&mut self.scratch);
        let chosen = self.select_from(now, query, &mut pool);
        pool.clear();
        self.scratch = pool;
        let chosen = chosen?;
        self.describe(now, query, chosen).ok_or(SelectionError::NoServer)
    }

    fn select_from(
        &mut self, now: Duration, query: &SelectionQuery<'_>, pool: &mut Vec<ServerKey>,
    ) -> Result<Candidate, SelectionError> {
        self.fill_eligible(now, query, pool)?;
        let median_latency = self.median_latency(now, query);
        let baseline = self.baseline(now, query, pool, median_latency).ok_or(SelectionError::NoServer)?;
        let affine = self.affine(now, query, pool, median_latency);
        let is_better = |affine: &Candidate| affine.score <= baseline.score * self.tuning.affinity_tolerance;
        Ok(affine.filter(is_better).unwrap_or(baseline))
    }

    /// The winner of a random pair of the local zone, or of all zones where local would take too long.
    fn baseline(
        &mut self, now: Duration, query: &SelectionQuery<'_>, pool: &mut [ServerKey], median_latency: f64,
    ) -> Option<Candidate> {
        let local = self.partition_by_zone(query.preferred_zone, pool);
        if local == 0 || local == pool.len() || !self.tuning.prefers_local_zone {
            return self.random_pair(now, query, pool, median_latency);
        }
        let local_winner = self.random_pair(now, query, &pool[..local], median_latency)?;
        if local_winner.estimate
            <= query.objective.as_secs_f64() * 1e3 * self.tuning.local_zone_objective_share
        {
            return Some(local_winner);
        }
        let global_winner = self.random_pair(now, query, pool, median_latency).unwrap_or(local_winner);
        let leaves_zone = global_winner.score * self.tuning.cross_zone_factor < local_winner.score;
        Some(if leaves_zone { global_winner } else { local_winner })
    }

    /// The winner of the pair that is drawn by the prompt's shared phases, over all zones: a part that is read in each zone is
    /// read many times, which costs more than the way there.
    fn affine(
        &self, now: Duration, query: &SelectionQuery<'_>, pool: &[ServerKey], median_latency: f64,
    ) -> Option<Candidate> {
        if query.phase != Phase::Prefill || !self.tuning.uses_prefix_affinity {
            return None;
        }
        let key = self.affinity_id(query.prompt)?;
        self.affinity_pair(now, query, pool, median_latency, key)
    }

    /// Whoever may be sent the request. Ejected ones stand in only where all are.
    fn fill_eligible(
        &self, now: Duration, query: &SelectionQuery<'_>, pool: &mut Vec<ServerKey>,
    ) -> Result<(), SelectionError> {
        let listed = self.services.get(query.service).map_or(&[][..], |pool| &pool.servers);
        let proxies = self.proxy_count();
        let mut ejected = Vec::new();
        let mut is_full = false;
        for &key in listed {
            let Some(server) = self.servers.get(&key) else { continue };
            if query.excluded.contains(&key) || !server.accepts(query.phase, query.model, now) {
                continue;
            }
            let in_flight = server.phases[query.phase.index()].in_flight;
            if in_flight >= server.in_flight_limit(proxies, &self.tuning) {
                is_full = true;
            } else if server.ejection.is_ejected(now) {
                ejected.push(key);
            } else {
                pool.push(key);
            }
        }
        if pool.is_empty() {
            pool.append(&mut ejected);
        }
        match pool.is_empty() {
            false => Ok(()),
            true if is_full => Err(SelectionError::Saturated),
            true => Err(SelectionError::NoServer),
        }
    }

    /// Brings the servers of the zone to the front; returns how many there are.
    fn partition_by_zone(&self, zone: &str, pool: &mut [ServerKey]) -> usize {
        let mut local = 0;
        for index in 0..pool.len() {
            if self.servers.get(&pool[index]).is_some_and(|server| &*server.zone == zone) {
                pool.swap(local, index);
                local += 1;
            }
        }
        local
    }

    fn random_pair(
        &mut self, now: Duration, query: &SelectionQuery<'_>, pool: &[ServerKey], median_latency: f64,
    ) -> Option<Candidate> {
        let count = pool.len();
        if count == 0 {
            return None;
        }
        let first = self.rng.usize(..count);
        let one = self.candidate(now, query, pool[first], median_latency)?;
        if count == 1 || !self.tuning.uses_two_choices {
            return Some(one);
        }
        // The second from the others: moved past the first, so that the two are distinct.
        let second = self.rng.usize(..count - 1);
        let second = if second >= first { second + 1 } else { second };
        let other = self.candidate(now, query, pool[second], median_latency)?;
        Some(lower_score(one, other))
    }

    fn affinity_pair(
        &self, now: Duration, query: &SelectionQuery<'_>, pool: &[ServerKey], median_latency: f64, key: u64,
    ) -> Option<Candidate> {
        let rank = |server: &ServerKey| {
            self.servers.get(server).map_or(0, |server| rendezvous::weight(key, server.id_hash))
        };
        let first = pool.iter().copied().max_by_key(rank)?;
        let second = pool.iter().copied().filter(|server| *server != first).max_by_key(rank);
        // All proxies send these phases to the first of the two, so that it is taken to keep them.
        let shared =
            query.prompt.shared_prefix().iter().fold(0, |sum: u32, part| sum.saturating_add(part.tokens));
        let one = self.candidate_caching(now, query, first, median_latency, shared)?;
        match second {
            Some(second) => Some(lower_score(one, self.candidate(now, query, second, median_latency)?)),
            None => Some(one),
        }
    }

    fn affinity_id(&self, prompt: &Prompt) -> Option<u64> {
        let shared = prompt.shared_prefix();
        let part = match self.tuning.affinity_key {
            AffinityKey::LastShared => shared.last(),
            AffinityKey::MostTokens => shared.iter().max_by_key(|part| part.tokens),
        };
        part.or(prompt.segments.last()).map(|part| part.id)
    }

    fn candidate(
        &self, now: Duration, query: &SelectionQuery<'_>, key: ServerKey, median_latency: f64,
    ) -> Option<Candidate> {
        self.candidate_caching(now, query, key, median_latency, 0)
    }

    /// A candidate that is taken to keep so many tokens of the prompt, or more by what this proxy knows of it.
    fn candidate_caching(
        &self, now: Duration, query: &SelectionQuery<'_>, key: ServerKey, median_latency: f64,
        assumed_cached: u32,
    ) -> Option<Candidate> {
        let server = self.servers.get(&key)?;
        let score = server.score(query.phase, median_latency, now, &self.tuning);
        let latency = server.latency(query.phase, median_latency, now, &self.tuning);
        let known = self.tokens_to_prefill(now, server, query);
        let assumed = known.min(query.prompt.input_tokens.saturating_sub(assumed_cached));
        let units = |tokens: u32| WorkSize { tokens: f64::from(tokens) }.units(query.phase, &self.tuning);
        // What is only assumed may steer the draw; a time is promised by what is known.
        Some(Candidate { key, score: score * units(assumed), estimate: latency * units(known) })
    }

    fn tokens_to_prefill(&self, now: Duration, server: &Server, query: &SelectionQuery<'_>) -> u32 {
        let cached = server.prefix_cache.cached_tokens(now, query.prompt, self.tuning.prefix_cache_ttl);
        query.prompt.input_tokens.saturating_sub(cached)
    }

    fn describe(&self, now: Duration, query: &SelectionQuery<'_>, chosen: Candidate) -> Option<Selection> {
        let server = self.servers.get(&chosen.key)?;
        let estimate = if chosen.estimate.is_finite() { chosen.estimate.clamp(0.0, 1e9) } else { 1e9 };
        Some(Selection {
            key: chosen.key,
            id: server.id.clone(),
            address: server.entry.address,
            zone: server.zone.clone(),
            estimate: Duration::from_secs_f64(estimate / 1e3),
            is_busy: server.fresh_load_report(now, &self.tuning).is_some_and(|report| report.is_busy()),
            prefill_tokens: self.tokens_to_prefill(now, server, query),
        })
    }

    /// The median of what is known in this part of the service, in ms: what a server without samples starts at.
    fn median_latency(&mut self, now: Duration, query: &SelectionQuery<'_>) -> f64 {
        let index = query.phase.index();
        if !self.tuning.starts_at_median {
            return OPTIMISTIC_MS;
        }
        let Some(pool) = self.services.get(query.service) else { return OPTIMISTIC_MS };
        let cached = pool.median_latencies[index];
        if now < cached.valid_until {
            return cached.value;
        }
        let known =
            pool.servers.iter().filter_map(|key| self.servers.get(key)?.phases[index].latency.value());
        let mut known: Vec<f64> = known.collect();
        let value = median(&mut known).unwrap_or(OPTIMISTIC_MS);
        if let Some(pool) = self.services.get_mut(query.service) {
            pool.median_latencies[index] = MedianLatency { value, valid_until: now + MEDIAN_TTL };
        }
        value
    }
}

fn lower_score(one: Candidate, other: Candidate) -> Candidate {
    if other.score < one.score { other } else { one }
}

fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
