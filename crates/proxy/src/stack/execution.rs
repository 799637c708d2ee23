//! The execution of one request: its terms, its attempts so far, and what may still be attempted.

use crate::inbound::error_response::RequestError;
use crate::inbound::request::ClientRequest;
use crate::outbound::{AttemptHeaders, MAX_PRIORITY, OutboundRequest};
use crate::routes::Routes;
use crate::stack::delivery_budget::DeliveryBudget;
use crate::stack::terms::RequestTerms;
use crate::state::ProxyState;
use crate::telemetry::request_trace::{RequestTrace, SaturationCause};
use lugwharf_invariants::{Invariant, check};
use lugwharf_routing::{Attempts, Phase, Selection, SelectionError, SelectionQuery, ServerKey};
use std::rc::Rc;
use std::time::Duration;

/// Attempts of one request that may end before anything is sent, since no connection was established or the server has just
/// been removed from the endpoint list.
const MAX_UNSENT_ATTEMPTS: u32 = 5;

/// One request with all that its attempts need.
pub struct RequestExecution<'a> {
    /// The state shared by all tasks.
    pub state: &'a Rc<ProxyState>,
    /// The request.
    pub request: &'a ClientRequest,
    /// Records what happens, for the log line of a failure.
    pub trace: &'a RequestTrace,
    /// The terms of the request.
    pub terms: RequestTerms<'a>,
    /// What may still be sent.
    pub attempts: Attempts,
    /// What earlier attempts showed.
    pub history: AttemptHistory,
    pub(super) budget: DeliveryBudget,
    pub(super) outbound: OutboundRequest,
}

/// What the attempts of one request showed so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Servers that are not sent the request again.
    pub attempted_servers: Vec<ServerKey>,
    /// Whether the last server that rejected the request reported that it was saturated; `None` if it reported no load.
    pub was_saturated: Option<bool>,
    /// Attempts that ended before anything was sent.
    pub(super) unsent: u32,
}

/// The part of a [`SelectionQuery`] that differs between the attempts of one request.
pub struct ServerQuery<'a> {
    /// What the server is to do.
    pub phase: Phase,
    /// The zone whose servers are preferred.
    pub zone: &'a str,
    /// Servers that must not be selected.
    pub excluded: &'a [ServerKey],
}

