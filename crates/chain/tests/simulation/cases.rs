//! Single cases, each with the rule that it stands for.

use crate::fault::{Fault, Round, When};
use crate::network::CutMode;
use crate::operator::Wish;
use crate::world::{Scenario, World};
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn day(seed: u64, scenario: Scenario) -> World {
    let mut world = World::new(seed, scenario);
    world.begin_day().unwrap();
    world
}

fn five() -> Scenario {
    Scenario { machines: 5, tolerated: 2, ..Scenario::small() }
}

fn lose_power(world: &mut World, nodes: &[usize], wiped: &[usize], back_after: Duration) {
    let back_after = vec![back_after; nodes.len()];
    world.inflict(Fault::PowerLoss {
        nodes: nodes.to_vec(),
        wiped: wiped.iter().copied().collect(),
        back_after,
    });
}

fn kill(world: &mut World, nodes: &[usize], back_after: Duration) {
    world.inflict(Fault::Kill { nodes: nodes.to_vec(), back_after: vec![back_after; nodes.len()] });
}

/// A change is taken now, within the bound on acknowledgements.
fn take(world: &mut World) {
    world.must_take_change().unwrap();
}

fn read_back(world: &mut World) {
    world.must_read_back().unwrap();
}

#[test]
fn a_calm_day_has_one_view() {
    let mut world = day(1, Scenario::small());
    world.play(Round::default()).unwrap();
    assert_eq!(world.views, 1);
    assert!(world.oracle.acknowledged > 10);
}

#[test]
fn nothing_is_acknowledged_before_enough_members() {
    let mut world = World::new(3, Scenario { machines: 3, tolerated: 2, ..Scenario::small() });
    let wish = world.proper_change();
    world.begin(0, wish, None);
    world.run_for(10 * SECOND).unwrap();
    assert_eq!(world.oracle.acknowledged, 0);
    world.inflict(Fault::Add);
    world.run_for(5 * SECOND).unwrap();
    assert_eq!(world.oracle.acknowledged, 0);
    world.inflict(Fault::Add);
    world.run_for(6 * SECOND).unwrap();
    assert_eq!(world.oracle.acknowledged, 1);
}

/// Each pattern of cut links among three machines lasts: views do not follow each other without end, and where two
/// machines still reach each other both ways, changes are taken.
#[test]
fn every_pattern_of_cut_links() {
    let links = [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)];
    for pattern in 0_usize..1 << links.len() {
        let chosen = (0..links.len()).filter(|index| pattern & (1 << index) != 0);
        let cut: Vec<(usize, usize)> = chosen.map(|index| links[index]).collect();
        let mut world = day(pattern as u64, Scenario::small());
        let before = world.views;
        world.inflict(Fault::Cut { links: cut.clone(), mode: CutMode::Lose });
        world.run_for(20 * SECOND).unwrap();
        assert!(world.views <= before + 2, "{cut:?}: {} views", world.views - before);
        let works =
            |pair: &[usize; 2]| !cut.contains(&(pair[0], pair[1])) && !cut.contains(&(pair[1], pair[0]));
        let pairs = [[0, 1], [0, 2], [1, 2]];
        let Some(pair) = pairs.into_iter().find(works) else { continue };
        let wish = world.proper_change();
        let end = world.now + 4 * SECOND;
        world.begin_at(0, wish, end, &pair);
        world.run_until(end).unwrap();
        assert!(world.operators[0].call.is_none(), "{cut:?}: not taken");
        world.inflict(Fault::HealCuts);
        world.run_for(5 * SECOND).unwrap();
        take(&mut world);
    }
}

/// As many disks as may be lost are lost right after an acknowledgement, while all other machines lose power.
#[rstest]
#[case::one_of_three(Scenario::small())]
#[case::two_of_five(five())]
fn the_lost_disks_of_the_last_day(#[case] scenario: Scenario, #[values(0, 3, 500)] after_ms: u64) {
    let machines = scenario.machines;
    for seed in 0..20 {
        let mut world = day(seed, scenario.clone());
        take(&mut world);
        world.run_for(Duration::from_millis(after_ms)).unwrap();
        let all: Vec<usize> = (0..machines).collect();
        let wiped: Vec<usize> = world.rng.choose_multiple(all.iter().copied(), scenario.tolerated);
        lose_power(&mut world, &all, &wiped, SECOND);
        world.run_for(4 * SECOND).unwrap();
        read_back(&mut world);
        take(&mut world);
    }
}

