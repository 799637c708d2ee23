//! Hundreds of changes: those who were away come to hold what the view holds, whatever happens on the way.

use crate::days::{SECOND, day, take_many};
use crate::fault::Fault;
use crate::operator::Wish;
use crate::world::{AtPiece, Scenario, World};
use lugwharf_chain::HistoryLimits;
use rstest::rstest;
use std::time::Duration;

/// A machine counts as lost for this long after it came back.
const CATCH_UP: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);
const AWAY: Duration = Duration::from_secs(100_000);

/// Days with a log that is rewritten all the time and a history that goes in many pieces.
fn tight() -> Scenario {
    Scenario {
        history: HistoryLimits { max_headers: 100, max_bodies: 2 },
        rewrite_above: 20_000,
        piece_bytes: 1_500,
        ..Scenario::small()
    }
}

/// Three replicas are in the chain, the other two machines are outside it.
fn with_followers() -> Scenario {
    Scenario { machines: 5, ..tight() }
}

fn take_away(world: &mut World, node: usize) {
    world.inflict(Fault::Kill { nodes: vec![node], back_after: vec![AWAY] });
}

fn newest(world: &World) -> u64 {
    let up = world.present().into_iter().filter(|node| world.nodes[*node].is_up());
    up.map(|node| world.status(node).committed_index).max().unwrap_or(0)
}

fn holds_all(world: &World, node: usize) -> bool {
    world.nodes[node].is_up() && world.status(node).durable_commit_index == newest(world)
}

/// Starts a machine again and lets time pass until it holds the history. Changes are at rest meanwhile, so that it must
/// not take part in a view that serves before. Returns how long it took.
fn catch_up(world: &mut World, node: usize) -> Duration {
    let begun = world.now;
    world.boot(node);
    while !holds_all(world, node) {
        assert!(world.now < begun + CATCH_UP, "{:?} of {}", world.status(node), newest(world));
        let status = world.status(node);
        assert!(status.position.is_none() || !status.is_serving, "serves too early: {status:?}");
        world.run_for(STEP).unwrap();
    }
    world.now - begun
}

/// Changes are taken, all machines hold them in the end, and the chain is whole again.
fn settle(world: &mut World) {
    world.run_for(CATCH_UP).unwrap();
    world.must_take_change().unwrap();
    world.must_read_back().unwrap();
    world.run_for(SECOND).unwrap();
    for node in world.present() {
        assert!(holds_all(world, node), "{node}: {:?}", world.status(node));
    }
    assert_eq!(world.status(0).chain.len(), 3);
    assert_eq!(world.oracle.refusals, 0);
}

/// Machines outside the chain store each change without asking for it.
#[test]
fn those_outside_the_chain_hold_what_is_committed() {
    let mut world = day(1, with_followers());
    world.run_for(CATCH_UP).unwrap();
    let before = world.pieces;
    take_many(&mut world, 200);
    world.run_for(SECOND).unwrap();
    for node in 0..5 {
        assert!(holds_all(&world, node), "{node}: {:?}", world.status(node));
    }
    assert!(world.status(4).position.is_none() && newest(&world) > 200);
    assert_eq!(world.pieces, before, "pieces were asked for on a calm day");
}

/// The time to catch up is bounded by the catch-up time that a machine gets, and measured.
#[rstest]
#[case::dropped_marks(tight(), 2, 3_000, Duration::from_millis(1_500))]
#[case::all_marks(Scenario { history: HistoryLimits::default(), piece_bytes: 16 << 10, ..tight() }, 2, 3_000, Duration::from_millis(1_500))]
#[case::head(tight(), 0, 1_000, Duration::from_millis(1_500))]
#[case::outside_the_chain(with_followers(), 4, 3_000, Duration::from_millis(1_500))]
fn away_for_thousands_of_changes(
    #[case] scenario: Scenario, #[case] node: usize, #[case] changes: usize, #[case] bound: Duration,
) {
    let mut world = day(2, scenario);
    take_away(&mut world, node);
    world.run_for(3 * SECOND).unwrap();
    take_many(&mut world, changes);
    let took = catch_up(&mut world, node);
    println!("{changes} changes: {} ms, {} pieces", took.as_millis(), world.pieces);
    assert!(took <= bound, "{took:?}");
    settle(&mut world);
}

