//! Slow start: a server that has just started has a share of its capacity, and is sent a share of requests.

use super::balancer::Balancer;
use super::request::Request;
use super::server::{RECENT_SENDS_MS, Server};
use super::time::to_ms;

/// Number of mean requests by which sends may exceed the even share, since requests may arrive in bursts.
const SEND_BURST_ALLOWANCE: f64 = 0.5;

impl Balancer {
    /// Returns the minimum share of its capacity that a server has now.
    pub(crate) fn capacity_share(&self, server: &Server) -> f64 {
        server.entry.started_at.map_or(1.0, |started_at| self.capacity_share_at(to_ms(started_at)))
    }

    /// Returns the minimum capacity share of a server that started at `started_at_ms`. The share grows
    /// linearly over the ramp time.
    pub(crate) fn capacity_share_at(&self, started_at_ms: f64) -> f64 {
        let initial = self.settings.slow_start.initial_capacity;
        let age = (self.now_ms - started_at_ms).max(0.0) / self.ramp_time_ms();
        (initial + (1.0 - initial) * age).clamp(0.01, 1.0)
    }

    /// Returns whether a server has warmed up far enough for this request.
    ///
    /// Only a share of all requests, at all sidecars, may be sent to a warming server, so that all sidecars
    /// together do not overload it: its capacity share times half the multiple at which it fails. With two
    /// random candidates, that is at most twice its even share.
    pub(crate) fn is_warm_enough(&self, server: &Server, request: &Request) -> bool {
        let multiple = self.settings.slow_start.overload_multiple / 2.0;
        let request_size = 1.0 / self.normalization(&request.profile);
        request.draw < self.capacity_share(server) * multiple
            && self.is_within_warmup_rate(server, request_size, multiple)
    }

    /// Returns whether a request keeps a warming server within its rate limit, which applies if few other
    /// servers are left to draw from. The limit is `multiple` times the server's even share of this sidecar's
    /// sends, reduced to its capacity share. A request must also not be larger than the limit would be
    /// for the sends of all sidecars in one second. `request_size` is relative to a mean request.
    fn is_within_warmup_rate(&self, server: &Server, request_size: f64, multiple: f64) -> bool {
        let share = self.capacity_share(server);
        let ready = self.servers.ready().len();
        let drawn_from = self.subset_size().min(ready).max(1);
        let even_share = |servers: f64| self.sends_per_ms() * RECENT_SENDS_MS * share * multiple / servers;
        let of_all_sidecars = even_share(ready.max(1) as f64) * f64::from(self.settings.sidecar_count);
        share >= 1.0
            || request_size <= of_all_sidecars.max(SEND_BURST_ALLOWANCE)
                && server.recent_sends.at(self.now_ms, RECENT_SENDS_MS)
                    < even_share(drawn_from as f64) + SEND_BURST_ALLOWANCE
    }
}
