//! Tests the identification of changes: retries, and changes of two operators under the same version, in
//! orders in which they could be confused.

use crate::cases::support::{SECOND, bootstrapped_cluster, commit_changes, crash, lose_power, submit};
use crate::harness::{Change, Cluster, Scenario};
use lugwharf_chain::HistoryLimits;
use rstest::rstest;
use std::time::Duration;

/// The number of seeds for cases that depend on timing.
const SEEDS: u64 = 20;

/// A change with the same version and base but other bytes.
fn with_other_bytes(change: &Change) -> Change {
    Change { bytes: b"other bytes"[..].into(), ..change.clone() }
}

/// The number of definite responses to a change.
#[derive(Debug, PartialEq, Eq)]
struct Responses {
    acknowledged: usize,
    rejected: usize,
}

const ACKNOWLEDGED: Responses = Responses { acknowledged: 1, rejected: 0 };
const REJECTED: Responses = Responses { acknowledged: 0, rejected: 1 };

/// The number of definite responses that clients have received so far.
fn responses(cluster: &Cluster) -> Responses {
    let checker = &cluster.checker;
    Responses { acknowledged: checker.acknowledged_count, rejected: checker.rejected_count }
}

/// Submits a change to one machine and returns the responses.
fn submit_to(cluster: &mut Cluster, change: &Change, node: usize) -> Responses {
    let before = responses(cluster);
    let end = cluster.now + 4 * SECOND;
    cluster.start_call_at(0, submit(change), end, &[node]);
    cluster.run_until(end).unwrap();
    assert!(cluster.clients[0].call.is_none(), "no response");
    let after = responses(cluster);
    Responses {
        acknowledged: after.acknowledged - before.acknowledged,
        rejected: after.rejected - before.rejected,
    }
}

#[rstest]
fn other_bytes_under_a_committed_version_are_rejected(#[values(0, 1, 2)] node: usize) {
    let mut cluster = bootstrapped_cluster(1, Scenario::three_nodes());
    let change = commit_changes(&mut cluster, 1);
    assert_eq!(submit_to(&mut cluster, &with_other_bytes(&change), node), REJECTED);
    assert_eq!(submit_to(&mut cluster, &change, node), ACKNOWLEDGED);
}

/// Two changes with the same version and base reach the head before either is on its disk.
#[test]
fn of_two_changes_with_one_version_one_is_acknowledged() {
    for seed in 0..SEEDS {
        let mut cluster = bootstrapped_cluster(seed, Scenario::three_nodes());
        let (base, acknowledged) = (cluster.checker.committed_version(), cluster.checker.acknowledged_count);
        let change = cluster.generate_change(base);
        let end = cluster.now + 2 * SECOND;
        cluster.start_call_at(0, submit(&change), end, &[1]);
        cluster.start_call_at(1, submit(&with_other_bytes(&change)), end, &[2]);
        cluster.run_until(end).unwrap();
        let outcome = (cluster.checker.acknowledged_count - acknowledged, cluster.checker.rejected_count);
        assert_eq!(outcome, (1, 1), "seed {seed}");
    }
}

#[rstest]
fn the_same_bytes_on_another_base_are_another_change(#[values(0, 1, 2)] node: usize) {
    let mut cluster = bootstrapped_cluster(2, Scenario::three_nodes());
    let change = commit_changes(&mut cluster, 1);
    let on_older_base = Change { base: change.base - 1, ..change.clone() };
    assert_eq!(submit_to(&mut cluster, &on_older_base, node), REJECTED);
    let on_newer_base = Change { base: change.version, version: change.version + 1, ..change.clone() };
    assert_eq!(submit_to(&mut cluster, &on_newer_base, node), ACKNOWLEDGED);
    assert_eq!(cluster.checker.committed_version(), change.version + 1);
    assert_eq!(submit_to(&mut cluster, &change, node), ACKNOWLEDGED);
}

