//! Tests that logs and metrics explain a failed request as `docs/OPERATING.md` documents.

mod support;

use lugwharf_emulator::client::{AttemptEnd, Client};
use lugwharf_emulator::cluster::{Signal, poll};
use lugwharf_emulator::fault::{Fault, RequestMatcher};
use lugwharf_emulator::model_server::{ModelParameters, Stage};
use rstest::rstest;
use std::collections::BTreeMap;
use support::{Fleet, PLAIN_SERVICE, SMALL};

const OPERATING: &str = include_str!("../../../docs/OPERATING.md");

/// Waits for the log line of a request and returns it.
async fn log_line_of(fleet: &Fleet, request_id: &str) -> String {
    let find = || {
        let logs = fleet.cluster.logs();
        let has = |line: &&str| line.contains("[request]") || line.contains("request {");
        let id = format!("request_id={request_id}");
        logs.lines().filter(has).find(|line| line.contains(&id)).map(str::to_owned)
    };
    assert!(
        poll(|| async { find().is_some() }).await,
        "request {request_id} is not logged\n{}",
        fleet.cluster.logs()
    );
    find().expect("the log line of the request is missing")
}

/// Returns the value of a field that has no spaces; empty if the line does not have the field.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let start = format!("{name}=");
    line.split_whitespace().find_map(|part| part.strip_prefix(start.as_str())).unwrap_or("")
}

/// The fields of a request's log line, in the order in which `docs/OPERATING.md` lists them.
const FIELD_NAMES: [&str; 15] = [
    "outcome",
    "request_id",
    "status",
    "route",
    "service",
    "elapsed_ms",
    "client_timeout_ms",
    "config_version",
    "list_epoch",
    "list_sequence",
    "live_proxies",
    "budget_denied",
    "cause",
    "attempts",
    "omitted",
];

/// Returns the names of the fields of a line, except those inside its attempts.
fn field_names(line: &str) -> Vec<&str> {
    let (before, rest) = line.split_once("attempts=[").expect("the line has no list of attempts");
    let (_, after) = rest.rsplit_once(']').expect("the list of attempts has no end");
    let names = |text| {
        str::split_whitespace(text).filter_map(|part: &str| part.split_once('=').map(|(name, _)| name))
    };
    names(before).chain(["attempts"]).chain(names(after)).collect()
}

#[rstest]
#[case::dropped_response(Fault::DropResponse, "broken", "502")]
#[case::garbage(Fault::Garbage, "broken", "502")]
#[tokio::test]
async fn broken_request_logs_its_server_connection_and_versions(
    #[case] fault: Fault, #[case] outcome: &str, #[case] status: &str,
) {
    let mut fleet = Fleet::start(SMALL).await;
    // The list that a process reads once after its start has no epoch, so an epoch shows a list watcher.
    let has_list_watcher = || async {
        let [proxy, _] = fleet.cluster.front_metrics(0).await;
        proxy.is_some_and(|text| metrics(&text)["lugwharf_proxy_list_epoch"] != "0")
    };
    assert!(poll(has_list_watcher).await, "no process watches the list\n{}", fleet.cluster.logs());
    let request = fleet.work();
    for server in &fleet.plain_servers {
        let matcher =
            RequestMatcher { request_id: Some(request.request_id.clone()), ..RequestMatcher::any() };
        server.inject(matcher, fault.clone(), 1);
    }
    let response = fleet.send(0, &request).await;
    assert_eq!(response.status.map(|status| status.to_string()).as_deref(), Some(status));
    let line = log_line_of(&fleet, &request.request_id).await;
    let fields = ["outcome", "status", "service", "config_version"].map(|name| field(&line, name));
    assert_eq!(fields, [outcome, status, PLAIN_SERVICE, "1"], "{line}");
    assert_eq!(field_names(&line), FIELD_NAMES, "{line}");
    let arrivals = fleet.environment.request_log().arrivals_of(&request.request_id);
    assert_eq!(arrivals.len(), 1);
    let attempt = format!("attempts=[{}/full connection:", arrivals[0].instance);
    assert!(line.contains(&attempt) && line.contains(" broken"), "{attempt} is not in {line}");
    // The agent has the versions that routed the request, and the log of control names the list watcher.
    let [proxy, agent] = fleet
        .cluster
        .front_metrics(0)
        .await
        .map(|text| metrics(&text.expect("the process serves no metrics")));
    assert_eq!(field(&line, "list_epoch"), agent["lugwharf_agent_list_epoch"]);
    assert_eq!(proxy["lugwharf_proxy_config_version"], agent["lugwharf_agent_config_version"]);
    let acquired = format!("outcome=acquired token={}", field(&line, "list_epoch"));
    assert!(fleet.cluster.logs().contains(&acquired), "{acquired}\n{}", fleet.cluster.logs());
    assert_eq!(proxy["lugwharf_proxy_requests_total{outcome=\"broken\"}"], "1");
}

#[tokio::test]
async fn request_past_its_deadline_logs_its_limit() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut request = fleet.work();
    request.deadline_ms = 700;
    for server in &fleet.plain_servers {
        let matcher =
            RequestMatcher { request_id: Some(request.request_id.clone()), ..RequestMatcher::any() };
        server.inject(matcher, Fault::Hang, 1);
    }
    fleet.send(0, &request).await;
    let line = log_line_of(&fleet, &request.request_id).await;
    assert!(["deadline", "left"].contains(&field(&line, "outcome")), "{line}");
    assert!(field(&line, "client_timeout_ms").parse::<u64>().is_ok_and(|limit| limit <= 700), "{line}");
}

