//! The execution of one request: its terms, its past attempts, and the rules for further attempts.

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

/// The maximum number of attempts of one request that end before the complete request is sent, for example
/// because no connection can be established or the server has just been removed from the endpoint list.
const MAX_UNSENT_ATTEMPTS: u32 = 5;

/// One request, with everything that its attempts need.
pub struct RequestExecution<'a> {
    /// The state shared by all tasks.
    pub state: &'a Rc<ProxyState>,
    /// The request.
    pub request: &'a ClientRequest,
    /// The trace that is logged if the request fails.
    pub trace: &'a RequestTrace,
    /// The terms of the request.
    pub terms: RequestTerms<'a>,
    /// The attempts made so far, and their limits.
    pub attempts: Attempts,
    /// The results of earlier attempts that influence later ones.
    pub history: AttemptHistory,
    pub(super) budget: DeliveryBudget,
    pub(super) outbound: OutboundRequest,
}

/// The results of the attempts of one request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Servers to which the request is not sent again.
    pub attempted_servers: Vec<ServerKey>,
    /// Whether the last server that rejected the request reported that it was saturated; `None` if it
    /// reported no load.
    pub was_saturated: Option<bool>,
    /// The number of attempts that ended before the complete request was sent.
    pub(super) unsent_attempts: u32,
}

/// The part of a [`SelectionQuery`] that differs between the attempts of one request.
pub struct ServerQuery<'a> {
    /// The phase that is requested of the server.
    pub phase: Phase,
    /// The zone whose servers are preferred.
    pub zone: &'a str,
    /// Servers that must not be selected.
    pub excluded: &'a [ServerKey],
}

impl<'a> RequestExecution<'a> {
    /// Starts the execution of a request: matches its route, selects a service, and makes a deposit into the
    /// retry budget of the service.
    ///
    /// # Errors
    /// The request is malformed, no route matches it, or its route has no service with a weight above 0.
    pub fn new(
        state: &'a Rc<ProxyState>, request: &'a ClientRequest, routes: &'a Rc<Routes>,
        trace: &'a RequestTrace,
    ) -> Result<RequestExecution<'a>, RequestError> {
        let route = routes.match_request(&request.head)?;
        let service = routes.select_service(route).ok_or(RequestError::Unavailable)?;
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

    /// Returns whether the service runs each generation on a prefill and a decode server.
    pub fn is_disaggregated(&self) -> bool {
        self.terms.is_model_service && self.state.balancer.borrow().is_disaggregated(self.terms.service)
    }

    /// Returns the headers that each attempt adds to those of the client.
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

    /// Checks that a further attempt may execute the request.
    pub fn check_may_execute(&self) -> Result<(), RequestError> {
        if self.attempts.may_execute() && self.may_attempt() {
            Ok(())
        } else {
            Err(self.saturation_error(SaturationCause::NoAttemptsLeft))
        }
    }

    /// Records `cause` and returns the error of a request that is not attempted again because of saturation.
    pub fn saturation_error(&self, cause: SaturationCause) -> RequestError {
        self.trace.record_saturation(cause);
        self.final_error(RequestError::Saturated)
    }

    /// Returns the error of a request for which no server could be selected.
    pub fn selection_error(&self, error: SelectionError) -> RequestError {
        match error {
            SelectionError::NoServer => self.final_error(RequestError::Unavailable),
            SelectionError::Saturated => self.saturation_error(SaturationCause::NoCapacity),
        }
    }

    /// Admits an attempt at the selected server: sheds the request if the response would come too late, and
    /// withdraws from the retry budget if necessary.
    pub fn admit(&mut self, selection: &Selection) -> Result<(), RequestError> {
        self.shed_if_late(selection)?;
        if self.try_withdraw_delivery() {
            Ok(())
        } else {
            Err(self.saturation_error(SaturationCause::NoBudget))
        }
    }

    /// Load shedding: rejects a request that no server has executed if the selected server reports that it is
    /// busy and the latency estimate exceeds the time left. The request would use up a slot for a response
    /// that comes too late.
    pub fn shed_if_late(&self, selection: &Selection) -> Result<(), RequestError> {
        let may_shed = self.state.balancer.borrow().tuning().sheds_late_requests;
        let is_late = may_shed && selection.is_busy && selection.estimate > self.terms.time_left();
        if is_late && self.attempts.is_unexecuted() {
            self.trace.record_saturation(SaturationCause::LateEstimate);
            Err(RequestError::Saturated)
        } else {
            Ok(())
        }
    }

    /// Withdraws the next delivery from the retry budget, unless it is the first. Returns whether the request
    /// may be sent.
    pub fn try_withdraw_delivery(&mut self) -> bool {
        if !self.attempts.needs_retry_budget() {
            return true;
        }
        let (state, service) = (self.state, self.terms.service);
        let is_withdrawn =
            self.budget.try_withdraw(|| state.balancer.borrow_mut().try_withdraw_retry(state.now(), service));
        if !is_withdrawn {
            self.trace.record_budget_denial(&state.metrics);
        }
        is_withdrawn
    }

    /// Returns whether the limit on attempts that end before the complete request is sent has not been
    /// reached.
    pub fn may_attempt(&self) -> bool {
        self.history.unsent_attempts < MAX_UNSENT_ATTEMPTS
    }

    /// Records that a server responded with 421: it is another incarnation, or does not serve the stage, the
    /// model or its version. The server is excluded from selection for a while, unless the client itself
    /// expected a version: the response then says nothing about other requests.
    pub fn record_misdirected(&self, selection: &Selection) {
        if self.request.head.headers.has("expect-version") {
            return;
        }
        self.state.balancer.borrow_mut().record_misdirected(self.state.now(), selection.key);
    }

    /// Records a successful prefill. If the prefill was the free one, its withdrawal is kept for the next
    /// delivery. A free prefill has a withdrawal if an earlier prefill was rejected, since it is then a retry.
    pub fn record_prefill(&mut self) {
        self.budget.record_prefill(self.attempts.has_free_prefill());
        self.attempts.record_prefill();
    }

    /// Records that the complete request was sent or may have been, and checks that a retry was withdrawn
    /// from the retry budget.
    pub(super) fn record_delivery(&mut self) {
        let is_withdrawn = self.budget.has_unused_withdrawal() || !self.attempts.needs_retry_budget();
        check(Invariant::RetriesPaid, is_withdrawn, || {
            format!("request {} sent again without a withdrawal", self.request.id())
        });
        self.budget.record_delivery();
        self.attempts.record_delivery();
    }

    /// Returns the error of a request that is not attempted again. The error is `error_if_unexecuted` if no
    /// server has executed the request and there is time left; `error_if_unexecuted` must guarantee to the
    /// client that a retry is safe.
    pub fn final_error(&self, error_if_unexecuted: RequestError) -> RequestError {
        match (self.attempts.is_unexecuted(), self.terms.time_left().is_zero()) {
            (true, true) => RequestError::DeadlineBeforeExecution,
            (true, false) => error_if_unexecuted,
            (false, true) => RequestError::DeadlineExceeded,
            (false, false) => RequestError::BadGateway,
        }
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.terms.time_left()
    }
}
