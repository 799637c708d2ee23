//! Tests of a holder that is partitioned or paused for 20 s. A worker at each process acts in the role
//! whenever it is allowed to. Clocks drift within the bound, and the holder's processor may be slow.

use crate::bounds;
use crate::world::{LEASE, World};
use lugwharf_election::FencingToken;
use rstest::rstest;
use std::time::Duration;

/// The interval at which the workers are checked.
const STEP: Duration = Duration::from_millis(1);
/// The time after which a process must hold the role.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// The duration of a partition.
const PARTITION_TIME: Duration = Duration::from_secs(20);
/// The time for which the processes are observed after the partition.
const HEALED_TIME: Duration = Duration::from_secs(5);
/// The number of seeds per case. Each seed simulates half a minute of virtual time in steps of 1 ms.
const SEEDS: u64 = 10;

/// The kind of partition between the holder and the other control processes. Its agents and the platform
/// remain reachable: the simulated workers act without using links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Partition {
    /// No message passes in either direction.
    Isolated,
    /// The holder receives no messages, but its own messages arrive.
    NoInbound,
    /// No message from the holder arrives, but it receives the messages of others.
    NoOutbound,
    /// The holder is connected to only one of the other four members, and thus to no majority.
    OnePeerReachable,
    /// The process is paused.
    Paused,
}

/// Records which process acted last, when, and under which token.
struct ActLog {
    seed: u64,
    last: Option<(Duration, usize, FencingToken)>,
}

impl ActLog {
    /// Records an action. Panics if it uses a lower token than an earlier action, or if two processes act
    /// under the same token.
    fn record(&mut self, at: Duration, process: usize, token: FencingToken) {
        if let Some((_, before, highest)) = self.last {
            let seed = self.seed;
            assert!(
                token >= highest,
                "seed {seed} at {at:?}: {process} acts under {token:?} after {highest:?}"
            );
            assert!(
                token > highest || process == before,
                "seed {seed} at {at:?}: two processes act under {token:?}"
            );
        }
        self.last = Some((at, process, token));
    }

    /// Runs the world for `time`. Returns the time at which `watched` last acted under its token.
    fn run(&mut self, world: &mut World, time: Duration, watched: (usize, FencingToken)) -> Option<Duration> {
        let end = world.now() + time;
        let mut last = None;
        while world.now() < end {
            world.run_for(STEP);
            for process in 0..world.len() {
                let Some(token) = world.acting_token(process) else { continue };
                self.record(world.now(), process, token);
                if (process, token) == watched {
                    last = Some(world.now());
                }
            }
        }
        last
    }
}

pub fn partition(world: &mut World, partition: Partition, holder: usize) {
    let reachable_peer = (0..world.len()).find(|process| *process != holder);
    for other in (0..world.len()).filter(|other| *other != holder) {
        match partition {
            Partition::OnePeerReachable if Some(other) == reachable_peer => {}
            Partition::Isolated | Partition::OnePeerReachable => {
                world.blocked_links.insert((holder, other));
                world.blocked_links.insert((other, holder));
            }
            Partition::NoInbound => drop(world.blocked_links.insert((other, holder))),
            Partition::NoOutbound => drop(world.blocked_links.insert((holder, other))),
            Partition::Paused => {}
        }
    }
    if partition == Partition::Paused {
        world.pause(holder);
    }
}

/// Returns a world whose holder has acted for one lease duration, and the holder.
fn world_with_holder(seed: u64, members: usize, slow: Duration) -> (World, ActLog, (usize, FencingToken)) {
    let mut world = World::new(seed, members, 0);
    world.run_for(SETTLE_TIME);
    let held = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process holds the role"));
    world.slow_down(held.0, slow);
    let mut log = ActLog { seed, last: None };
    let acted = log.run(&mut world, LEASE, held);
    assert_eq!(acted, Some(world.now()), "seed {seed}: the holder lost the role without a fault");
    (world, log, held)
}

/// The old holder stops acting within one lease duration after the start of the partition and before a
/// successor acts, and does not act under its token again after the partition heals. By then the other
/// processes have elected a successor.
#[rstest]
#[case::isolated_of_three(3, Partition::Isolated)]
#[case::isolated_of_five(5, Partition::Isolated)]
#[case::no_inbound_of_three(3, Partition::NoInbound)]
#[case::no_inbound_of_five(5, Partition::NoInbound)]
#[case::no_outbound_of_three(3, Partition::NoOutbound)]
#[case::no_outbound_of_five(5, Partition::NoOutbound)]
#[case::one_peer_reachable_of_five(5, Partition::OnePeerReachable)]
#[case::paused_of_three(3, Partition::Paused)]
#[case::paused_of_five(5, Partition::Paused)]
fn holder_stops_acting_within_a_lease_of_its_partition(
    #[case] members: usize, #[case] kind: Partition,
    #[values(Duration::ZERO, Duration::from_millis(40))] slow: Duration,
) {
    for seed in 0..SEEDS {
        let (mut world, mut log, held) = world_with_holder(seed, members, slow);
        let started_at = world.now();
        partition(&mut world, kind, held.0);
        let last = log.run(&mut world, PARTITION_TIME, held).map(|last| last - started_at);
        assert!(
            last.unwrap_or_default() <= LEASE,
            "seed {seed}: acts {last:?} after the start of its partition"
        );
        let successor = log.last.filter(|(at, process, _)| *process != held.0 && *at == world.now());
        assert!(successor.is_some(), "seed {seed}: no other holder acts after {PARTITION_TIME:?}");

        world.blocked_links.clear();
        if let Some(token) = world.resume_workers_first(held.0) {
            log.record(world.now(), held.0, token);
        }
        let last_after_healing = log.run(&mut world, HEALED_TIME, held);
        assert_eq!(
            last_after_healing, None,
            "seed {seed}: acts under its old token after the partition healed"
        );
    }
}

/// All other processes are paused for longer, so that no later token exists when the old holder resumes.
#[rstest]
fn paused_holder_does_not_act_on_resume_before_a_successor(#[values(3, 5)] members: usize) {
    for seed in 0..SEEDS {
        let (mut world, mut log, held) = world_with_holder(seed, members, Duration::ZERO);
        (0..members).for_each(|process| world.pause(process));
        world.run_for(PARTITION_TIME);
        assert_eq!(world.resume_workers_first(held.0), None, "seed {seed}");
        assert_eq!(log.run(&mut world, HEALED_TIME, held), None, "seed {seed}");
        (0..members).for_each(|process| world.resume(process));
        assert_eq!(log.run(&mut world, HEALED_TIME, held), None, "seed {seed}");
        assert!(
            log.last.is_some_and(|(_, _, token)| token > held.1),
            "seed {seed}: no process acts under a later token"
        );
    }
}

/// If its voters receive nothing from the holder, a successor is elected within the same bound as after a
/// kill.
#[rstest]
fn partitioned_holder_is_succeeded_within_the_bound_for_a_killed_one(
    #[values(Partition::Isolated, Partition::NoOutbound, Partition::Paused)] kind: Partition,
) {
    let bound = bounds::max_vacancy(None);
    for seed in 0..SEEDS * 10 {
        let (mut world, _, (holder, _)) = world_with_holder(seed, 3, Duration::ZERO);
        let started_at = world.now();
        partition(&mut world, kind, holder);
        while world.holder().is_none_or(|(now, _)| now == holder) {
            world.run_for(STEP);
            let passed = world.now() - started_at;
            assert!(passed <= bound, "seed {seed}: no successor after {passed:?}, bound {bound:?}");
        }
    }
}
