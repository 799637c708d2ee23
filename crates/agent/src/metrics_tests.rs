//! Tests the exact text of the metrics, because alerts and dashboards refer to these names.

use super::{AgentMetrics, PullOutcome};
use crate::table_owner::TableSummary;
use lugwharf_protocol::{TablePosition, VersionVector};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn the_metrics_are_written_under_their_names() {
    let metrics = AgentMetrics::default();
    for outcome in [PullOutcome::Served, PullOutcome::Served, PullOutcome::NoQuorum, PullOutcome::Failed] {
        metrics.record_pull(outcome);
    }
    metrics.record_pull(PullOutcome::Fallback);
    metrics.record_followed();
    let servers = TablePosition { epoch: 5, sequence: 6 };
    let vector = VersionVector { config: 7, servers, live_proxies: 8 };
    let text = metrics.render(Instant::now(), &TableSummary { vector, servers: 9, waiting_feeds: 10 });
    // The values of one label have no defined order, and the help texts may change.
    let mut lines: Vec<&str> = text.lines().filter(|line| !line.starts_with("# HELP")).collect();
    lines.sort_unstable();
    assert_eq!(
        lines.join("\n"),
        "\
# EOF
# TYPE lugwharf_agent_config_version gauge
# TYPE lugwharf_agent_feeds gauge
# TYPE lugwharf_agent_followed counter
# TYPE lugwharf_agent_invariant_violations counter
# TYPE lugwharf_agent_list_epoch gauge
# TYPE lugwharf_agent_list_sequence gauge
# TYPE lugwharf_agent_live_proxies gauge
# TYPE lugwharf_agent_pulls counter
# TYPE lugwharf_agent_servers gauge
# TYPE lugwharf_agent_uptime_seconds gauge
lugwharf_agent_config_version 7
lugwharf_agent_feeds 10
lugwharf_agent_followed_total 1
lugwharf_agent_invariant_violations_total{invariant=\"acknowledged_on_enough_disks\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"agent_version_climbs\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"answer_of_its_request\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"attempts_bounded\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"body_bytes_bounded\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"client_connections_bounded\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"committed_version_climbs\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"handle_used_once\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"nothing_new_after_drain\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"one_configuration_per_version\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"one_final_answer\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"one_holder_per_token\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"one_list_per_position\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"one_value_per_ballot\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"one_view_per_number\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"order_under_lease\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"proxy_version_climbs\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"read_is_newest\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"retries_paid\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"unrepeatable_sent_once\"} 0
lugwharf_agent_invariant_violations_total{invariant=\"waiters_bounded\"} 0
lugwharf_agent_list_epoch 5
lugwharf_agent_list_sequence 6
lugwharf_agent_live_proxies 8
lugwharf_agent_pulls_total{outcome=\"failed\"} 1
lugwharf_agent_pulls_total{outcome=\"last_resort\"} 1
lugwharf_agent_pulls_total{outcome=\"out_of_touch\"} 1
lugwharf_agent_pulls_total{outcome=\"served\"} 2
lugwharf_agent_servers 9
lugwharf_agent_uptime_seconds 0"
    );
}
