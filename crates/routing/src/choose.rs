//! The choice of a server: two distinct candidates of a pool, and the lower score wins.
//!
//! Around that draw stand, in this order: who is eligible; the home zone first; for prefill a second pair, drawn over all zones
//! by the prompt's shared parts, whose winner is taken unless the random pair's is clearly better.

use crate::balancer::{Balancer, Typical};
use crate::prompt::Prompt;
use crate::rendezvous;
use crate::sample::{Part, Work};
use crate::server::{Server, ServerKey};
use crate::tuning::StickyKey;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// For how long a median of averages is used.
const TYPICAL_AGE: Duration = Duration::from_millis(200);
/// The typical latency where none is known, in ms: low, so that what has no samples is tried.
const OPTIMISTIC_MS: f64 = 1.0;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// What the server is to do.
    pub part: Part,
    /// The model that it has to hold.
    pub model: Option<&'a str>,
    /// The prompt, empty where there is none.
    pub prompt: &'a Prompt,
    /// The zone whose servers are preferred.
    pub zone: &'a str,
    /// Servers that are out of the question.
    pub excluded: &'a [ServerKey],
    /// The objective: an estimate beyond a share of it sends the request out of its zone.
    pub objective: Duration,
}

/// A server that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
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
    pub tokens: u32,
}

