//! The load that a server reports about itself in the `Load-Report` header of its responses.

use std::time::Duration;

/// A server's report of its own load. It includes the requests of all proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that the server can run at once; 0 if it does not say.
    pub slots: u32,
    /// When the report was received.
    pub received_at: Duration,
}

impl LoadReport {
    /// Parses `running,waiting,slots`; `None` if the text is anything else.
    pub fn parse(text: &str, received_at: Duration) -> Option<LoadReport> {
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        Some(LoadReport { running, waiting, slots, received_at })
    }

    /// Whether requests are queued or no slot is free.
    pub fn is_saturated(&self) -> bool {
        self.waiting > 0 || (self.slots > 0 && self.running >= self.slots)
    }

    /// Whether requests are queued or at least half of the slots are taken.
    pub fn is_busy(&self) -> bool {
        self.waiting > 0 || (self.slots > 0 && self.running.saturating_mul(2) >= self.slots)
    }
}
