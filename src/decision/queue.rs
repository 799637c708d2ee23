//! Requests from their arrival until they are sent: the priority queue, its dispatch and the request timers.

use super::admission::WAIT_SHARE;
use super::balancer::{Balancer, QUEUE_TIMER};
use super::outcomes::MEAN_GAIN;
use super::request::{Attempt, AttemptStatus, QueuedRequest, Request, RequestPhase, RequestProfile};
use super::server::{LOCALITIES, Locality};
use super::statistics::ClassValueTotals;
use super::time::to_ms;
use crate::api::{Action, Arrival, Origin, RequestClass, RequestId};

/// Weight of one fresh request in the value totals of each class, which cover more requests than the means.
const DEMAND_GAIN: f64 = 1.0 / 256.0;
/// The share of its queue wait for which a request waits for local capacity before it may cross zones.
const CROSS_ZONE_WAIT_SHARE: f64 = 0.5;
/// Retries that each fresh request adds to the retry budget. One tenth prevents retry storms in a slow fleet.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum retry budget. It covers a server that stops answering while many requests are in flight there.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Interval, in ticks, at which the queue is dispatched again while requests are queued.
const QUEUE_TIMER_TICKS: f64 = 4.0;

impl Balancer {
    pub(crate) fn on_arrival(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        if self.requests.contains_key(&id) {
            return;
        }
        // The class is unknown, or the client has disconnected. Nothing was executed, so a rejection is
        // correct.
        let Some(class) =
            self.settings.classes.get(arrival.class).filter(|_| !arrival.client_timeout.is_zero())
        else {
            return out.push(Action::Reject { id, retry_after: None });
        };
        let timeout_ms = to_ms(arrival.client_timeout);
        let profile = profile_of(&arrival, class, self.now_ms);
        if let Some(cost_ms) = profile.cost_ms {
            self.class_means[profile.class].record_cost(cost_ms, MEAN_GAIN);
        }
        let expected_ms = self.expected_latency_ms(&profile);
        // A client's retry is not new demand, so it does not increase the retry budget.
        if arrival.origin == Origin::Fresh {
            self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
            self.record_demand(&profile);
        }
        let wait_ms = ((profile.target_at_ms - self.now_ms - expected_ms) * WAIT_SHARE).max(0.0);
        let draw = self.rng.f64();
        let max_attempt_time_ms = self.max_attempt_time_ms(&profile, timeout_ms);
        let deadline_at_ms = self.now_ms + max_attempt_time_ms.min(timeout_ms);
        self.requests.insert(id, Request::new(profile, deadline_at_ms, self.now_ms + wait_ms, draw));
        self.enqueue(id, wait_ms, out);
    }

    /// Returns how long attempts of a request may take. If a late answer has no value, attempts time out at
    /// the latency target: otherwise a few requests that take many times the usual latency would occupy all
    /// servers. A client's retry whose latency target has passed gets the full target duration.
    fn max_attempt_time_ms(&self, profile: &RequestProfile, timeout_ms: f64) -> f64 {
        let is_late_answer_worthless = self.settings.classes[profile.class].late_value_share <= 0.0;
        if !is_late_answer_worthless {
            return timeout_ms;
        }
        let remaining_ms = profile.target_at_ms - self.now_ms;
        if remaining_ms > 0.0 { remaining_ms } else { profile.latency_target_ms }
    }

    /// Adds the value of a request to the demanded value of its class.
    fn record_demand(&mut self, profile: &RequestProfile) {
        self.class_value_totals.iter_mut().for_each(|totals| totals.decay(DEMAND_GAIN));
        self.class_value_totals[profile.class].demanded += self.request_value(profile);
    }

    /// Queues a request by descending priority, after queued requests of the same priority.
    pub(crate) fn enqueue(&mut self, id: RequestId, wait_ms: f64, out: &mut Vec<Action>) {
        let cross_zone_allowed_at_ms = self.now_ms + wait_ms * CROSS_ZONE_WAIT_SHARE;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.cross_zone_allowed_at_ms = cross_zone_allowed_at_ms;
        let profile = request.profile;
        let priority = self.priority(&profile);
        let index = self.queue.partition_point(|queued| queued.priority >= priority);
        self.queue.insert(index, QueuedRequest { priority, id });
        self.set_request_timer(id, wait_ms, out);
    }

