//! Tests of the names and the text of the metrics.

use crate::metrics::{Metrics, RejectionCounters};
use crate::operator_error::ErrorKind;
use crate::status::{AgentStatus, Status};
use crate::status_tests::{example, server};
use lugwharf_protocol::{ServerState, Stage};
use lugwharf_stages::OrderOutcome;
use rstest::rstest;

fn behind(status: Status) -> Status {
    let agents = [0, 2].map(|versions_behind| AgentStatus {
        versions_behind,
        ..status.agents.first().cloned().expect("the example status lists no agent")
    });
    Status { agents: agents.to_vec(), ..status }
}

fn text() -> String {
    let rejections = RejectionCounters::default();
    let metrics = Metrics::new(&rejections);
    metrics.view_changes.inc();
    metrics.commits.inc_by(2);
    metrics.list_reads.inc_by(3);
    metrics.list_failures.inc_by(4);
    metrics.stand_downs.inc();
    metrics.record_order(OrderOutcome::Accepted);
    metrics.record_order(OrderOutcome::Unknown);
    metrics.record_order(OrderOutcome::Accepted);
    metrics.record_pulls(5, 0);
    metrics.record_pulls(1, 7);
    rejections.count(ErrorKind::Conflict);
    rejections.count(ErrorKind::Conflict);
    rejections.count(ErrorKind::Unavailable);
    let gone = [server("x", "gone", ServerState::Ready, None)];
    metrics.update_and_encode(&example(), gone.iter());
    let servers = [
        server("a", "model", ServerState::Ready, Some(Stage::Decode)),
        server("b", "model", ServerState::Ready, Some(Stage::Decode)),
        server("c", "model", ServerState::Draining, Some(Stage::Prefill)),
        server("d", "plain", ServerState::Ready, None),
    ];
    metrics.update_and_encode(&behind(example()), servers.iter())
}

#[rstest]
#[case("lugwharf_control_view_changes_total 1")]
#[case("lugwharf_control_commits_total 2")]
#[case("lugwharf_control_list_reads_total 3")]
#[case("lugwharf_control_list_failures_total 4")]
#[case("lugwharf_control_stand_downs_total 1")]
#[case("lugwharf_control_orders_total{answer=\"taken\"} 2")]
#[case("lugwharf_control_orders_total{answer=\"unclear\"} 1")]
#[case("lugwharf_control_pulls_total{answer=\"update\"} 6")]
#[case("lugwharf_control_pulls_total{answer=\"unchanged\"} 7")]
#[case("lugwharf_control_refusals_total{kind=\"conflict\"} 2")]
#[case("lugwharf_control_refusals_total{kind=\"unavailable\"} 1")]
#[case("lugwharf_control_refusals_total{kind=\"too_large\"} 0")]
#[case("lugwharf_control_servers{service=\"model\",stage=\"decode\",state=\"ready\"} 2")]
#[case("lugwharf_control_servers{service=\"model\",stage=\"prefill\",state=\"draining\"} 1")]
#[case("lugwharf_control_servers{service=\"plain\",stage=\"none\",state=\"ready\"} 1")]
#[case("lugwharf_control_uptime_seconds 0")]
#[case("lugwharf_control_view 2")]
#[case("lugwharf_control_members 1")]
#[case("lugwharf_control_chain_length 1")]
#[case("lugwharf_control_in_touch 1")]
#[case("lugwharf_control_serving 1")]
#[case("lugwharf_control_disk_well 0")]
#[case("lugwharf_control_config_version 5")]
#[case("lugwharf_control_list_reader 0")]
#[case("lugwharf_control_live_proxies 9")]
#[case("lugwharf_control_agents 2")]
#[case("lugwharf_control_agents_behind 1")]
fn metric_is_rendered(#[case] line: &str) {
    let text = text();
    assert!(text.lines().any(|rendered| rendered == line), "{text}");
}

#[test]
fn text_is_complete_and_omits_removed_services() {
    let text = text();
    assert!(text.ends_with("# EOF\n"), "{text}");
    assert!(!text.contains("gone"), "{text}");
}

#[test]
fn every_kind_of_rejection_has_a_label() {
    let text = text();
    for kind in ErrorKind::ALL {
        let label = format!("kind=\"{}\"", kind.status_and_name().1);
        assert!(text.contains(&label), "{label}\n{text}");
    }
}

/// The operators' documentation lists every metric.
#[test]
fn every_metric_is_documented_for_operators() {
    const OPERATING: &str = include_str!("../../../docs/OPERATING.md");
    let text = text();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE lugwharf_control_"));
    for metric in types {
        let (name, kind) = metric.split_once(' ').expect("the TYPE line has no name and type");
        let shown = if kind == "counter" { format!("`{name}_total`") } else { format!("`{name}`") };
        assert!(OPERATING.contains(&shown), "{shown} is not in docs/OPERATING.md");
    }
}
