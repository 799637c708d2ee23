//! The driver's loop: events and timers, and the life of each request.

use super::endpoint_table::EndpointTable;
use super::pending_request::PendingRequest;
use crate::config::Config;
use crate::events::{ClientRequest, DriverEvent, DriverHandle, FinalAnswer, ListUpdate};
use crate::pool::Pool;
use crate::upstream::ServedBody;
use lugwharf_sidecar::Balancer;
use lugwharf_sidecar::api::{
    Action, Arrival, Event, LogEvent, Outcome, RequestId, ServerEntry, ServerListEvent, TimerId,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// The part of a client's time-out that is reserved, since the answer has to be written and read within it. The module
/// gets what is left after twice this margin; if it has not decided by then, the request is answered as failed when one
/// margin is left. The way through this process takes a fraction of a millisecond.
const MARGIN_DIVISOR: u32 = 40;
const MIN_MARGIN: Duration = Duration::from_millis(1);
const MAX_MARGIN: Duration = Duration::from_millis(10);

pub(super) fn answer_margin(client_timeout: Duration) -> Duration {
    (client_timeout / MARGIN_DIVISOR).clamp(MIN_MARGIN, MAX_MARGIN)
}

/// What happens when a timer falls due.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The module's own timer.
    Module(TimerId),
    /// The last moment for the answer of a request.
    AnswerDeadline(RequestId),
}

/// The module's clock: Unix time at the start, since list entries carry Unix times, and steady from there.
pub(super) struct Clock {
    started_at: Instant,
    unix_time_at_start: Duration,
}

impl Clock {
    fn start() -> Self {
        let unix_time_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_time_at_start }
    }

    pub(super) fn now(&self) -> Duration {
        self.unix_time_at_start + self.started_at.elapsed()
    }
}

/// Owns the decisions. See the module's documentation.
pub struct Driver {
    pub(super) balancer: Balancer,
    pub(super) clock: Clock,
    pub(super) events: mpsc::UnboundedReceiver<DriverEvent>,
    pub(super) handle: DriverHandle,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    pub(super) timers: BinaryHeap<Reverse<(Instant, TimerKind)>>,
    pub(super) endpoints: EndpointTable,
    pub(super) pool: Pool,
    /// Notified when the module wants the server list to be watched.
    pub(super) subscribe: Arc<Notify>,
    pub(super) config: Arc<Config>,
    /// The module's output, reused for its allocation.
    pub(super) actions: Vec<Action>,
    /// The last line that the module logged, and when.
    pub(super) last_logged: Option<(LogEvent, Instant)>,
}

impl Driver {
    /// A driver, and the handle by which the other parts reach it.
    pub fn new(config: Arc<Config>, pool: Pool, subscribe: Arc<Notify>) -> (Driver, DriverHandle) {
        let (handle, events) = DriverHandle::new();
        let driver = Driver {
            balancer: Balancer::new(config.settings.clone(), config.seed),
            clock: Clock::start(),
            events,
            handle: handle.clone(),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            endpoints: EndpointTable::new(pool.clone()),
            pool,
            subscribe,
            config,
            actions: Vec::new(),
            last_logged: None,
        };
        (driver, handle)
    }

