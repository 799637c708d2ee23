//! One request under way: its route, its time, its sends.

use crate::answer::Refusal;
use crate::flight::Flight;
use crate::outcome::SendOutcome;
use crate::request::ClientRequest;
use crate::routes::Routes;
use crate::state::Shared;
use crate::trace::{RequestTrace, SendTrace};
use crate::upstream::{Answered, Extra, Fault, Outbound, Terms, exchange};
use crate::verdict::judge;
use crate::wire::RequestHead;
use lugwharf_config::{Route, RouteKind};
use lugwharf_invariants::{Invariant, check};
use lugwharf_routing::{
    Attempts, FailureKind, Phase, Prompt, Selection, SelectionError, SelectionQuery, ServerKey,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A final answer is on its way this much before the client stops to wait.
const RETURN_MARGIN: Duration = Duration::from_millis(25);
/// Sends of one request that may come to nothing since no connection came up or the server has just left the list.
const MOST_UNSENT: u32 = 5;
/// The objective where the route states none.
const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(500);

/// A request with all that its sends need.
pub struct Job<'a> {
    /// What all tasks share.
    pub shared: &'a Rc<Shared>,
    /// The request.
    pub request: &'a ClientRequest,
    /// What explains its end.
    pub trace: &'a RequestTrace,
    /// Its route.
    pub route: &'a Route,
    /// The service that it goes to.
    pub service: &'a str,
    /// Its final answer is due by then.
    pub by: Instant,
    /// What may still be sent for it.
    pub attempts: Attempts,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What it tells of its prompt.
    pub prompt: Prompt,
    /// Servers that it is not sent to again.
    pub tried: Vec<ServerKey>,
    outbound: Outbound,
    max_connections: Option<u32>,
    is_model: bool,
    unsent: u32,
    /// Whether the next arrival has been paid for.
    paid: bool,
    /// Whether the last one was.
    paid_last: bool,
    /// Whether the last server that turned the request away said that it was full; `None` if it did not tell its load.
    pub was_full: Option<bool>,
}

/// How a send ended.
pub enum Sent {
    /// An answer came.
    Answered(Box<Answered>, Flight),
    /// Nothing went out; another server may be asked.
    Unsent,
    /// The time was over before anything went out.
    Late,
    /// It may have run; then the server failed.
    Broken,
    /// It may have run; then its time was over.
    TimedOut,
}

/// A choice with the send's terms.
pub struct Ask<'a> {
    /// What the server is to do.
    pub part: Phase,
    /// The zone that is preferred.
    pub zone: &'a str,
    /// Servers that are out of the question.
    pub excluded: &'a [ServerKey],
}

