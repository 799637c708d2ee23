//! The load that a server tells of itself in its answers.

use std::time::Duration;

/// A `Load-Report` and when it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// When it came.
    pub received_at: Duration,
}

impl LoadReport {
    /// Reads `running,waiting,slots`.
    pub fn parse(text: &str, received_at: Duration) -> Option<LoadReport> {
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        Some(LoadReport { running, waiting, slots, received_at })
    }

    /// Whether something waited or no slot was free.
    pub fn is_saturated(&self) -> bool {
        self.waiting > 0 || (self.slots > 0 && self.running >= self.slots)
    }

    /// Whether half of the slots or more were taken.
    pub fn is_busy(&self) -> bool {
        self.waiting > 0 || (self.slots > 0 && self.running.saturating_mul(2) >= self.slots)
    }
}
