//! Tests of how far behind agents are reported to be, and of which agents are reported.

use super::agent_registry::AgentRegistry;
use super::commit_history::{CommitHistory, Lag};
use lugwharf_protocol::{TablePosition, VersionVector};
use rstest::rstest;
use std::time::Duration;

const SERVERS: TablePosition = TablePosition { epoch: 3, sequence: 7 };

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn vector(config: u64, servers: TablePosition) -> VersionVector {
    VersionVector { config, servers, live_proxies: 1 }
}

/// Versions 4, 9 and 12 have been known since 10, 20 and 30 seconds.
fn commits() -> CommitHistory {
    let mut commits = CommitHistory::default();
    [(4, 10), (9, 20), (12, 30)].into_iter().for_each(|(version, at)| commits.record(seconds(at), version));
    commits
}

#[rstest]
#[case::newest(12, 0, 0)]
#[case::newer_than_is_known_here(13, 0, 0)]
#[case::one_behind(9, 1, 12)]
#[case::two_behind(4, 2, 22)]
#[case::nothing_yet(0, 3, 32)]
fn lag_counts_newer_commits_and_the_age_of_the_first(
    #[case] version: u64, #[case] versions: usize, #[case] time: u64,
) {
    assert_eq!(commits().lag(seconds(42), version), Lag { versions, time: seconds(time) });
}

#[test]
fn commit_history_is_bounded() {
    let mut commits = CommitHistory::default();
    (1..=10_000).for_each(|version| commits.record(seconds(version), version));
    assert_eq!(commits.lag(seconds(10_000), 0).versions, 256);
}

#[test]
fn report_has_the_agents_with_a_recent_pull() {
    let mut agents = AgentRegistry::default();
    agents.record_pull(seconds(5), "gone", vector(12, SERVERS));
    agents.record_pull(seconds(41), "behind", vector(9, TablePosition { sequence: 6, ..SERVERS }));
    agents.record_pull(seconds(40), "current", vector(4, SERVERS));
    agents.record_pull(seconds(42), "current", vector(12, SERVERS));
    let report = agents.report(seconds(42), SERVERS, &commits());
    let shown: Vec<_> = report
        .iter()
        .map(|agent| (agent.node.as_str(), agent.versions_behind, agent.behind_ms, agent.servers_current))
        .collect();
    assert_eq!(shown, [("behind", 1, 12_000, false), ("current", 0, 0, true)]);
    assert_eq!(report[0].silent_ms, 1_000);
}
