//! One request under way: its route, its time, its sends.

use crate::http::RequestHead;
use crate::inbound::error_response::RequestError;
use crate::inbound::request::ClientRequest;
use crate::outbound::{
    AttemptHeaders, ExchangeError, ExchangeTerms, OutboundRequest, ServerResponse, exchange,
};
use crate::routes::Routes;
use crate::stack::in_flight::InFlightAttempt;
use crate::stack::response_class::classify;
use crate::state::ProxyState;
use crate::telemetry::outcome::AttemptLabel;
use crate::telemetry::request_trace::{AttemptTrace, RequestTrace};
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
const MAX_UNSENT_ATTEMPTS: u32 = 5;
/// The objective where the route states none.
const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(500);

/// A request with all that its sends need.
pub struct RequestExecution<'a> {
    /// What all tasks share.
    pub state: &'a Rc<ProxyState>,
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
    outbound: OutboundRequest,
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
pub enum AttemptOutcome {
    /// An answer came.
    Response(Box<ServerResponse>, InFlightAttempt),
    /// Nothing went out; another server may be asked.
    NotSent,
    /// The time was over before anything went out.
    TooLate,
    /// It may have run; then the server failed.
    ConnectionBroken,
    /// It may have run; then its time was over.
    TimedOut,
}

/// A choice with the send's terms.
pub struct ServerQuery<'a> {
    /// What the server is to do.
    pub part: Phase,
    /// The zone that is preferred.
    pub zone: &'a str,
    /// Servers that are out of the question.
    pub excluded: &'a [ServerKey],
}

