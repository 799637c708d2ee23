//! Load that a server reports about itself in the `Load-Report` header of its responses.

use std::time::Duration;

/// A server's report of its own load. It includes the requests of all proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of requests that the server can run at once; 0 if it is not stated.
    pub slots: u32,
    /// When the report was received.
    pub received_at: Duration,
}

impl LoadReport {
    /// Parses `running,waiting,slots`; `None` if one of the three numbers is missing or invalid.
    pub fn parse(text: &str, received_at: Duration) -> Option<LoadReport> {
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        Some(LoadReport { running, waiting, slots, received_at })
    }

    /// Returns whether requests are queued or no slot is free.
    pub fn is_saturated(&self) -> bool {
        self.waiting > 0 || (self.slots > 0 && self.running >= self.slots)
    }

    /// Returns whether requests are queued or at least half of the slots are in use.
    pub fn is_busy(&self) -> bool {
        self.waiting > 0 || (self.slots > 0 && self.running.saturating_mul(2) >= self.slots)
    }
}
