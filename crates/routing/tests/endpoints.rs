//! Updates of the endpoint list, and load reports of servers.

mod common;

use common::{balancer, full_delta, key_of, ms, position, unstaged_servers};
use lugwharf_protocol::{ServerDelta, TablePosition};
use lugwharf_routing::{LoadReport, Phase, Tuning};
use rstest::rstest;

#[rstest]
#[case::newer_sequence(position(1, 2), true)]
#[case::newer_epoch(position(2, 1), true)]
#[case::older_epoch(position(0, 9), false)]
#[case::older_sequence(position(1, 0), false)]
fn older_endpoint_lists_are_ignored(#[case] at: TablePosition, #[case] is_applied: bool) {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(1));
    assert_eq!(balancer.apply(ms(0), &full_delta(at, Vec::new())), is_applied);
    assert_eq!(balancer.has_servers(), !is_applied);
}

/// An update without a base comes from an agent of an earlier version.
#[rstest]
#[case::at_the_base(Some(position(1, 1)), true)]
#[case::beyond_the_base(Some(position(1, 0)), true)]
#[case::before_the_base(Some(position(1, 2)), false)]
#[case::without_a_base(None, true)]
fn update_is_applied_unless_another_one_is_missing(
    #[case] base: Option<TablePosition>, #[case] is_applied: bool,
) {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(1));
    let delta = ServerDelta { position: position(1, 3), base, ..ServerDelta::default() };
    assert_eq!(balancer.apply(ms(0), &delta), is_applied);
    assert_eq!(balancer.position(), position(1, if is_applied { 3 } else { 1 }));
}

#[test]
fn updates_retain_the_state_of_servers_that_stay() {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(2));
    let (a, b) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.record_start(a, Phase::Full);
    let removed = vec!["b".to_owned()];
    let delta = ServerDelta {
        position: position(1, 2),
        is_full: false,
        base: None,
        entries: unstaged_servers(1),
        removed,
    };
    assert!(balancer.apply(ms(0), &delta));
    assert_eq!(balancer.in_flight(a, Phase::Full), 1);
    assert!(!balancer.is_listed(b));
    assert!(balancer.apply(ms(0), &full_delta(position(1, 3), unstaged_servers(2))));
    assert_ne!(key_of(&mut balancer, "b"), b, "a server that is listed again gets a new key");
    balancer.record_end(b, Phase::Full);
    let mut moved = unstaged_servers(2);
    moved[0].address.set_port(9);
    assert!(balancer.apply(ms(0), &full_delta(position(1, 4), moved)));
    assert!(!balancer.is_listed(a), "the same id at another address gets a new key");
}

#[rstest]
#[case("3,0,8", Some((3, 0, 8)), false)]
#[case("4,0,8", Some((4, 0, 8)), true)]
#[case("1, 1, 8", Some((1, 1, 8)), true)]
#[case("1,1", None, false)]
#[case("a,b,c", None, false)]
fn load_reports_are_parsed(
    #[case] text: &str, #[case] expected: Option<(u32, u32, u32)>, #[case] busy: bool,
) {
    let report = LoadReport::parse(text, ms(0));
    assert_eq!(report.map(|report| (report.running, report.waiting, report.slots)), expected);
    assert_eq!(report.is_some_and(|report| report.is_busy()), busy);
}
