//! Detects pauses of this process after which its information about contact with peers may be out of date.
//!
//! A process may stop for seconds, for example because its virtual machine is frozen, or because of swapping
//! or a debugger. The replica does not count such pauses against its peers. After a pause of any length it
//! therefore still reports a quorum, and frames that waited in the kernel seem recent. Until contact has been
//! confirmed by new messages, agents are made to follow another process. `docs/design/cut-off.md` derives the
//! bounds.

use std::collections::VecDeque;
use std::time::Duration;

/// A gap between two observations counts as a pause from this length. The replica ignores gaps above 250 ms;
/// this value is lower so that none of them is missed.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Pauses whose total within [`WINDOW`] is below this value are covered by the bound on the age of
/// configurations.
const MAX_TOTAL_PAUSE: Duration = Duration::from_millis(700);
/// The window over which pauses are summed. It is longer than contact can seem recent with pauses below
/// [`MAX_TOTAL_PAUSE`], which is 900 ms plus these pauses.
const WINDOW: Duration = Duration::from_millis(2_000);
/// How long contact stays uncertain after the pauses: until no message that a peer sent earlier counts any
/// more (700 ms after the last old frame was read), plus the time to read the old frames.
const UNCERTAINTY_DURATION: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
struct Pause {
    ended_at: Duration,
    length: Duration,
}

/// Measures the gaps between observations of the clock. All times count from the start of the process.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_observed_at: Duration,
    /// The pauses that ended within the window, oldest first.
    pauses: VecDeque<Pause>,
    contact_uncertain_until: Duration,
}

impl PauseDetector {
    /// Observes the clock. Call this before each command is handled.
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
            self.contact_uncertain_until = now + UNCERTAINTY_DURATION;
        }
    }

    /// Whether the information about contact with peers may be out of date.
    pub fn is_contact_uncertain(&self, now: Duration) -> bool {
        now < self.contact_uncertain_until
    }
}