#[tokio::test]
async fn request_without_a_route_logs_the_configuration_version() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut request = fleet.work();
    request.target = "/nowhere/1".to_owned();
    assert_eq!(fleet.send(0, &request).await.status, Some(404));
    let line = log_line_of(&fleet, &request.request_id).await;
    let fields = ["outcome", "status", "route", "config_version"].map(|name| field(&line, name));
    assert_eq!(fields, ["no_route", "404", "-", "1"], "{line}");
}

#[tokio::test]
async fn request_before_any_configuration_is_logged_as_not_ready() {
    let mut fleet = Fleet::start(SMALL).await;
    // A proxy that starts without its agent has no configuration.
    fleet.cluster.kill_front(0, "agent").expect("cannot kill the process");
    fleet.cluster.kill_front(0, "proxy").expect("cannot kill the process");
    fleet.cluster.start_front_process(0, "proxy").expect("cannot start the process");
    let request = fleet.work();
    let address = fleet.cluster.front_address(0);
    let is_refused = || async { Client::new(address).send(&request).await.status == Some(503) };
    assert!(poll(is_refused).await, "{}", fleet.cluster.logs());
    let line = log_line_of(&fleet, &request.request_id).await;
    let fields = ["outcome", "route", "config_version", "attempts"].map(|name| field(&line, name));
    assert_eq!(fields[..3], ["not_ready", "-", "0"], "{line}");
    assert!(fields[3].starts_with("[]"), "{line}");
}

/// A stream that outlasts the grace period of its node is cut and logged before the process ends.
#[tokio::test]
async fn request_cut_at_the_end_of_a_drain_is_logged() {
    let decode = ModelParameters { step_ms: 40.0, ..ModelParameters::small_and_fast(Stage::Decode) };
    let mut fleet = Fleet::start_with_bounds(SMALL, decode, &[("GraceS", "1")]).await;
    let request = fleet.generation(400);
    let address = fleet.cluster.front_address(0);
    let stream = tokio::spawn({
        let request = request.clone();
        async move { Client::new(address).send(&request).await }
    });
    let has_started =
        || async { !fleet.environment.request_log().executions_of(&request.request_id).is_empty() };
    assert!(poll(has_started).await, "{}", fleet.cluster.logs());
    fleet.cluster.terminate_front(0).expect("cannot signal the processes of the node");
    let outcome = stream.await.expect("the client task panicked");
    assert_eq!((outcome.ending, outcome.status), (AttemptEnd::Truncated, Some(200)), "{outcome:?}");
    let line = log_line_of(&fleet, &request.request_id).await;
    assert_eq!([field(&line, "outcome"), field(&line, "status")], ["cut", "200"], "{line}");
}

/// Returns the samples of a metrics text by name and labels.
fn metrics(text: &str) -> BTreeMap<String, String> {
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    let pairs = samples.filter_map(|line| line.rsplit_once(' '));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

/// Checks that `docs/OPERATING.md` names every metric, and that no violated invariant is counted.
#[tokio::test]
async fn metrics_of_each_role_are_documented_and_count_no_violation() {
    let fleet = Fleet::start(SMALL).await;
    let [proxy, agent] = fleet.cluster.front_metrics(0).await;
    let control = fleet.cluster.control_metrics(0).await;
    for (prefix, text) in [("proxy", proxy), ("agent", agent), ("control", control)] {
        let text = text.unwrap_or_else(|| panic!("{prefix} has no metrics\n{}", fleet.cluster.logs()));
        let start = format!("# TYPE lugwharf_{prefix}_");
        for metric in text.lines().filter_map(|line| line.strip_prefix(start.as_str())) {
            let (name, kind) = metric.split_once(' ').expect("the TYPE line has no name and type");
            let documented = if kind == "counter" { format!("`{name}_total`") } else { format!("`{name}`") };
            assert!(OPERATING.contains(&documented), "{documented} of {prefix} is not in docs/OPERATING.md");
        }
        let violations = format!("lugwharf_{prefix}_invariant_violations_total");
        let counts: Vec<String> = metrics(&text)
            .into_iter()
            .filter(|(name, _)| name.starts_with(&violations))
            .map(|(_, count)| count)
            .collect();
        assert!(counts.len() > 10 && counts.iter().all(|count| count == "0"), "{text}");
    }
}

#[tokio::test]
async fn process_serves_without_its_metrics_port() {
    let mut fleet = Fleet::start(SMALL).await;
    // Occupies the port, as a process of another machine at the same address would.
    let address = fleet.cluster.control_address(0);
    fleet.cluster.signal_control(0, Signal::Kill).expect("cannot kill the process");
    fleet
        .cluster
        .process("control-0")
        .expect("the cluster has no such process")
        .wait()
        .expect("cannot wait for the process");
    let port = lugwharf_emulator::cluster::ports::METRICS;
    let _occupied = std::net::TcpListener::bind((address.ip(), port)).expect("cannot bind the metrics port");
    fleet.cluster.start_control(0).expect("cannot start the process");
    assert!(poll(|| async { fleet.cluster.control_status(0).await.is_some() }).await);
    let logs = fleet.cluster.logs();
    assert!(logs.contains("outcome=not_served"), "{logs}");
}