    /// Starts with the list as it was last known, then handles events and timers until the handles are gone.
    pub async fn run(mut self, known: Option<ListUpdate>) {
        let entries = known.map_or(Vec::new(), |known| self.apply_list(known));
        self.handle_event(Event::ServerList(ServerListEvent::Cached(entries)));
        loop {
            // What has happened comes before what falls due: an answer that is already there beats its time-out, and a
            // client that has left beats a timer that would send for it.
            for _ in 0..self.events.len() {
                if let Ok(event) = self.events.try_recv() {
                    self.on_event(event);
                }
            }
            self.fire_due_timers();
            let next = self.timers.peek().map(|Reverse((due_at, _))| *due_at);
            let timer = async {
                match next {
                    Some(due_at) => sleep_until(due_at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                event = self.events.recv() => {
                    let Some(event) = event else { return };
                    self.on_event(event);
                }
                () = timer => {}
            }
        }
    }

    fn fire_due_timers(&mut self) {
        let now = Instant::now();
        while self.timers.peek().is_some_and(|Reverse((due_at, _))| *due_at <= now) {
            match self.timers.pop() {
                Some(Reverse((_, TimerKind::Module(timer)))) => self.handle_event(Event::Timer(timer)),
                Some(Reverse((_, TimerKind::AnswerDeadline(id)))) => self.on_answer_deadline(id),
                None => return,
            }
        }
    }

    pub(super) fn on_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::Request { id, request, answer } => self.on_request(id, *request, answer),
            DriverEvent::ClientDisconnected(id) => self.on_client_disconnected(id),
            DriverEvent::AttemptEnded { id, attempt, outcome, served } => {
                self.on_attempt_ended(id, attempt, outcome, served);
            }
            DriverEvent::ProbeEnded { server, outcome, reported_load } => {
                self.handle_event(Event::ProbeCompleted { server, outcome, reported_load });
            }
            DriverEvent::List(update) => {
                let is_complete = update.is_complete;
                let entries = self.apply_list(update);
                if is_complete {
                    self.handle_event(Event::ServerList(ServerListEvent::Full(entries)));
                } else if !entries.is_empty() {
                    self.handle_event(Event::ServerList(ServerListEvent::Delta(entries)));
                }
            }
            DriverEvent::ListFailed(event) => self.handle_event(Event::ServerList(event)),
        }
    }

    /// Brings the endpoints up to date, and returns the entries for the module.
    fn apply_list(&mut self, update: ListUpdate) -> Vec<ServerEntry> {
        self.endpoints.apply(&update);
        self.handle.set_ready(!self.endpoints.is_empty());
        update.members.into_iter().map(|member| member.entry).collect()
    }

    pub(super) fn on_request(
        &mut self, id: RequestId, request: ClientRequest, answer: oneshot::Sender<FinalAnswer>,
    ) {
        let ClientRequest { forwarded, class, cost, origin, client_timeout, received_at } = request;
        let (deadline, now) = (received_at + client_timeout, Instant::now());
        let margin = answer_margin(client_timeout);
        let pending =
            PendingRequest { forwarded: Arc::new(forwarded), answer: Some(answer), attempts: Vec::new() };
        self.requests.insert(id, pending);
        let answer_by = deadline.checked_sub(margin).unwrap_or(now);
        self.timers.push(Reverse((answer_by, TimerKind::AnswerDeadline(id))));
        let client_timeout = deadline.saturating_duration_since(now).saturating_sub(2 * margin);
        self.handle_event(Event::Request(Arrival { id, class, cost, client_timeout, origin }));
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if pending.answer.take().is_some() {
            // Also where the module may not cancel: what has not been sent needs no permit to stay here.
            pending.abandon_attempts();
            self.handle_event(Event::ClientDisconnected(id));
            self.remove_if_finished(id);
        }
    }

    fn on_attempt_ended(&mut self, id: RequestId, number: usize, outcome: Outcome, served: ServedBody) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(number) else { return };
        // An attempt that was cancelled has had its outcome; its own may come late.
        if attempt.task.take().is_none() {
            return;
        }
        let elapsed = attempt.sent_at.elapsed();
        if outcome == Outcome::Ok {
            pending.send_answer(FinalAnswer::Served(served));
        }
        let request_status = pending.progress();
        self.handle_event(Event::Outcome { id, attempt: number, outcome, elapsed, request_status });
        self.remove_if_finished(id);
    }

    /// The module did not decide in time: the client gets a failure.
    fn on_answer_deadline(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_awaiting_answer) {
            eprintln!("a request was left without an answer");
            self.send_answer(id, FinalAnswer::Failed);
            self.handle_event(Event::ClientDisconnected(id));
            self.remove_if_finished(id);
        }
    }

    pub(super) fn send_answer(&mut self, id: RequestId, answer: FinalAnswer) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.send_answer(answer);
        }
    }

    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_finished) {
            self.requests.remove(&id);
        }
    }
}
