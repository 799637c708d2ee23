//! Power of two choices (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001).
//!
//! Comparing two random candidates is nearly as good as comparing all of them, and prevents proxies that know
//! the same latencies from sending all requests to the same server.

use crate::scoring::{Candidate, Scorer};
use crate::server::ServerKey;

/// Returns the better of two distinct servers drawn at random; `None` if there are no servers. Only one
/// server is drawn if there is only one, or if [`Tuning::uses_two_choices`](crate::Tuning::uses_two_choices)
/// is off.
pub(crate) fn draw(scorer: &Scorer<'_>, rng: &mut fastrand::Rng, servers: &[ServerKey]) -> Option<Candidate> {
    let count = servers.len();
    if count == 0 {
        return None;
    }
    let first = rng.usize(..count);
    let first_candidate = scorer.candidate(servers[first])?;
    if count == 1 || !scorer.tuning.uses_two_choices {
        return Some(first_candidate);
    }
    // The second index is drawn from the remaining `count - 1` indices: those from `first` on are shifted up
    // by one.
    let second = rng.usize(..count - 1);
    let second = if second >= first { second + 1 } else { second };
    let second_candidate = scorer.candidate(servers[second])?;
    Some(first_candidate.min_by_score(second_candidate))
}