/// One disk after the other is lost, each after the last one had its time to catch up.
#[test]
fn one_disk_after_the_other() {
    for seed in 0..10 {
        let mut world = day(seed, Scenario::small());
        for node in [0, 1, 2, 0, 2, 1] {
            take(&mut world);
            lose_power(&mut world, &[node], &[node], SECOND);
            world.run_for(5 * SECOND).unwrap();
            read_back(&mut world);
        }
        assert!(world.oracle.newest_acked() > 0);
    }
}

/// Machines that all lost their disks found no second system.
#[test]
fn empty_machines_found_nothing() {
    let mut world = day(5, Scenario::small());
    let views = world.views;
    lose_power(&mut world, &[0, 1, 2], &[0, 1, 2], SECOND);
    let acknowledged = world.oracle.acknowledged;
    let wish = world.proper_change();
    world.begin(0, wish, None);
    world.run_for(20 * SECOND).unwrap();
    assert_eq!(world.views, views);
    assert_eq!(world.oracle.acknowledged, acknowledged);
}

/// A lost disk, before anything was agreed, takes no part in the founding; the others found the system.
#[test]
fn a_disk_lost_while_founding() {
    for seed in 0..50 {
        let mut world = World::new(seed, Scenario::small());
        let wish = world.proper_change();
        world.begin(0, wish, Some(10 * SECOND));
        let moment = Duration::from_millis(world.rng.u64(250..800));
        world.run_until(moment).unwrap();
        let node = world.rng.usize(..3);
        lose_power(&mut world, &[node], &[node], SECOND);
        world.run_until(10 * SECOND).unwrap();
        assert_eq!(world.oracle.acknowledged, 1, "seed {seed}");
    }
}

/// All processes die while the system is founded; their disks and their settings stay.
#[test]
fn the_founding_is_killed() {
    for seed in 0..50 {
        let mut world = World::new(seed, Scenario::small());
        let wish = world.proper_change();
        world.begin(0, wish, Some(10 * SECOND));
        let moment = Duration::from_millis(world.rng.u64(50..800));
        world.run_until(moment).unwrap();
        kill(&mut world, &[0, 1, 2], Duration::from_millis(300));
        world.run_until(10 * SECOND).unwrap();
        assert_eq!(world.oracle.acknowledged, 1, "seed {seed}");
    }
}

#[rstest]
#[case::freeze(Fault::Freeze { node: 1 }, Some(Fault::Thaw { node: 1 }), 450)]
#[case::slow_disk(Fault::DiskFactor { node: 1, factor: 25 }, None, 5_000)]
#[case::hung_disk(Fault::DiskHang { node: 1, time: Duration::from_millis(500) }, None, 5_000)]
fn what_does_not_change_the_view(#[case] fault: Fault, #[case] end: Option<Fault>, #[case] time_ms: u64) {
    let mut world = day(2, Scenario::small());
    world.inflict(fault);
    if end.is_none() {
        take(&mut world);
    }
    world.run_for(Duration::from_millis(time_ms)).unwrap();
    if let Some(end) = end {
        world.inflict(end);
    }
    world.run_for(3 * SECOND).unwrap();
    take(&mut world);
    assert_eq!(world.views, 1);
}

/// A replica whose disk is full leaves the chain, changes are taken without it, and it comes back.
#[rstest]
fn a_full_disk(#[values(0, 1, 2)] node: usize) {
    let mut world = day(4, Scenario::small());
    world.inflict(Fault::DiskFull { node, full: true });
    for _ in 0..3 {
        take(&mut world);
    }
    assert_eq!(world.views, 2);
    world.inflict(Fault::DiskFull { node, full: false });
    world.run_for(4 * SECOND).unwrap();
    assert_eq!(world.views, 3);
    take(&mut world);
    let status = world.status(node);
    assert!(status.is_serving && status.position.is_some() && status.disk_healthy, "{status:?}");
}