/// Changes go on while the machine catches up.
#[rstest]
fn away_while_changes_go_on(#[values(2, 4)] node: usize) {
    for seed in 0..10 {
        let mut world = day(seed, with_followers());
        take_away(&mut world, node);
        world.run_for(3 * SECOND).unwrap();
        take_many(&mut world, 150);
        world.boot(node);
        take_many(&mut world, 100);
        world.run_for(SECOND).unwrap();
        assert!(holds_all(&world, node), "seed {seed}: {:?}", world.status(node));
        settle(&mut world);
    }
}

#[rstest]
fn killed_at_each_piece(
    #[values(
        AtPiece::Lost,
        AtPiece::SenderDies,
        AtPiece::ReceiverDies,
        AtPiece::BothLosePower,
        AtPiece::ReceiverLosesDisk
    )]
    what: AtPiece,
    #[values(2, 4)] node: usize,
) {
    let mut reached = 0;
    for piece in 1..=24 {
        let scenario = if node == 2 { tight() } else { with_followers() };
        let mut world = day(piece, scenario);
        let node = node.min(world.nodes.len() - 1);
        world.run_for(CATCH_UP).unwrap();
        take_away(&mut world, node);
        world.run_for(3 * SECOND).unwrap();
        take_many(&mut world, 120);
        world.at_piece = Some((world.pieces + piece as usize, what));
        world.boot(node);
        world.run_for(SECOND).unwrap();
        reached += usize::from(world.at_piece.take().is_none());
        settle(&mut world);
    }
    assert!(reached >= 6, "the fault came with {reached} pieces only");
}

/// A machine loses its disk again and again while it takes the history over.
#[test]
fn wiped_in_the_middle() {
    let mut world = day(3, tight());
    for round in 1..=5 {
        take_away(&mut world, 1);
        world.run_for(3 * SECOND).unwrap();
        take_many(&mut world, 300);
        world.at_piece = Some((world.pieces + round, AtPiece::ReceiverLosesDisk));
        world.boot(1);
        settle(&mut world);
        assert_eq!(world.at_piece, None, "round {round}");
    }
}

/// A process dies in each step of a rewrite: making the file, writing and syncing it, renaming, syncing the folder.
#[rstest]
fn killed_in_each_step_of_a_rewrite(#[values(0, 1, 2)] node: usize) {
    for steps in 0..12 {
        let mut world = day(steps as u64, Scenario { rewrite_above: 4_000, ..tight() });
        world.nodes[node].rewrite_steps = Some(steps);
        let back_after = vec![Duration::from_millis(300)];
        world.at_rewrite = Some((node, Fault::Kill { nodes: vec![node], back_after }));
        let first = take_many(&mut world, 40);
        assert!(world.at_rewrite.is_none(), "no rewrite");
        settle(&mut world);
        let nodes = vec![0, 1, 2];
        world.inflict(Fault::PowerLoss { nodes, wiped: [].into(), back_after: vec![SECOND; 3] });
        settle(&mut world);
        world.must_finish(Wish::Submit { order: first, acked_base: false }).unwrap();
        assert_eq!(world.oracle.refusals, 0);
    }
}

/// A replica that lacks few entries is taken into the chain at once. On links so slow that it does not come to hold them
/// before the view counts as stuck, the transfer goes on in the next view where it was.
#[test]
fn a_transfer_outlasts_a_view() {
    let longest_delay = Duration::from_millis(150);
    let scenario = Scenario { longest_delay, piece_bytes: 60, ..tight() };
    for seed in 0..10 {
        let mut world = day(seed, scenario.clone());
        take_away(&mut world, 1);
        world.run_for(3 * SECOND).unwrap();
        take_many(&mut world, 30);
        let before = world.views;
        world.boot(1);
        world.run_for(10 * SECOND).unwrap();
        let views = world.views - before;
        assert!(views >= 2, "seed {seed}: the view was never stuck");
        settle(&mut world);
    }
}