    /// Returns how much serving a request adds to the service objective per unit of work. It is higher for
    /// the class with the smallest served share.
    fn priority(&self, profile: &RequestProfile) -> f64 {
        let objective = &self.settings.objective;
        let worst_class = objective.worst_class
            * ClassValueTotals::worst_class_gain(&self.class_value_totals, profile.class);
        let answered_at_ms = self.now_ms + self.expected_latency_ms(profile);
        self.earned_share(profile, answered_at_ms)
            * self.value_per_work(profile)
            * (objective.total_value + worst_class)
    }

    /// Handles a request's timer: ends a wait that is over, or records that an attempt is late.
    pub(crate) fn on_request_timer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        // A timer that fires early by less than its resolution of one tick must still end the wait.
        let tick_end_ms = self.now_ms + self.tick_ms();
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.phase {
            RequestPhase::Queued if tick_end_ms > request.wait_ends_at_ms => {
                self.log_shedding_once(out);
                self.reject_or_fail(id, out);
            }
            RequestPhase::Probing if tick_end_ms > request.wait_ends_at_ms => self.choose_probed(id, out),
            RequestPhase::InFlight => {
                let late_if_sent_before_ms = tick_end_ms - request.profile.latency_target_ms;
                let is_late = |attempt: &&mut Attempt| {
                    attempt.status == AttemptStatus::InFlight
                        && !attempt.is_recorded_late
                        && attempt.sent_at_ms < late_if_sent_before_ms
                };
                if let Some(attempt) = request.attempts.iter_mut().find(is_late) {
                    attempt.is_recorded_late = true;
                    let (server, sent_at_ms) = (attempt.server, attempt.sent_at_ms);
                    self.decrease_window(server, sent_at_ms);
                }
            }
            _ => {}
        }
    }

    /// Sends queued requests while a concurrency window has capacity. If the local window is full, a request
    /// may be sent to a remote server after a part of its wait; see [`CROSS_ZONE_WAIT_SHARE`].
    pub(crate) fn dispatch(&mut self, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let limits = LOCALITIES.map(|locality| self.limit(locality));
        let mut free = self.free_capacity(limits);
        let mut index = 0;
        while free.iter().any(|free| *free > 0.0) && index < self.queue.len() {
            let id = self.queue[index].id;
            let open = self.open_localities(id, limits, free);
            if open.contains(&true) && self.try_send(id, |locality| open[locality as usize], out) {
                self.queue.remove(index);
                free = self.free_capacity(limits);
            } else {
                index += 1;
            }
        }
        if !self.queue.is_empty() && !self.is_queue_timer_set {
            self.is_queue_timer_set = true;
            let after = self.settings.tick.mul_f64(QUEUE_TIMER_TICKS);
            out.push(Action::SetTimer { timer: QUEUE_TIMER, after });
        }
    }

    /// Returns the number of attempts that may be sent now, by locality.
    fn free_capacity(&self, limits: [f64; 2]) -> [f64; 2] {
        LOCALITIES.map(|locality| limits[locality as usize] - self.in_flight(locality))
    }

    /// Returns the localities to which this request may be sent now.
    fn open_localities(&self, id: RequestId, limits: [f64; 2], free: [f64; 2]) -> [bool; 2] {
        let request = &self.requests[&id];
        let mut open = LOCALITIES.map(|locality| {
            let (free, limit) = (free[locality as usize], limits[locality as usize]);
            // A limit below one is the share of requests that may be sent, chosen by their random numbers.
            free >= 1.0 || limit < 1.0 && request.draw > 1.0 - free
        });
        let may_cross = self.now_ms >= request.cross_zone_allowed_at_ms;
        open[Locality::Remote as usize] &= may_cross || open[Locality::Local as usize];
        open
    }
}

/// Returns the profile of an arrival. The latency target of a client's retry starts at the client's first
/// request: the client is assumed to have waited for the class's deadline less its remaining timeout.
/// Otherwise retries whose latency target has passed would be served before new demand.
fn profile_of(arrival: &Arrival, class: &RequestClass, now_ms: f64) -> RequestProfile {
    let timeout_ms = to_ms(arrival.client_timeout);
    let cost_ms = arrival.cost.map(to_ms).filter(|&cost| cost > 0.0);
    let target_ms =
        to_ms(class.latency_target) + class.latency_target_per_work.max(0.0) * cost_ms.unwrap_or(0.0);
    let spent_ms = match arrival.origin {
        Origin::ClientRetry => (to_ms(class.deadline) - timeout_ms).max(0.0),
        Origin::Fresh => 0.0,
    };
    RequestProfile {
        class: arrival.class,
        cost_ms,
        target_at_ms: now_ms + (target_ms - spent_ms).min(timeout_ms),
        latency_target_ms: target_ms.min(timeout_ms),
    }
}
