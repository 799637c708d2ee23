//! Locality-aware selection: servers in the proxy's own zone are preferred as long as they are fast enough.

use crate::p2c;
use crate::scoring::{Candidate, Scorer};
use crate::server::ServerKey;

/// Returns the winner of power of two choices in the preferred zone. If its estimate exceeds a share of the
/// latency objective ([`Tuning::local_zone_objective_share`](crate::Tuning::local_zone_objective_share)), a
/// second draw is made over all zones. The winner of the second draw is returned if its score is still lower
/// than that of the local winner after multiplication by
/// [`Tuning::cross_zone_factor`](crate::Tuning::cross_zone_factor).
///
/// There is one draw over all zones if the preferred zone has none or all of the eligible servers, or if
/// [`Tuning::prefers_local_zone`](crate::Tuning::prefers_local_zone) is off.
///
/// `eligible` is reordered: the servers of the preferred zone move to the front.
pub(crate) fn draw_local_first(
    scorer: &Scorer<'_>, rng: &mut fastrand::Rng, eligible: &mut [ServerKey],
) -> Option<Candidate> {
    let local = partition_by_zone(scorer, eligible);
    if local == 0 || local == eligible.len() || !scorer.tuning.prefers_local_zone {
        return p2c::draw(scorer, rng, eligible);
    }
    let local_winner = p2c::draw(scorer, rng, &eligible[..local])?;
    let objective_ms = scorer.query.objective.as_secs_f64() * 1e3;
    if local_winner.estimate_ms <= objective_ms * scorer.tuning.local_zone_objective_share {
        return Some(local_winner);
    }
    let global_winner = p2c::draw(scorer, rng, eligible).unwrap_or(local_winner);
    let leaves_zone = global_winner.score * scorer.tuning.cross_zone_factor < local_winner.score;
    Some(if leaves_zone { global_winner } else { local_winner })
}

/// Moves the servers of the preferred zone to the front; returns their number.
fn partition_by_zone(scorer: &Scorer<'_>, eligible: &mut [ServerKey]) -> usize {
    let zone = scorer.query.preferred_zone;
    let mut local = 0;
    for index in 0..eligible.len() {
        if scorer.servers.get(&eligible[index]).is_some_and(|server| &*server.zone == zone) {
            eligible.swap(local, index);
            local += 1;
        }
    }
    local
}
