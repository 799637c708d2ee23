//! Tests of which processes may be able to reach the platform, and of how the lease moves.

use super::platform_reachability::PlatformReachability;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_700))
}

#[rstest]
#[case::fresh(true, 5_000, 2, true)]
#[case::at_its_ttl(true, 7_000, 2, true)]
#[case::expired(true, 7_001, 2, false)]
#[case::negative(false, 5_000, 2, false)]
#[case::not_a_member(true, 5_000, 3, false)]
fn only_a_member_with_a_fresh_positive_report_may_reach(
    #[case] reaches: bool, #[case] now: u64, #[case] member: u8, #[case] expected: bool,
) {
    let mut reachability = PlatformReachability::default();
    reachability.record_peer_report(ms(5_000), address(2), reaches);
    assert_eq!(reachability.any_peer_may_reach(ms(now), &[address(member)]), expected);
}

#[rstest]
#[case(29_999, false)]
#[case(30_000, true)]
fn own_failure_expires(#[case] after: u64, #[case] expected: bool) {
    let mut reachability = PlatformReachability::default();
    assert!(reachability.may_be_reachable(ms(0)));
    reachability.record_failure(ms(1_000));
    assert_eq!(reachability.may_be_reachable(ms(1_000 + after)), expected);
}

#[test]
fn success_clears_the_failure() {
    let mut reachability = PlatformReachability::default();
    reachability.record_failure(ms(1_000));
    reachability.record_success();
    assert!(reachability.may_be_reachable(ms(1_001)));
}

/// After a peer has read the list, the retry time of a process that failed repeatedly is as short as after a
/// first failure.
#[test]
fn failures_add_up_until_somebody_reads_the_list() {
    let mut reachability = PlatformReachability::default();
    let mut now = 0;
    for wait in [30_000, 60_000, 120_000, 240_000, 240_000] {
        reachability.record_failure(ms(now));
        assert!(!reachability.may_be_reachable(ms(now + wait - 1)), "{wait}");
        now += wait;
        assert!(reachability.may_be_reachable(ms(now)), "{wait}");
    }
    reachability.record_failure(ms(now));
    reachability.record_peer_success();
    assert!(
        !reachability.may_be_reachable(ms(now + 29_999)),
        "this process may still be unable to reach the platform"
    );
    assert!(reachability.may_be_reachable(ms(now + 30_000)));
    reachability.record_success();
    reachability.record_failure(ms(now));
    assert!(
        reachability.may_be_reachable(ms(now + 30_000)),
        "it counts as the first failure after a success"
    );
}

/// None of three processes reaches the platform. Each lease holder fails 1.4 s after it acquired the lease,
/// reports the failure, and steps down if a peer may be able to reach the platform. The lease must not keep
/// moving between them.
#[test]
fn lease_makes_few_rounds_while_nobody_reaches_the_platform() {
    let mut reaches: Vec<PlatformReachability> = (0..3).map(|_| PlatformReachability::default()).collect();
    let all: Vec<SocketAddr> = (1..=3).map(address).collect();
    let (mut holder, mut acquired_at, mut moves) = (0, 0, Vec::new());
    for now in (0..900_000).step_by(100) {
        for from in 0..3 {
            let is_reachable = reaches[from].may_be_reachable(ms(now));
            reaches
                .iter_mut()
                .for_each(|reachability| reachability.record_peer_report(ms(now), all[from], is_reachable));
        }
        if now < acquired_at + 1_400 {
            continue;
        }
        let others: Vec<SocketAddr> = all.iter().copied().filter(|other| *other != all[holder]).collect();
        reaches[holder].record_failure(ms(now));
        if reaches[holder].any_peer_may_reach(ms(now), &others) {
            moves.push(now);
            holder = (0..3)
                .find(|next| *next != holder && reaches[*next].may_be_reachable(ms(now)))
                .expect("no other process may reachability the platform");
            acquired_at = now;
        }
    }
    let first_round = moves.iter().filter(|at| **at < 30_000).count();
    assert_eq!(first_round, 2, "{moves:?}");
    let first_minute = moves.iter().filter(|at| **at < 60_000).count();
    assert!(first_minute <= 5, "{moves:?}");
    // Without longer retry times there would be two moves every 30 s: 60 in 15 minutes.
    assert!(moves.len() <= 16, "{moves:?}");
}