impl<'a> RequestExecution<'a> {
    /// Prepares a request; what can't be served is refused.
    pub fn new(
        state: &'a Rc<ProxyState>, request: &'a ClientRequest, routes: &'a Rc<Routes>,
        trace: &'a RequestTrace,
    ) -> Result<RequestExecution<'a>, RequestError> {
        let route = find(&request.head, routes)?;
        let service = routes.target(route).ok_or(RequestError::Unavailable)?;
        let definition = routes.service(service);
        let timeout = time_limit(route);
        let client_timeout = request.client_timeout().unwrap_or(timeout).min(timeout);
        let idempotent = route.is_idempotent() || route.route_kind == RouteKind::Streaming && route.resumable;
        let now = state.now();
        trace.begin(state, routes, service, objective(route), client_timeout);
        let mut balancer = state.balancer.borrow_mut();
        balancer.record_request(now, service);
        let rejections = balancer.tuning().max_rejections;
        Ok(RequestExecution {
            state,
            request,
            trace,
            route,
            service,
            by: request.arrived + client_timeout.saturating_sub(RETURN_MARGIN),
            attempts: Attempts::new(idempotent, route.max_attempts, rejections),
            idempotent,
            prompt: request.prompt(),
            tried: Vec::new(),
            outbound: OutboundRequest::new(request),
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
        self.is_model && self.state.balancer.borrow().is_disaggregated(self.service)
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
    pub fn extra(&self) -> AttemptHeaders {
        let passes = self.is_model && self.state.balancer.borrow().tuning().forwards_priority;
        AttemptHeaders { priority: passes.then(|| self.route.priority.min(9)), ..AttemptHeaders::default() }
    }

    /// Chooses a server.
    pub fn choose(&self, ask: &ServerQuery<'_>) -> Result<Selection, SelectionError> {
        let query = SelectionQuery {
            service: self.service,
            phase: ask.part,
            model: self.request.head.headers.get_text("model").filter(|_| self.is_model),
            prompt: &self.prompt,
            preferred_zone: ask.zone,
            excluded: ask.excluded,
            objective: self.objective(),
        };
        self.state.balancer.borrow_mut().select(self.state.now(), &query)
    }

    /// Refused early: the server chosen is more than half full by its own report, and would take longer than there is time.
    pub fn is_hopeless(&self, choice: &Selection) -> bool {
        let refuses = self.state.balancer.borrow().tuning().sheds_hopeless_requests;
        refuses && choice.is_busy && choice.estimate > self.left()
    }

    /// Pays for the next arrival, if it has to be paid for. What was paid and not used stays paid.
    pub fn may_arrive(&mut self) -> bool {
        if !self.attempts.needs_retry_budget() || self.paid {
            return true;
        }
        self.paid = self.state.balancer.borrow_mut().try_withdraw_retry(self.state.now(), self.service);
        if !self.paid {
            self.trace.record_budget_denial(self.state);
        }
        self.paid
    }

    /// Whether another send may come to nothing.
    pub fn may_try(&self) -> bool {
        self.unsent < MAX_UNSENT_ATTEMPTS
    }

    /// Sends it to a server, and counts.
    pub async fn send(
        &mut self, choice: &Selection, part: Phase, extra: &AttemptHeaders, by: Instant,
    ) -> AttemptOutcome {
        let may_be_sent = self.idempotent || self.attempts.is_unexecuted();
        check(Invariant::UnrepeatableSentOnce, may_be_sent, || {
            format!("request {} to {} as {part:?}", self.request.id(), choice.id)
        });
        let mut in_flight = InFlightAttempt::new(self.state, choice, part, by);
        let objective = self.objective();
        let terms = ExchangeTerms {
            part,
            by,
            objective,
            idempotent: self.idempotent,
            max_connections: self.max_connections,
        };
        let (begun, left, used_connections) =
            (self.request.arrived.elapsed(), self.left(), self.outbound.used_connections.len());
        let result = exchange(self.state, choice, &mut self.outbound, extra, terms).await;
        let outcome = match &result {
            Ok(answered) => {
                let (status, class) = (answered.head.status, classify(&answered.head));
                AttemptLabel::Response { status, class }
            }
            Err(fault) => AttemptLabel::Failed(*fault),
        };
        self.state.metrics.send_ended(outcome);
        self.trace.sent(AttemptTrace {
            server: choice.id.clone(),
            part,
            connection: self
                .outbound
                .used_connections
                .get(used_connections..)
                .and_then(<[_]>::last)
                .map(|id| id.0),
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
                AttemptOutcome::Response(Box::new(answered), in_flight)
            }
            Err(ExchangeError::Connect) => {
                in_flight.failed(FailureKind::Connect);
                self.unsent += 1;
                AttemptOutcome::NotSent
            }
            Err(ExchangeError::Aborted) => {
                in_flight.void();
                self.unsent += 1;
                AttemptOutcome::NotSent
            }
            Err(ExchangeError::TooLate) => {
                in_flight.void();
                AttemptOutcome::TooLate
            }
            Err(ExchangeError::ConnectionBroken) => {
                in_flight.failed(FailureKind::ConnectionBroken);
                self.arrived();
                AttemptOutcome::ConnectionBroken
            }
            Err(ExchangeError::Timeout) => {
                in_flight.failed(FailureKind::Timeout);
                self.arrived();
                AttemptOutcome::TimedOut
            }
        }
    }

    /// A server said that it is another one, has another part, or other weights. It is left out for a while, but where the
    /// client itself asked for a version of the weights: that tells nothing of others' requests.
    pub fn misdirected(&self, choice: &Selection) {
        if self.request.head.headers.has("expect-version") {
            return;
        }
        self.state.balancer.borrow_mut().record_misdirected(self.state.now(), choice.key);
    }

    /// The answer where nothing more is sent.
    pub fn give_up(&self, unrun: RequestError) -> RequestError {
        match (self.attempts.is_unexecuted(), self.left().is_zero()) {
            (true, true) => RequestError::DeadlineBeforeExecution,
            (true, false) => unrun,
            (false, true) => RequestError::DeadlineExceeded,
            (false, false) => RequestError::BadGateway,
        }
    }

    fn arrived(&mut self) {
        let is_paid = self.paid || !self.attempts.needs_retry_budget();
        check(Invariant::RetriesPaid, is_paid, || format!("request {}", self.request.id()));
        self.paid_last = std::mem::replace(&mut self.paid, false);
        self.attempts.record_delivery();
    }

    /// A server has accepted up the last send, which had the prompt read. The first such call is free: what was paid for it, after
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
pub fn find<'a>(head: &RequestHead, routes: &'a Routes) -> Result<&'a Route, RequestError> {
    let mut hosts = head.headers.all("host");
    let host = hosts.next().and_then(|host| std::str::from_utf8(host).ok()).ok_or(RequestError::Malformed)?;
    let target = head.target();
    if hosts.next().is_some() || !target.starts_with('/') {
        return Err(RequestError::Malformed);
    }
    routes.find(host.trim(), target).ok_or(RequestError::NoRoute)
}

impl From<SelectionError> for RequestError {
    fn from(none: SelectionError) -> RequestError {
        match none {
            SelectionError::NoServer => RequestError::Unavailable,
            SelectionError::Saturated => RequestError::Saturated,
        }
    }
}
