//! Events in, actions out: requests from their arrival to their end, the server list and what outcomes tell.

use crate::{admission::QUEUE_WAIT_SHARE, api::*, model::*, selection::BASELINE_GAIN, state::Balancer};

/// Weight of one answer in the running means of classes.
const MEAN_GAIN: f64 = 1.0 / 32.0;
/// Of the time for which it is held, it waits this share for room at home before it crosses.
const CROSS_ZONE_WAIT_SHARE: f64 = 0.5;
/// Further attempts earned by each fresh request: a tenth cannot turn a slow fleet into a storm. So many may
/// be saved up, for the moment a server with much in flight goes silent.
const RETRIES_PER_REQUEST: f64 = 0.1;
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Discovery is asked within this share of its time; after a subscription broke, within so many milliseconds.
const RESUBSCRIBE_SHARE: f64 = 0.5;
const RESUME_WITHIN_MS: f64 = 300.0;
/// Held requests are looked at this many ticks apart at least.
const QUEUE_TIMER_TICKS: f64 = 4.0;
/// Timer marks beyond all request ids.
const SUBSCRIBE_TIMER: TimerId = TimerId(1 << 32);
const QUEUE_TIMER: TimerId = TimerId((1 << 32) + 1);

impl Balancer {
    /// Takes one event in and appends what is to be done about it to `out`.
    pub fn handle(&mut self, now: std::time::Duration, event: Event, out: &mut Vec<Action>) {
        self.now_ms = ms(now).max(self.now_ms);
        self.first_event_ms = self.first_event_ms.min(self.now_ms);
        match event {
            Event::Request(arrival) => self.accept(arrival, out),
            Event::ClientDisconnected(id) => self.conclude(id, out),
            Event::Outcome { id, attempt, outcome, elapsed, progress } => {
                self.on_outcome((id, attempt), outcome, ms(elapsed), progress, out)
            }
            Event::ProbeCompleted { server, outcome, reported_load } => {
                self.on_probe_completed(server, outcome, reported_load, out)
            }
            Event::StreamStarted { id, attempt, elapsed } => {
                self.on_stream_started(id, attempt, ms(elapsed), out)
            }
            Event::Timer(SUBSCRIBE_TIMER) => out.push(Action::Subscribe),
            Event::Timer(QUEUE_TIMER) => self.is_queue_timer_set = false,
            Event::Timer(TimerId(mark)) => self.on_request_timer(RequestId(mark as u32), out),
            Event::ServerList(news) => self.on_server_list(news, out),
        }
        self.dispatch(out);
    }

    fn on_server_list(&mut self, news: ServerListEvent, out: &mut Vec<Action>) {
        let failed = matches!(news, ServerListEvent::Failed | ServerListEvent::Interrupted);
        out.extend(failed.then_some(Action::Log(LogEvent::ListFailed)));
        match news {
            ServerListEvent::Full(lines) => self.apply_server_list(true, lines),
            ServerListEvent::Delta(lines) => self.apply_server_list(false, lines),
            ServerListEvent::Cached(lines) => {
                self.apply_server_list(true, lines);
                self.open_windows();
                self.schedule_subscription(f64::INFINITY, out);
            }
            ServerListEvent::Failed => self.schedule_subscription(f64::INFINITY, out),
            ServerListEvent::Interrupted => self.schedule_subscription(RESUME_WITHIN_MS, out),
        }
        if self.ready.is_empty() {
            out.push(Action::Log(LogEvent::NoServers));
        }
    }

    /// Guards against calls in step by all sidecars: each waits by chance, less than would count as being told.
    fn schedule_subscription(&mut self, within: f64, out: &mut Vec<Action>) {
        if let Discovery::OnRequest { max_poll_interval } = self.settings.discovery {
            let after = duration(within.min(ms(max_poll_interval) * RESUBSCRIBE_SHARE) * self.rng.f64());
            out.push(Action::SetTimer { timer: SUBSCRIBE_TIMER, after });
        }
    }

