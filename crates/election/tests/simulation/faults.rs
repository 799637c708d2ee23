//! Random fault injection, determined by the seed.

use crate::world::World;
use std::time::Duration;

/// Injects random faults for `time`.
pub fn inject_faults(world: &mut World, time: Duration) {
    world.slow_view_updates = true;
    let end = world.now() + time;
    while world.now() < end {
        let pause = Duration::from_millis(world.random.u64(5..900));
        world.run_for(pause);
        inject_fault(world);
    }
}

/// Ends all faults. A new view admits the processes whose disk was lost.
pub fn heal(world: &mut World) {
    world.blocked_links.clear();
    world.slow_links = false;
    world.slow_view_updates = false;
    for process in 0..world.len() {
        world.resume(process);
        world.start(process);
        world.set_disk(process, false, false);
    }
    world.broadcast_view();
    world.run_for(Duration::from_secs(4));
    let members = world.members();
    world.change_view(members);
    world.run_for(Duration::from_secs(4));
}

pub fn inject_fault(world: &mut World) {
    let process = world.random.usize(..world.len());
    let other = world.random.usize(..world.len());
    match world.random.u8(..19) {
        0 | 1 => world.kill(process),
        2 => lose_disk(world, process),
        3 => (0..world.len()).for_each(|process| world.kill(process)),
        4..=6 => (0..world.len()).for_each(|process| world.start(process)),
        7 => world.pause(process),
        8 | 9 => world.resume(process),
        10 => block_link(world, process, other),
        11 | 12 => world.blocked_links.clear(),
        13 => partition(world),
        14 => set_disk_faults(world, process),
        15 => world.slow_links = !world.slow_links,
        16 => change_view(world),
        17 => {
            let backoff = Duration::from_millis(world.random.u64(..3_000));
            world.step_down(process, backoff);
        }
        _ => {
            world.rewrite_log(process);
            world.broadcast_view();
        }
    }
}

/// Loses the disk of a process, provided that a majority of the members still keep theirs.
fn lose_disk(world: &mut World, process: usize) {
    let members = world.members();
    let lost = members.iter().filter(|member| world.has_lost_disk(**member)).count();
    let fault_tolerance = (members.len() - 1) / 2;
    if lost < fault_tolerance && !world.has_lost_disk(process) {
        world.lose_disk(process);
    }
}

fn block_link(world: &mut World, from: usize, to: usize) {
    world.blocked_links.insert((from, to));
    if world.random.bool() {
        world.blocked_links.insert((to, from));
    }
}

/// Partitions the processes randomly into two sides.
fn partition(world: &mut World) {
    let sides: Vec<bool> = (0..world.len()).map(|_| world.random.bool()).collect();
    for from in 0..sides.len() {
        for to in 0..sides.len() {
            if sides[from] != sides[to] {
                world.blocked_links.insert((from, to));
            }
        }
    }
}

fn set_disk_faults(world: &mut World, process: usize) {
    let (fails, stalls) = (world.random.bool(), world.random.bool());
    world.set_disk(process, fails, stalls);
}

fn change_view(world: &mut World) {
    let size = world.members().len();
    let mut all: Vec<usize> = (0..world.len()).collect();
    world.random.shuffle(&mut all);
    all.truncate(size);
    world.change_view(all);
}
