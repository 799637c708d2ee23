//! The report of a model server, whose figures are some time old.

use super::parameters::Stage;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::time::Duration;

/// Figures closer together than this are not kept apart.
const RESOLUTION: Duration = Duration::from_millis(5);

/// The figures of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoadSnapshot {
    pub stage: Stage,
    pub is_busy: bool,
    pub seq: u64,
    pub queued: usize,
    pub running: usize,
    pub kv_used: u64,
    pub kv_total: u64,
    pub kv_handles: usize,
}

impl LoadSnapshot {
    /// The body of a report.
    pub fn to_json(&self, model: &str, version: u64) -> Value {
        json!({
            "Stage": self.stage.as_str(),
            "Models": [{"Name": model, "Version": version, "Adapters": []}],
            "Busy": self.is_busy,
            "Seq": self.seq,
            "Queued": self.queued,
            "Running": self.running,
            "KvUsed": self.kv_used,
            "KvTotal": self.kv_total,
            "KvHandles": self.kv_handles,
        })
    }
}

/// Figures of the last moments, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportHistory {
    lag: Duration,
    kept: VecDeque<(Duration, LoadSnapshot)>,
}

impl ReportHistory {
    pub fn new(lag: Duration) -> ReportHistory {
        ReportHistory { lag, kept: VecDeque::new() }
    }

    /// Notes the figures of now.
    pub fn record(&mut self, now: Duration, snapshot: LoadSnapshot) {
        let is_one_of_many = self.kept.len() > 1;
        match self.kept.back_mut() {
            Some((at, last)) if is_one_of_many && now.saturating_sub(*at) < RESOLUTION => *last = snapshot,
            _ => self.kept.push_back((now, snapshot)),
        }
        while self.kept.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.kept.pop_front();
        }
    }

    /// The figures that a report shows now.
    pub fn shown(&self, now: Duration) -> Option<&LoadSnapshot> {
        let known = self.kept.iter().rev().find(|(at, _)| *at + self.lag <= now);
        known.or(self.kept.front()).map(|(_, snapshot)| snapshot)
    }
}
