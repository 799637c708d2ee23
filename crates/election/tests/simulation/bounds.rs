//! How long the role may be vacant after its holder is killed, from the constants of the elector and of the world.
//! Derived in `docs/design/roles.md`.

use crate::world::{DRIFT_PERCENT, LEASE, MAX_DELAY, MAX_SYNC, MAX_VIEW_DELAY, POLL, TICK};
use std::time::Duration;

/// The divisor of a lease that bounds the backoff before a campaign; `BACKOFF_DIVISOR` in `elector.rs`.
const BACKOFF_DIVISOR: u32 = 16;
/// The divisor of a lease after which an open pre-vote is sent again; `RESEND_DIVISOR` in `elector.rs`.
const RESEND_DIVISOR: u32 = 32;

/// The true time that passes while the slowest clock advances by `time`.
fn on_slowest_clock(time: Duration) -> Duration {
    time * 100 / (100 - DRIFT_PERCENT)
}

/// The time from when the voters may elect until a successor knows that it holds the role.
fn election_time() -> Duration {
    // A voter detects at a tick that the role is vacant, draws a backoff, and sends a pre-vote at a tick.
    let first_pre_vote = TICK + on_slowest_clock(LEASE / BACKOFF_DIVISOR) + TICK;
    // An older pre-vote that is open by then is sent again at a tick, or expires and gives way to that of the other
    // candidate, which is sent again too.
    let resent = on_slowest_clock(LEASE / RESEND_DIVISOR) + TICK;
    let pre_votes = first_pre_vote.max(resent * 2);
    // The pre-vote and its answer; the own vote, synced; the vote request, synced at the voter, and its vote.
    let exchange = MAX_DELAY * 2 + MAX_SYNC + MAX_DELAY + MAX_SYNC + MAX_DELAY;
    pre_votes + exchange
}

/// The longest vacancy after a kill, where a view without the killed process is chosen `view_after` the kill.
pub fn max_vacancy(view_after: Option<Duration>) -> Duration {
    // The last renewal is in flight when its sender dies.
    let lease = on_slowest_clock(LEASE * (100 + DRIFT_PERCENT) / 100);
    let free = match view_after {
        None => MAX_DELAY + lease,
        // Voters of the new view elect nobody for a lease after they install it.
        Some(after) => after + MAX_VIEW_DELAY + lease,
    };
    free + election_time() + POLL
}
