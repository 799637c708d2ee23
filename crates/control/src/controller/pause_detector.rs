//! Detects pauses of this process that make its knowledge of peer contact out of date.
//!
//! A process may stop for seconds: a frozen virtual machine, swapping, a debugger. The replica does not count such pauses
//! against its peers, so it reports a quorum right after one however long it was, and frames that waited in the kernel seem
//! fresh. Until contact has been made anew, agents are sent to another process. `docs/design/cut-off.md` derives the bound.

use std::collections::VecDeque;
use std::time::Duration;

/// A longer gap between two observations is a pause. The replica ignores gaps above 250 ms, so this is lower in order to
/// miss none of those.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Pauses that sum up to less than this within [`WINDOW`] are covered by the bound on configurations.
const MAX_TOTAL_PAUSE: Duration = Duration::from_millis(700);
/// Longer than contact can seem fresh with pauses below [`MAX_TOTAL_PAUSE`]: 900 ms and those.
const WINDOW: Duration = Duration::from_millis(2_000);
/// How long contact is in doubt afterwards: until nothing counts that a peer said before (700 ms after the last old frame
/// was read), with the time to read the old frames.
const DOUBT_DURATION: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
struct Pause {
    ended_at: Duration,
    length: Duration,
}

/// Watches the time between two observations of the clock. All times count from the start of the process.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_observed_at: Duration,
    /// The pauses that ended within the window, oldest first.
    pauses: VecDeque<Pause>,
    contact_in_doubt_until: Duration,
}

impl PauseDetector {
    /// Observes the clock; call it before each command is handled.
    pub fn observe(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_observed_at);
        self.last_observed_at = self.last_observed_at.max(now);
        if gap < MIN_PAUSE {
            return;
        }
        self.pauses.push_back(Pause { ended_at: now, length: gap });
        self.pauses.retain(|pause| now.saturating_sub(pause.ended_at) < WINDOW);
        let total: Duration = self.pauses.iter().map(|pause| pause.length).sum();
        if total >= MAX_TOTAL_PAUSE {
            self.contact_in_doubt_until = now + DOUBT_DURATION;
        }
    }

    /// Whether what is known of contact to peers may be out of date.
    pub fn is_contact_in_doubt(&self, now: Duration) -> bool {
        now < self.contact_in_doubt_until
    }
}
