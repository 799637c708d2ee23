//! Two operators, one number: what identifies a change, with the order forced that would confuse it.

use crate::days::{SECOND, day, take_many};
use crate::fault::Fault;
use crate::operator::Wish;
use crate::oracle::Order;
use crate::world::{Scenario, World};
use lugwharf_chain::HistoryLimits;
use rstest::rstest;
use std::time::Duration;

const SEEDS: u64 = 20;

fn submit(order: &Order) -> Wish {
    Wish::Submit { order: order.clone(), acked_base: false }
}

fn with_other_bytes(order: &Order) -> Order {
    Order { bytes: b"other bytes"[..].into(), ..order.clone() }
}

/// Sends a change to one machine. Returns how many acknowledgements and refusals it got.
fn send(world: &mut World, order: &Order, node: usize) -> (usize, usize) {
    let before = (world.oracle.acknowledged, world.oracle.refusals);
    let end = world.now + 4 * SECOND;
    world.begin_at(0, submit(order), end, &[node]);
    world.run_until(end).unwrap();
    assert!(world.operators[0].call.is_none(), "no answer");
    (world.oracle.acknowledged - before.0, world.oracle.refusals - before.1)
}

const TAKEN: (usize, usize) = (1, 0);
const REFUSED: (usize, usize) = (0, 1);

#[rstest]
fn the_same_number_with_other_bytes_is_refused(#[values(0, 1, 2)] node: usize) {
    let mut world = day(1, Scenario::small());
    let order = take_many(&mut world, 1);
    assert_eq!(send(&mut world, &with_other_bytes(&order), node), REFUSED);
    assert_eq!(send(&mut world, &order, node), TAKEN);
}

/// Two changes with one number on one base reach the head while neither is on its disk.
#[test]
fn of_two_changes_with_one_number_one_is_taken() {
    for seed in 0..SEEDS {
        let mut world = day(seed, Scenario::small());
        let (base, acknowledged) = (world.oracle.current(), world.oracle.acknowledged);
        let order = world.fresh_order(base);
        let end = world.now + 2 * SECOND;
        world.begin_at(0, submit(&order), end, &[1]);
        world.begin_at(1, submit(&with_other_bytes(&order)), end, &[2]);
        world.run_until(end).unwrap();
        let outcome = (world.oracle.acknowledged - acknowledged, world.oracle.refusals);
        assert_eq!(outcome, (1, 1), "seed {seed}");
    }
}

#[rstest]
fn the_same_bytes_on_another_base_are_another_change(#[values(0, 1, 2)] node: usize) {
    let mut world = day(2, Scenario::small());
    let order = take_many(&mut world, 1);
    let on_older_base = Order { base: order.base - 1, ..order.clone() };
    assert_eq!(send(&mut world, &on_older_base, node), REFUSED);
    let on_newer_base = Order { base: order.version, version: order.version + 1, ..order.clone() };
    assert_eq!(send(&mut world, &on_newer_base, node), TAKEN);
    assert_eq!(world.oracle.current(), order.version + 1);
    assert_eq!(send(&mut world, &order, node), TAKEN);
}

/// A replica dies while the change is on its way, and the change comes again elsewhere at every moment of the view change.
#[rstest]
#[case::head_dies(0)]
#[case::middle_dies(1)]
#[case::tail_dies(2)]
fn a_resend_to_another_machine_during_a_view_change(#[case] lost: usize) {
    let others: Vec<usize> = (0..3).filter(|node| *node != lost).collect();
    for moment in 0..60 {
        let mut world = day(moment, Scenario::small());
        let base = world.oracle.current();
        let order = world.fresh_order(base);
        world.begin_at(0, submit(&order), world.now + 8 * SECOND, &[lost]);
        world.run_for(Duration::from_millis(moment % 20)).unwrap();
        world.inflict(Fault::Kill { nodes: vec![lost], back_after: vec![20 * SECOND] });
        world.run_for(Duration::from_millis(20 * moment)).unwrap();
        let end = world.now + 5 * SECOND;
        world.begin_at(0, submit(&order), end, &others[..1]);
        world.begin_at(1, submit(&order), end, &others[1..]);
        world.run_until(end).unwrap();
        assert!(world.operators.iter().all(|operator| operator.call.is_none()), "moment {moment}");
        assert_eq!(world.oracle.refusals, 0, "moment {moment}");
        assert_eq!(world.oracle.current(), order.version, "moment {moment}");
    }
}

/// The log was rewritten behind the change, and all machines come back from it.
#[rstest]
fn a_resend_after_a_rewrite_of_the_log(#[values(0, 1, 2)] node: usize) {
    let mut world = day(3, Scenario { rewrite_above: 3_000, ..Scenario::small() });
    let order = take_many(&mut world, 40);
    let nodes = vec![0, 1, 2];
    world.inflict(Fault::PowerLoss { nodes, wiped: [].into(), back_after: vec![SECOND; 3] });
    world.run_for(4 * SECOND).unwrap();
    assert_eq!(send(&mut world, &order, node), TAKEN);
    assert_eq!(send(&mut world, &with_other_bytes(&order), node), REFUSED);
}

fn short_memory() -> Scenario {
    Scenario {
        history: HistoryLimits { max_headers: 8, max_bodies: 2 },
        rewrite_above: 3_000,
        ..Scenario::small()
    }
}

/// Nobody knows any more whether such a change was taken, so there is no clear answer, not even to one that was not taken.
#[rstest]
#[case::that_was_taken(Order::clone)]
#[case::with_other_bytes(with_other_bytes)]
fn a_resend_after_its_mark_was_dropped(#[case] change: fn(&Order) -> Order, #[values(0, 1, 2)] node: usize) {
    let mut world = day(4, short_memory());
    let order = take_many(&mut world, 20);
    let newest = world.operators[0].last_acked.clone().unwrap();
    let acknowledged = world.oracle.acknowledged;
    world.begin_at(0, submit(&change(&order)), world.now + 60 * SECOND, &[node]);
    world.run_for(10 * SECOND).unwrap();
    let call = world.operators[0].call.take().expect("no clear answer");
    assert!(call.tries > 3, "{call:?}");
    assert_eq!((world.oracle.acknowledged, world.oracle.refusals), (acknowledged, 0));
    assert_eq!(send(&mut world, &newest, node), TAKEN);
}

/// A change that its base shows to be nobody's resend is refused as ever.
#[test]
fn an_outdated_change_is_refused_though_marks_were_dropped() {
    let mut world = day(5, short_memory());
    take_many(&mut world, 20);
    let base = world.oracle.current();
    let outdated = Order { version: 1, base, bytes: b"outdated"[..].into() };
    assert_eq!(send(&mut world, &outdated, 1), REFUSED);
}

/// Both are acknowledged, though the second reaches the head while the first is on its way down the chain.
#[test]
fn an_identical_change_that_races_in() {
    for seed in 0..SEEDS {
        let mut world = day(seed, Scenario::small());
        let (base, acknowledged) = (world.oracle.current(), world.oracle.acknowledged);
        let order = world.fresh_order(base);
        let end = world.now + 2 * SECOND;
        world.begin_at(0, submit(&order), end, &[1]);
        world.run_for(Duration::from_millis(seed % 12)).unwrap();
        world.begin_at(1, submit(&order), end, &[2]);
        world.run_until(end).unwrap();
        assert_eq!(world.oracle.acknowledged - acknowledged, 2, "seed {seed}");
        assert_eq!((world.oracle.refusals, world.oracle.current()), (0, order.version), "seed {seed}");
    }
}
