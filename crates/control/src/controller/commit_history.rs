//! When this process learned of each committed configuration, to tell how far behind an agent is.

use std::collections::VecDeque;
use std::time::Duration;

/// Commits that are remembered: more than an agent can miss while it is still shown.
const MAX_ENTRIES: usize = 256;

#[derive(Clone, Copy, Debug)]
struct KnownCommit {
    version: u64,
    learned_at: Duration,
}

/// How far a version is behind the newest commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    /// Commits above the version that are known here.
    pub versions: usize,
    /// How long the first of them has been known here.
    pub time: Duration,
}

/// The newest commits, oldest first. All times count from the start of the process.
#[derive(Debug, Default)]
pub struct CommitHistory {
    known: VecDeque<KnownCommit>,
}

impl CommitHistory {
    /// Records a commit. Versions rise.
    pub fn record(&mut self, now: Duration, version: u64) {
        if self.known.len() >= MAX_ENTRIES {
            self.known.pop_front();
        }
        self.known.push_back(KnownCommit { version, learned_at: now });
    }

    /// How far `version` is behind.
    pub fn lag(&self, now: Duration, version: u64) -> Lag {
        let mut missing = self.known.iter().filter(|commit| commit.version > version);
        let Some(first) = missing.next() else { return Lag::default() };
        Lag { versions: 1 + missing.count(), time: now.saturating_sub(first.learned_at) }
    }
}
