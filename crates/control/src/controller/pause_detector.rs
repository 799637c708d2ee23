//! Whether this process stood still for so long that what it believes of its contact to others is out of date.
//!
//! The replica does not count pauses of this process against the others, so that it would call itself in touch right
//! after one, however long it was, and frames that waited in the kernel meanwhile seem fresh. Until contact has been made
//! anew, agents are told to ask another process. The bound that follows is derived in `docs/design/cut-off.md`.

use std::collections::VecDeque;
use std::time::Duration;

/// Longer gaps between two looks are pauses. The replica passes over gaps above 250 ms; a lower figure here makes sure that
/// none of those is missed.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Pauses of less than this in sum, within [`WINDOW`], are within what the bound on configurations has room for.
const MAX_TOTAL_PAUSE: Duration = Duration::from_millis(700);
/// Longer than contact can seem fresh with pauses below [`MAX_TOTAL_PAUSE`]: 900 ms and those.
const WINDOW: Duration = Duration::from_millis(2_000);
/// How long contact is in doubt after that: until all that a peer said before counts no more (700 ms after the last old
/// frame was read), with the time for reading the old frames.
const DOUBT_DURATION: Duration = Duration::from_millis(1_000);

/// Watches the time between two looks at the clock.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_observed_at: Duration,
    /// The end and length of each pause within the window.
    pauses: VecDeque<(Duration, Duration)>,
    contact_in_doubt_until: Duration,
}

impl PauseDetector {
    /// Looks at the clock; call it before each command is worked on.
    pub fn observe(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_observed_at);
        self.last_observed_at = self.last_observed_at.max(now);
        if gap < MIN_PAUSE {
            return;
        }
        self.pauses.push_back((now, gap));
        self.pauses.retain(|(end, _)| now.saturating_sub(*end) < WINDOW);
        let paused: Duration = self.pauses.iter().map(|(_, gap)| *gap).sum();
        if paused >= MAX_TOTAL_PAUSE {
            self.contact_in_doubt_until = now + DOUBT_DURATION;
        }
    }

    /// Whether contact is in doubt.
    pub fn is_contact_in_doubt(&self, now: Duration) -> bool {
        now < self.contact_in_doubt_until
    }
}
