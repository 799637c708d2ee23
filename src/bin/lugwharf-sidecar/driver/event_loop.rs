//! The event loop of the driver: events, timers, and the lifecycle of each request.

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

/// The answer margin is a client's time-out divided by this, but at least [`MIN_MARGIN`] and at most
/// [`MAX_MARGIN`].
///
/// The margin is reserved because the answer has to be written and read within the time-out. The decision
/// module gets the time-out less two margins. If the module has not decided by then, the request is answered
/// as failed when one margin is left. A request spends a fraction of a millisecond in this process itself.
const MARGIN_DIVISOR: u32 = 40;
/// The shortest answer margin.
const MIN_MARGIN: Duration = Duration::from_millis(1);
/// The longest answer margin.
const MAX_MARGIN: Duration = Duration::from_millis(10);

/// Returns the answer margin: the part of a client's time-out that is reserved for writing and reading the
/// answer.
pub(super) fn answer_margin(client_timeout: Duration) -> Duration {
    (client_timeout / MARGIN_DIVISOR).clamp(MIN_MARGIN, MAX_MARGIN)
}

/// What happens when a timer falls due.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// A timer that the decision module has set.
    Module(TimerId),
    /// The latest time at which a request is answered.
    AnswerDeadline(RequestId),
}

/// The clock of the decision module: Unix time at the start, since list entries carry Unix times, and
/// monotonic from then on.
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

/// The driver: owns the decision module and all pending requests. See the documentation of [`crate::driver`].
pub struct Driver {
    pub(super) balancer: Balancer,
    pub(super) clock: Clock,
    pub(super) events: mpsc::UnboundedReceiver<DriverEvent>,
    pub(super) handle: DriverHandle,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    pub(super) timers: BinaryHeap<Reverse<(Instant, TimerKind)>>,
    pub(super) endpoints: EndpointTable,
    pub(super) pool: Pool,
    /// Notified when the decision module asks to subscribe to the server list.
    pub(super) subscribe: Arc<Notify>,
    pub(super) config: Arc<Config>,
    /// The buffer for the decision module's actions, kept to reuse its allocation.
    pub(super) actions: Vec<Action>,
    /// The last line that the decision module logged, and when.
    pub(super) last_logged: Option<(LogEvent, Instant)>,
}

impl Driver {
    /// Returns a driver, and the handle by which other tasks reach it.
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

    /// Starts with the cached server list, then handles events and timers until all handles are dropped.
    pub async fn run(mut self, cached_list: Option<ListUpdate>) {
        let entries = cached_list.map_or(Vec::new(), |list| self.apply_list(list));
        self.handle_event(Event::ServerList(ServerListEvent::Cached(entries)));
        loop {
            // Events in the channel are handled before due timers: an answer that has already arrived takes
            // precedence over its time-out, and a client's disconnect over a timer that would send an attempt
            // for it.
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

    /// Applies an update of the server list to the endpoints, and returns the entries for the decision
    /// module.
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
            // Attempts are abandoned even where the settings don't permit the module to cancel them: not
            // sending the rest of a request needs no permission.
            pending.abandon_attempts();
            self.handle_event(Event::ClientDisconnected(id));
            self.remove_if_finished(id);
        }
    }

    fn on_attempt_ended(&mut self, id: RequestId, number: usize, outcome: Outcome, served: ServedBody) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(number) else { return };
        // The outcome of a cancelled attempt has been reported already; the attempt's own may arrive later.
        if attempt.task.take().is_none() {
            return;
        }
        let elapsed = attempt.sent_at.elapsed();
        if outcome == Outcome::Ok {
            pending.send_answer(FinalAnswer::Served(served));
        }
        let request_status = pending.status();
        self.handle_event(Event::Outcome { id, attempt: number, outcome, elapsed, request_status });
        self.remove_if_finished(id);
    }

    /// Answers a request as failed if the decision module has not decided in time.
    fn on_answer_deadline(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_awaiting_answer) {
            eprintln!("no decision on a request by its answer deadline; answering it as failed");
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
