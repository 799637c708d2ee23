//! Owns the decisions: turns what happens into the module's events, carries its actions out in order, and is
//! the one place that knows who is still owed an answer.

use crate::config::Config;
use crate::events::{ClientRequest, DriverEvent, DriverHandle, FinalAnswer, ListUpdate};
use crate::pool::{Endpoint, Pool};
use crate::upstream::{self, AttemptDeadlines, ForwardedRequest, ServedBody};
use lugwharf_sidecar::Balancer;
use lugwharf_sidecar::api::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

/// Kept back of a client's time, since the answer has to be written and read within it: this part, but no less and
/// no more than so long. The module gets what is left after twice this; if it is silent then, the request is
/// answered after once this. The way through this process takes a fraction of a millisecond.
const MARGIN_DIVISOR: u32 = 40;
const MIN_MARGIN: Duration = Duration::from_millis(1);
const MAX_MARGIN: Duration = Duration::from_millis(10);

fn answer_margin(budget: Duration) -> Duration {
    (budget / MARGIN_DIVISOR).clamp(MIN_MARGIN, MAX_MARGIN)
}

/// The same note is logged again after so long.
const LOG_REPEAT_INTERVAL: Duration = Duration::from_secs(10);

struct PendingRequest {
    outbound: Arc<ForwardedRequest>,
    /// Gone once the client has its answer or has left.
    answer: Option<oneshot::Sender<FinalAnswer>>,
    /// When each was sent, and how to stop it while it is out.
    attempts: Vec<(Instant, Option<AttemptTask>)>,
}

/// An attempt that has not ended.
struct AttemptTask {
    task: AbortHandle,
    /// Tells it that nobody waits for it: what is not all written by now never is.
    abandoned: Arc<Notify>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Module(TimerId),
    AnswerDeadline(RequestId),
}

pub struct Driver {
    balancer: Balancer,
    /// The clock is Unix time at the start, and runs on evenly from there: list entries carry Unix times.
    started: (Instant, Duration),
    from: mpsc::UnboundedReceiver<DriverEvent>,
    handle: DriverHandle,
    requests: HashMap<RequestId, PendingRequest>,
    timers: BinaryHeap<Reverse<(Instant, TimerKind)>>,
    /// With the start that the list gives: another one is another process.
    servers: HashMap<ServerId, (Option<Duration>, Arc<Endpoint>)>,
    pool: Pool,
    subscribe: Arc<Notify>,
    config: Arc<Config>,
    actions: Vec<Action>,
    logged: Option<(LogEvent, Instant)>,
}

impl Driver {
    pub fn new(config: Arc<Config>, pool: Pool, subscribe: Arc<Notify>) -> (Driver, DriverHandle) {
        let (handle, from) = DriverHandle::new();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let driver = Driver {
            balancer: Balancer::new(config.settings.clone(), config.seed),
            started: (Instant::now(), unix),
            from,
            handle: handle.clone(),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            servers: HashMap::new(),
            pool,
            subscribe,
            config,
            actions: Vec::new(),
            logged: None,
        };
        (driver, handle)
    }

