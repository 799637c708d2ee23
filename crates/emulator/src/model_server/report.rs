//! The load report of a model server (`GET /report`), which lags behind the state of the server.

use super::parameters::Stage;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::time::Duration;

/// The minimum time between two kept snapshots. A snapshot that follows the last one sooner replaces that
/// one.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// The load of a server at a point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoadSnapshot {
    pub stage: Stage,
    pub is_busy: bool,
    pub revision: u64,
    pub queued: usize,
    pub running: usize,
    pub kv_used: u64,
    pub kv_total: u64,
    pub kv_handles: usize,
}

impl LoadSnapshot {
    /// The body of a report. The keys are fixed by the protocol.
    pub fn to_json(&self, model: &str, version: u64) -> Value {
        json!({
            "Stage": self.stage.as_str(),
            "Models": [{"Name": model, "Version": version, "Adapters": []}],
            "Busy": self.is_busy,
            "Seq": self.revision,
            "Queued": self.queued,
            "Running": self.running,
            "KvUsed": self.kv_used,
            "KvTotal": self.kv_total,
            "KvHandles": self.kv_handles,
        })
    }
}

/// The recent load snapshots, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportHistory {
    lag: Duration,
    snapshots: VecDeque<(Duration, LoadSnapshot)>,
}

impl ReportHistory {
    pub fn new(lag: Duration) -> ReportHistory {
        ReportHistory { lag, snapshots: VecDeque::new() }
    }

    /// Records the current load.
    pub fn record(&mut self, now: Duration, snapshot: LoadSnapshot) {
        let has_several = self.snapshots.len() > 1;
        match self.snapshots.back_mut() {
            Some((at, last)) if has_several && now.saturating_sub(*at) < MIN_INTERVAL => *last = snapshot,
            _ => self.snapshots.push_back((now, snapshot)),
        }
        while self.snapshots.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.snapshots.pop_front();
        }
    }

    /// The snapshot that a report contains at `now`: the newest one that is at least as old as the lag, or
    /// the oldest one if none is.
    pub fn reported(&self, now: Duration) -> Option<&LoadSnapshot> {
        let newest = self.snapshots.iter().rev().find(|(at, _)| *at + self.lag <= now);
        newest.or(self.snapshots.front()).map(|(_, snapshot)| snapshot)
    }
}
