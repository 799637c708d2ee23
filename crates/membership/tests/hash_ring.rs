//! Tests of which monitors a node sends heartbeats to.

use lugwharf_membership::HashRing;
use rstest::rstest;
use std::net::SocketAddr;

/// The number of nodes that are placed on a ring.
const NODES: usize = 420;

fn monitors(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|host| SocketAddr::from(([10, 0, host, 4], 7_700))).collect()
}

fn nodes() -> impl Iterator<Item = String> {
    (0..NODES).map(|number| format!("front-hall-{number}"))
}

#[rstest]
#[case::none(0, 2, 0)]
#[case::one(1, 2, 1)]
#[case::two_of_three(3, 2, 2)]
#[case::all(5, 9, 5)]
fn monitors_of_a_node_are_distinct(#[case] count: u8, #[case] wanted: usize, #[case] expected: usize) {
    let ring = HashRing::new(&monitors(count));
    for node in nodes() {
        let mut chosen = ring.monitors_of(&node, wanted);
        chosen.sort_unstable();
        chosen.dedup();
        assert_eq!(chosen.len(), expected);
    }
}

#[test]
fn ring_does_not_depend_on_the_order_of_monitors() {
    let mut reversed = monitors(5);
    reversed.reverse();
    reversed.extend(monitors(2));
    assert_eq!(HashRing::new(&reversed), HashRing::new(&monitors(5)));
}

#[test]
fn only_nodes_of_a_leaving_monitor_move() {
    let all = HashRing::new(&monitors(5));
    let left = monitors(5)[2];
    let rest: Vec<SocketAddr> = monitors(5).into_iter().filter(|monitor| *monitor != left).collect();
    let rest = HashRing::new(&rest);
    for node in nodes() {
        let before = all.monitors_of(&node, 2);
        let after = rest.monitors_of(&node, 1);
        let successor = if before[0] == left { before[1] } else { before[0] };
        assert_eq!(after, [successor]);
    }
}

#[rstest]
#[case(3)]
#[case(9)]
fn nodes_are_spread_evenly(#[case] count: u8) {
    let ring = HashRing::new(&monitors(count));
    let mean = NODES / usize::from(count);
    for monitor in monitors(count) {
        let homes = nodes().filter(|node| ring.monitors_of(node, 1) == [monitor]).count();
        assert!((mean / 2..=mean * 2).contains(&homes), "{homes} of a mean of {mean}");
    }
}

#[test]
fn len_is_the_number_of_monitors() {
    assert_eq!(HashRing::new(&monitors(3)).len(), 3);
    assert!(!HashRing::new(&monitors(3)).is_empty());
    assert!(HashRing::new(&[]).is_empty());
}

/// Processes of different releases share a ring, so the placement of nodes is part of the protocol.
#[test]
fn placement_is_the_same_in_every_release() {
    let ring = HashRing::new(&monitors(9));
    let homes: String = nodes()
        .take(60)
        .map(|node| monitors(9).iter().position(|monitor| ring.monitors_of(&node, 1) == [*monitor]))
        .map(|home| home.map_or("-".to_owned(), |home| home.to_string()))
        .collect();
    assert_eq!(homes, "048127052548052427142586212283547356855324114755744582357278");
}