/// Why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// No server does this part.
    Absent,
    /// Those that do hold as many own requests as they may.
    Full,
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
    /// Chooses a server. The caller tells [`Balancer::started`] once it goes there.
    pub fn choose(&mut self, now: Duration, query: &Query<'_>) -> Result<Choice, NoChoice> {
        let mut pool = std::mem::take(&mut self.scratch);
        let chosen = self.choose_from(now, query, &mut pool);
        pool.clear();
        self.scratch = pool;
        let chosen = chosen?;
        self.describe(now, query, chosen).ok_or(NoChoice::Absent)
    }

    fn choose_from(
        &mut self, now: Duration, query: &Query<'_>, pool: &mut Vec<ServerKey>,
    ) -> Result<Candidate, NoChoice> {
        self.fill_pool(now, query, pool)?;
        let typical = self.typical(now, query);
        let usual = self.usual(now, query, pool, typical).ok_or(NoChoice::Absent)?;
        let steered = self.steered(now, query, pool, typical);
        let is_better = |steered: &Candidate| steered.score <= usual.score * self.tuning.sticky_tolerance;
        Ok(steered.filter(is_better).unwrap_or(usual))
    }

    /// The winner of a random pair of the home zone, or of all zones where home would take too long.
    fn usual(
        &mut self, now: Duration, query: &Query<'_>, pool: &mut [ServerKey], typical: f64,
    ) -> Option<Candidate> {
        let home = self.home_first(query.zone, pool);
        if home == 0 || home == pool.len() || !self.tuning.prefers_home {
            return self.random_pair(now, query, pool, typical);
        }
        let at_home = self.random_pair(now, query, &pool[..home], typical)?;
        if at_home.estimate <= query.objective.as_secs_f64() * 1e3 * self.tuning.home_share {
            return Some(at_home);
        }
        let anywhere = self.random_pair(now, query, pool, typical).unwrap_or(at_home);
        let crosses = anywhere.score * self.tuning.cross_zone_factor < at_home.score;
        Some(if crosses { anywhere } else { at_home })
    }

    /// The winner of the pair that is drawn by the prompt's shared parts, over all zones: a part that is read in each zone is
    /// read many times, which costs more than the way there.
    fn steered(
        &self, now: Duration, query: &Query<'_>, pool: &[ServerKey], typical: f64,
    ) -> Option<Candidate> {
        if query.part != Part::Prefill || !self.tuning.steers {
            return None;
        }
        let key = self.sticky_key(query.prompt)?;
        self.steered_pair(now, query, pool, typical, key)
    }

    /// Whoever may be sent the request. Ejected ones stand in only where all are.
    fn fill_pool(&self, now: Duration, query: &Query<'_>, pool: &mut Vec<ServerKey>) -> Result<(), NoChoice> {
        let listed = self.services.get(query.service).map_or(&[][..], |pool| &pool.servers);
        let proxies = self.proxies();
        let mut ejected = Vec::new();
        let mut is_full = false;
        for &key in listed {
            let Some(server) = self.servers.get(&key) else { continue };
            if query.excluded.contains(&key) || !server.takes(query.part, query.model, now) {
                continue;
            }
            let in_flight = server.parts[query.part.index()].in_flight;
            if in_flight >= server.in_flight_bound(proxies, &self.tuning) {
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
            true if is_full => Err(NoChoice::Full),
            true => Err(NoChoice::Absent),
        }
    }

    /// Brings the servers of the zone to the front; returns how many there are.
    fn home_first(&self, zone: &str, pool: &mut [ServerKey]) -> usize {
        let mut home = 0;
        for index in 0..pool.len() {
            if self.servers.get(&pool[index]).is_some_and(|server| &*server.zone == zone) {
                pool.swap(home, index);
                home += 1;
            }
        }
        home
    }

    fn random_pair(
        &mut self, now: Duration, query: &Query<'_>, pool: &[ServerKey], typical: f64,
    ) -> Option<Candidate> {
        let count = pool.len();
        if count == 0 {
            return None;
        }
        let first = self.rng.usize(..count);
        let one = self.candidate(now, query, pool[first], typical)?;
        if count == 1 || !self.tuning.draws_two {
            return Some(one);
        }
        // The second from the others: moved past the first, so that the two are distinct.
        let second = self.rng.usize(..count - 1);
        let second = if second >= first { second + 1 } else { second };
        let other = self.candidate(now, query, pool[second], typical)?;
        Some(lower(one, other))
    }

    fn steered_pair(
        &self, now: Duration, query: &Query<'_>, pool: &[ServerKey], typical: f64, key: u64,
    ) -> Option<Candidate> {
        let rank = |server: &ServerKey| {
            self.servers.get(server).map_or(0, |server| rendezvous::weight(key, server.id_hash))
        };
        let first = pool.iter().copied().max_by_key(rank)?;
        let second = pool.iter().copied().filter(|server| *server != first).max_by_key(rank);
        // All proxies send these parts to the first of the two, so that it is taken to keep them.
        let shared = query.prompt.shared().iter().fold(0, |sum: u32, part| sum.saturating_add(part.tokens));
        let one = self.candidate_keeping(now, query, first, typical, shared)?;
        match second {
            Some(second) => Some(lower(one, self.candidate(now, query, second, typical)?)),
            None => Some(one),
        }
    }

    fn sticky_key(&self, prompt: &Prompt) -> Option<u64> {
        let shared = prompt.shared();
        let part = match self.tuning.sticky_key {
            StickyKey::LastShared => shared.last(),
            StickyKey::MostTokens => shared.iter().max_by_key(|part| part.tokens),
        };
        part.or(prompt.parts.last()).map(|part| part.id)
    }

    fn candidate(&self, now: Duration, query: &Query<'_>, key: ServerKey, typical: f64) -> Option<Candidate> {
        self.candidate_keeping(now, query, key, typical, 0)
    }

    /// A candidate that is taken to keep so many tokens of the prompt, or more by what this proxy knows of it.
    fn candidate_keeping(
        &self, now: Duration, query: &Query<'_>, key: ServerKey, typical: f64, kept: u32,
    ) -> Option<Candidate> {
        let server = self.servers.get(&key)?;
        let score = server.score(query.part, typical, now, &self.tuning);
        let latency = server.latency(query.part, typical, now, &self.tuning);
        let known = self.tokens_to_read(now, server, query);
        let supposed = known.min(query.prompt.tokens_in.saturating_sub(kept));
        let units = |tokens: u32| Work { tokens: f64::from(tokens) }.units(query.part, &self.tuning);
        // What is only supposed may steer the draw; a time is promised by what is known.
        Some(Candidate { key, score: score * units(supposed), estimate: latency * units(known) })
    }

    fn tokens_to_read(&self, now: Duration, server: &Server, query: &Query<'_>) -> u32 {
        let kept = server.cache.kept_tokens(now, query.prompt, self.tuning.cache_age);
        query.prompt.tokens_in.saturating_sub(kept)
    }

    fn describe(&self, now: Duration, query: &Query<'_>, chosen: Candidate) -> Option<Choice> {
        let server = self.servers.get(&chosen.key)?;
        let estimate = if chosen.estimate.is_finite() { chosen.estimate.clamp(0.0, 1e9) } else { 1e9 };
        Some(Choice {
            key: chosen.key,
            id: server.id.clone(),
            address: server.entry.address,
            zone: server.zone.clone(),
            estimate: Duration::from_secs_f64(estimate / 1e3),
            is_busy: server.fresh_report(now, &self.tuning).is_some_and(|report| report.is_busy()),
            tokens: self.tokens_to_read(now, server, query),
        })
    }

    /// The median of what is known in this part of the service, in ms: what a server without samples starts at.
    fn typical(&mut self, now: Duration, query: &Query<'_>) -> f64 {
        let index = query.part.index();
        if !self.tuning.starts_at_median {
            return OPTIMISTIC_MS;
        }
        let Some(pool) = self.services.get(query.service) else { return OPTIMISTIC_MS };
        let held = pool.typical[index];
        if now < held.until {
            return held.value;
        }
        let known = pool.servers.iter().filter_map(|key| self.servers.get(key)?.parts[index].latency.value());
        let mut known: Vec<f64> = known.collect();
        let value = median(&mut known).unwrap_or(OPTIMISTIC_MS);
        if let Some(pool) = self.services.get_mut(query.service) {
            pool.typical[index] = Typical { value, until: now + TYPICAL_AGE };
        }
        value
    }
}

fn lower(one: Candidate, other: Candidate) -> Candidate {
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