    fn accept(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let Arrival { id, class, .. } = arrival;
        if self.requests.contains_key(&id) {
            return;
        }
        // Guards against a class the settings don't have and against clients that have given up:
        // nothing has run, so a refusal is true.
        let Some(kind) = self.settings.classes.get(class).filter(|_| !arrival.client_timeout.is_zero())
        else {
            return out.push(Action::Reject { id, retry_after: None });
        };
        let (patience, cost) = (ms(arrival.client_timeout), arrival.cost.map(ms).filter(|&cost| cost > 0.0));
        let whole_aim = ms(kind.latency_target) + kind.latency_target_per_work.max(0.0) * cost.unwrap_or(0.0);
        // Guards against serving repeats whose time is over before fresh demand: the client counts from
        // its first try, and may have waited for all that its deadline leaves besides its patience.
        let repeat = arrival.origin == Origin::ClientRetry;
        let spent = if repeat { (ms(kind.deadline) - patience).max(0.0) } else { 0.0 };
        let (aim, aim_at) = (whole_aim.min(patience), self.now_ms + (whole_aim - spent).min(patience));
        cost.into_iter().for_each(|cost| update_ewma(&mut self.class_means[class].cost_ms, cost, MEAN_GAIN));
        let profile = RequestProfile { class, cost_ms: cost, target_at_ms: aim_at, latency_target_ms: aim };
        let expected = self.expected_latency(&profile);
        // A client's retry is no fresh demand: it earns no further attempt.
        if !repeat {
            self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
            self.record_demand(&profile);
        }
        let wait = ((aim_at - self.now_ms - expected) * QUEUE_WAIT_SHARE).max(0.0);
        let (now, lot) = (self.now_ms, self.rng.f64());
        // Guards against work for nothing: where an answer after the aim earns nothing, an attempt is given up by then, as
        // a few that cost many times the usual would hold every server. Repeats past their aim get as long as it is.
        let worthless = self.settings.classes[class].late_value <= 0.0;
        let ends = match aim_at - now {
            left if worthless && left > 0.0 => left,
            _ if worthless => aim,
            _ => patience,
        };
        self.requests.insert(id, Request::new(profile, now + ends.min(patience), now + wait, lot));
        self.enqueue(id, wait, out);
    }

    /// Takes a request into the queue: the worthiest first, then the oldest.
    fn enqueue(&mut self, id: RequestId, wait: f64, out: &mut Vec<Action>) {
        let value = self.priority(&self.requests[&id].profile);
        let may_cross_at_ms = self.now_ms + wait * CROSS_ZONE_WAIT_SHARE;
        self.requests.entry(id).and_modify(|request| request.may_cross_at_ms = may_cross_at_ms);
        let at = self.queue.partition_point(|(other, _)| *other >= value);
        self.queue.insert(at, (value, id));
        self.set_timer(id, wait, out);
    }

    /// What serving a request adds to the goal for each unit of work: most where its class is served worst.
    fn priority(&self, profile: &RequestProfile) -> f64 {
        let goal = &self.settings.goal;
        let class = goal.worst_class * ClassService::worst_class_weight(&self.class_service, profile.class);
        self.earned_share(profile, self.now_ms + self.expected_latency(profile))
            * self.request_value(profile).1
            * (goal.total_value + class)
    }