#[rstest]
fn a_disk_that_hangs(#[values(0, 1, 2)] node: usize) {
    let mut world = day(4, Scenario::small());
    world.inflict(Fault::DiskHang { node, time: 8 * SECOND });
    take(&mut world);
    take(&mut world);
    world.run_for(12 * SECOND).unwrap();
    take(&mut world);
    assert!(world.views <= 3);
}

/// The machine that took a change dies right after; the change sent again is acknowledged by any other.
#[test]
fn a_change_sent_again_after_the_crash_of_its_taker() {
    for seed in 0..20 {
        let mut world = day(seed, Scenario::small());
        take(&mut world);
        let order = world.operators[0].last_acked.clone().unwrap();
        kill(&mut world, &[0], 30 * SECOND);
        world.run_for(Duration::from_millis(500)).unwrap();
        world.must_finish(Wish::Submit { order, acked_base: false }).unwrap();
        assert_eq!(world.oracle.refusals, 0);
    }
}

/// A machine is replaced by an empty one at another address, before or after it goes.
#[rstest]
fn a_machine_is_replaced(#[values(0, 1, 2)] node: usize, #[values(false, true)] new_first: bool) {
    let mut world = day(7, Scenario::small());
    take(&mut world);
    if new_first {
        world.inflict(Fault::Add);
        world.run_for(5 * SECOND).unwrap();
        world.inflict(Fault::Remove { node });
    } else {
        world.inflict(Fault::Remove { node });
        world.run_for(2 * SECOND).unwrap();
        world.inflict(Fault::Add);
    }
    world.run_for(5 * SECOND).unwrap();
    take(&mut world);
    let present: BTreeSet<_> = world.present().into_iter().map(crate::world::address).collect();
    let status = world.status(3);
    assert_eq!(status.members.iter().copied().collect::<BTreeSet<_>>(), present);
    assert_eq!(status.chain.len(), 3);
    read_back(&mut world);
}

/// All three machines are replaced, one after the other, so that no seed of the first start is left.
#[test]
fn all_machines_are_replaced() {
    let mut world = day(8, Scenario::small());
    for node in 0..3 {
        take(&mut world);
        world.inflict(Fault::Remove { node });
        world.run_for(SECOND).unwrap();
        world.inflict(Fault::Add);
        world.run_for(6 * SECOND).unwrap();
    }
    read_back(&mut world);
    kill(&mut world, &[3, 4, 5], SECOND);
    world.run_for(4 * SECOND).unwrap();
    read_back(&mut world);
    take(&mut world);
}

/// A long day: the log is rewritten again and again, and the whole core comes back from it.
#[test]
fn the_log_is_rewritten() {
    let mut world = day(9, Scenario { rewrite_above: 3_000, ..Scenario::small() });
    for _ in 0..60 {
        take(&mut world);
    }
    lose_power(&mut world, &[0, 1, 2], &[], SECOND);
    world.run_for(4 * SECOND).unwrap();
    read_back(&mut world);
    assert!(world.nodes[0].process.as_ref().unwrap().log.len_bytes() < 60 * 200);
}

/// Changes are taken again soon after a replica dies.
#[rstest]
fn a_replica_dies(#[values(0, 1, 2)] node: usize) {
    for seed in 0..10 {
        let mut world = day(seed, Scenario::small());
        kill(&mut world, &[node], 20 * SECOND);
        let begun = world.now;
        take(&mut world);
        let took = world.now - begun;
        assert!(took < 3 * SECOND, "seed {seed}: {took:?}");
    }
}

/// Flapping links do not keep the rest from serving.
#[test]
fn one_machine_flaps() {
    let mut world = day(11, Scenario::small());
    let links = vec![(0, 1), (1, 0), (0, 2), (2, 0)];
    let mut faults = Vec::new();
    for index in 0..6 {
        let at = Duration::from_millis(1_600 * index);
        faults.push((When::At(at), Fault::Cut { links: links.clone(), mode: CutMode::Lose }));
        faults.push((When::At(at + Duration::from_millis(900)), Fault::HealCuts));
    }
    world.play(Round { faults, ..Round::default() }).unwrap();
    assert!(world.views < 14, "{} views", world.views);
}