/// A replica crashes while a change is in flight. The change is retried at other machines at different
/// moments of the view change.
#[rstest]
#[case::head_dies(0)]
#[case::middle_dies(1)]
#[case::tail_dies(2)]
fn a_retry_during_a_view_change_is_acknowledged(#[case] lost: usize) {
    let others: Vec<usize> = (0..3).filter(|node| *node != lost).collect();
    for moment in 0..60 {
        let mut cluster = bootstrapped_cluster(moment, Scenario::three_nodes());
        let base = cluster.checker.committed_version();
        let change = cluster.generate_change(base);
        cluster.start_call_at(0, submit(&change), cluster.now + 8 * SECOND, &[lost]);
        cluster.run_for(Duration::from_millis(moment % 20)).unwrap();
        crash(&mut cluster, &[lost], 20 * SECOND);
        cluster.run_for(Duration::from_millis(20 * moment)).unwrap();
        let end = cluster.now + 5 * SECOND;
        cluster.start_call_at(0, submit(&change), end, &others[..1]);
        cluster.start_call_at(1, submit(&change), end, &others[1..]);
        cluster.run_until(end).unwrap();
        assert!(cluster.clients.iter().all(|client| client.call.is_none()), "moment {moment}");
        assert_eq!(cluster.checker.rejected_count, 0, "moment {moment}");
        assert_eq!(cluster.checker.committed_version(), change.version, "moment {moment}");
    }
}

/// The log is rewritten after the change, and all machines recover from the rewritten log.
#[rstest]
fn a_retry_after_a_rewrite_of_the_log_is_acknowledged(#[values(0, 1, 2)] node: usize) {
    let mut cluster =
        bootstrapped_cluster(3, Scenario { rewrite_threshold_bytes: 3_000, ..Scenario::three_nodes() });
    let change = commit_changes(&mut cluster, 40);
    lose_power(&mut cluster, &[0, 1, 2], &[], SECOND);
    cluster.run_for(4 * SECOND).unwrap();
    assert_eq!(submit_to(&mut cluster, &change, node), ACKNOWLEDGED);
    assert_eq!(submit_to(&mut cluster, &with_other_bytes(&change), node), REJECTED);
}

/// A scenario in which older entry headers are dropped soon.
fn short_history() -> Scenario {
    Scenario {
        history: HistoryLimits { max_headers: 8, max_bodies: 2 },
        rewrite_threshold_bytes: 3_000,
        ..Scenario::three_nodes()
    }
}

/// No replica knows whether such a change was committed, so the change is neither acknowledged nor rejected,
/// even if it never was.
#[rstest]
#[case::that_was_committed(Change::clone)]
#[case::with_other_bytes(with_other_bytes)]
fn a_retry_after_its_header_was_dropped_gets_no_definite_response(
    #[case] retried: fn(&Change) -> Change, #[values(0, 1, 2)] node: usize,
) {
    let mut cluster = bootstrapped_cluster(4, short_history());
    let change = commit_changes(&mut cluster, 20);
    let newest = cluster.clients[0].last_acknowledged.clone().unwrap();
    let acknowledged = cluster.checker.acknowledged_count;
    cluster.start_call_at(0, submit(&retried(&change)), cluster.now + 60 * SECOND, &[node]);
    cluster.run_for(10 * SECOND).unwrap();
    let call =
        cluster.clients[0].call.take().expect("the call was answered, but no definite response is possible");
    assert!(call.attempts > 3, "{call:?}");
    assert_eq!((cluster.checker.acknowledged_count, cluster.checker.rejected_count), (acknowledged, 0));
    assert_eq!(submit_to(&mut cluster, &newest, node), ACKNOWLEDGED);
}

/// The base of this change shows that it is not a retry, so it is rejected although headers were dropped.
#[test]
fn a_stale_version_is_rejected_after_headers_were_dropped() {
    let mut cluster = bootstrapped_cluster(5, short_history());
    commit_changes(&mut cluster, 20);
    let base = cluster.checker.committed_version();
    let stale = Change { version: 1, base, bytes: b"outdated"[..].into() };
    assert_eq!(submit_to(&mut cluster, &stale, 1), REJECTED);
}

/// Both submissions are acknowledged, even if the second one reaches the head while the first is in flight
/// along the chain.
#[test]
fn an_identical_concurrent_change_is_acknowledged() {
    for seed in 0..SEEDS {
        let mut cluster = bootstrapped_cluster(seed, Scenario::three_nodes());
        let (base, acknowledged) = (cluster.checker.committed_version(), cluster.checker.acknowledged_count);
        let change = cluster.generate_change(base);
        let end = cluster.now + 2 * SECOND;
        cluster.start_call_at(0, submit(&change), end, &[1]);
        cluster.run_for(Duration::from_millis(seed % 12)).unwrap();
        cluster.start_call_at(1, submit(&change), end, &[2]);
        cluster.run_until(end).unwrap();
        assert_eq!(cluster.checker.acknowledged_count - acknowledged, 2, "seed {seed}");
        assert_eq!(
            (cluster.checker.rejected_count, cluster.checker.committed_version()),
            (0, change.version),
            "seed {seed}"
        );
    }
}