    /// Sees to a request when its timer falls due: it may have waited long enough, or be late.
    fn on_request_timer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let soon = self.now_ms + ms(self.settings.tick);
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.phase {
            RequestPhase::Queued if soon > request.wait_until_ms => {
                self.log_shedding_once(out);
                self.reject_or_fail(id, out);
            }
            RequestPhase::Probing if soon > request.wait_until_ms => self.choose_probed(id, out),
            RequestPhase::InFlight => {
                let late = soon - request.profile.latency_target_ms;
                let late = |a: &&mut Attempt| {
                    a.status == AttemptStatus::InFlight && !a.is_recorded_late && a.sent_at_ms < late
                };
                if let Some(attempt) = request.attempts.iter_mut().find(late) {
                    attempt.is_recorded_late = true;
                    let (at, sent) = (attempt.server, attempt.sent_at_ms);
                    self.decrease_window(at, sent);
                }
            }
            _ => {}
        }
    }

    /// Sends held requests while a window has room: where the one at home is full, away.
    fn dispatch(&mut self, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let limits = LOCALITIES.map(|side| self.limit(side));
        let mut rooms = LOCALITIES.map(|side| limits[side as usize] - self.in_flight(side));
        let mut at = 0;
        while rooms.iter().any(|room| *room > 0.0) && at < self.queue.len() {
            let id = self.queue[at].1;
            let (lot, waited) = (self.requests[&id].draw, self.now_ms >= self.requests[&id].may_cross_at_ms);
            // A limit under one is a share: each request has drawn its lot.
            let mut fits = LOCALITIES.map(|side| {
                let (room, limit) = (rooms[side as usize], limits[side as usize]);
                room >= 1.0 || limit < 1.0 && lot > 1.0 - room
            });
            fits[Locality::Remote as usize] &= waited || fits[Locality::Local as usize];
            if fits.contains(&true) && self.try_send(id, |side| fits[side as usize], out) {
                self.queue.remove(at);
                rooms = LOCALITIES.map(|side| limits[side as usize] - self.in_flight(side));
            } else {
                at += 1;
            }
        }
        if !self.queue.is_empty() && !self.is_queue_timer_set {
            self.is_queue_timer_set = true;
            let after = self.settings.tick.mul_f64(QUEUE_TIMER_TICKS);
            out.push(Action::SetTimer { timer: QUEUE_TIMER, after });
        }
    }

    fn on_outcome(
        &mut self, (id, no): (RequestId, usize), outcome: Outcome, took: f64, progress: Progress,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(no).filter(|a| a.status == AttemptStatus::InFlight);
        let Some(attempt) = attempt else { return };
        attempt.status =
            if outcome.never_ran() { AttemptStatus::NeverRan } else { AttemptStatus::MayHaveRun };
        let (attempt, profile, phase) = (*attempt, request.profile, request.phase);
        self.record_ended(attempt.server, (id, no));
        match outcome {
            Outcome::Ok if phase == RequestPhase::Streaming => {}
            Outcome::Ok => self.record_answer(&attempt, &profile, took, out),
            _ => self.record_failure(&attempt, &profile, outcome, took, out),
        }
        let request = &self.requests[&id];
        if progress == Progress::Finished || outcome == Outcome::Ok || phase == RequestPhase::Ended {
            return self.conclude(id, out);
        }
        // Guards against a retry storm: what cost the server work is repeated only on budget.
        let price = if matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent) { 0.0 } else { 1.0 };
        let left = request.deadline_ms - self.now_ms - self.expected_latency(&profile);
        if left <= 0.0 || self.allowed_scope(request).is_none() || self.retry_budget < price {
            return self.reject_or_fail(id, out);
        }
        self.retry_budget -= price;
        self.requeue(id, left);
        self.enqueue(id, left, out);
    }

    fn on_stream_started(&mut self, id: RequestId, no: usize, took: f64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(&attempt) = request.attempts.get(no) else { return };
        // Guards against a stream that begins at the moment its client leaves: that request stays over.
        if request.phase != RequestPhase::Ended {
            request.phase = RequestPhase::Streaming;
        }
        let profile = request.profile;
        self.record_answer(&attempt, &profile, took, out);
    }

    /// An answer is a sample of its server and of its class, and ends a bad spell.
    fn record_answer(&mut self, of: &Attempt, profile: &RequestProfile, took: f64, out: &mut Vec<Action>) {
        self.record_service(profile);
        let sample = took * of.normalization;
        self.record_affinity(of.server, profile, took);
        update_ewma(&mut self.mean_latency_ms, took, MEAN_GAIN);
        self.record_latency_by_load(of, sample);
        self.class_means[profile.class].observe(took, profile.cost_ms, MEAN_GAIN);
        self.record_class_outcome(of.server, profile.class, took > profile.latency_target_ms);
        if took > profile.latency_target_ms && !of.is_recorded_late {
            self.decrease_window(of.server, of.sent_at_ms);
        } else if took <= profile.latency_target_ms {
            self.increase_window(of.server);
        }
        self.is_shedding &= !self.queue.is_empty();
        let Some(server) = self.servers.get_mut(&of.server) else { return };
        server.observe_latency(self.now_ms, self.time_constant_ms, sample);
        update_ewma(&mut server.baseline_ms, sample, BASELINE_GAIN);
        server.consecutive_failures = 0;
        if std::mem::replace(&mut server.health, Health::Healthy) != Health::Healthy {
            self.ejected.remove(&of.server);
            out.push(Action::Log(LogEvent::Readmitted(of.server)));
        }
        self.record_median(sample);
    }

    /// A failure enters as max(measured, timeout); one cancelled by us tells that an answer takes longer.
    fn record_failure(
        &mut self, of: &Attempt, profile: &RequestProfile, outcome: Outcome, took: f64, out: &mut Vec<Action>,
    ) {
        let (now, tau, typical) = (self.now_ms, self.time_constant_ms, self.median_latency_ms);
        let slow = 2.0 * self.mean_latency_ms;
        let Some(server) = self.servers.get_mut(&of.server) else { return };
        let (sample, blame, load) = match outcome {
            Outcome::NotSent | Outcome::Ok => return,
            Outcome::Cancelled => (took * of.normalization, took > profile.latency_target_ms / 2.0, true),
            // Guards against blaming a server for a client with little patience left.
            Outcome::Timeout => (took.max(of.timeout_ms), took * of.normalization > slow, true),
            Outcome::Rejected => (took.max(of.timeout_ms), false, true),
            _ => (took.max(of.timeout_ms), true, false),
        };
        if outcome != Outcome::Cancelled || sample > server.latency_at(now, tau, typical) {
            server.observe_latency(now, tau, sample);
        }
        self.record_median(sample);
        if load && !of.is_recorded_late && (took > profile.latency_target_ms || outcome == Outcome::Rejected)
        {
            self.decrease_window(of.server, of.sent_at_ms);
        }
        if blame && outcome != Outcome::ConnectFailed {
            self.record_class_outcome(of.server, profile.class, true);
        }
        if blame {
            self.record_consecutive_failure(of.server, out);
        }
    }
}
