//! Prefix affinity: prompts that share a prefix are sent to the same two prefill servers, which have the
//! prefix in their KV caches.
//!
//! The two servers are those ranked highest by [rendezvous hashing](crate::rendezvous) of the prefix, over
//! all zones: computing a prefix once per zone costs more than sending the request to another zone.

use crate::phase::Phase;
use crate::prompt::Prompt;
use crate::rendezvous;
use crate::scoring::{Candidate, Scorer};
use crate::server::ServerKey;
use crate::tuning::AffinityKey;

/// Returns the better of the two servers for the prompt's prefix; `None` if affinity does not apply: in
/// phases other than prefill, for requests without prompt segments, or if it is switched off.
pub(crate) fn pick(scorer: &Scorer<'_>, eligible: &[ServerKey]) -> Option<Candidate> {
    if scorer.query.phase != Phase::Prefill || !scorer.tuning.uses_prefix_affinity {
        return None;
    }
    let prompt = scorer.query.prompt;
    let key = affinity_key(prompt, scorer.tuning.affinity_key)?;
    let weight = |server: &ServerKey| {
        scorer.servers.get(server).map_or(0, |server| rendezvous::weight(key, server.id_hash))
    };
    let first = eligible.iter().copied().max_by_key(weight)?;
    let second = eligible.iter().copied().filter(|server| *server != first).max_by_key(weight);
    // All proxies send this prefix to the first server, so it probably has the prefix even if this proxy
    // never sent it there.
    let first_candidate = scorer.candidate_with_cached(first, prompt.shared_prefix_tokens())?;
    match second {
        Some(second) => Some(first_candidate.min_by_score(scorer.candidate(second)?)),
        None => Some(first_candidate),
    }
}

/// Returns the id of the segment that identifies the prefix; the last segment if none is shared.
fn affinity_key(prompt: &Prompt, key: AffinityKey) -> Option<u64> {
    let shared = prompt.shared_prefix();
    let segment = match key {
        AffinityKey::LastShared => shared.last(),
        AffinityKey::MostTokens => shared.iter().max_by_key(|segment| segment.tokens),
    };
    segment.or(prompt.segments.last()).map(|segment| segment.id)
}
