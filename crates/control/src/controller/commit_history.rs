//! When this process learned of each committed configuration, so that it can tell how far behind somebody is.

use std::collections::VecDeque;
use std::time::Duration;

/// Commits that are remembered: more than an agent can miss while it is still shown.
const MAX_ENTRIES: usize = 256;

/// How far behind the newest commit a version is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    /// Commits above it that are known here.
    pub versions: usize,
    /// For how long the first of them has been known here.
    pub time: Duration,
}

/// The newest commits, oldest first.
#[derive(Debug, Default)]
pub struct CommitHistory {
    known: VecDeque<(u64, Duration)>,
}

impl CommitHistory {
    /// Notes a commit; versions climb.
    pub fn record(&mut self, now: Duration, version: u64) {
        if self.known.len() >= MAX_ENTRIES {
            self.known.pop_front();
        }
        self.known.push_back((version, now));
    }

    /// How far behind `version` is.
    pub fn lag(&self, now: Duration, version: u64) -> Lag {
        let mut missing = self.known.iter().filter(|(known, _)| *known > version);
        let Some((_, since)) = missing.next() else { return Lag::default() };
        Lag { versions: 1 + missing.count(), time: now.saturating_sub(*since) }
    }
}
