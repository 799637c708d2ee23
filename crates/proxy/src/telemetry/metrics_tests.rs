//! The names, types and labels of all metrics, which operators' alarms depend on. The metrics of invariant
//! violations are tested in the `telemetry` crate.

use crate::inbound::connections::ClientConnections;
use crate::inbound::error_response::RequestError;
use crate::outbound::ExchangeError;
use crate::outbound::fixtures::state_with_server;
use crate::stack::response_class::ResponseClass;
use crate::telemetry::metrics::increment;
use crate::telemetry::metrics_endpoint::render;
use crate::telemetry::outcome::{AttemptLabel, RequestOutcome};

const EXPECTED_LINES: [&str; 57] = [
    "# TYPE lugwharf_proxy_body_bytes gauge",
    "# TYPE lugwharf_proxy_budget_denials counter",
    "# TYPE lugwharf_proxy_clients gauge",
    "# TYPE lugwharf_proxy_config_version gauge",
    "# TYPE lugwharf_proxy_configs_unreadable counter",
    "# TYPE lugwharf_proxy_draining gauge",
    "# TYPE lugwharf_proxy_handles_freed counter",
    "# TYPE lugwharf_proxy_handles_left counter",
    "# TYPE lugwharf_proxy_list_epoch gauge",
    "# TYPE lugwharf_proxy_list_sequence gauge",
    "# TYPE lugwharf_proxy_live_proxies gauge",
    "# TYPE lugwharf_proxy_ready gauge",
    "# TYPE lugwharf_proxy_request_lines_omitted counter",
    "# TYPE lugwharf_proxy_requests counter",
    "# TYPE lugwharf_proxy_sends counter",
    "# TYPE lugwharf_proxy_uptime_seconds gauge",
    "lugwharf_proxy_body_bytes 321",
    "lugwharf_proxy_budget_denials_total 1",
    "lugwharf_proxy_clients 1",
    "lugwharf_proxy_config_version 0",
    "lugwharf_proxy_configs_unreadable_total 4",
    "lugwharf_proxy_draining 0",
    "lugwharf_proxy_handles_freed_total 2",
    "lugwharf_proxy_handles_left_total 3",
    "lugwharf_proxy_list_epoch 1",
    "lugwharf_proxy_list_sequence 1",
    "lugwharf_proxy_live_proxies 0",
    "lugwharf_proxy_ready 0",
    "lugwharf_proxy_request_lines_omitted_total 2",
    "lugwharf_proxy_requests_total{outcome=\"body_too_large\"} 7",
    "lugwharf_proxy_requests_total{outcome=\"broken\"} 15",
    "lugwharf_proxy_requests_total{outcome=\"cut\"} 3",
    "lugwharf_proxy_requests_total{outcome=\"deadline\"} 14",
    "lugwharf_proxy_requests_total{outcome=\"full\"} 12",
    "lugwharf_proxy_requests_total{outcome=\"head_too_large\"} 6",
    "lugwharf_proxy_requests_total{outcome=\"left\"} 4",
    "lugwharf_proxy_requests_total{outcome=\"malformed\"} 5",
    "lugwharf_proxy_requests_total{outcome=\"no_route\"} 9",
    "lugwharf_proxy_requests_total{outcome=\"not_ready\"} 10",
    "lugwharf_proxy_requests_total{outcome=\"server_failure\"} 2",
    "lugwharf_proxy_requests_total{outcome=\"shutting_down\"} 16",
    "lugwharf_proxy_requests_total{outcome=\"slow\"} 8",
    "lugwharf_proxy_requests_total{outcome=\"success\"} 1",
    "lugwharf_proxy_requests_total{outcome=\"unavailable\"} 11",
    "lugwharf_proxy_requests_total{outcome=\"unserved\"} 13",
    "lugwharf_proxy_sends_total{outcome=\"broken\"} 10",
    "lugwharf_proxy_sends_total{outcome=\"connect\"} 7",
    "lugwharf_proxy_sends_total{outcome=\"failure\"} 2",
    "lugwharf_proxy_sends_total{outcome=\"invalid\"} 3",
    "lugwharf_proxy_sends_total{outcome=\"late\"} 9",
    "lugwharf_proxy_sends_total{outcome=\"misdirected\"} 5",
    "lugwharf_proxy_sends_total{outcome=\"moot\"} 8",
    "lugwharf_proxy_sends_total{outcome=\"rejected\"} 4",
    "lugwharf_proxy_sends_total{outcome=\"spoilt\"} 6",
    "lugwharf_proxy_sends_total{outcome=\"success\"} 1",
    "lugwharf_proxy_sends_total{outcome=\"timeout\"} 11",
    "lugwharf_proxy_uptime_seconds 0",
];

/// Returns the lines with types and values, sorted, since the values of one metric may come in any order.
fn sorted_sample_lines(text: &str) -> Vec<&str> {
    let is_ignored =
        |line: &str| line.starts_with("# HELP") || line.contains("invariant_violations") || line == "# EOF";
    let mut lines: Vec<&str> = text.lines().filter(|line| !is_ignored(line)).collect();
    lines.sort_unstable();
    lines
}

#[tokio::test(start_paused = true)]
async fn names_and_values_of_all_metrics() {
    let state = state_with_server(([127, 0, 0, 1], 9).into());
    let clients = ClientConnections::new(4_096);
    let _ = clients.register();
    state.free_body_bytes.set(state.free_body_bytes.get() - 321);
    for (times, outcome) in RequestOutcome::all().enumerate() {
        (0..=times).for_each(|_| state.metrics.record_request(outcome));
    }
    let classes = [
        ResponseClass::Success,
        ResponseClass::Failure,
        ResponseClass::InvalidRequest,
        ResponseClass::Rejected,
        ResponseClass::Misdirected,
        ResponseClass::Unusable,
    ];
    let responses = classes.map(|class| AttemptLabel::Response { status: 200, class });
    let errors = [
        ExchangeError::Connect,
        ExchangeError::Aborted,
        ExchangeError::TooLate,
        ExchangeError::ConnectionBroken,
        ExchangeError::Timeout,
    ];
    let labels = responses.into_iter().chain(errors.map(AttemptLabel::Failed));
    for (times, outcome) in labels.enumerate() {
        (0..=times).for_each(|_| state.metrics.record_attempt(outcome));
    }
    increment(&state.metrics.budget_denials);
    (0..2).for_each(|_| increment(&state.metrics.handles_freed));
    (0..3).for_each(|_| increment(&state.metrics.handles_not_freed));
    (0..4).for_each(|_| increment(&state.metrics.unreadable_configs));
    // A burst of five lines is logged, and two more are omitted.
    let outcome = RequestOutcome::Rejected(RequestError::Saturated);
    let logged = (0..7).filter(|_| state.metrics.try_acquire_log_permit(state.now(), outcome).is_some());
    assert_eq!(logged.count(), 5);
    assert_eq!(sorted_sample_lines(&render(&state, &clients)), EXPECTED_LINES);
}
