//! Outlier ejection: failures in a row, and classes that a server fails.

use crate::{api::*, model::*, state::Balancer};

/// Failures in a row that eject a server: one is chance, two may be, three is the server. But no more
/// than a share of the listed: when most look bad it isn't them.
const MIN_CONSECUTIVE_FAILURES: u32 = 3;
/// Where the median server misses as well, so many in a row as come by chance less often than this.
const FALSE_EJECTION_PROBABILITY: f64 = 1e-3;
const MAX_EJECTED_SHARE: f64 = 0.5;
/// First wait before a trial, doubled with each failed one, so often at most.
const EJECTION_TIME_CONSTANTS: f64 = 2.0;
const MAX_EJECTION_DOUBLINGS: u32 = 2;
/// A class shuns a server whose share of misses in it is so much above the median server's. How long that is
/// remembered, in time constants of the latency, and for how many attempts, bounds what the next trial costs.
const CLASS_EJECTION_MARGIN: f64 = 0.25;
const HISTORY_TIME_CONSTANTS: f64 = 8.0;
/// It is over where the share has come down to this part of that.
const CLASS_READMISSION_SHARE: f64 = 0.5;
/// The average has faded after so many time constants.
pub(crate) const STALE_TIME_CONSTANTS: f64 = 4.0;

impl Balancer {
    /// Guards against a server that fails one class and serves the others well: then neither its latency nor its
    /// failures in a row tell. Measured against the median server, half of the list is shunned at most.
    pub(crate) fn record_class_outcome(&mut self, id: ServerId, class: usize, missed: bool) {
        let (now, span) = (self.now_ms, HISTORY_TIME_CONSTANTS * self.time_constant_ms);
        self.outcomes.record(missed, now, self.time_constant_ms * STALE_TIME_CONSTANTS);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.outcomes.record(missed, now, span);
        let record = server.history_mut(class);
        record.record(missed, now, span);
        let share = record.miss_rate(now, span);
        if share < record.ejected_above * CLASS_READMISSION_SHARE {
            record.ejected_above = f64::INFINITY;
        }
        if missed {
            let over = CLASS_EJECTION_MARGIN + self.median_miss_rate(|server| server.history(class));
            if share > over {
                self.servers.entry(id).and_modify(|server| server.history_mut(class).ejected_above = over);
            }
        }
    }

    /// The share of misses in this record at the median server.
    fn median_miss_rate(&self, of: impl Fn(&Server) -> OutcomeHistory) -> f64 {
        let share = |id: &ServerId| {
            of(&self.servers[id]).miss_rate(self.now_ms, HISTORY_TIME_CONSTANTS * self.time_constant_ms)
        };
        let mut shares: Vec<f64> = self.ready.iter().map(share).collect();
        shares.sort_unstable_by(f64::total_cmp);
        shares.get(shares.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// Failures in a row that eject. Guards against ejecting servers by turns while a part of all requests can't
    /// be served in time anywhere, which would crowd those that are left.
    fn ejection_threshold(&self) -> f64 {
        let missing = self.median_miss_rate(|server| server.outcomes);
        (FALSE_EJECTION_PROBABILITY.ln() / missing.clamp(1e-3, 0.99).ln())
            .max(f64::from(MIN_CONSECUTIVE_FAILURES))
    }

    /// Once the misses have faded, one attempt of the class at a time tries it, until the record is good again.
    pub(crate) fn is_ejected_for_class(&self, server: &Server, class: usize) -> bool {
        let (record, span) = (server.history(class), HISTORY_TIME_CONSTANTS * self.time_constant_ms);
        let of_class =
            |f: &InFlightAttempt| self.requests.get(&f.id).is_some_and(|r| r.profile.class == class);
        record.ejected_above.is_finite()
            && (record.miss_rate(self.now_ms, span) > record.ejected_above
                || server.in_flight.iter().any(of_class))
    }

    /// Outlier ejection, never beyond a share of the list: if most look bad it is not them.
    pub(crate) fn record_consecutive_failure(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let (ejected, most) =
            (self.ejected_servers().count() as f64, self.ready.len() as f64 * MAX_EJECTED_SHARE);
        let ejection_threshold = self.ejection_threshold();
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.consecutive_failures += 1;
        let enough = f64::from(server.consecutive_failures) >= ejection_threshold;
        let next = match server.health {
            Health::Healthy if enough && ejected + 1.0 <= most => 0,
            Health::Ejected { until, doublings } if self.now_ms >= until => {
                (doublings + 1).min(MAX_EJECTION_DOUBLINGS)
            }
            _ => return,
        };
        if server.health == Health::Healthy {
            self.ejected.insert(id);
            out.push(Action::Log(LogEvent::Ejected(id)));
        }
        let until = self.now_ms + EJECTION_TIME_CONSTANTS * self.time_constant_ms * f64::from(1u32 << next);
        server.health = Health::Ejected { until, doublings: next };
    }
}
