//! Simulations of an entire control plane in virtual time, each determined by a seed. `ELECTION_SEED=17 cargo
//! test -p lugwharf-election --test simulation` replays a single seed; `ELECTION_SEEDS=100000` sets the
//! number of seeds to run.

mod bounds;
mod digests;
mod faults;
mod partitions;
mod process;
mod refusals;
mod trace;
mod world;

use rstest::rstest;
use std::time::Duration;
use world::{LEASE, POLL, World};

/// The number of seeds run by default, starting at 0.
const SEEDS: u64 = 300;
/// The time for which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(30);
/// The time after which a process must hold the role.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// The time for which the holder must then stay the same.
const STABLE_TIME: Duration = Duration::from_secs(3);

fn seeds() -> std::ops::Range<u64> {
    let read = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match (read("ELECTION_SEED"), read("ELECTION_SEEDS")) {
        (Some(seed), _) => seed..seed + 1,
        (None, count) => 0..count.unwrap_or(SEEDS),
    }
}

/// There is at most one holder at any time, tokens increase, and the holder is stable once all faults have
/// ended.
#[rstest]
#[case::three(3, 1)]
#[case::five(5, 2)]
fn one_holder_under_faults_and_a_stable_one_after(#[case] members: usize, #[case] spares: usize) {
    for seed in seeds() {
        let mut world = World::new(seed, members, spares);
        faults::inject_faults(&mut world, FAULT_TIME);
        faults::heal(&mut world);
        world.run_for(SETTLE_TIME);
        let held = world
            .holder()
            .unwrap_or_else(|| panic!("seed {seed}: no process holds the role after the faults"));
        world.run_for(STABLE_TIME);
        assert_eq!(world.holder(), Some(held), "seed {seed}: the holder changed without a fault");
        // Otherwise the holder would depend on a bare majority.
        assert_eq!(
            world.voters_not_supporting(held),
            Vec::<usize>::new(),
            "seed {seed}: voters that don't support the holder"
        );
    }
}

/// Processes that start simultaneously often campaign at the same time under the same token.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn all_voters_support_the_holder_after_a_simultaneous_start(#[case] members: usize) {
    for seed in seeds() {
        let mut world = World::new(seed, members, 0);
        world.run_for(SETTLE_TIME + STABLE_TIME);
        let held = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process holds the role"));
        assert_eq!(
            world.voters_not_supporting(held),
            Vec::<usize>::new(),
            "seed {seed}: voters that don't support the holder"
        );
    }
}

/// The time from the kill of the holder to the next holder is bounded by constants; see `bounds`.
#[rstest]
fn killed_holder_is_succeeded_within_the_bound(
    #[values(None, Some(300), Some(950))] view_after_ms: Option<u64>,
) {
    let longest = seeds().map(|seed| vacancy(seed, view_after_ms.map(Duration::from_millis))).max();
    let bound = bounds::max_vacancy(view_after_ms.map(Duration::from_millis));
    println!("longest vacancy {longest:?} with a lease of {LEASE:?}, bound {bound:?}");
}

/// The leases that two voters granted to the killed holder expire a few ms apart. The voter whose lease
/// expires first sends a pre-vote before the other lease expires and is denied by the other voter, while the
/// killed process does not respond.
#[test]
fn pre_vote_sent_before_the_last_lease_expired_is_resent() {
    vacancy(4_780, None);
}

/// Returns how long the role is vacant after the holder is killed. Panics if that exceeds the bound.
fn vacancy(seed: u64, view_after: Option<Duration>) -> Duration {
    let mut world = World::new(seed, 3, 1);
    world.run_for(SETTLE_TIME);
    let (holder, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process holds the role"));
    let killed = world.now();
    world.kill(holder);
    if let Some(after) = view_after {
        world.run_for(after);
        world.replace_in_view(holder);
    }
    let bound = bounds::max_vacancy(view_after);
    while world.holder().is_none() {
        world.run_for(POLL);
        let vacant = world.now() - killed;
        assert!(vacant <= bound, "seed {seed}: vacant for {vacant:?}, bound {bound:?}");
    }
    world.now() - killed
}

/// A successor is elected after a resignation without waiting for the lease to expire.
#[test]
fn resigned_holder_is_succeeded_immediately() {
    for seed in seeds() {
        let mut world = World::new(seed, 3, 0);
        world.run_for(SETTLE_TIME);
        let (holder, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process holds the role"));
        world.resign(holder);
        world.run_for(LEASE / 2);
        let (next, _) =
            world.holder().unwrap_or_else(|| panic!("seed {seed}: no process succeeds the holder"));
        assert_ne!(next, holder, "seed {seed}");
    }
}

/// A successor is elected as quickly after a step-down, and the previous holder does not return while the
/// successor holds the role.
#[test]
fn holder_that_steps_down_is_succeeded_and_does_not_return() {
    for seed in seeds() {
        let mut world = World::new(seed, 3, 0);
        world.run_for(SETTLE_TIME);
        let (holder, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process holds the role"));
        world.step_down(holder, LEASE);
        world.run_for(LEASE / 2);
        let next = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process succeeds the holder"));
        assert_ne!(next.0, holder, "seed {seed}");
        world.run_for(STABLE_TIME);
        assert_eq!(world.holder(), Some(next), "seed {seed}: the previous holder returned");
    }
}

/// If no other process can be elected, a process that stepped down soon holds the role again.
#[test]
fn role_is_held_again_after_every_process_stepped_down() {
    for seed in seeds() {
        let mut world = World::new(seed, 3, 0);
        world.run_for(SETTLE_TIME);
        let (holder, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process holds the role"));
        for process in 0..world.len() {
            world.step_down(process, LEASE);
        }
        world.run_for(LEASE * 2);
        let held = world.holder();
        assert!(held.is_some(), "seed {seed}: vacant after {holder} stepped down");
    }
}

/// A holder that is also a member of the next view keeps the role and its token.
#[test]
fn holder_keeps_its_lease_over_a_view_change() {
    for seed in seeds() {
        let mut world = World::new(seed, 3, 1);
        world.run_for(SETTLE_TIME);
        let held = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process holds the role"));
        let leaving = world.members().into_iter().find(|member| *member != held.0);
        world.replace_in_view(leaving.unwrap_or_default());
        world.run_for(LEASE * 4);
        assert_eq!(world.holder(), Some(held), "seed {seed}");
    }
}

/// The holder keeps its lease under a CPU quota that lets each process run for 40 ms of every 100 ms, at
/// different offsets.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn holder_keeps_its_lease_under_a_quota(#[case] members: usize) {
    const STEP: Duration = Duration::from_millis(20);
    const STEPS_PER_PERIOD: usize = 5;
    const RUNNING_STEPS: usize = 2;
    for seed in seeds().take(60) {
        let mut world = World::new(seed, members, 0);
        world.run_for(SETTLE_TIME);
        let held = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process holds the role"));
        for step in 0..500 {
            for process in 0..members {
                if (step + process) % STEPS_PER_PERIOD < RUNNING_STEPS {
                    world.resume(process);
                } else {
                    world.pause(process);
                }
            }
            world.run_for(STEP);
            assert_eq!(world.holder(), Some(held), "seed {seed}, step {step}");
        }
    }
}
