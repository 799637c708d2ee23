//! The concurrency window: how many attempts may be in flight. It follows additive increase, multiplicative decrease.

/// The share by which a late attempt decreases the window.
pub(crate) const WINDOW_DECREASE: f64 = 0.1;
/// One overload decreases the window to this share at most: all attempts that were in flight together report the same one.
const MAX_EPISODE_DECREASE: f64 = 0.5;

/// How many attempts may be in flight at the servers of one [`Locality`](super::server::Locality).
#[derive(Clone, Copy)]
pub(crate) struct ConcurrencyWindow {
    /// Attempts in flight, those at ejected servers included.
    pub(crate) in_flight: usize,
    /// Attempts that may be in flight for each server in use.
    per_server: f64,
    /// When the current overload was first noticed; 0 for never.
    decreased_at_ms: f64,
    /// How far the current overload may decrease `per_server`.
    episode_floor: f64,
}

impl ConcurrencyWindow {
    /// Before the first server list.
    pub(crate) const INITIAL: ConcurrencyWindow =
        ConcurrencyWindow { in_flight: 0, per_server: 1.0, decreased_at_ms: 0.0, episode_floor: 0.0 };

    /// Attempts that may be in flight for each server in use.
    pub(crate) fn per_server(&self) -> f64 {
        self.per_server
    }

    /// Sets the window for the first server list.
    pub(crate) fn open(&mut self, per_server: f64) {
        self.per_server = per_server;
    }

    /// Decreases the window after an attempt that was sent then is late, to this minimum at most. Attempts sent before the
    /// current overload was noticed belong to it.
    pub(crate) fn decrease(&mut self, sent_at_ms: f64, now_ms: f64, min_per_server: f64) {
        if sent_at_ms >= self.decreased_at_ms {
            self.decreased_at_ms = now_ms;
            self.episode_floor = self.per_server * MAX_EPISODE_DECREASE;
        }
        let floor = self.episode_floor.min(self.per_server);
        self.per_server = (self.per_server * (1.0 - WINDOW_DECREASE)).max(floor).max(min_per_server);
    }

    /// Increases the window by so many attempts for each server.
    pub(crate) fn increase(&mut self, per_server: f64) {
        self.per_server += per_server;
    }
}
