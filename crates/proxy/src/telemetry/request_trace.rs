//! What explains the end of one request: its terms, its sends and how each of them ended.
//!
//! The trace outlives the task that serves the request, so that it also tells of a request whose client has left.

use crate::inbound::request::ClientRequest;
use crate::routes::Routes;
use crate::stack::execution::find;
use crate::state::ProxyState;
use crate::telemetry::metrics::increment;
use crate::telemetry::outcome::{AttemptLabel, BodyOutcome, RequestOutcome};
use lugwharf_protocol::VersionVector;
use lugwharf_routing::Phase;
use spdlog::prelude::*;
use std::cell::{Cell, RefCell};
use std::fmt::{self, Write};
use std::rc::Rc;
use std::time::Duration;

/// Sends that one line tells of.
const MAX_LOGGED_ATTEMPTS: usize = 16;

/// One send of the request.
#[derive(Debug)]
pub struct AttemptTrace {
    /// The server's incarnation.
    pub server: Rc<str>,
    /// What it was to do.
    pub part: Phase,
    /// The connection that carried it last, if any did.
    pub connection: Option<u64>,
    /// Since the request arrived.
    pub begun: Duration,
    /// Until it ended or its head came.
    pub took: Duration,
    /// The time that the request had left when it was sent.
    pub left: Duration,
    /// Whether it was paid from the retry budget.
    pub paid: bool,
    /// How it ended.
    pub outcome: AttemptLabel,
    /// How the body of its answer ended, where that went wrong.
    pub body: Option<BodyOutcome>,
}

impl fmt::Display for AttemptTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = match self.part {
            Phase::Full => "whole",
            Phase::Prefill => "prefill",
            Phase::Decode => "decode",
        };
        write!(f, "{}/{part}", self.server)?;
        if let Some(connection) = self.connection {
            write!(f, " connection:{connection}")?;
        }
        let ms = |time: Duration| time.as_millis();
        write!(f, " at_ms:{} took_ms:{} left_ms:{}", ms(self.begun), ms(self.took), ms(self.left))?;
        if self.paid {
            f.write_str(" paid")?;
        }
        write!(f, " {}", self.outcome.name())?;
        if let AttemptLabel::Response { status, .. } = self.outcome {
            write!(f, ":{status}")?;
        }
        self.body.map_or(Ok(()), |body| write!(f, " {}", body.name()))
    }
}

/// The terms under which a request was served.
#[derive(Debug)]
struct RequestTerms {
    routes: Rc<Routes>,
    service: String,
    objective: Duration,
    limit: Duration,
    have: VersionVector,
}

/// The trace of one request.
#[derive(Debug, Default)]
pub struct RequestTrace {
    terms: RefCell<Option<RequestTerms>>,
    sends: RefCell<Vec<AttemptTrace>>,
    record_budget_denial: Cell<bool>,
    /// The status of the answer that has begun.
    status: Cell<Option<u16>>,
    is_finished: Cell<bool>,
}

/// Sees to it that a request whose task is dropped, as at the end of the process, is counted and told of as cut.
pub struct TraceGuard<'a> {
    trace: &'a RequestTrace,
    state: &'a ProxyState,
    request: &'a ClientRequest,
}

impl<'a> TraceGuard<'a> {
    /// For the time in which the request is served.
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
    /// The request has a route, and these terms.
    pub fn begin(
        &self, state: &ProxyState, routes: &Rc<Routes>, service: &str, objective: Duration, limit: Duration,
    ) {
        let terms = RequestTerms {
            routes: routes.clone(),
            service: service.to_owned(),
            objective,
            limit,
            have: state.have(),
        };
        *self.terms.borrow_mut() = Some(terms);
    }

    /// A send has ended.
    pub fn sent(&self, send: AttemptTrace) {
        let mut sends = self.sends.borrow_mut();
        if sends.len() < MAX_LOGGED_ATTEMPTS {
            sends.push(send);
        }
    }

    /// The body of the last send's answer went wrong.
    pub fn body_ended(&self, body: BodyOutcome) {
        if let Some(send) = self.sends.borrow_mut().last_mut() {
            send.body = Some(body);
        }
    }

    /// The retry budget did not allow another send.
    pub fn record_budget_denial(&self, state: &ProxyState) {
        self.record_budget_denial.set(true);
        increment(&state.metrics.budget_denials);
    }

    /// An answer with this status begins.
    pub fn answered(&self, status: u16) {
        self.status.set(Some(status));
    }

    /// The status of the answer that has begun.
    pub fn status(&self) -> Option<u16> {
        self.status.get()
    }

    /// Counts the request, and writes a line if it failed.
    pub fn finish(&self, state: &ProxyState, request: &ClientRequest, outcome: RequestOutcome) {
        self.is_finished.set(true);
        state.metrics.request_ended(outcome);
        if self.is_failure(request, outcome)
            && let Some(permit) = state.metrics.may_write_line(state.now(), outcome)
        {
            self.write(state, request, outcome, permit.omitted);
        }
    }

    /// A client that leaves before an answer is due has its own reasons.
    fn is_failure(&self, request: &ClientRequest, outcome: RequestOutcome) -> bool {
        let terms = self.terms.borrow();
        let objective = terms.as_ref().map_or(Duration::ZERO, |terms| terms.objective);
        match outcome {
            RequestOutcome::Success => false,
            RequestOutcome::ClientDisconnected => request.arrived.elapsed() >= objective,
            RequestOutcome::ServerFailure | RequestOutcome::Interrupted | RequestOutcome::Rejected(_) => true,
        }
    }

    fn write(&self, state: &ProxyState, request: &ClientRequest, outcome: RequestOutcome, omitted: u64) {
        let terms = self.terms.borrow();
        let terms = terms.as_ref();
        let route = terms.and_then(|terms| find(&request.head, &terms.routes).ok());
        let route = route.map_or("-", |route| &route.name);
        let service = terms.map_or("-", |terms| &terms.service);
        let limit_ms = terms.map_or(0, |terms| millis(terms.limit));
        let have = terms.map_or_else(|| state.have(), |terms| terms.have);
        let sends = self.sends_text();
        warn!("request", kv: {
            outcome = outcome.name(), request_id = request.id(), status = self.status.get().unwrap_or(0), route, service,
            ms = millis(request.arrived.elapsed()), limit_ms, config_version = have.config,
            list_epoch = have.servers.epoch, list_sequence = have.servers.sequence,
            live_proxies = have.live_proxies, record_budget_denial = self.record_budget_denial.get(), sends = sends.as_str(), omitted
        });
    }

    fn sends_text(&self) -> String {
        let mut text = String::from("[");
        for (index, send) in self.sends.borrow().iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            // Writing to a string does not fail.
            let _ = write!(text, "{separator}{send}");
        }
        text.push(']');
        text
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
