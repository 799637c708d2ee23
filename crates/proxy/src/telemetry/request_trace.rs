//! The trace of one request: its terms, its attempts, and their outcomes.
//!
//! The trace outlives the future that serves the request, so that requests whose clients disconnect are
//! recorded too.

use crate::inbound::request::ClientRequest;
use crate::routes::Routes;
use crate::stack::terms::RequestTerms;
use crate::state::ProxyState;
use crate::telemetry::metrics::{Metrics, increment};
use crate::telemetry::outcome::{AttemptLabel, BodyFailure, RequestOutcome};
use lugwharf_protocol::VersionVector;
use lugwharf_routing::Phase;
use spdlog::warn;
use std::cell::{Cell, RefCell};
use std::fmt::{self, Write};
use std::rc::Rc;
use std::time::Duration;

/// The maximum number of attempts that one log line lists. Further ones appear only in the metrics.
const MAX_LOGGED_ATTEMPTS: usize = 16;

/// One attempt of the request.
#[derive(Debug)]
pub struct AttemptTrace {
    /// The id of the server, which identifies its incarnation.
    pub server: Rc<str>,
    /// The phase that was requested of the server.
    pub phase: Phase,
    /// The last connection that the request was sent on, if any.
    pub connection: Option<u64>,
    /// The time from the arrival of the request to the start of the attempt.
    pub started_at: Duration,
    /// The time from the start of the attempt until it failed or the head of the response was received.
    pub elapsed: Duration,
    /// The time from the start of the attempt to the request's deadline.
    pub time_left: Duration,
    /// Whether the attempt was withdrawn from the retry budget.
    pub is_budgeted: bool,
    /// The outcome of the attempt.
    pub label: AttemptLabel,
    /// How the body of the response failed, if it failed.
    pub body: Option<BodyFailure>,
}

/// `SERVER/PHASE connection:ID at_ms:N took_ms:N left_ms:N [budgeted] LABEL[:STATUS] [BODY]`
impl fmt::Display for AttemptTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let phase = match self.phase {
            Phase::Full => "full",
            Phase::Prefill => "prefill",
            Phase::Decode => "decode",
        };
        write!(f, "{}/{phase}", self.server)?;
        if let Some(connection) = self.connection {
            write!(f, " connection:{connection}")?;
        }
        let (at, took, left) = (millis(self.started_at), millis(self.elapsed), millis(self.time_left));
        write!(f, " at_ms:{at} took_ms:{took} left_ms:{left}")?;
        if self.is_budgeted {
            f.write_str(" budgeted")?;
        }
        write!(f, " {}", self.label.name())?;
        if let AttemptLabel::Response { status, .. } = self.label {
            write!(f, ":{status}")?;
        }
        self.body.map_or(Ok(()), |body| write!(f, " {}", body.name()))
    }
}

/// The route and terms of the request, and the versions of the tables that it was routed by.
#[derive(Debug)]
struct RoutingContext {
    routes: Rc<Routes>,
    service: String,
    objective: Duration,
    client_timeout: Duration,
    versions: VersionVector,
}

/// The reason why a request is rejected as
/// [`RequestError::Saturated`](crate::inbound::error_response::RequestError::Saturated).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SaturationCause {
    /// The request has had all attempts that its route and the proxy's limits allow.
    NoAttemptsLeft,
    /// The retry budget denied a further delivery.
    NoBudget,
    /// The selected server is busy, and the estimated latency exceeds the time left. Logged as `hopeless`.
    LateEstimate,
    /// All servers that could serve the request are at their in-flight limits.
    NoCapacity,
    /// The servers rejected the request or could not be reached, and none is left to try.
    NoServerLeft,
    /// No prefill server prefilled the prompt, which is too long to be prefilled by a decode server.
    NoPrefill,
}

impl SaturationCause {
    /// Returns the name in logs.
    fn name(self) -> &'static str {
        match self {
            SaturationCause::NoAttemptsLeft => "no_attempts_left",
            SaturationCause::NoBudget => "no_budget",
            SaturationCause::LateEstimate => "hopeless",
            SaturationCause::NoCapacity => "no_capacity",
            SaturationCause::NoServerLeft => "no_server_left",
            SaturationCause::NoPrefill => "no_prefill",
        }
    }
}

/// The trace of one request.
#[derive(Debug, Default)]
pub struct RequestTrace {
    context: RefCell<Option<RoutingContext>>,
    attempts: RefCell<Vec<AttemptTrace>>,
    was_budget_denied: Cell<bool>,
    /// The reason why the request was rejected as saturated, if it was.
    saturation: Cell<Option<SaturationCause>>,
    /// The status of the response to the client, once the response has been started.
    status: Cell<Option<u16>>,
    is_finished: Cell<bool>,
}

