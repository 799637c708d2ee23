//! The concurrency window, which limits the attempts in flight by additive increase, multiplicative decrease
//! (AIMD).

/// The share of its size by which the window is decreased after a late or rejected attempt.
pub(crate) const WINDOW_DECREASE: f64 = 0.1;
/// The minimum share of the window that remains after one overload. All attempts that were in flight together
/// report the same overload, and must not decrease the window further.
const MIN_WINDOW_SHARE_AFTER_OVERLOAD: f64 = 0.5;

/// The concurrency window for the servers of one [`Locality`](super::server::Locality).
#[derive(Clone, Copy)]
pub(crate) struct ConcurrencyWindow {
    /// Attempts in flight, including those at ejected servers.
    pub(crate) in_flight: usize,
    /// Maximum attempts in flight per server in use.
    per_server: f64,
    /// When the current overload was first detected; 0 before the first overload.
    overload_detected_at_ms: f64,
    /// The lowest value to which the current overload may decrease `per_server`.
    overload_floor: f64,
}

impl ConcurrencyWindow {
    /// The window before [`ConcurrencyWindow::open`] is called.
    pub(crate) const INITIAL: ConcurrencyWindow = ConcurrencyWindow {
        in_flight: 0,
        per_server: 1.0,
        overload_detected_at_ms: 0.0,
        overload_floor: 0.0,
    };

    /// Returns the maximum attempts in flight per server in use.
    pub(crate) fn per_server(&self) -> f64 {
        self.per_server
    }

    /// Sets the window for the cached server list that is reported at startup.
    pub(crate) fn open(&mut self, per_server: f64) {
        self.per_server = per_server;
    }

    /// Decreases the window after a late or rejected attempt that was sent at `sent_at_ms`, but not below
    /// `min_per_server`. Attempts that were sent before the current overload was detected belong to that
    /// overload.
    pub(crate) fn decrease(&mut self, sent_at_ms: f64, now_ms: f64, min_per_server: f64) {
        if sent_at_ms >= self.overload_detected_at_ms {
            self.overload_detected_at_ms = now_ms;
            self.overload_floor = self.per_server * MIN_WINDOW_SHARE_AFTER_OVERLOAD;
        }
        let floor = self.overload_floor.min(self.per_server);
        self.per_server = (self.per_server * (1.0 - WINDOW_DECREASE)).max(floor).max(min_per_server);
    }

    /// Increases the window by `per_server` attempts per server.
    pub(crate) fn increase(&mut self, per_server: f64) {
        self.per_server += per_server;
    }
}