impl<'a> RequestExecution<'a> {
    /// Starts the execution of a request: matches its route, picks a service, and deposits into its retry budget.
    ///
    /// # Errors
    /// The request is malformed, no route matches it, or its route has no service.
    pub fn new(
        state: &'a Rc<ProxyState>, request: &'a ClientRequest, routes: &'a Rc<Routes>,
        trace: &'a RequestTrace,
    ) -> Result<RequestExecution<'a>, RequestError> {
        let route = routes.match_request(&request.head)?;
        let service = routes.target(route).ok_or(RequestError::Unavailable)?;
        let terms = RequestTerms::new(request, routes, route, service);
        let now = state.now();
        trace.record_route(state, routes, &terms);
        let mut balancer = state.balancer.borrow_mut();
        balancer.record_request(now, service);
        let max_rejections = balancer.tuning().max_rejections;
        Ok(RequestExecution {
            state,
            request,
            trace,
            attempts: Attempts::new(terms.is_idempotent, route.max_attempts, max_rejections),
            terms,
            history: AttemptHistory::default(),
            budget: DeliveryBudget::default(),
            outbound: OutboundRequest::new(request),
        })
    }

    /// Whether the service runs generations on pairs of a prefill and a decode server.
    pub fn is_disaggregated(&self) -> bool {
        self.terms.is_model_service && self.state.balancer.borrow().is_disaggregated(self.terms.service)
    }

    /// The headers that each attempt adds to the client's.
    pub fn attempt_headers(&self) -> AttemptHeaders {
        let forwards_priority =
            self.terms.is_model_service && self.state.balancer.borrow().tuning().forwards_priority;
        let priority = forwards_priority.then(|| self.terms.route.priority.min(MAX_PRIORITY));
        AttemptHeaders { priority, ..AttemptHeaders::default() }
    }

    /// Selects a server for an attempt.
    pub fn select(&self, query: &ServerQuery<'_>) -> Result<Selection, SelectionError> {
        let model = self.request.head.headers.get_text("model");
        let query = SelectionQuery {
            service: self.terms.service,
            phase: query.phase,
            model: model.filter(|_| self.terms.is_model_service),
            prompt: &self.terms.prompt,
            preferred_zone: query.zone,
            excluded: query.excluded,
            objective: self.terms.objective,
        };
        self.state.balancer.borrow_mut().select(self.state.now(), &query)
    }

    /// Whether a server may be selected that executes the request.
    pub fn may_execute(&self) -> Result<(), RequestError> {
        if self.attempts.may_execute() && self.may_attempt() {
            Ok(())
        } else {
            Err(self.saturated(SaturationCause::NoAttemptsLeft))
        }
    }

    /// The error of a request that gets no further attempt.
    pub fn saturated(&self, cause: SaturationCause) -> RequestError {
        self.trace.record_saturation(cause);
        self.final_error(RequestError::Saturated)
    }

    /// The error of a request for which no server could be selected.
    pub fn selection_error(&self, error: SelectionError) -> RequestError {
        match error {
            SelectionError::NoServer => self.final_error(RequestError::Unavailable),
            SelectionError::Saturated => self.saturated(SaturationCause::NoCapacity),
        }
    }

    /// Whether the request may be sent to the selected server: sheds it if it can't be answered in time, and pays for its
    /// delivery.
    pub fn admit(&mut self, selection: &Selection) -> Result<(), RequestError> {
        self.shed_if_hopeless(selection)?;
        if self.try_pay_delivery() { Ok(()) } else { Err(self.saturated(SaturationCause::NoBudget)) }
    }

    /// Load shedding: rejects a request that no server has executed, if the selected server is busy by its own report and the
    /// estimate exceeds the time left. It would use up a slot for a response that comes too late.
    pub fn shed_if_hopeless(&self, selection: &Selection) -> Result<(), RequestError> {
        let may_shed = self.state.balancer.borrow().tuning().sheds_late_requests;
        let is_hopeless = may_shed && selection.is_busy && selection.estimate > self.terms.time_left();
        if is_hopeless && self.attempts.is_unexecuted() {
            self.trace.record_saturation(SaturationCause::Hopeless);
            Err(RequestError::Saturated)
        } else {
            Ok(())
        }
    }

    /// Pays for the next delivery from the retry budget, if it is not the first. Returns whether it may be sent.
    pub fn try_pay_delivery(&mut self) -> bool {
        if !self.attempts.needs_retry_budget() {
            return true;
        }
        let (state, service) = (self.state, self.terms.service);
        let is_paid =
            self.budget.try_pay(|| state.balancer.borrow_mut().try_withdraw_retry(state.now(), service));
        if !is_paid {
            self.trace.record_budget_denial(&state.metrics);
        }
        is_paid
    }

    /// Whether another attempt may end before anything is sent.
    pub fn may_attempt(&self) -> bool {
        self.history.unsent < MAX_UNSENT_ATTEMPTS
    }

    /// A server answered 421: it is another incarnation, or does not serve the stage, the model or its version. It is not
    /// selected for a while, unless the client itself asked for a version, which says nothing about other requests.
    pub fn record_misdirected(&self, selection: &Selection) {
        if self.request.head.headers.has("expect-version") {
            return;
        }
        self.state.balancer.borrow_mut().record_misdirected(self.state.now(), selection.key);
    }

    /// A prefill was executed. If it was the free one, what was paid for it pays for the next delivery: an earlier prefill that
    /// was rejected may have made it a retry.
    pub fn record_prefill(&mut self) {
        self.budget.record_prefill(self.attempts.has_free_prefill());
        self.attempts.record_prefill();
    }

    /// The complete request was sent.
    pub(super) fn record_delivery(&mut self) {
        let is_paid = self.budget.is_next_paid() || !self.attempts.needs_retry_budget();
        check(Invariant::RetriesPaid, is_paid, || format!("request {}", self.request.id()));
        self.budget.record_delivery();
        self.attempts.record_delivery();
    }

    /// The error of a request that is not attempted again. `if_unexecuted` is used if no server has executed it and there is
    /// time left: it promises the client that a retry is safe.
    pub fn final_error(&self, if_unexecuted: RequestError) -> RequestError {
        match (self.attempts.is_unexecuted(), self.terms.time_left().is_zero()) {
            (true, true) => RequestError::DeadlineBeforeExecution,
            (true, false) => if_unexecuted,
            (false, true) => RequestError::DeadlineExceeded,
            (false, false) => RequestError::BadGateway,
        }
    }

    /// The time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.terms.time_left()
    }
}
