//! Outlier ejection: after consecutive failures a server is sent no requests for a time, and after too many
//! misses of one class it is sent no requests of that class.

use super::balancer::Balancer;
use super::outcome_history::OutcomeHistory;
use super::server::{Health, InFlightAttempt, Server};
use crate::api::{Action, LogEvent, ServerId};

/// Minimum number of consecutive failures that eject a server. One or two failures may be due to chance.
const MIN_CONSECUTIVE_FAILURES: u32 = 3;
/// Maximum probability that the consecutive failures that eject a server are due to chance, if the server
/// misses as often as the median server does. A higher miss rate raises the required number of failures.
const FALSE_EJECTION_PROBABILITY: f64 = 1e-3;
/// Maximum share of ready servers that are ejected. If most servers look bad, the cause is elsewhere.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Duration of the first ejection, in time constants of latency samples. Each failed trial doubles the
/// duration, at most [`MAX_EJECTION_DOUBLINGS`] times.
const EJECTION_TIME_CONSTANTS: f64 = 2.0;
const MAX_EJECTION_DOUBLINGS: u32 = 2;
/// A server is ejected for a class if its miss rate exceeds that of the median server by more than this.
const CLASS_EJECTION_MARGIN: f64 = 0.25;
/// The server is readmitted when its miss rate falls below this share of the threshold that ejected it.
const CLASS_READMISSION_SHARE: f64 = 0.5;
/// Time constant of outcome histories, in time constants of latency samples. It limits how often trials are
/// made, and thus what they cost.
const HISTORY_TIME_CONSTANTS: f64 = 8.0;
/// The number of time constants after which a latency sample counts as stale.
pub(crate) const STALE_AFTER_TIME_CONSTANTS: f64 = 4.0;

impl Balancer {
    fn history_time_constant_ms(&self) -> f64 {
        HISTORY_TIME_CONSTANTS * self.time_constant_ms
    }

    /// Records the outcome of an attempt in the histories, and ejects its server for the class if the server
    /// misses far more often than the median server. A server that fails one class and serves the others well
    /// is not detected by its latency or its consecutive failures. Because the reference is the median, at
    /// most half of the list is ejected.
    pub(crate) fn record_class_outcome(&mut self, id: ServerId, class: usize, is_miss: bool) {
        let (now_ms, time_constant_ms) = (self.now_ms, self.history_time_constant_ms());
        self.outcomes.record(is_miss, now_ms, self.time_constant_ms * STALE_AFTER_TIME_CONSTANTS);
        let Some(server) = self.servers.get_mut(id) else { return };
        server.outcomes.record(is_miss, now_ms, time_constant_ms);
        let history = server.class_history_mut(class);
        history.outcomes.record(is_miss, now_ms, time_constant_ms);
        let miss_rate = history.outcomes.miss_rate(now_ms, time_constant_ms);
        if miss_rate < history.ejection_miss_rate * CLASS_READMISSION_SHARE {
            history.ejection_miss_rate = f64::INFINITY;
        }
        if !is_miss {
            return;
        }
        let threshold =
            CLASS_EJECTION_MARGIN + self.median_miss_rate(|server| server.class_history(class).outcomes);
        if miss_rate > threshold
            && let Some(server) = self.servers.get_mut(id)
        {
            server.class_history_mut(class).ejection_miss_rate = threshold;
        }
    }

    /// Returns the miss rate of the median ready server.
    fn median_miss_rate(&self, history: impl Fn(&Server) -> OutcomeHistory) -> f64 {
        let time_constant_ms = self.history_time_constant_ms();
        let miss_rate = |id: &ServerId| history(&self.servers[*id]).miss_rate(self.now_ms, time_constant_ms);
        let mut rates: Vec<f64> = self.servers.ready().iter().map(miss_rate).collect();
        rates.sort_unstable_by(f64::total_cmp);
        rates.get(rates.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// Returns the number of consecutive failures that eject a server. It grows with the miss rate of the
    /// median server: while some requests can't be served in time by any server, servers must not be ejected
    /// in turn and overload the others.
    fn ejection_threshold(&self) -> f64 {
        let miss_rate = self.median_miss_rate(|server| server.outcomes).clamp(1e-3, 0.99);
        (FALSE_EJECTION_PROBABILITY.ln() / miss_rate.ln()).max(f64::from(MIN_CONSECUTIVE_FAILURES))
    }

    /// Returns whether a server is currently ejected for a class. Once its miss rate has decayed, the server
    /// is sent one attempt of the class at a time, until its miss rate is low again.
    pub(crate) fn is_ejected_for_class(&self, server: &Server, class: usize) -> bool {
        let history = server.class_history(class);
        let is_of_class = |attempt: &InFlightAttempt| {
            self.requests.get(&attempt.id).is_some_and(|request| request.profile.class == class)
        };
        history.ejection_miss_rate.is_finite()
            && (history.outcomes.miss_rate(self.now_ms, self.history_time_constant_ms())
                > history.ejection_miss_rate
                || server.in_flight.iter().any(is_of_class))
    }

    /// Counts a failure of a server, and ejects the server after too many consecutive failures.
    pub(crate) fn record_server_failure(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let ejected = self.servers.ejected().count() as f64;
        let max_ejected = self.servers.ready().len() as f64 * MAX_EJECTED_SHARE;
        let threshold = self.ejection_threshold();
        let (now_ms, ejection_ms) = (self.now_ms, EJECTION_TIME_CONSTANTS * self.time_constant_ms);
        let Some(server) = self.servers.get_mut(id) else { return };
        server.consecutive_failures += 1;
        let has_failed_too_often = f64::from(server.consecutive_failures) >= threshold;
        let was_healthy = server.health == Health::Healthy;
        let doublings = match server.health {
            Health::Healthy if has_failed_too_often && ejected + 1.0 <= max_ejected => 0,
            Health::Ejected { until_ms, doublings } if now_ms >= until_ms => {
                (doublings + 1).min(MAX_EJECTION_DOUBLINGS)
            }
            _ => return,
        };
        let until_ms = now_ms + ejection_ms * f64::from(1u32 << doublings);
        server.health = Health::Ejected { until_ms, doublings };
        if was_healthy {
            self.servers.mark_ejected(id);
            out.push(Action::Log(LogEvent::Ejected(id)));
        }
    }
}