    /// The list as it was last had, then whatever happens.
    pub async fn run(mut self, known: Option<ListUpdate>) {
        let lines = known.map_or(Vec::new(), |known| self.apply_list(known).1);
        self.handle_event(Event::ServerList(ServerListEvent::Cached(lines)));
        loop {
            // Guards against a time that is over before what had happened by then is known: an answer that is already
            // there beats its time-out, and a client that has left beats a timer that would send for it.
            for _ in 0..self.from.len() {
                if let Ok(event) = self.from.try_recv() {
                    self.on_event(event);
                }
            }
            self.fire_due_timers();
            let next = self.timers.peek().map(|Reverse((at, _))| *at);
            let due = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                event = self.from.recv() => {
                    let Some(event) = event else { return };
                    self.on_event(event);
                }
                () = due => {}
            }
        }
    }

    fn fire_due_timers(&mut self) {
        let now = Instant::now();
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            match self.timers.pop() {
                Some(Reverse((_, TimerKind::Module(timer)))) => self.handle_event(Event::Timer(timer)),
                Some(Reverse((_, TimerKind::AnswerDeadline(id)))) => self.on_answer_deadline(id),
                None => return,
            }
        }
    }

    /// Guards against a request that the module has lost sight of: its client is told that it failed.
    fn on_answer_deadline(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|pending| pending.answer.is_some()) {
            eprintln!("a request was left without an answer");
            self.answer(id, FinalAnswer::Failed);
            self.handle_event(Event::ClientDisconnected(id));
            self.remove_if_finished(id);
        }
    }

    fn on_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::Request(id, inbound, answer) => self.accept(id, *inbound, answer),
            DriverEvent::ClientDisconnected(id) => {
                if let Some(pending) = self.requests.get_mut(&id)
                    && pending.answer.take().is_some()
                {
                    // Also where the module may not cancel: what has not been sent needs no leave to stay.
                    pending.attempts.iter().flat_map(|a| &a.1).for_each(|out| out.abandoned.notify_one());
                    self.handle_event(Event::ClientDisconnected(id));
                    self.remove_if_finished(id);
                }
            }
            DriverEvent::Attempt(id, attempt, outcome, served) => {
                self.on_attempt_ended(id, attempt, outcome, served)
            }
            DriverEvent::Probed(server, outcome, held) => {
                self.handle_event(Event::ProbeCompleted { server, outcome, reported_load: held });
            }
            DriverEvent::List(news) => {
                let (complete, lines) = self.apply_list(news);
                if complete || !lines.is_empty() {
                    let news =
                        if complete { ServerListEvent::Full(lines) } else { ServerListEvent::Delta(lines) };
                    self.handle_event(Event::ServerList(news));
                }
            }
            DriverEvent::ListFailed(how) => self.handle_event(Event::ServerList(how)),
        }
    }

    fn accept(&mut self, id: RequestId, inbound: ClientRequest, answer: oneshot::Sender<FinalAnswer>) {
        let ends = inbound.since + inbound.budget;
        let (now, margin) = (Instant::now(), answer_margin(inbound.budget));
        let outbound = Arc::new(inbound.outbound);
        self.requests.insert(id, PendingRequest { outbound, answer: Some(answer), attempts: Vec::new() });
        self.timers.push(Reverse((ends.checked_sub(margin).unwrap_or(now), TimerKind::AnswerDeadline(id))));
        let client_timeout = ends.saturating_duration_since(now).saturating_sub(2 * margin);
        let ClientRequest { class, cost, origin, .. } = inbound;
        self.handle_event(Event::Request(Arrival { id, class, cost, client_timeout, origin }));
    }

    fn on_attempt_ended(&mut self, id: RequestId, attempt: usize, outcome: Outcome, served: ServedBody) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some((sent, out)) = pending.attempts.get_mut(attempt) else { return };
        // Guards against the late outcome of an attempt that was cancelled: it has had its own.
        if out.take().is_none() {
            return;
        }
        let elapsed = sent.elapsed();
        if outcome == Outcome::Ok {
            self.answer(id, FinalAnswer::Served(served.0, served.1));
        }
        let pending = self.requests.get(&id).is_some_and(|pending| pending.answer.is_some());
        let progress = if pending { Progress::AwaitingAnswer } else { Progress::Finished };
        self.handle_event(Event::Outcome { id, attempt, outcome, elapsed, progress });
        self.remove_if_finished(id);
    }

    fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        if let Some(to) = self.requests.get_mut(&id).and_then(|pending| pending.answer.take()) {
            // A client that has just left needs none.
            drop(to.send(answer));
        }
    }

    /// A request goes once it is answered and nothing is out for it.
    fn remove_if_finished(&mut self, id: RequestId) {
        let over = |pending: &PendingRequest| {
            pending.answer.is_none() && pending.attempts.iter().all(|a| a.1.is_none())
        };
        if self.requests.get(&id).is_some_and(over) {
            self.requests.remove(&id);
        }
    }

    /// Tells the module one event and carries out what it says; what that causes at once comes after.
    fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.started.1 + self.started.0.elapsed();
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            events.extend(actions.drain(..).filter_map(|action| self.carry_out(action)));
            self.actions = actions;
        }
    }

    /// Carries out one action; some end in an event of their own at once.
    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, server, timeout, write_within } => {
                return self.send(id, server, timeout, write_within);
            }
            Action::Reject { id, retry_after } => {
                self.answer(id, FinalAnswer::Rejected(retry_after));
                self.remove_if_finished(id);
            }
            Action::Fail(id) => {
                self.answer(id, FinalAnswer::Failed);
                self.remove_if_finished(id);
            }
            Action::Cancel { id, attempt } => {
                let pending = self.requests.get_mut(&id)?;
                let (sent, out) = pending.attempts.get_mut(attempt)?;
                out.take()?.task.abort();
                let elapsed = sent.elapsed();
                let progress =
                    if pending.answer.is_some() { Progress::AwaitingAnswer } else { Progress::Finished };
                self.remove_if_finished(id);
                return Some(Event::Outcome { id, attempt, outcome: Outcome::Cancelled, elapsed, progress });
            }
            Action::SetTimer { timer, after } => {
                self.timers.push(Reverse((Instant::now() + after, TimerKind::Module(timer))));
            }
            Action::Probe(server) => {
                let Some(endpoint) = self.servers.get(&server).map(|s| s.1.clone()) else {
                    return Some(Event::ProbeCompleted {
                        server,
                        outcome: Outcome::NotSent,
                        reported_load: None,
                    });
                };
                let (pool, handle, config) = (self.pool.clone(), self.handle.clone(), self.config.clone());
                tokio::spawn(async move {
                    // The module waits for it as long as it likes; this only ends what no one waits for.
                    let by = Instant::now() + config.deployment.connect_timeout;
                    let name = config.deployment.load_field_name.as_deref();
                    let (outcome, held) = upstream::probe(pool, endpoint, by, name).await;
                    handle.send(DriverEvent::Probed(server, outcome, held));
                });
            }
            Action::Subscribe => self.subscribe.notify_one(),
            Action::Log(note) => self.log(note),
        }
        None
    }

    /// Guards against a log that an overload fills with one line.
    fn log(&mut self, note: LogEvent) {
        let again = |(last, at): (LogEvent, Instant)| last == note && at.elapsed() < LOG_REPEAT_INTERVAL;
        if !self.logged.is_some_and(again) {
            eprintln!("{note}");
            self.logged = Some((note, Instant::now()));
        }
    }

    fn send(
        &mut self, id: RequestId, server: ServerId, timeout: Duration, write_within: Duration,
    ) -> Option<Event> {
        let pending = self.requests.get_mut(&id)?;
        let attempt = pending.attempts.len();
        let now = Instant::now();
        // Guards against sends after the end, and to an upstream that the list has taken back.
        let endpoint = self.servers.get(&server).filter(|_| pending.answer.is_some()).map(|s| s.1.clone());
        let Some(endpoint) = endpoint else {
            pending.attempts.push((now, None));
            let progress =
                if pending.answer.is_some() { Progress::AwaitingAnswer } else { Progress::Finished };
            let (outcome, elapsed) = (Outcome::NotSent, Duration::ZERO);
            return Some(Event::Outcome { id, attempt, outcome, elapsed, progress });
        };
        let handle = self.handle.clone();
        let answered = move |outcome, served| handle.send(DriverEvent::Attempt(id, attempt, outcome, served));
        let (abandoned, outbound) = (Arc::<Notify>::default(), pending.outbound.clone());
        let times = AttemptDeadlines { answer_by: now + timeout, write_by: now + write_within };
        let task =
            upstream::attempt(self.pool.clone(), endpoint, outbound, times, abandoned.clone(), answered);
        let task = tokio::spawn(task).abort_handle();
        pending.attempts.push((now, Some(AttemptTask { task, abandoned })));
        None
    }

    /// Brings the addresses up to date; the lines go on to the module.
    fn apply_list(&mut self, news: ListUpdate) -> (bool, Vec<ServerEntry>) {
        let mut named = HashSet::new();
        for (line, addr) in &news.members {
            let ready = line.availability == Availability::Ready;
            named.insert(line.server);
            let known = self.servers.get(&line.server);
            if known.is_some_and(|(started, endpoint)| {
                ready && *started == line.started && endpoint.addr == *addr
            }) {
                continue;
            }
            self.close(line.server);
            if ready {
                self.servers.insert(line.server, (line.started, self.pool.endpoint(*addr)));
            }
        }
        if news.complete {
            let left: Vec<ServerId> = self.servers.keys().filter(|id| !named.contains(id)).copied().collect();
            left.into_iter().for_each(|id| self.close(id));
        }
        self.handle.set_ready(!self.servers.is_empty());
        (news.complete, news.members.into_iter().map(|(line, _)| line).collect())
    }

    /// Nothing new goes there, also of what waits for a connection.
    fn close(&mut self, server: ServerId) {
        if let Some((_, endpoint)) = self.servers.remove(&server) {
            endpoint.close();
        }
    }
}

#[cfg(test)]
#[path = "driver_tests.rs"]
mod tests;
