//! The maximum time for which the role is vacant after its holder is killed, computed from the constants of
//! the elector and of the simulated world. See `docs/design/roles.md` for the derivation.

use crate::world::{DRIFT_PERCENT, LEASE, MAX_DELAY, MAX_SYNC, MAX_VIEW_DELAY, POLL, TICK};
use std::time::Duration;

/// The maximum backoff before a campaign is the lease duration divided by this; same as `BACKOFF_DIVISOR` in
/// `elector.rs`.
const BACKOFF_DIVISOR: u32 = 16;
/// A pending pre-vote is resent after the lease duration divided by this; same as `RESEND_DIVISOR` in
/// `elector.rs`.
const RESEND_DIVISOR: u32 = 32;

/// Returns the true time that elapses while the slowest clock advances by `time`.
fn on_slowest_clock(time: Duration) -> Duration {
    time * 100 / (100 - DRIFT_PERCENT)
}

/// Returns the maximum time from when the voters may elect a process until the successor knows that it holds
/// the role.
fn election_time() -> Duration {
    // A voter detects at a tick that the role is vacant, draws a backoff, and sends a pre-vote at a later
    // tick.
    let first_pre_vote = TICK + on_slowest_clock(LEASE / BACKOFF_DIVISOR) + TICK;
    // An earlier pre-vote that is still pending is resent at a tick, or expires in favour of the other
    // candidate's pre-vote, which is resent too.
    let resend_time = on_slowest_clock(LEASE / RESEND_DIVISOR) + TICK;
    let pre_votes = first_pre_vote.max(resend_time * 2);
    // The pre-vote and its response; syncing the candidate's own vote; the vote request, the sync at the
    // voter, and the vote.
    let message_exchange = MAX_DELAY * 2 + MAX_SYNC + MAX_DELAY + MAX_SYNC + MAX_DELAY;
    pre_votes + message_exchange
}

/// Returns the maximum vacancy after a kill. If `view_after` is given, a view without the killed process is
/// chosen that long after the kill.
pub fn max_vacancy(view_after: Option<Duration>) -> Duration {
    // The last renewal is in flight when its sender is killed.
    let lease = on_slowest_clock(LEASE * (100 + DRIFT_PERCENT) / 100);
    let until_electable = match view_after {
        None => MAX_DELAY + lease,
        // Voters of the new view elect no process for one lease duration after they install the view.
        Some(after) => after + MAX_VIEW_DELAY + lease,
    };
    until_electable + election_time() + POLL
}