/// Finishes the trace of a request whose task is dropped before its end, as when the process exits. Such a
/// request counts as interrupted.
pub struct TraceGuard<'a> {
    trace: &'a RequestTrace,
    state: &'a ProxyState,
    request: &'a ClientRequest,
}

impl<'a> TraceGuard<'a> {
    /// Creates a guard for the time in which the request is served.
    pub fn new(trace: &'a RequestTrace, state: &'a ProxyState, request: &'a ClientRequest) -> TraceGuard<'a> {
        TraceGuard { trace, state, request }
    }
}

impl Drop for TraceGuard<'_> {
    fn drop(&mut self) {
        if !self.trace.is_finished.get() {
            self.trace.finish(self.state, self.request, RequestOutcome::Interrupted);
        }
    }
}

impl RequestTrace {
    /// Records the route and terms of the request, and the versions of the tables in force.
    pub fn record_route(&self, state: &ProxyState, routes: &Rc<Routes>, terms: &RequestTerms<'_>) {
        let context = RoutingContext {
            routes: routes.clone(),
            service: terms.service.to_owned(),
            objective: terms.objective,
            client_timeout: terms.client_timeout,
            versions: state.versions(),
        };
        *self.context.borrow_mut() = Some(context);
    }

    /// Records a completed attempt.
    pub fn record_attempt(&self, attempt: AttemptTrace) {
        let mut attempts = self.attempts.borrow_mut();
        if attempts.len() < MAX_LOGGED_ATTEMPTS {
            attempts.push(attempt);
        }
    }

    /// Records how the body of the last attempt's response failed.
    pub fn record_body_failure(&self, body: BodyFailure) {
        if let Some(attempt) = self.attempts.borrow_mut().last_mut() {
            attempt.body = Some(body);
        }
    }

    /// Records and counts a retry that the retry budget denied.
    pub fn record_budget_denial(&self, metrics: &Metrics) {
        self.was_budget_denied.set(true);
        increment(&metrics.budget_denials);
    }

    /// Records why the request is rejected as saturated.
    pub fn record_saturation(&self, cause: SaturationCause) {
        self.saturation.set(Some(cause));
    }

    /// Records the status of the response that is being started.
    pub fn record_status(&self, status: u16) {
        self.status.set(Some(status));
    }

    /// Returns the status of the response, if one has been started.
    pub fn status(&self) -> Option<u16> {
        self.status.get()
    }

    /// Counts the request, and logs it if it failed and the rate limit permits it.
    pub fn finish(&self, state: &ProxyState, request: &ClientRequest, outcome: RequestOutcome) {
        self.is_finished.set(true);
        state.metrics.record_request(outcome);
        if self.is_failure(request, outcome)
            && let Some(permit) = state.metrics.try_acquire_log_permit(state.now(), outcome)
        {
            self.log(state, request, outcome, permit.omitted);
        }
    }

    /// Returns whether the request failed. If the client disconnects before the latency objective has passed,
    /// the proxy is not considered the cause.
    fn is_failure(&self, request: &ClientRequest, outcome: RequestOutcome) -> bool {
        let context = self.context.borrow();
        let objective = context.as_ref().map_or(Duration::ZERO, |context| context.objective);
        match outcome {
            RequestOutcome::Success => false,
            RequestOutcome::ClientDisconnected => request.arrived.elapsed() >= objective,
            RequestOutcome::ServerFailure | RequestOutcome::Interrupted | RequestOutcome::Rejected(_) => true,
        }
    }

    fn log(&self, state: &ProxyState, request: &ClientRequest, outcome: RequestOutcome, omitted: u64) {
        let context = self.context.borrow();
        let context = context.as_ref();
        let route = context.and_then(|context| context.routes.match_request(&request.head).ok());
        let route = route.map_or("-", |route| &route.name);
        let service = context.map_or("-", |context| &context.service);
        let client_timeout_ms = context.map_or(0, |context| millis(context.client_timeout));
        let versions = context.map_or_else(|| state.versions(), |context| context.versions);
        let attempts = self.format_attempts();
        warn!("request", kv: {
            outcome = outcome.name(), request_id = request.id(), status = self.status.get().unwrap_or(0), route, service,
            elapsed_ms = millis(request.arrived.elapsed()), client_timeout_ms, config_version = versions.config,
            list_epoch = versions.servers.epoch, list_sequence = versions.servers.sequence,
            live_proxies = versions.live_proxies, budget_denied = self.was_budget_denied.get(),
            cause = self.saturation.get().map_or("-", SaturationCause::name),
            attempts = attempts.as_str(), omitted
        });
    }

    fn format_attempts(&self) -> String {
        let mut text = String::from("[");
        for (index, attempt) in self.attempts.borrow().iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            // Writing to a string cannot fail.
            let _ = write!(text, "{separator}{attempt}");
        }
        text.push(']');
        text
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
