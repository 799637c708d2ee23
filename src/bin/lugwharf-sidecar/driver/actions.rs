//! Carrying out the actions of the decision module.

use super::event_loop::{Driver, TimerKind};
use super::pending_request::{AttemptTask, PendingAttempt};
use crate::events::{DriverEvent, FinalAnswer};
use crate::upstream::{self, AttemptDeadlines};
use lugwharf_sidecar::api::{Action, Event, LogEvent, Outcome, RequestId, ServerId};
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The shortest time after which the same line is logged again: an overload must not fill the log.
const LOG_REPEAT_INTERVAL: Duration = Duration::from_secs(10);

impl Driver {
    /// Hands one event to the decision module and carries out the resulting actions. Events that these
    /// actions cause at once are handled after the given event, in order.
    pub(super) fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.clock.now();
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            events.extend(actions.drain(..).filter_map(|action| self.carry_out(action)));
            self.actions = actions;
        }
    }

    /// Carries out one action, and returns the event that it causes at once, if any.
    pub(super) fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, timeout, write_within } => {
                return self.send(id, server, timeout, write_within);
            }
            Action::Reject { id, retry_after } => {
                self.send_answer(id, FinalAnswer::Rejected { retry_after });
                self.remove_if_finished(id);
            }
            Action::Fail(id) => {
                self.send_answer(id, FinalAnswer::Failed);
                self.remove_if_finished(id);
            }
            Action::Cancel { id, attempt } => return self.cancel(id, attempt),
            Action::SetTimer { timer, after } => {
                self.timers.push(Reverse((Instant::now() + after, TimerKind::Module(timer))));
            }
            Action::Probe(server) => return self.probe(server),
            Action::Subscribe => self.subscribe.notify_one(),
            Action::Log(event) => self.log(event),
        }
        None
    }

    fn send(
        &mut self, id: RequestId, server: ServerId, timeout: Duration, write_within: Duration,
    ) -> Option<Event> {
        let pending = self.requests.get_mut(&id)?;
        let (attempt, now) = (pending.attempts.len(), Instant::now());
        // Nothing is sent after the final answer, nor to a server that is no longer ready on the server list.
        let endpoint = self.endpoints.get(server).filter(|_| pending.is_awaiting_answer());
        let Some(endpoint) = endpoint else {
            pending.attempts.push(PendingAttempt { sent_at: now, task: None });
            let (outcome, elapsed, request_status) = (Outcome::NotSent, Duration::ZERO, pending.status());
            return Some(Event::Outcome { id, attempt, outcome, elapsed, request_status });
        };
        let handle = self.handle.clone();
        let on_end = move |outcome, served| {
            handle.send(DriverEvent::AttemptEnded { id, attempt, outcome, served });
        };
        let (abandoned, forwarded) = (Arc::<Notify>::default(), pending.forwarded.clone());
        let deadlines = AttemptDeadlines { answer_by: now + timeout, write_by: now + write_within };
        let task =
            upstream::attempt(self.pool.clone(), endpoint, forwarded, deadlines, abandoned.clone(), on_end);
        let task = tokio::spawn(task).abort_handle();
        let task = Some(AttemptTask { task, abandoned });
        pending.attempts.push(PendingAttempt { sent_at: now, task });
        None
    }

    fn cancel(&mut self, id: RequestId, attempt: usize) -> Option<Event> {
        let pending = self.requests.get_mut(&id)?;
        let cancelled = pending.attempts.get_mut(attempt)?;
        cancelled.task.take()?.task.abort();
        let elapsed = cancelled.sent_at.elapsed();
        let request_status = pending.status();
        self.remove_if_finished(id);
        Some(Event::Outcome { id, attempt, outcome: Outcome::Cancelled, elapsed, request_status })
    }

    fn probe(&mut self, server: ServerId) -> Option<Event> {
        let Some(endpoint) = self.endpoints.get(server) else {
            return Some(Event::ProbeCompleted { server, outcome: Outcome::NotSent, reported_load: None });
        };
        let (pool, handle, config) = (self.pool.clone(), self.handle.clone(), self.config.clone());
        tokio::spawn(async move {
            // The decision module has its own time-out for probes; this one only ends probes that the module
            // no longer waits for.
            let answer_by = Instant::now() + config.network.connect_timeout;
            let load_field_name = config.network.load_field_name.as_deref();
            let result = upstream::probe(pool, endpoint, answer_by, load_field_name).await;
            let (outcome, reported_load) = (result.outcome, result.reported_load);
            handle.send(DriverEvent::ProbeEnded { server, outcome, reported_load });
        });
        None
    }

    fn log(&mut self, event: LogEvent) {
        let is_repeat = |(last, at): (LogEvent, Instant)| last == event && at.elapsed() < LOG_REPEAT_INTERVAL;
        if !self.last_logged.is_some_and(is_repeat) {
            eprintln!("{event}");
            self.last_logged = Some((event, Instant::now()));
        }
    }
}