impl<'a> Job<'a> {
    /// Prepares a request; what can't be served is refused.
    pub fn new(
        shared: &'a Rc<Shared>, request: &'a ClientRequest, routes: &'a Rc<Routes>, trace: &'a RequestTrace,
    ) -> Result<Job<'a>, Refusal> {
        let route = find(&request.head, routes)?;
        let service = routes.target(route).ok_or(Refusal::Unavailable)?;
        let definition = routes.service(service);
        let timeout = time_limit(route);
        let patience = request.patience().unwrap_or(timeout).min(timeout);
        let idempotent = route.is_idempotent() || route.route_kind == RouteKind::Streaming && route.resumable;
        let now = shared.now();
        trace.begin(shared, routes, service, objective(route), patience);
        let mut balancer = shared.balancer.borrow_mut();
        balancer.record_request(now, service);
        let rejections = balancer.tuning().max_rejections;
        Ok(Job {
            shared,
            request,
            trace,
            route,
            service,
            by: request.arrived + patience.saturating_sub(RETURN_MARGIN),
            attempts: Attempts::new(idempotent, route.max_attempts, rejections),
            idempotent,
            prompt: request.prompt(),
            tried: Vec::new(),
            outbound: Outbound::new(request),
            max_connections: definition.and_then(|service| service.max_conns),
            is_model: definition.is_some_and(|service| service.engine.is_some()),
            unsent: 0,
            paid: false,
            paid_last: false,
            was_full: None,
        })
    }

    /// Whether its service splits generations between prefill and decode servers.
    pub fn is_split(&self) -> bool {
        self.is_model && self.shared.balancer.borrow().is_disaggregated(self.service)
    }

    /// The time within which an answer earns its full worth.
    pub fn objective(&self) -> Duration {
        objective(self.route)
    }

    /// The time left.
    pub fn left(&self) -> Duration {
        self.by.saturating_duration_since(Instant::now())
    }

    /// What a send adds, before it is told more.
    pub fn extra(&self) -> Extra {
        let passes = self.is_model && self.shared.balancer.borrow().tuning().forwards_priority;
        Extra { priority: passes.then(|| self.route.priority.min(9)), ..Extra::default() }
    }

    /// Chooses a server.
    pub fn choose(&self, ask: &Ask<'_>) -> Result<Selection, SelectionError> {
        let query = SelectionQuery {
            service: self.service,
            phase: ask.part,
            model: self.request.head.headers.get_text("model").filter(|_| self.is_model),
            prompt: &self.prompt,
            preferred_zone: ask.zone,
            excluded: ask.excluded,
            objective: self.objective(),
        };
        self.shared.balancer.borrow_mut().select(self.shared.now(), &query)
    }

    /// Refused early: the server chosen is more than half full by its own report, and would take longer than there is time.
    pub fn is_hopeless(&self, choice: &Selection) -> bool {
        let refuses = self.shared.balancer.borrow().tuning().sheds_hopeless_requests;
        refuses && choice.is_busy && choice.estimate > self.left()
    }

    /// Pays for the next arrival, if it has to be paid for. What was paid and not used stays paid.
    pub fn may_arrive(&mut self) -> bool {
        if !self.attempts.needs_retry_budget() || self.paid {
            return true;
        }
        self.paid = self.shared.balancer.borrow_mut().try_withdraw_retry(self.shared.now(), self.service);
        if !self.paid {
            self.trace.budget_denied(self.shared);
        }
        self.paid
    }

    /// Whether another send may come to nothing.
    pub fn may_try(&self) -> bool {
        self.unsent < MOST_UNSENT
    }

    /// Sends it to a server, and counts.
    pub async fn send(&mut self, choice: &Selection, part: Phase, extra: &Extra, by: Instant) -> Sent {
        let may_be_sent = self.idempotent || self.attempts.is_unexecuted();
        check(Invariant::UnrepeatableSentOnce, may_be_sent, || {
            format!("request {} to {} as {part:?}", self.request.id(), choice.id)
        });
        let mut flight = Flight::new(self.shared, choice, part, by);
        let objective = self.objective();
        let terms =
            Terms { part, by, objective, idempotent: self.idempotent, max_connections: self.max_connections };
        let (begun, left, carriers) =
            (self.request.arrived.elapsed(), self.left(), self.outbound.carriers.len());
        let result = exchange(self.shared, choice, &mut self.outbound, extra, terms).await;
        let outcome = match &result {
            Ok(answered) => {
                let (status, verdict) = (answered.head.status, judge(&answered.head));
                SendOutcome::Answered { status, verdict }
            }
            Err(fault) => SendOutcome::Failed(*fault),
        };
        self.shared.figures.send_ended(outcome);
        self.trace.sent(SendTrace {
            server: choice.id.clone(),
            part,
            connection: self.outbound.carriers.get(carriers..).and_then(<[_]>::last).map(|id| id.0),
            begun,
            took: self.request.arrived.elapsed().saturating_sub(begun),
            left,
            paid: self.paid,
            outcome,
            body: None,
        });
        match result {
            Ok(answered) => {
                self.arrived();
                Sent::Answered(Box::new(answered), flight)
            }
            Err(Fault::Connect) => {
                flight.failed(FailureKind::Connect);
                self.unsent += 1;
                Sent::Unsent
            }
            Err(Fault::Moot) => {
                flight.void();
                self.unsent += 1;
                Sent::Unsent
            }
            Err(Fault::Late) => {
                flight.void();
                Sent::Late
            }
            Err(Fault::Broken) => {
                flight.failed(FailureKind::ConnectionBroken);
                self.arrived();
                Sent::Broken
            }
            Err(Fault::Timeout) => {
                flight.failed(FailureKind::Timeout);
                self.arrived();
                Sent::TimedOut
            }
        }
    }

    /// A server said that it is another one, has another part, or other weights. It is left out for a while, but where the
    /// client itself asked for a version of the weights: that tells nothing of others' requests.
    pub fn misdirected(&self, choice: &Selection) {
        if self.request.head.headers.has("expect-version") {
            return;
        }
        self.shared.balancer.borrow_mut().record_misdirected(self.shared.now(), choice.key);
    }

    /// The answer where nothing more is sent.
    pub fn give_up(&self, unrun: Refusal) -> Refusal {
        match (self.attempts.is_unexecuted(), self.left().is_zero()) {
            (true, true) => Refusal::Unserved,
            (true, false) => unrun,
            (false, true) => Refusal::Deadline,
            (false, false) => Refusal::Broken,
        }
    }

    fn arrived(&mut self) {
        let is_paid = self.paid || !self.attempts.needs_retry_budget();
        check(Invariant::RetriesPaid, is_paid, || format!("request {}", self.request.id()));
        self.paid_last = std::mem::replace(&mut self.paid, false);
        self.attempts.record_delivery();
    }

    /// A server has taken up the last send, which had the prompt read. The first such call is free: what was paid for it, after
    /// another one was rejected, pays for the next arrival.
    pub fn prefilled(&mut self) {
        self.paid = self.attempts.has_free_prefill() && self.paid_last;
        self.attempts.record_prefill();
    }
}

/// The time within which an answer on this route earns its full worth.
fn objective(route: &Route) -> Duration {
    if route.slo_ms > 0.0 {
        Duration::from_secs_f64((route.slo_ms / 1e3).min(86_400.0))
    } else {
        DEFAULT_OBJECTIVE
    }
}

/// The longest time that a request of this route may be held.
pub fn time_limit(route: &Route) -> Duration {
    Duration::from_secs_f64((route.timeout_ms / 1e3).clamp(0.0, 86_400.0))
}

/// The route of a request.
pub fn find<'a>(head: &RequestHead, routes: &'a Routes) -> Result<&'a Route, Refusal> {
    let mut hosts = head.headers.all("host");
    let host = hosts.next().and_then(|host| std::str::from_utf8(host).ok()).ok_or(Refusal::Malformed)?;
    let target = head.target();
    if hosts.next().is_some() || !target.starts_with('/') {
        return Err(Refusal::Malformed);
    }
    routes.find(host.trim(), target).ok_or(Refusal::NoRoute)
}

impl From<SelectionError> for Refusal {
    fn from(none: SelectionError) -> Refusal {
        match none {
            SelectionError::NoServer => Refusal::Unavailable,
            SelectionError::Saturated => Refusal::Full,
        }
    }
}
