//! A whole core on virtual time from one seed. `ELECTION_SEED=17 cargo test -p lugwharf-election --test simulation`
//! replays one seed; `ELECTION_SEEDS=100000` plays more of them than the fixed ones.

mod bounds;
mod cut_off;
mod digests;
mod faults;
mod process;
mod trace;
mod world;

use rstest::rstest;
use std::time::Duration;
use world::{LEASE, POLL, World};

/// Seeds played by default, from 0 on.
const SEEDS: u64 = 300;
const STORM: Duration = Duration::from_secs(30);
const SETTLING: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_secs(3);

fn seeds() -> std::ops::Range<u64> {
    let read = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match (read("ELECTION_SEED"), read("ELECTION_SEEDS")) {
        (Some(seed), _) => seed..seed + 1,
        (None, count) => 0..count.unwrap_or(SEEDS),
    }
}

/// One holder at a time in true time, tokens that climb, and a holder that lasts once all is calm.
#[rstest]
#[case::three(3, 1)]
#[case::five(5, 2)]
fn holds_under_faults(#[case] members: usize, #[case] spares: usize) {
    for seed in seeds() {
        let mut world = World::new(seed, members, spares);
        faults::storm(&mut world, STORM);
        faults::calm(&mut world);
        world.run_for(SETTLING);
        let held =
            world.holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds the role after a calm"));
        world.run_for(CALM);
        assert_eq!(world.holder(), Some(held), "seed {seed}: the holder changed in calm times");
        // Else the role rests on a bare majority.
        assert_eq!(
            world.strangers_to(held),
            Vec::<usize>::new(),
            "seed {seed}: voters that don't help the holder"
        );
    }
}

/// Processes that start together often stand at once, under the same token.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn all_voters_help_the_holder_after_a_start_of_all(#[case] members: usize) {
    for seed in seeds() {
        let mut world = World::new(seed, members, 0);
        world.run_for(SETTLING + CALM);
        let held = world.holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds the role"));
        assert_eq!(
            world.strangers_to(held),
            Vec::<usize>::new(),
            "seed {seed}: voters that don't help the holder"
        );
    }
}

/// A successor of a killed holder within the time that the constants leave for it; see `bounds`.
#[rstest]
fn follows_a_killed_holder(#[values(None, Some(300), Some(950))] view_after_ms: Option<u64>) {
    let longest = seeds().map(|seed| vacancy(seed, view_after_ms.map(Duration::from_millis))).max();
    let bound = bounds::longest_vacancy(view_after_ms.map(Duration::from_millis));
    println!("longest vacancy {longest:?} with a lease of {LEASE:?}, bound {bound:?}");
}

/// The killed holder's grants end at two voters some ms apart; the one whose grant ends first asks in between, and is
/// refused by the other one, while the dead process does not answer.
#[test]
fn asks_again_where_the_first_question_came_before_the_last_grant_ended() {
    vacancy(4_780, None);
}

/// For how long the role is vacant after the holder is killed; panics if that is above the bound.
fn vacancy(seed: u64, view_after: Option<Duration>) -> Duration {
    let mut world = World::new(seed, 3, 1);
    world.run_for(SETTLING);
    let (holder, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds the role"));
    let killed = world.now();
    world.kill(holder);
    if let Some(after) = view_after {
        world.run_for(after);
        world.replace_in_view(holder);
    }
    let bound = bounds::longest_vacancy(view_after);
    while world.holder().is_none() {
        world.run_for(POLL);
        let vacant = world.now() - killed;
        assert!(vacant <= bound, "seed {seed}: vacant for {vacant:?}, bound {bound:?}");
    }
    world.now() - killed
}

/// A holder that is stopped orderly is followed without waiting for its lease.
#[test]
fn follows_a_resigned_holder_at_once() {
    for seed in seeds() {
        let mut world = World::new(seed, 3, 0);
        world.run_for(SETTLING);
        let (holder, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds the role"));
        world.resign(holder);
        world.run_for(LEASE / 2);
        let (next, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: no successor"));
        assert_ne!(next, holder, "seed {seed}");
    }
}

/// A holder that can't do the work is followed as fast, and does not come back while its successor holds the role.
#[test]
fn follows_a_holder_that_stands_down_and_keeps_the_successor() {
    for seed in seeds() {
        let mut world = World::new(seed, 3, 0);
        world.run_for(SETTLING);
        let (holder, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds the role"));
        world.stand_down(holder, LEASE);
        world.run_for(LEASE / 2);
        let next = world.holder().unwrap_or_else(|| panic!("seed {seed}: no successor"));
        assert_ne!(next.0, holder, "seed {seed}");
        world.run_for(CALM);
        assert_eq!(world.holder(), Some(next), "seed {seed}: it came back");
    }
}

/// Where no other process can stand, the one that stood down holds the role again soon.
#[test]
fn takes_the_role_again_where_nobody_else_can() {
    for seed in seeds() {
        let mut world = World::new(seed, 3, 0);
        world.run_for(SETTLING);
        let (holder, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds the role"));
        for process in 0..world.len() {
            world.stand_down(process, LEASE);
        }
        world.run_for(LEASE * 2);
        let held = world.holder();
        assert!(held.is_some(), "seed {seed}: vacant after {holder} stood down");
    }
}

/// A holder that is a member of the next view keeps the role and its token.
#[test]
fn keeps_the_holder_over_a_change_of_view() {
    for seed in seeds() {
        let mut world = World::new(seed, 3, 1);
        world.run_for(SETTLING);
        let held = world.holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds the role"));
        let leaving = world.members().into_iter().find(|member| *member != held.0);
        world.replace_in_view(leaving.unwrap_or_default());
        world.run_for(LEASE * 4);
        assert_eq!(world.holder(), Some(held), "seed {seed}");
    }
}
