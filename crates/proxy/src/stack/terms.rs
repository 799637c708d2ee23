//! The terms under which a request is served. They are determined before its first attempt and do not change.

use crate::inbound::request::ClientRequest;
use crate::routes::Routes;
use lugwharf_config::{Route, RouteKind, Service};
use lugwharf_routing::Prompt;
use std::time::Duration;
use tokio::time::Instant;

/// The deadline of a request is this much earlier than the end of the client's timeout, so that the response
/// arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);
/// The latency objective of routes without one in the configuration.
const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(500);
/// The maximum for latency objectives and timeouts of routes, in seconds: one day.
const MAX_ROUTE_SECONDS: f64 = 86_400.0;

/// The terms of a request, from its route and its headers.
#[derive(Debug)]
pub struct RequestTerms<'a> {
    /// The matched route.
    pub route: &'a Route,
    /// The service that was selected by the route.
    pub service: &'a str,
    /// The latency objective of the route: the latency within which a response has its full value.
    pub objective: Duration,
    /// How long the client waits, from the arrival of the request: its `Deadline-Ms`, limited by the timeout
    /// of the route.
    pub client_timeout: Duration,
    /// The time at which the final response is due.
    pub deadline: Instant,
    /// Whether servers may execute the request more than once.
    pub is_idempotent: bool,
    /// Whether the service consists of model servers.
    pub is_model_service: bool,
    /// The maximum number of connections that one server of the service accepts from all proxies together.
    pub max_connections: Option<u32>,
    /// The description of the prompt in the headers of the request.
    pub prompt: Prompt,
}

impl<'a> RequestTerms<'a> {
    /// Determines the terms of `request` on `route`.
    pub fn new(
        request: &ClientRequest, routes: &Routes, route: &'a Route, service: &'a str,
    ) -> RequestTerms<'a> {
        let definition: Option<&Service> = routes.service(service);
        let timeout = route_timeout(route);
        let client_timeout = request.client_timeout().unwrap_or(timeout).min(timeout);
        RequestTerms {
            route,
            service,
            objective: latency_objective(route),
            client_timeout,
            deadline: request.arrived + client_timeout.saturating_sub(RESPONSE_MARGIN),
            is_idempotent: route.is_idempotent()
                || route.route_kind == RouteKind::Streaming && route.resumable,
            is_model_service: definition.is_some_and(|service| service.engine.is_some()),
            max_connections: definition.and_then(|service| service.max_conns),
            prompt: request.prompt(),
        }
    }

    /// Returns the time left until the deadline, or zero after the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Returns the latency objective of a route.
fn latency_objective(route: &Route) -> Duration {
    if route.slo_ms > 0.0 {
        Duration::from_secs_f64((route.slo_ms / 1e3).min(MAX_ROUTE_SECONDS))
    } else {
        DEFAULT_OBJECTIVE
    }
}

/// Returns the maximum time that a request on a route may take.
pub fn route_timeout(route: &Route) -> Duration {
    Duration::from_secs_f64((route.timeout_ms / 1e3).clamp(0.0, MAX_ROUTE_SECONDS))
}
