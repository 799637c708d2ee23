//! A machine that is cut off or stands still for a long time, with an operator at its side.

use crate::fault::Fault;
use crate::network::CutMode;
use crate::operator::Wish;
use crate::world::{Scenario, World, address};
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// How long a machine stays cut off.
const CUT_SECONDS: u32 = 20;
/// From the cut on, a machine says that it is out of touch after: the time until its peers are suspected (700 ms), for a cut of one
/// way the same at a peer and its next heartbeat (200 ms), and a tick (50 ms), with room for delays.
const OUT_OF_TOUCH_WITHIN: Duration = Duration::from_millis(1_000);
/// After the cut, a machine knows what the others committed within this: a heartbeat, a request and a sync.
const CAUGHT_UP_WITHIN: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Both,
    From,
    To,
}

fn links(machines: usize, cut: usize, direction: Direction) -> Vec<(usize, usize)> {
    let others = (0..machines).filter(|other| *other != cut);
    others.flat_map(|other| pair(cut, other, direction)).collect()
}

fn pair(cut: usize, other: usize, direction: Direction) -> Vec<(usize, usize)> {
    match direction {
        Direction::Both => vec![(cut, other), (other, cut)],
        Direction::From => vec![(cut, other)],
        Direction::To => vec![(other, cut)],
    }
}

/// The operator at the cut machine tries changes on what was current, on what is current, and reads.
fn wishes(world: &mut World, before: u64) -> [Wish; 3] {
    let stale = world.fresh_order(before);
    let proper = world.proper_change();
    let read = Wish::Read { at_least: world.oracle.newest_acked() };
    [Wish::Submit { acked_base: false, order: stale }, proper, read]
}

fn gets_no_answer(world: &mut World, cut: usize, before: u64) {
    for wish in wishes(world, before) {
        let end = world.now + 60 * SECOND;
        world.begin_at(1, wish, end, &[cut]);
        world.run_for(2 * SECOND).unwrap();
        assert!(world.operators[1].call.is_some(), "machine {cut} answered");
    }
}

#[rstest]
#[case::three(3, 1)]
#[case::five(5, 2)]
fn a_machine_that_is_cut_off_decides_nothing(
    #[case] machines: usize, #[case] tolerated: usize, #[values(0, 1, 2)] cut: usize,
    #[values(Direction::Both, Direction::From, Direction::To)] direction: Direction,
    #[values(CutMode::Lose, CutMode::Hold)] mode: CutMode,
) {
    let mut world = World::new(cut as u64, Scenario { machines, tolerated, ..Scenario::small() });
    world.begin_day().unwrap();
    world.must_take_change().unwrap();
    let before = world.oracle.current();
    let begun = world.now;
    world.inflict(Fault::Cut { links: links(machines, cut, direction), mode });
    world.run_for(OUT_OF_TOUCH_WITHIN).unwrap();
    assert!(!world.status(cut).has_quorum);
    while world.now < begun + CUT_SECONDS * SECOND {
        world.must_take_change().unwrap();
        gets_no_answer(&mut world, cut, before);
        assert!(!world.status(cut).has_quorum);
    }
    world.inflict(Fault::HealCuts);
    world.run_for(CAUGHT_UP_WITHIN).unwrap();
    assert_eq!(world.status(cut).committed_version, Some(world.oracle.current()));
    assert!(world.status(cut).has_quorum);
    world.must_take_change().unwrap();
    world.must_read_back().unwrap();
}

/// A machine that stood still answers what it was asked meanwhile, and first of all hears nothing new: whatever it says then is
/// true of the others' state, which the oracle checks at each answer.
#[rstest]
fn a_machine_that_stood_still_decides_nothing_old(
    #[values(0, 1, 2)] node: usize, #[values(3, 4)] machines: usize,
) {
    for seed in 0..10 {
        let mut world = World::new(seed, Scenario { machines, ..Scenario::small() });
        world.begin_day().unwrap();
        world.must_take_change().unwrap();
        let before = world.oracle.current();
        world.inflict(Fault::Freeze { node });
        for _ in 0..4 {
            world.must_take_change().unwrap();
            world.run_for(5 * SECOND).unwrap();
        }
        for wish in wishes(&mut world, before) {
            // The call waits in the process until it goes on.
            world.begin_at(1, wish, world.now + 60 * SECOND, &[node]);
            world.run_for(Duration::from_millis(100)).unwrap();
            world.inflict(Fault::Thaw { node });
            world.run_for(3 * SECOND).unwrap();
            world.inflict(Fault::Freeze { node });
            world.run_for(2 * SECOND).unwrap();
        }
        world.inflict(Fault::Thaw { node });
        world.run_for(CAUGHT_UP_WITHIN).unwrap();
        assert_eq!(world.status(node).committed_version, Some(world.oracle.current()));
        world.must_take_change().unwrap();
    }
}

/// The links of one machine to the head and to the tail are cut, while all others reach these and it reaches the others.
#[rstest]
fn a_machine_cut_off_from_the_ends_of_the_chain_answers_through_others(
    #[values(4, 5)] machines: usize,
    #[values(Direction::Both, Direction::From, Direction::To)] direction: Direction,
    #[values(CutMode::Lose, CutMode::Hold)] mode: CutMode,
) {
    for seed in 0..5 {
        let mut world = World::new(seed, Scenario { machines, ..Scenario::small() });
        world.begin_day().unwrap();
        world.must_take_change().unwrap();
        let chain = world.status(0).chain;
        let outside = (0..machines).find(|node| !chain.contains(&address(*node))).expect("a learner");
        let ends = [chain.first(), chain.last()].map(|end| *end.expect("a chain"));
        let is_end = |node: &usize| ends.contains(&address(*node));
        let cut: Vec<(usize, usize)> =
            (0..machines).filter(is_end).flat_map(|end| pair(outside, end, direction)).collect();
        world.inflict(Fault::Cut { links: cut, mode });
        world.run_for(OUT_OF_TOUCH_WITHIN).unwrap();
        for _ in 0..3 {
            let read = Wish::Read { at_least: world.oracle.newest_acked() };
            for wish in [world.proper_change(), read] {
                let end = world.now + 4 * SECOND;
                world.begin_at(1, wish, end, &[outside]);
                while world.operators[1].call.is_some() && world.now < end {
                    world.run_for(Duration::from_millis(50)).unwrap();
                }
                assert!(world.operators[1].call.is_none(), "seed {seed}: no answer at machine {outside}");
            }
        }
    }
}
