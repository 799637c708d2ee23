//! The times at which this process learned of committed configurations, to determine how far behind an agent
//! is.

use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of recorded commits: more than an agent can miss while it is still reported.
const MAX_ENTRIES: usize = 256;

#[derive(Clone, Copy, Debug)]
struct KnownCommit {
    version: u64,
    learned_at: Duration,
}

/// The lag of a version behind the newest commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    /// The number of commits above the version that this process knows.
    pub versions: usize,
    /// How long this process has known the first of these commits.
    pub time: Duration,
}

/// The newest commits, oldest first. All times count from the start of the process.
#[derive(Debug, Default)]
pub struct CommitHistory {
    known: VecDeque<KnownCommit>,
}

impl CommitHistory {
    /// Records a commit. Its version must be higher than those of all recorded commits.
    pub fn record(&mut self, now: Duration, version: u64) {
        if self.known.len() >= MAX_ENTRIES {
            self.known.pop_front();
        }
        self.known.push_back(KnownCommit { version, learned_at: now });
    }

    /// Returns the lag of `version` at `now`.
    pub fn lag(&self, now: Duration, version: u64) -> Lag {
        let mut missing = self.known.iter().filter(|commit| commit.version > version);
        let Some(first) = missing.next() else { return Lag::default() };
        Lag { versions: 1 + missing.count(), time: now.saturating_sub(first.learned_at) }
    }
}
