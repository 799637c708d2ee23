//! A holder that is cut off, or stands still, for 20 s and longer, with a worker at each process that acts in the role
//! whenever it may. Clocks drift within bounds; the processor of the holder may be slow.

use crate::bounds;
use crate::world::{LEASE, World};
use lugwharf_election::FencingToken;
use rstest::rstest;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(1);
const SETTLING: Duration = Duration::from_secs(6);
const CUT: Duration = Duration::from_secs(20);
const AFTERWARDS: Duration = Duration::from_secs(5);
/// Seeds per case; each is half a minute of virtual time in steps of 1 ms.
const SEEDS: u64 = 10;

/// How the holder is cut off from the other control processes. Its agents and the platform stay in its reach, as the
/// workers here act without links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cut {
    /// Nothing passes.
    Silent,
    /// It is heard, and hears nothing.
    HearsNothing,
    /// It hears, and is not heard.
    NotHeard,
    /// It reaches one other member of five, and so no majority.
    NearOne,
    /// It stands still.
    Frozen,
}

/// Who acted when, under which token.
struct Acts {
    seed: u64,
    last: Option<(Duration, usize, FencingToken)>,
}

impl Acts {
    /// Notes an act: no token acts after a higher one, and no two processes act under one.
    fn note(&mut self, at: Duration, process: usize, token: FencingToken) {
        if let Some((_, before, highest)) = self.last {
            let seed = self.seed;
            assert!(
                token >= highest,
                "seed {seed} at {at:?}: {process} acts under {token:?} after {highest:?}"
            );
            assert!(token > highest || process == before, "seed {seed} at {at:?}: two act under {token:?}");
        }
        self.last = Some((at, process, token));
    }

    /// Lets time pass; returns when `watched` acted last under its token.
    fn run(&mut self, world: &mut World, time: Duration, watched: (usize, FencingToken)) -> Option<Duration> {
        let end = world.now() + time;
        let mut last = None;
        while world.now() < end {
            world.run_for(STEP);
            for process in 0..world.len() {
                let Some(token) = world.acts(process) else { continue };
                self.note(world.now(), process, token);
                if (process, token) == watched {
                    last = Some(world.now());
                }
            }
        }
        last
    }
}

pub fn cut(world: &mut World, cut: Cut, holder: usize) {
    let near = (0..world.len()).find(|process| *process != holder);
    for other in (0..world.len()).filter(|other| *other != holder) {
        match cut {
            Cut::NearOne if Some(other) == near => {}
            Cut::Silent | Cut::NearOne => {
                world.cuts.insert((holder, other));
                world.cuts.insert((other, holder));
            }
            Cut::HearsNothing => drop(world.cuts.insert((other, holder))),
            Cut::NotHeard => drop(world.cuts.insert((holder, other))),
            Cut::Frozen => {}
        }
    }
    if cut == Cut::Frozen {
        world.freeze(holder);
    }
}

/// A world whose holder has acted for a while, and the holder.
fn settled(seed: u64, members: usize, slow: Duration) -> (World, Acts, (usize, FencingToken)) {
    let mut world = World::new(seed, members, 0);
    world.run_for(SETTLING);
    let held = world.holder().unwrap_or_else(|| panic!("seed {seed}: nobody holds the role"));
    world.slow_down(held.0, slow);
    let mut acts = Acts { seed, last: None };
    let acted = acts.run(&mut world, LEASE, held);
    assert_eq!(acted, Some(world.now()), "seed {seed}: the holder lost the role without a fault");
    (world, acts, held)
}

/// The old holder is silent a lease after the cut, before another one acts, and stays so when the cut ends. The others
/// have a holder by then.
#[rstest]
#[case::silent_of_three(3, Cut::Silent)]
#[case::silent_of_five(5, Cut::Silent)]
#[case::hears_nothing_of_three(3, Cut::HearsNothing)]
#[case::hears_nothing_of_five(5, Cut::HearsNothing)]
#[case::not_heard_of_three(3, Cut::NotHeard)]
#[case::not_heard_of_five(5, Cut::NotHeard)]
#[case::reaches_one_of_five(5, Cut::NearOne)]
#[case::stands_still_of_three(3, Cut::Frozen)]
#[case::stands_still_of_five(5, Cut::Frozen)]
fn is_silent_within_a_lease_of_its_cut(
    #[case] members: usize, #[case] kind: Cut,
    #[values(Duration::ZERO, Duration::from_millis(40))] slow: Duration,
) {
    for seed in 0..SEEDS {
        let (mut world, mut acts, held) = settled(seed, members, slow);
        let began = world.now();
        cut(&mut world, kind, held.0);
        let last = acts.run(&mut world, CUT, held).map(|last| last - began);
        assert!(last.unwrap_or_default() <= LEASE, "seed {seed}: acts {last:?} after its cut");
        let successor = acts.last.filter(|(at, process, _)| *process != held.0 && *at == world.now());
        assert!(successor.is_some(), "seed {seed}: no other holder acts after {CUT:?}");

        world.cuts.clear();
        if let Some(token) = world.thaw_workers_first(held.0) {
            acts.note(world.now(), held.0, token);
        }
        let after = acts.run(&mut world, AFTERWARDS, held);
        assert_eq!(after, None, "seed {seed}: acts under its old token after the cut");
    }
}

/// All others stand still longer, so that there is no later token when the old holder goes on.
#[rstest]
fn does_not_act_when_it_goes_on_before_another_holds_the_role(#[values(3, 5)] members: usize) {
    for seed in 0..SEEDS {
        let (mut world, mut acts, held) = settled(seed, members, Duration::ZERO);
        (0..members).for_each(|process| world.freeze(process));
        world.run_for(CUT);
        assert_eq!(world.thaw_workers_first(held.0), None, "seed {seed}");
        assert_eq!(acts.run(&mut world, AFTERWARDS, held), None, "seed {seed}");
        (0..members).for_each(|process| world.thaw(process));
        assert_eq!(acts.run(&mut world, AFTERWARDS, held), None, "seed {seed}");
        assert!(acts.last.is_some_and(|(_, _, token)| token > held.1), "seed {seed}: nobody acts");
    }
}

/// Where its voters do not hear it, it is followed within the bound for a killed one.
#[rstest]
fn is_followed_as_a_killed_holder_is(#[values(Cut::Silent, Cut::NotHeard, Cut::Frozen)] kind: Cut) {
    let bound = bounds::longest_vacancy(None);
    for seed in 0..SEEDS * 10 {
        let (mut world, _, (holder, _)) = settled(seed, 3, Duration::ZERO);
        let began = world.now();
        cut(&mut world, kind, holder);
        while world.holder().is_none_or(|(now, _)| now == holder) {
            world.run_for(STEP);
            let passed = world.now() - began;
            assert!(passed <= bound, "seed {seed}: no successor after {passed:?}, bound {bound:?}");
        }
    }
}
