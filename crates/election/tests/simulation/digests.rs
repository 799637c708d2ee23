//! Digests of entire simulations, captured from release 1a8c4db. They cover what is sent and stored, when,
//! and by which process. Renaming identifiers in the source does not change them; a change in behaviour, in
//! an encoded byte, or in the number or order of values drawn from a generator does.

use crate::world::{LEASE, World};
use crate::{FAULT_TIME, SETTLE_TIME, STABLE_TIME, faults, partitions};
use rstest::rstest;
use std::time::Duration;

/// The number of seeds per simulation, starting at 0.
const SEEDS: u64 = 24;

/// Returns one digest over the digests of all seeds.
fn digest(simulate: impl Fn(u64) -> World) -> u64 {
    let mut combined = crate::trace::Trace::new();
    for seed in 0..SEEDS {
        let digest = simulate(seed).digest();
        println!("seed {seed}: {digest:#018x}");
        combined.fold_number(digest);
    }
    combined.digest()
}

/// Returns a world in which a process holds the role, and that process.
fn world_with_holder(seed: u64, members: usize, spares: usize) -> (World, usize) {
    let mut world = World::new(seed, members, spares);
    world.run_for(SETTLE_TIME);
    let (holder, _) = world.holder().unwrap_or_else(|| panic!("seed {seed}: no process holds the role"));
    (world, holder)
}

#[rstest]
#[case::three(3, 1, 0x985c_26f8_971b_43cc)]
#[case::five(5, 2, 0xd69b_f9a4_1c26_5ea3)]
fn digest_of_faults_and_healing(#[case] members: usize, #[case] spares: usize, #[case] captured: u64) {
    let simulate = |seed| {
        let mut world = World::new(seed, members, spares);
        faults::inject_faults(&mut world, FAULT_TIME);
        faults::heal(&mut world);
        world.run_for(SETTLE_TIME + STABLE_TIME);
        world
    };
    assert_eq!(digest(simulate), captured);
}

#[rstest]
#[case::three(3, 0x0c12_7219_1bbf_a07f)]
#[case::five(5, 0x449a_6b04_e7ff_4707)]
fn digest_of_a_simultaneous_start(#[case] members: usize, #[case] captured: u64) {
    let simulate = |seed| {
        let mut world = World::new(seed, members, 0);
        world.run_for(SETTLE_TIME + STABLE_TIME);
        world
    };
    assert_eq!(digest(simulate), captured);
}

#[rstest]
#[case::in_one_view(None, 0xa9fd_3877_38e8_c3c0)]
#[case::with_a_view_after_300_ms(Some(300), 0xc3dd_c51a_87fc_23f4)]
#[case::with_a_view_after_950_ms(Some(950), 0xae72_969a_e383_3dbf)]
fn digest_of_a_killed_holder(#[case] view_after_ms: Option<u64>, #[case] captured: u64) {
    let simulate = |seed| {
        let (mut world, holder) = world_with_holder(seed, 3, 1);
        world.kill(holder);
        if let Some(after) = view_after_ms {
            world.run_for(Duration::from_millis(after));
            world.replace_in_view(holder);
        }
        world.run_for(LEASE * 3);
        world
    };
    assert_eq!(digest(simulate), captured);
}

#[rstest]
#[case(0x64b6_af0a_ac7f_f419)]
fn digest_of_a_resigned_holder(#[case] captured: u64) {
    let simulate = |seed| {
        let (mut world, holder) = world_with_holder(seed, 3, 0);
        world.resign(holder);
        world.run_for(LEASE * 2);
        world
    };
    assert_eq!(digest(simulate), captured);
}

#[rstest]
#[case::of_the_holder(false, 0x0f25_6781_42af_bc2a)]
#[case::of_all(true, 0xec61_f080_4f41_855b)]
fn digest_of_stepping_down(#[case] all: bool, #[case] captured: u64) {
    let simulate = |seed| {
        let (mut world, holder) = world_with_holder(seed, 3, 0);
        for process in (0..world.len()).filter(|process| all || *process == holder) {
            world.step_down(process, LEASE);
        }
        world.run_for(LEASE * 4);
        world
    };
    assert_eq!(digest(simulate), captured);
}

/// A holder that is also a member of the next view keeps the role.
#[rstest]
#[case(0xe066_dcad_d094_2a2a)]
fn digest_of_a_view_change(#[case] captured: u64) {
    let simulate = |seed| {
        let (mut world, holder) = world_with_holder(seed, 3, 1);
        let leaving = world.members().into_iter().find(|member| *member != holder);
        world.replace_in_view(leaving.unwrap_or_default());
        world.run_for(LEASE * 4);
        world
    };
    assert_eq!(digest(simulate), captured);
}

#[rstest]
#[case::isolated(partitions::Partition::Isolated, 0, 0x5d08_032e_d139_b2ab)]
#[case::no_inbound(partitions::Partition::NoInbound, 0, 0xe618_32e6_363a_5f3f)]
#[case::no_outbound(partitions::Partition::NoOutbound, 0, 0x8ebe_7bb2_5aa1_fc0f)]
#[case::one_peer_reachable(partitions::Partition::OnePeerReachable, 0, 0xe7ac_a7ec_3314_9733)]
#[case::paused(partitions::Partition::Paused, 0, 0x277b_262f_a4d5_c5b7)]
#[case::no_outbound_on_a_slow_processor(partitions::Partition::NoOutbound, 40, 0xeadd_b466_0bfc_440c)]
fn digest_of_a_partitioned_holder(
    #[case] kind: partitions::Partition, #[case] slow_ms: u64, #[case] captured: u64,
) {
    let simulate = |seed| {
        let (mut world, holder) = world_with_holder(seed, 5, 0);
        world.slow_down(holder, Duration::from_millis(slow_ms));
        world.run_for(LEASE);
        partitions::partition(&mut world, kind, holder);
        world.run_for(LEASE * 5);
        world.blocked_links.clear();
        world.resume(holder);
        world.run_for(LEASE * 3);
        world
    };
    assert_eq!(digest(simulate), captured);
}
